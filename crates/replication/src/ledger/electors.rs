//! The fronts that decide on effects, and which of them own a key.

use crate::kinds::Claim;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash of keys.
const KEY_SEED: u64 = 1;

/// The fronts that decide on effects, as one of them has it.
#[derive(Clone, Debug, Default)]
pub struct Electors {
    /// By name, with the start of the process of those that are alive.
    pub all: BTreeMap<String, Option<u64>>,
    /// This front has agreed with another on who there is, or is known to be alone. Until then it may be one of many that
    /// it knows nothing of.
    pub joined: bool,
    /// Those that this front has compared its claims with since its start.
    pub compared: BTreeSet<String>,
}

impl Electors {
    /// The owners of a key by rendezvous hashing: the same on all fronts that have the same electors.
    pub fn owners(&self, key: &[u8], copies: usize) -> Vec<String> {
        let key = xxh3_64_with_seed(key, KEY_SEED);
        let mut ranked: Vec<(u64, &String)> = self
            .all
            .keys()
            .map(|name| (xxh3_64_with_seed(name.as_bytes(), key), name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
            .into_iter()
            .take(copies)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Whether the process that holds a claim is alive; a later process of its name knows nothing of the claim.
    pub(super) fn is_holder_alive(&self, claim: &Claim) -> bool {
        self.all
            .get(&claim.holder)
            .copied()
            .flatten()
            .is_some_and(|start| start <= claim.start)
    }
}
