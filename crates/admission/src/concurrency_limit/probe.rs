//! Probes of the baselines: concurrency is brought down to low load for a moment.
//!
//! States: inactive, and active until there are enough samples or the time is over. Invariant: two probes for stale
//! baselines are at least the lifetime of a baseline apart.

use super::baseline::BASELINE_LIFETIME;
use meadowrill_routing::interface::Micros;

/// A probe ends with so many samples.
const PROBE_SAMPLES: u32 = 6;
/// Longest time of a probe.
const PROBE_TIME: Micros = 150_000;
/// Weight of a new baseline sample in ordinary operation.
const LEARNING_RATE: f64 = 0.05;
/// Weight of a new baseline sample in a probe.
const PROBE_LEARNING_RATE: f64 = 0.2;
/// A probe follows at once where the limit has come down to this fraction of what it was at the last probe.
const MUCH_LOWER_FRACTION: f64 = 0.75;

/// The probe, while there is one, and the last one.
pub(super) struct BaselineProbe {
    /// When the active probe ends at the latest.
    end: Option<Micros>,
    /// Samples since the start of the active probe.
    samples: u32,
    last_start: Micros,
    /// The limit at the last start.
    last_limit: f64,
}

impl BaselineProbe {
    pub(super) fn new(now: Micros, limit: f64) -> BaselineProbe {
        BaselineProbe {
            end: None,
            samples: 0,
            last_start: now,
            last_limit: limit,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.end.is_some()
    }

    pub(super) fn end(&self) -> Option<Micros> {
        self.end
    }

    /// Whether a probe may start because baselines are stale.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        !self.is_active() && self.last_start + BASELINE_LIFETIME <= now
    }

    /// Whether the limit has come down so far since the last probe that another is needed at once.
    pub(super) fn is_limit_much_lower(&self, limit: f64) -> bool {
        limit < MUCH_LOWER_FRACTION * self.last_limit
    }

    pub(super) fn start(&mut self, now: Micros, limit: f64) {
        *self = BaselineProbe {
            end: Some(now + PROBE_TIME),
            samples: 0,
            last_start: now,
            last_limit: limit,
        };
    }

    /// Counts a baseline sample, if a probe is active.
    pub(super) fn record_sample(&mut self) {
        self.samples += u32::from(self.is_active());
    }

    /// Ends the active probe if it has enough samples or its time is over. Returns whether it did.
    pub(super) fn end_if_complete(&mut self, now: Micros) -> bool {
        let has_enough = self.samples >= PROBE_SAMPLES;
        let is_complete = self.end.is_some_and(|end| end <= now || has_enough);
        if is_complete {
            self.end = None;
        }
        is_complete
    }

    /// Weight of a new baseline sample.
    pub(super) fn learning_rate(&self) -> f64 {
        if self.is_active() {
            PROBE_LEARNING_RATE
        } else {
            LEARNING_RATE
        }
    }
}
