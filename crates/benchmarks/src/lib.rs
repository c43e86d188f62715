//! Measures meadowrill on loopback and in one process; `measure AREA` runs one area.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

pub mod events;
pub mod figures;
pub mod fleet;
pub mod guard;
pub mod path;
pub mod replica;
pub mod scale;
pub mod turns;
