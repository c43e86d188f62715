//! Probes of the baselines: concurrency is reduced to low load for a short time.
//!
//! States: inactive, and active until the probe has enough samples or its time is over. Invariant: two probes for stale
//! baselines are at least the lifetime of a baseline apart.

use super::baseline::BASELINE_LIFETIME;
use meadowrill_routing::interface::Micros;

/// Number of samples after which a probe ends.
const PROBE_SAMPLES: u32 = 6;
/// Maximum duration of a probe.
const MAX_PROBE_TIME: Micros = 150_000;
/// Weight of a new baseline sample while no probe is active.
const LEARNING_RATE: f64 = 0.05;
/// Weight of a new baseline sample during a probe.
const PROBE_LEARNING_RATE: f64 = 0.2;
/// A probe starts at once if the limit has fallen below this fraction of its value at the last probe.
const MUCH_LOWER_FRACTION: f64 = 0.75;

/// The active probe, if there is one, and the last probe.
pub(super) struct BaselineProbe {
    /// When the active probe ends at the latest.
    end: Option<Micros>,
    /// Samples since the start of the active probe.
    samples: u32,
    last_start: Micros,
    /// The limit when the last probe started.
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

    /// Returns whether a probe may start because baselines are stale.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        !self.is_active() && self.last_start + BASELINE_LIFETIME <= now
    }

    /// Returns whether the limit has fallen so far since the last probe that another probe is needed at once.
    pub(super) fn is_limit_much_lower(&self, limit: f64) -> bool {
        limit < MUCH_LOWER_FRACTION * self.last_limit
    }

    pub(super) fn start(&mut self, now: Micros, limit: f64) {
        *self = BaselineProbe {
            end: Some(now + MAX_PROBE_TIME),
            samples: 0,
            last_start: now,
            last_limit: limit,
        };
    }

    /// Counts a baseline sample, if a probe is active.
    pub(super) fn record_sample(&mut self) {
        self.samples += u32::from(self.is_active());
    }

    /// Ends the active probe if it has enough samples or its time is over. Returns whether a probe was ended.
    pub(super) fn end_if_complete(&mut self, now: Micros) -> bool {
        let has_enough = self.samples >= PROBE_SAMPLES;
        let is_complete = self.end.is_some_and(|end| end <= now || has_enough);
        if is_complete {
            self.end = None;
        }
        is_complete
    }

    /// Returns the weight of a new baseline sample.
    pub(super) fn learning_rate(&self) -> f64 {
        if self.is_active() {
            PROBE_LEARNING_RATE
        } else {
            LEARNING_RATE
        }
    }
}
