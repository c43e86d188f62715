//! State that the fronts share, and how copies that differ become one: purges, the list of caches, effects that may
//! have run, what was learned, usage at the door. Bytes and events in, bytes and events out; no I/O, no clock, chance
//! by seed (docs/replication.md).

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

pub use meadowrill_members::{mutant, Micros};

/// One second.
pub const SEC: Micros = 1_000_000;
