//! Smoothed estimates, which decay to a baseline while there are no samples.

use crate::interface::Micros;
use crate::time::SECOND;

/// Weight of a new sample in most smoothed estimates.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.2;
/// Time constant of the decay: without new samples, an estimate's distance to its baseline falls to 1/e in this time.
pub(crate) const DECAY_TIME: Micros = 10 * SECOND;

/// An exponentially weighted moving average; it has no value before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SmoothedValue {
    value: Option<f64>,
    updated_at: Micros,
}

impl SmoothedValue {
    /// Starts from an assumed value, which the first samples correct.
    pub(crate) fn assumed(value: f64) -> SmoothedValue {
        SmoothedValue {
            value: Some(value),
            updated_at: 0,
        }
    }

    /// The value as of the last sample, without decay.
    pub(crate) fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample with a weight from 0 to 1.
    pub(crate) fn record(&mut self, now: Micros, sample: f64, weight: f64) {
        let value = self
            .value
            .map_or(sample, |value| value + weight * (sample - value));
        self.value = Some(value);
        self.updated_at = now;
    }

    /// The value after its decay towards a baseline. Because of the decay an endpoint that gets no requests is tried
    /// again eventually.
    pub(crate) fn decayed(&self, now: Micros, baseline: f64, decay_time: Micros) -> f64 {
        let idle = (now - self.updated_at) as f64;
        self.value.map_or(baseline, |value| {
            baseline + (value - baseline) * (-idle / decay_time as f64).exp()
        })
    }
}

/// Work per second, averaged over about the last [`DECAY_TIME`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    recent_work: f64,
    updated_at: Micros,
}

impl DecayingRate {
    /// Adds work, in microseconds.
    pub(crate) fn record(&mut self, now: Micros, work: f64) {
        self.recent_work = self.value(now) * DECAY_TIME as f64 / SECOND as f64 + work;
        self.updated_at = now;
    }

    /// Microseconds of work per second.
    pub(crate) fn value(&self, now: Micros) -> f64 {
        let idle = (now - self.updated_at) as f64;
        self.recent_work * (-idle / DECAY_TIME as f64).exp() * SECOND as f64 / DECAY_TIME as f64
    }
}
