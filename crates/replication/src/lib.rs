//! State that the fronts share, and how copies that differ converge: purges, the phases of caches, effects that may have
//! run, observations, usage by tenant. A pure state machine: messages and events go in, messages and actions come out; it
//! does no I/O, reads no clock and draws random numbers by a seed (docs/replication.md).
//!
//! From the bottom up: `wire`, `kind` and `record` are plain types; `kinds` encodes the records of each kind; `map` holds
//! and merges records; `snapshot`, `opinion` and `ledger` work on a map; `replica` joins all of it into one front's copy.

#![allow(
    clippy::missing_errors_doc,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

pub mod kind;
pub mod kinds;
pub mod ledger;
pub mod map;
pub mod opinion;
pub mod plan;
pub mod record;
pub mod replica;
pub mod snapshot;
pub mod wire;

pub use meadowrill_membership::{mutant, Micros};

/// One second.
pub const SEC: Micros = 1_000_000;
