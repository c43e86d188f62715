//! Fault injection into fleets of proxies: simulations in one process, and real processes with faulty links between
//! them.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "some items have no docs, and some functions are long"
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

/// Name of the proxy with this number, the same in simulations and for processes.
pub fn proxy_name(proxy: usize) -> String {
    format!("front-{proxy}")
}

/// Time since the Unix epoch by the system clock.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
