//! One clock for all processes of a run.

use meadowrill_event_distribution::Micros;
use rustix::time::{clock_gettime, ClockId, Timespec};

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

fn micros(time: Timespec) -> Micros {
    time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO
}

/// Unix time, moved on by the machine's monotonic clock. Processes with the same offset read the same time, so what one
/// recorded can be compared with what another did.
#[derive(Clone, Copy, Debug)]
pub struct SharedClock {
    offset: Micros,
}

impl SharedClock {
    /// Unix time as of now.
    pub fn start() -> SharedClock {
        let unix = micros(clock_gettime(ClockId::Realtime));
        SharedClock {
            offset: unix - micros(clock_gettime(ClockId::Monotonic)),
        }
    }

    pub fn with_offset(offset: Micros) -> SharedClock {
        SharedClock { offset }
    }

    pub fn offset(&self) -> Micros {
        self.offset
    }

    pub fn now(&self) -> Micros {
        self.offset + micros(clock_gettime(ClockId::Monotonic))
    }
}
