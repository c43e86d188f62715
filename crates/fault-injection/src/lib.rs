//! Fleets of fronts under faults: models in one process, and processes of the program with relays between them.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub mod baselines;
pub mod check;
pub mod effects;
pub mod events;
pub mod fleet;
pub mod model;
pub mod relay;
pub mod script;
pub mod serving;
pub mod shared;

/// What the n-th front is called, in models and as a process.
pub fn name(front: usize) -> String {
    format!("front-{front}")
}

/// Since the Unix epoch, by this machine's clock.
pub fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
