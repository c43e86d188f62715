//! State that the proxies share, and how replicas that differ converge: purges, the phases of endpoints, claims to effects
//! that may have run, observations, usage by tenant. A pure state machine: messages and events go in, messages and
//! actions come out; it does no I/O, reads no clock and draws random numbers by a seed (docs/replication.md).
//!
//! From the bottom up: [`wire`] holds the messages, and [`wire_time`] reads the times in them; [`record_type`] and [`record`] are plain types; [`records`] encodes
//! the records of each type; [`map`] stores and merges records; [`snapshot`], [`shared_estimate`] and [`ledger`] work on
//! a map; [`replica`] joins all of it into one proxy's replica.

pub mod ledger;
pub mod map;
pub mod record;
pub mod record_type;
pub mod records;
pub mod replica;
pub mod settings;
pub mod shared_estimate;
pub mod snapshot;
pub mod wire;
pub mod wire_time;

pub use meadowrill_membership::{mutant, Micros};

/// One second.
pub const SEC: Micros = 1_000_000;
