//! The program's clock.

use meadowrill_routing::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;

/// A span, or a time, in seconds: the unit of metrics and settings.
pub(crate) fn seconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND as f64
}

/// Unix time at the start, moved on by the monotonic clock: a step of the system's time must not shift deadlines.
pub(crate) struct Clock {
    started_at: Micros,
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: since_epoch.as_micros() as Micros,
            started: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }

    /// As if the program had been stopped for so long.
    #[cfg(test)]
    pub(crate) fn skip(&mut self, span: Micros) {
        self.started_at += span;
    }
}
