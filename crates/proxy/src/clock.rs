//! The program's clock.

use meadowrill_routing::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time, moved on by the monotonic clock: a step of the system's time must not shift what is out.
pub(crate) struct Clock {
    unix: Micros,
    since: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix: unix.as_micros() as Micros,
            since: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.unix + self.since.elapsed().as_micros() as Micros
    }

    /// As if the program had been stopped for so long.
    #[cfg(test)]
    pub(crate) fn skip(&mut self, span: Micros) {
        self.unix += span;
    }
}
