//! Replicated state of the proxies: purges, phases of endpoints, claims to side effects that may have run,
//! observations, and usage by tenant. Replicas that differ converge. The crate is a pure state machine: its input is
//! messages and events, its output messages and actions. It does no I/O, reads no clock and uses a seeded random
//! number generator (see docs/replication.md).
//!
//! From the bottom up: [`wire`] defines the messages, and [`wire_time`] decodes the times in them; [`record_type`] and
//! [`record`] are plain types; [`records`] encodes the records of each type; [`map`] stores and merges records;
//! [`snapshot`], [`shared_estimate`] and [`ledger`] work on a map; [`replica`] combines all of them into the replica of
//! one proxy.

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
