//! The index by which two maps are compared. The hash of its key assigns each record to one of the 256 buckets of its
//! tree, and each bucket has a digest over the hashes of its records.
//!
//! Invariant: the digest of a bucket is the exclusive or of the hashes of its records, so that it does not depend on
//! the order in which they were inserted.

use crate::record::Key;
use crate::record_type::{Tree, TREES};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// Number of buckets of one tree.
pub const BUCKETS: usize = 256;

/// The root starts with this value. The digest of each bucket is folded in by exclusive or, a multiplication by the
/// prime of FNV-1a and a rotation. These values are part of the protocol: all replicas have to use the same.
const ROOT_SEED: u64 = 7;
const ROOT_PRIME: u64 = 0x0100_0000_01b3;
const ROOT_ROTATION: u32 = 23;

/// Hashes of records by tree and bucket.
#[derive(Clone, Debug)]
pub(super) struct BucketIndex {
    /// Keys by the hash of their record.
    by_hash: BTreeMap<u64, Key>,
    /// The tree, bucket and hash of each record.
    hashes: BTreeSet<(usize, usize, u64)>,
    digests: [[u64; BUCKETS]; TREES],
}

impl BucketIndex {
    pub(super) fn new() -> BucketIndex {
        BucketIndex {
            by_hash: BTreeMap::new(),
            hashes: BTreeSet::new(),
            digests: [[0; BUCKETS]; TREES],
        }
    }

    pub(super) fn insert(&mut self, key: &Key, hash: u64) {
        self.toggle(key, hash);
        self.by_hash.insert(hash, key.clone());
    }

    pub(super) fn remove(&mut self, key: &Key, hash: u64) {
        self.toggle(key, hash);
        self.by_hash.remove(&hash);
    }

    /// Adds a record to the digest and the hashes of its bucket, or removes it if it is there.
    fn toggle(&mut self, key: &Key, hash: u64) {
        let (tree, bucket) = (Tree::of_type(key.record_type) as usize, bucket_of(key));
        self.digests[tree][bucket] ^= hash;
        if !self.hashes.remove(&(tree, bucket, hash)) {
            self.hashes.insert((tree, bucket, hash));
        }
    }

    /// Digest of a complete tree.
    pub(super) fn root(&self, tree: Tree) -> u64 {
        let fold = |root: u64, digest: &u64| {
            (root ^ digest)
                .wrapping_mul(ROOT_PRIME)
                .rotate_left(ROOT_ROTATION)
        };
        self.digests[tree as usize].iter().fold(ROOT_SEED, fold)
    }

    /// Digests of the buckets of a tree, folded to 32 bits for the wire.
    pub(super) fn digests(&self, tree: Tree) -> Vec<u32> {
        self.digests[tree as usize]
            .iter()
            .map(|digest| (digest ^ (digest >> 32)) as u32)
            .collect()
    }

    /// Hashes of all records of a tree in one bucket.
    pub(super) fn hashes(&self, tree: Tree, bucket: usize) -> impl Iterator<Item = u64> + '_ {
        let tree = tree as usize;
        self.hashes
            .range((tree, bucket, 0)..=(tree, bucket, u64::MAX))
            .map(|(.., hash)| *hash)
    }

    /// The key of the record with this hash.
    pub(super) fn key_of(&self, hash: u64) -> Option<&Key> {
        self.by_hash.get(&hash)
    }
}

fn bucket_of(key: &Key) -> usize {
    let mut hash = Xxh3::new();
    hash.update(&key.record_type.to_le_bytes());
    hash.update(&key.name);
    (hash.digest() % BUCKETS as u64) as usize
}
