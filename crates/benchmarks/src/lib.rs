//! Measures meadowrill on loopback and in one process; `measure AREA` runs one area.

pub mod events;
pub mod figures;
pub mod fleet;
pub mod guard;
pub mod path;
pub mod replica;
pub mod scale;
pub mod turns;
