//! Benchmarks of meadowrill on loopback and in one process. `measure AREA` runs the benchmarks of one area.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
)]

pub mod admission;
pub mod events;
pub mod figures;
pub mod fleet;
pub mod guard;
pub mod path;
pub mod replica;
pub mod scale;
