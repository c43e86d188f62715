//! The replicated map: records by type and key, each with a rank. Of two records of one key the larger wins, compared
//! by rank, then by value and expiry. So merging is commutative, associative and idempotent, and works the same for
//! record types that a build does not know.
//!
//! Invariants: `by_expiry`, `buckets` and `sizes` describe exactly the records in `entries`; no type has more records
//! than its limit; claims are never evicted. A record is stored only within the limit of bytes, whether it is new or
//! replaces another. The exception is a claim that replaces a smaller version of itself: it may exceed the limit by the
//! difference.

mod buckets;

pub use buckets::BUCKETS;

use crate::mutant;
use crate::record::{record_hash, to_wire, Entry, Key};
use crate::record_type::{RecordType, Tree};
use crate::wire::Record;
use crate::{Micros, SEC};
use buckets::BucketIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Longest name of a record.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest value of a record.
pub const MAX_VALUE_BYTES: usize = 4096;

/// Maximum time for which a record is stored: twice the longest retention that the settings allow. A record that
/// expires later was written by a proxy with a wrong clock, or is corrupt, and would take up capacity forever.
pub const MAX_RETENTION: Micros = 2 * 86_400 * SEC;

/// [`Map::digest`] combines the roots of the trees by exclusive or and this rotation.
const DIGEST_ROTATION: u32 = 21;

/// The outcome of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is stored now.
    Merged {
        /// Whether it replaced a smaller record of its key.
        replaced: bool,
    },
    /// The same or a larger record of its key is stored.
    AlreadyKnown,
    /// The record has expired, would be stored for too long, is too large, or there is no capacity for it.
    Rejected,
}

/// Limits that apply to each record type separately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MapLimits {
    /// Maximum number of records.
    pub entries: usize,
    /// Maximum number of bytes of names and values.
    pub bytes: usize,
}

/// The stored size of one record type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoredSize {
    /// Number of records.
    pub entries: usize,
    /// Bytes of the records' names and values.
    pub bytes: usize,
}

/// Records by key, with the indexes that are needed to limit, expire and compare them.
#[derive(Clone, Debug)]
pub struct Map {
    entries: BTreeMap<Key, Entry>,
    /// Keys in the order of expiry, which is also the order of eviction. It is the same on all replicas that store the
    /// same records.
    by_expiry: BTreeSet<(Micros, Key)>,
    buckets: BucketIndex,
    sizes: BTreeMap<u32, StoredSize>,
    limits: MapLimits,
    /// Number of records that were rejected or evicted for lack of capacity.
    pub displaced: u64,
}

impl Map {
    /// Creates an empty map.
    pub fn new(limits: MapLimits) -> Map {
        Map {
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            buckets: BucketIndex::new(),
            sizes: BTreeMap::new(),
            limits,
            displaced: 0,
        }
    }

