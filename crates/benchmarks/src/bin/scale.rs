//! `scale`: measures how costs grow, with an allocator that counts the allocated bytes.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
)]

use clap::Parser;
use meadowrill_benchmarks::scale::{run, Options};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated and not yet freed.
fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

fn main() -> ExitCode {
    match run(&Options::parse(), allocated_bytes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}
