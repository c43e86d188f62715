//! The program with an allocator that counts.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

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