    /// The entry stored for a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Number of stored records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no records are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All records, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// All records of a type whose names begin with `prefix`, in the order of their keys.
    pub fn with_prefix<'a>(
        &'a self,
        record_type: RecordType,
        prefix: &'a [u8],
    ) -> impl Iterator<Item = (&'a Key, &'a Entry)> {
        let first = Key::new(record_type, prefix);
        let matches =
            move |key: &Key| key.record_type == record_type as u32 && key.name.starts_with(prefix);
        self.entries
            .range(first..)
            .take_while(move |(key, _)| matches(key))
    }

    /// All records of a type, in the order of their keys.
    pub fn of_type(&self, record_type: RecordType) -> impl Iterator<Item = (&Key, &Entry)> {
        self.with_prefix(record_type, &[])
    }

    /// The record of a key.
    pub fn record(&self, key: &Key) -> Option<Record> {
        self.entries.get(key).map(|entry| to_wire(key, entry))
    }

    /// The records of a tree that follow the key `after`, in the order of their keys.
    pub fn records_after<'a>(
        &'a self,
        tree: Tree,
        after: Option<&'a Key>,
    ) -> impl Iterator<Item = Record> + 'a {
        tree.type_ranges().iter().flat_map(move |(first, end)| {
            let (first, end) = (first_key(*first), first_key(*end));
            let start = match after {
                Some(after) if *after >= first => Bound::Excluded(after.clone()),
                _ => Bound::Included(first),
            };
            // A range that ends before it starts panics.
            let is_empty = after.is_some_and(|after| *after >= end);
            let range = (!is_empty).then(|| self.entries.range((start, Bound::Excluded(end))));
            range
                .into_iter()
                .flatten()
                .map(|(key, entry)| to_wire(key, entry))
        })
    }

    /// The stored sizes by the number of the record type.
    pub fn sizes(&self) -> &BTreeMap<u32, StoredSize> {
        &self.sizes
    }

    fn size_of(&self, record_type: u32) -> StoredSize {
        self.sizes.get(&record_type).copied().unwrap_or_default()
    }

    /// Whether one more record of this type and of any size fits without evicting another.
    pub fn has_capacity(&self, record_type: RecordType) -> bool {
        let stored = self.size_of(record_type as u32);
        stored.entries < self.limits.entries
            && stored.bytes + MAX_NAME_BYTES + MAX_VALUE_BYTES < self.limits.bytes
    }

    /// Merges a record: stores it if it is larger than the stored record of its key and fits within the limits.
    pub fn merge(&mut self, key: Key, entry: Entry, now: Micros) -> MergeOutcome {
        if entry.expires_at <= now
            || entry.expires_at > now + MAX_RETENTION
            || key.name.len() > MAX_NAME_BYTES
            || entry.value.len() > MAX_VALUE_BYTES
        {
            return MergeOutcome::Rejected;
        }
        let former = self.entries.get(&key);
        if !former.is_none_or(|former| supersedes(&entry, former)) {
            return MergeOutcome::AlreadyKnown;
        }
        let replaced = former.is_some();
        self.remove(&key);
        let is_claim = RecordType::from_wire(key.record_type) == Some(RecordType::Claim);
        let may_exceed = replaced && is_claim;
        let fits = may_exceed || self.evict_for(&key, &entry);
        if !fits {
            self.displaced += 1;
            return MergeOutcome::Rejected;
        }
        self.insert(key, entry);
        MergeOutcome::Merged { replaced }
    }

    /// Evicts records of the same type that expire sooner than this one until it fits. Returns false if it cannot
    /// fit, as no other record of its type expires sooner or as it is a claim.
    fn evict_for(&mut self, key: &Key, entry: &Entry) -> bool {
        let added = key.name.len() + entry.value.len();
        loop {
            let stored = self.size_of(key.record_type);
            if stored.entries < self.limits.entries && stored.bytes + added <= self.limits.bytes {
                return true;
            }
            // If a claim were evicted, its key could be granted a second time. So a new claim is rejected instead.
            if RecordType::from_wire(key.record_type) == Some(RecordType::Claim) {
                return false;
            }
            let Some(evicted) = self.first_to_expire(key.record_type, entry.expires_at) else {
                return false;
            };
            self.remove(&evicted);
            self.displaced += 1;
        }
    }

    /// The key of the record of a type that expires first, if it expires before `expires_at`.
    fn first_to_expire(&self, record_type: u32, expires_at: Micros) -> Option<Key> {
        let mut of_type = self
            .by_expiry
            .iter()
            .filter(|(_, key)| key.record_type == record_type);
        let (first_expiry, key) = of_type.next()?;
        (*first_expiry < expires_at).then(|| key.clone())
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        self.buckets.insert(&key, record_hash(&key, &entry));
        let size = self.sizes.entry(key.record_type).or_default();
        size.entries += 1;
        size.bytes += key.name.len() + entry.value.len();
        self.by_expiry.insert((entry.expires_at, key.clone()));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &Key) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.buckets.remove(key, record_hash(key, &entry));
        self.by_expiry.remove(&(entry.expires_at, key.clone()));
        if let Some(size) = self.sizes.get_mut(&key.record_type) {
            size.entries -= 1;
            size.bytes -= key.name.len() + entry.value.len();
        }
    }

    /// Removes all records that have expired.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some((expires_at, key)) = self.by_expiry.first().cloned() {
            if expires_at > now {
                return;
            }
            self.remove(&key);
        }
    }

    /// When the next record expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    // Anti-entropy comparison

    /// Digest of a complete tree.
    pub fn root(&self, tree: Tree) -> u64 {
        self.buckets.root(tree)
    }

    /// Digest of all trees, which is the same on all replicas that store the same records.
    pub fn digest(&self) -> u64 {
        Tree::ALL.into_iter().fold(0, |digest, tree| {
            (digest ^ self.root(tree)).rotate_left(DIGEST_ROTATION)
        })
    }

    /// Digests of the buckets of a tree.
    pub fn bucket_digests(&self, tree: Tree) -> Vec<u32> {
        self.buckets.digests(tree)
    }

    /// The buckets of a tree whose digests differ from those of another map.
    pub fn differing_buckets(&self, tree: Tree, other: &[u32]) -> Vec<usize> {
        let own = self.bucket_digests(tree);
        (0..BUCKETS)
            .filter(|bucket| other.get(*bucket) != own.get(*bucket))
            .collect()
    }

    /// Hashes of all records of a tree in one bucket.
    pub fn bucket_hashes(&self, tree: Tree, bucket: usize) -> impl Iterator<Item = u64> + '_ {
        self.buckets.hashes(tree, bucket)
    }

    /// Whether a record with this hash is stored.
    pub fn contains_hash(&self, hash: u64) -> bool {
        self.buckets.key_of(hash).is_some()
    }

    /// The record with this hash.
    pub fn record_by_hash(&self, hash: u64) -> Option<Record> {
        self.buckets.key_of(hash).and_then(|key| self.record(key))
    }
}

/// Whether an entry replaces another entry of the same key.
fn supersedes(entry: &Entry, former: &Entry) -> bool {
    if mutant("last-write-wins") {
        entry != former
    } else {
        entry > former
    }
}

/// The smallest key of a record type.
fn first_key(record_type: u32) -> Key {
    Key {
        record_type,
        name: Vec::new(),
    }
}
