//! Distribution of numbered events from one publisher through relays to every subscriber, with proof that they are in
//! force everywhere. Datagrams and time in, datagrams and outputs out; no I/O and no clock (docs/event-distribution.md).
//!
//! - [`publisher::Publisher`] numbers events and knows up to which one they are in force everywhere.
//! - [`relay::Relay`] follows the publisher, or another relay, and feeds subscribers.
//! - [`subscriber::Subscriber`] follows one relay, applies events and knows whether it holds a lease.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

mod budget;
pub mod counters;
pub mod distributor;
mod early;
pub mod event;
mod fetch;
pub mod leases;
pub mod log;
pub mod output;
pub mod publisher;
pub mod purges;
pub mod relay;
pub mod settings;
pub mod status;
pub mod subscriber;
pub mod time;
pub mod wire;

pub use meadowrill_membership::mutant;
pub use time::Micros;
