//! Processor time of this thread and memory that is held: what a step of a model cost.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Bytes that are allocated and not freed, told by the allocator of the `scale` program.
pub type Held = fn() -> usize;

/// Processor time that this thread has used so far. Not wall-clock time: other work on the machine does not count.
pub fn thread_time() -> Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.max(0) as u64, spent.tv_nsec.max(0) as u32)
}

/// Processor seconds that a step took, and what it returned.
pub fn timed<T>(step: impl FnOnce() -> T) -> (f64, T) {
    let begun = thread_time();
    let value = step();
    ((thread_time() - begun).as_secs_f64(), value)
}

/// Bytes that a value holds, as the difference that its construction made.
pub fn held<T>(held: Held, make: impl FnOnce() -> T) -> (f64, T) {
    let before = held() as f64;
    let value = make();
    (held() as f64 - before, value)
}
