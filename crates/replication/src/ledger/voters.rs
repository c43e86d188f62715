//! The proxies that vote on claims, and which of them own a key.

use crate::records::Claim;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash of keys.
const KEY_SEED: u64 = 1;

/// The proxies that vote on claims, as one of them has it.
#[derive(Clone, Debug, Default)]
pub struct Voters {
    /// By name, with the incarnation of those that are alive.
    pub members: BTreeMap<String, Option<u64>>,
    /// This proxy has agreed with another on the membership, or is known to be alone. Until then it may be one of many
    /// that it knows nothing of.
    pub membership_agreed: bool,
    /// Those that this proxy has compared its claims with since its start.
    pub compared_with: BTreeSet<String>,
}

impl Voters {
    /// The owners of a key by rendezvous hashing: the same on all proxies that have the same voters.
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<String> {
        let key = xxh3_64_with_seed(key, KEY_SEED);
        let mut ranked: Vec<(u64, &String)> = self
            .members
            .keys()
            .map(|name| (xxh3_64_with_seed(name.as_bytes(), key), name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
            .into_iter()
            .take(count)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Whether the process that holds a claim is alive; a later incarnation of its name knows nothing of the claim.
    pub(super) fn is_holder_alive(&self, claim: &Claim) -> bool {
        self.members
            .get(&claim.holder)
            .copied()
            .flatten()
            .is_some_and(|incarnation| incarnation <= claim.incarnation)
    }
}
