//! The view of the fleet: who is there, who is suspected, who has left or died. Bytes and events in, bytes and events
//! out; no I/O, no clock, chance by seed (docs/fleet.md).

pub mod claim;
pub mod envelope;
pub mod health;
pub mod plan;
pub mod rings;
pub mod rumors;
pub mod sync;
pub mod view;
pub mod wire;

/// A moment or a span, in whole microseconds.
pub type Micros = i64;

/// Broken on purpose, by name, in builds for the checkers; always false in shipped ones.
#[cfg(feature = "mutants")]
pub fn mutant(name: &str) -> bool {
    use std::sync::OnceLock;
    static NAME: OnceLock<String> = OnceLock::new();
    NAME.get_or_init(|| std::env::var("MEADOWRILL_MUTANT").unwrap_or_default()) == name
}

#[cfg(not(feature = "mutants"))]
pub const fn mutant(_: &str) -> bool {
    false
}
