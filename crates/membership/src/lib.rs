//! The membership protocol of a fleet of proxies: it tracks which proxies are alive, suspected or dead, or have left
//! (docs/membership.md).
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002) with the local health awareness of Lifeguard (Dadgar, Phillips,
//! Currey, 2017), the fixed observers of Rapid (Suresh et al., 2018) and digest-based anti-entropy. The inputs are
//! datagrams and the current time, the outputs are datagrams and membership changes. The crate performs no I/O, reads
//! no clock, and takes all randomness from a seed.
//!
//! - [`view`]: the state machine that a host drives;
//! - [`claim`], [`rings`], [`rumors`], [`digest`], [`health`]: the independent rules that the state machine combines;
//! - [`wire`], [`envelope`]: the messages and their encoding;
//! - [`settings`]: the settings and their bounds.

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

/// Whether this deliberate fault is enabled. Only builds with the feature `mutants` have faults, to test that the
/// checkers detect them.
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
