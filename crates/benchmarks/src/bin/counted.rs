//! The program `meadowrill` with an allocator that counts allocations, for benchmarks of its costs.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
)]

use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn counts() -> String {
    let stats = ALLOCATOR.stats();
    let allocations = stats.allocations + stats.reallocations;
    format!(
        "allocations {allocations}\nallocated_bytes {}\n",
        stats.bytes_allocated
    )
}

fn main() -> ExitCode {
    meadowrill_proxy::main(Some(counts))
}
