//! One clock for all processes of a run.

use meadowrill_event_distribution::Micros;
use rustix::time::{clock_gettime, ClockId, Timespec};

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

fn micros(time: Timespec) -> Micros {
    time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO
}

/// Unix time as of the start, advanced by the machine's monotonic clock. Processes with the same offset read the same
/// time, so the records of different processes can be compared.
#[derive(Clone, Copy, Debug)]
pub struct SharedClock {
    offset: Micros,
}

impl SharedClock {
    /// A clock that reads the current Unix time.
    pub fn start() -> SharedClock {
        let unix = micros(clock_gettime(ClockId::Realtime));
        SharedClock {
            offset: unix - micros(clock_gettime(ClockId::Monotonic)),
        }
    }

    /// The clock of another process, from its offset.
    pub fn with_offset(offset: Micros) -> SharedClock {
        SharedClock { offset }
    }

    /// The difference between the clock and the monotonic clock.
    pub fn offset(&self) -> Micros {
        self.offset
    }

    /// The current time in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.offset + micros(clock_gettime(ClockId::Monotonic))
    }
}
