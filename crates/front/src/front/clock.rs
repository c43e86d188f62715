//! The front's clock, and what it is set to ring for.

use meadowrill_core::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time, moved on by the monotonic clock: a step of the system's time must not shift what is out.
pub(super) struct Clock {
    unix: Micros,
    since: Instant,
}

impl Clock {
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, since: Instant::now() }
    }

    pub(super) fn now(&self) -> Micros {
        self.unix + self.since.elapsed().as_micros() as Micros
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The module's.
    Ring(u32),
    /// A send's time is up, or its connection should be up: connection and serial of the send.
    Send(u64, u64),
    Connect(u64, u64),
    Tick,
    /// What operators want to see regularly.
    Report,
    /// The view of the fleet, as it wanted to be asked then.
    Fleet(Micros),
    /// The front is ending: no more comes in from here on, and it may be done.
    Close,
}
