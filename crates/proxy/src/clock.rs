//! The program's clock.

use meadowrill_routing::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;

/// Converts a duration or a time to seconds, the unit of metrics and settings.
pub(crate) fn seconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND as f64
}

/// Unix time that advances with the monotonic clock from the process's start, so that a step of the system clock does
/// not shift deadlines.
pub(crate) struct Clock {
    unix_time_at_start: Micros,
    start_instant: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_time_at_start: since_epoch.as_micros() as Micros,
            start_instant: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.unix_time_at_start + self.start_instant.elapsed().as_micros() as Micros
    }

    /// Advances the clock by `span`, as if the process had been stopped for that time.
    #[cfg(test)]
    pub(crate) fn skip(&mut self, span: Micros) {
        self.unix_time_at_start += span;
    }
}
