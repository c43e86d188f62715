//! Digests of a view, by which two fronts find out where they differ without telling all they know.

use crate::claim::Claim;
use crate::rings::hash;
use crate::wire::BUCKETS;

/// The ring of names that sorts them into buckets; any that is no ring of observers.
const SALT: u64 = 1 << 40;

pub fn bucket(name: &str) -> usize {
    (hash(name, SALT) % BUCKETS as u64) as usize
}

/// Order does not matter: what is put in twice goes out again.
#[derive(Clone, Debug)]
pub struct Digest {
    buckets: [u64; BUCKETS],
}

impl Default for Digest {
    fn default() -> Digest {
        Digest { buckets: [0; BUCKETS] }
    }
}

impl Digest {
    /// Puts one in, or takes it out again.
    pub fn turn(&mut self, name: &str, claim: &Claim, rev: u64) {
        let mut h = hash(name, SALT + 1);
        for part in [claim.start, claim.incarnation, claim.state as u64, rev] {
            h = (h ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            h ^= h >> 29;
        }
        self.buckets[bucket(name)] ^= h;
    }

    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(7, |h, b| (h ^ b).wrapping_mul(0x0100_0000_01b3).rotate_left(23))
    }

    /// Short forms: a difference that two of them hide is found by another pair of fronts, or after the next change.
    pub fn short(&self) -> Vec<u32> {
        self.buckets.iter().map(|b| (b ^ (b >> 32)) as u32).collect()
    }
}
