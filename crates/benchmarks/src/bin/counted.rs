//! The program with an allocator that counts.

use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn counts() -> String {
    let seen = COUNTING.stats();
    let all = seen.allocations + seen.reallocations;
    format!(
        "allocations {all}\nallocated_bytes {}\n",
        seen.bytes_allocated
    )
}

fn main() -> ExitCode {
    meadowrill_proxy::main(Some(counts))
}
