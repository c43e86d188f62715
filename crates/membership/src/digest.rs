//! Digests of a view, with which two proxies find the differences between their views without sending all records.
//!
//! A digest is a set hash: the XOR of the hashes of its entries, by bucket. Invariant: its value depends only on the
//! set of entries, not on the order in which they were added and removed.

use crate::claim::Claim;
use crate::hash::{stable_hash, BUCKET_SALT, ENTRY_SALT};
use crate::wire::BUCKET_COUNT;

/// The bucket of a member, determined by its name.
pub fn bucket(name: &str) -> usize {
    (stable_hash(name, BUCKET_SALT) % BUCKET_COUNT as u64) as usize
}

/// The XOR of the hashes of a set of entries, by bucket. It does not depend on the order in which they were added.
#[derive(Clone, Debug)]
pub struct Digest {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for Digest {
    fn default() -> Digest {
        Digest {
            buckets: [0; BUCKET_COUNT],
        }
    }
}

impl Digest {
    /// Adds an entry, or removes it if the digest already contains it.
    pub fn toggle(&mut self, name: &str, claim: &Claim, revision: u64) {
        let mut h = stable_hash(name, ENTRY_SALT);
        for part in [claim.start, claim.incarnation, claim.state as u64, revision] {
            h = (h ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            h ^= h >> 29;
        }
        self.buckets[bucket(name)] ^= h;
    }

    /// The hash of all buckets.
    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(7, |h, b| {
            (h ^ b).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
        })
    }

    /// The buckets, each folded to 32 bits. If folding hides a difference, another pair of proxies finds it, or it is
    /// found after the next change.
    pub fn bucket_digests(&self) -> Vec<u32> {
        self.buckets
            .iter()
            .map(|b| (b ^ (b >> 32)) as u32)
            .collect()
    }
}
