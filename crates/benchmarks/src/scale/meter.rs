//! Processor time of the current thread and allocated memory, to measure the cost of a step of a model.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the bytes that are allocated and not yet freed, as counted by the allocator of the `scale` program.
pub type AllocatedBytes = fn() -> usize;

/// Processor time that this thread has used so far. Unlike wall-clock time, it excludes other work on the machine.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Processor seconds that a step took, and its result.
pub fn timed<T>(step: impl FnOnce() -> T) -> (f64, T) {
    let started_at = thread_time();
    let value = step();
    ((thread_time() - started_at).as_secs_f64(), value)
}

/// Bytes that the construction of a value allocates and does not free, and the value.
pub fn allocated_by<T>(allocated_bytes: AllocatedBytes, make: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated_bytes() as f64;
    let value = make();
    (allocated_bytes() as f64 - before, value)
}
