//! The membership protocol of the fleet of fronts: which are present, suspected, dead or gone (docs/membership.md). Datagrams
//! and the time in, datagrams and changes out; no I/O, no clock, and randomness by seed.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

pub mod claim;
pub mod digest;
pub mod envelope;
pub mod hash;
pub mod health;

pub mod rings;
pub mod rumors;
pub mod settings;
pub mod view;
pub mod wire;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Whether this deliberate fault is switched on; only in builds with the feature `mutants`, for tests of the checkers.
#[cfg(feature = "mutants")]
pub fn mutant(name: &str) -> bool {
    use std::sync::OnceLock;
    static NAME: OnceLock<String> = OnceLock::new();
    NAME.get_or_init(|| std::env::var("MEADOWRILL_MUTANT").unwrap_or_default()) == name
}

/// Always false in builds without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
pub const fn mutant(_: &str) -> bool {
    false
}
