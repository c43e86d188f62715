//! The membership protocol of a fleet of proxies: which are alive, suspected, dead or have left (docs/membership.md).
//!
//! SWIM (Das, Gupta, Motivala, 2002) with the health awareness of Lifeguard (Dadgar, Phillips, Currey, 2017), the fixed
//! observers of Rapid (Suresh et al., 2018) and anti-entropy by digests. Datagrams and the time go in, datagrams and
//! changes come out: no I/O, no clock, and randomness by a seed.
//!
//! - [`view`]: the state machine that a host drives;
//! - [`claim`], [`rings`], [`rumors`], [`digest`], [`health`]: the rules it is made of, each by itself;
//! - [`wire`], [`envelope`]: the messages and their encoding;
//! - [`settings`]: what can be set, and its bounds.

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
