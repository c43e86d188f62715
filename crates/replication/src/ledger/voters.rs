//! The proxies that vote on claims, and which of them own a key.

use crate::records::Claim;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash of keys.
const KEY_SEED: u64 = 1;

/// The proxies that vote on claims, according to one proxy's view of the membership.
#[derive(Clone, Debug, Default)]
pub struct Voters {
    /// The voters by name. A voter that is alive has its incarnation here.
    pub members: BTreeMap<String, Option<u64>>,
    /// Whether this proxy has agreed on the membership with another proxy, or is known to be the only one. Until then
    /// there may be many proxies that it does not know of.
    pub membership_agreed: bool,
    /// The proxies with which this proxy has compared its claims since its start.
    pub compared_with: BTreeSet<String>,
}

impl Voters {
    /// The owners of a key by rendezvous hashing. All proxies with the same voters compute the same owners.
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

    /// Whether the process that holds a claim is alive. A later incarnation of the same proxy does not know of the
    /// claim.
    pub(super) fn is_holder_alive(&self, claim: &Claim) -> bool {
        self.members
            .get(&claim.holder)
            .copied()
            .flatten()
            .is_some_and(|incarnation| incarnation <= claim.incarnation)
    }
}
