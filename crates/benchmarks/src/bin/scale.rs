//! `scale`: measures what costs grow with, with an allocator that counts.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

use clap::Parser;
use meadowrill_benchmarks::scale::{run, Options};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated and not freed.
fn held() -> usize {
    let seen = COUNTING.stats();
    seen.bytes_allocated.saturating_sub(seen.bytes_deallocated)
}

fn main() -> ExitCode {
    match run(&Options::parse(), held) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}
