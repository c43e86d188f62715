//! The replicated map: records by kind and key, each with a rank. Of two records of one key the larger stands, by rank,
//! then by bytes. So merging is commutative, associative and idempotent, and a build merges kinds that it does not know
//! as well as those that it does. Digests over buckets tell where two maps differ.

use crate::kind::{Kind, Tree, TREES};
use crate::wire::Record;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use xxhash_rust::xxh3::Xxh3;

pub use crate::record::{hash, record, Entry, Key};

/// Buckets in the digest of one tree.
pub const BUCKETS: usize = 256;

/// What became of a record that was to be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    /// It stands now; true where it replaced another.
    New(bool),
    /// The same or a larger record is held.
    Known,
    /// It has expired, is too large, or there is no room for it.
    Refused,
}

/// Limits that hold for each kind by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Most records.
    pub entries: usize,
    /// Most bytes of names and values.
    pub bytes: usize,
}

/// What is held of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    /// Records.
    pub entries: usize,
    /// Bytes of their names and values.
    pub bytes: usize,
}

/// Records by key, with what it takes to bound, expire and compare them.
#[derive(Clone, Debug)]
pub struct Map {
    entries: BTreeMap<Key, Entry>,
    /// The order of expiry, which is also the order of eviction: the same on all fronts that hold the same.
    by_expiry: BTreeSet<(Micros, Key)>,
    /// Keys by the hash of their record.
    by_hash: BTreeMap<u64, Key>,
    /// Tree, bucket and hash of each record.
    buckets: BTreeSet<(usize, usize, u64)>,
    digests: [[u64; BUCKETS]; TREES],
    held: BTreeMap<u32, Held>,
    limits: Room,
    /// Records that were refused or evicted for want of room.
    pub displaced: u64,
}

/// Longest name of a record, in bytes.
pub const KEY_MOST: usize = 128;
/// Longest value of a record, in bytes.
pub const VALUE_MOST: usize = 4096;

impl Map {
    /// An empty map.
    pub fn new(limits: Room) -> Map {
        Map {
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            by_hash: BTreeMap::new(),
            buckets: BTreeSet::new(),
            digests: [[0; BUCKETS]; TREES],
            held: BTreeMap::new(),
            limits,
            displaced: 0,
        }
    }

    /// What is held for a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All records of a kind whose names begin with `prefix`, in order.
    pub fn with_prefix<'a>(
        &'a self,
        kind: Kind,
        prefix: &'a [u8],
    ) -> impl Iterator<Item = (&'a Key, &'a Entry)> {
        let from = Key::new(kind, prefix);
        self.entries
            .range(from..)
            .take_while(move |(key, _)| key.kind == kind as u32 && key.name.starts_with(prefix))
    }

    /// All records of a kind, in order.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Key, &Entry)> {
        self.with_prefix(kind, &[])
    }

    /// What is held, by the number of the kind.
    pub fn held(&self) -> &BTreeMap<u32, Held> {
        &self.held
    }

    /// Whether one more record of this kind fits without evicting another.
    pub fn room(&self, kind: Kind) -> bool {
        let held = self.held.get(&(kind as u32)).copied().unwrap_or_default();
        held.entries < self.limits.entries && held.bytes + KEY_MOST + VALUE_MOST < self.limits.bytes
    }

    /// Merges a record: it is held from now on if it is larger than what was held for its key.
    pub fn merge(&mut self, key: Key, entry: Entry, now: Micros) -> Took {
        if entry.until <= now || key.name.len() > KEY_MOST || entry.value.len() > VALUE_MOST {
            return Took::Refused;
        }
        let former = self.entries.get(&key);
        let larger = former.is_none_or(|former| {
            if crate::mutant("last-write-wins") {
                *former != entry
            } else {
                entry > *former
            }
        });
        if !larger {
            return Took::Known;
        }
        let was = former.is_some();
        if !was && !self.make_room(&key, &entry) {
            self.displaced += 1;
            return Took::Refused;
        }
        self.remove(&key);
        self.insert(key, entry);
        Took::New(was)
    }

    /// Evicts records that expire sooner than this one until it fits; false where it would be evicted first itself.
    fn make_room(&mut self, key: &Key, entry: &Entry) -> bool {
        let more = key.name.len() + entry.value.len();
        loop {
            let held = self.held.get(&key.kind).copied().unwrap_or_default();
            if held.entries < self.limits.entries && held.bytes + more <= self.limits.bytes {
                return true;
            }
            // Claims are never evicted: a request for one more is refused instead.
            if Kind::of(key.kind) == Some(Kind::Effect) {
                return false;
            }
            let first = self
                .by_expiry
                .iter()
                .find(|(_, k)| k.kind == key.kind)
                .cloned();
            let Some((until, first)) = first.filter(|(until, _)| *until < entry.until) else {
                return false;
            };
            debug_assert!(until <= entry.until);
            self.remove(&first);
            self.displaced += 1;
        }
    }

    /// Adds a record to the digest and the hashes of its bucket, or takes it out again.
    fn toggle_in_bucket(&mut self, key: &Key, hash: u64) {
        let (tree, bucket) = (Tree::of(key.kind) as usize, bucket_of(key));
        self.digests[tree][bucket] ^= hash;
        if !self.buckets.remove(&(tree, bucket, hash)) {
            self.buckets.insert((tree, bucket, hash));
        }
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        let hash = hash(&key, &entry);
        self.toggle_in_bucket(&key, hash);
        let held = self.held.entry(key.kind).or_default();
        held.entries += 1;
        held.bytes += key.name.len() + entry.value.len();
        self.by_hash.insert(hash, key.clone());
        self.by_expiry.insert((entry.until, key.clone()));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        let hash = hash(key, &entry);
        self.toggle_in_bucket(key, hash);
        self.by_hash.remove(&hash);
        self.by_expiry.remove(&(entry.until, key.clone()));
        if let Some(held) = self.held.get_mut(&key.kind) {
            held.entries -= 1;
            held.bytes -= key.name.len() + entry.value.len();
        }
        Some(entry)
    }

    /// Drops what has expired.
    pub fn sweep(&mut self, now: Micros) {
        while let Some((until, key)) = self.by_expiry.first().cloned() {
            if until > now {
                return;
            }
            self.remove(&key);
        }
    }

    /// When the next record expires.
    pub fn next(&self) -> Option<Micros> {
        self.by_expiry.first().map(|(until, _)| *until)
    }

    // Anti-entropy comparison.

    /// Digest of a whole tree.
    pub fn root(&self, tree: Tree) -> u64 {
        let fold = |h: u64, b: &u64| (h ^ b).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        self.digests[tree as usize].iter().fold(7, fold)
    }

    /// Digest of all trees: the same on all fronts that hold the same.
    pub fn digest(&self) -> u64 {
        Tree::ALL
            .into_iter()
            .fold(0, |h, tree| (h ^ self.root(tree)).rotate_left(21))
    }

    /// Digests of the buckets of a tree.
    pub fn digests(&self, tree: Tree) -> Vec<u32> {
        self.digests[tree as usize]
            .iter()
            .map(|b| (b ^ (b >> 32)) as u32)
            .collect()
    }

    /// Buckets whose digests differ from another map's.
    pub fn differing(&self, tree: Tree, theirs: &[u32]) -> Vec<usize> {
        let mine = self.digests(tree);
        (0..BUCKETS)
            .filter(|bucket| theirs.get(*bucket) != mine.get(*bucket))
            .collect()
    }

    /// Hashes of all records of a tree in one bucket.
    pub fn hashes_in(&self, tree: Tree, bucket: usize) -> impl Iterator<Item = u64> + '_ {
        let (tree, end) = (tree as usize, u64::MAX);
        self.buckets
            .range((tree, bucket, 0)..=(tree, bucket, end))
            .map(|(.., hash)| *hash)
    }

    /// Whether a record with this hash is held.
    pub fn has(&self, hash: u64) -> bool {
        self.by_hash.contains_key(&hash)
    }

    /// The record with this hash.
    pub fn by_hash(&self, hash: u64) -> Option<Record> {
        self.by_hash.get(&hash).and_then(|key| self.record(key))
    }

    /// The record of a key.
    pub fn record(&self, key: &Key) -> Option<Record> {
        self.entries.get(key).map(|entry| record(key, entry))
    }

    /// The records of a tree that follow `after`, in the order of their keys.
    pub fn from<'a>(
        &'a self,
        tree: Tree,
        after: Option<&'a Key>,
    ) -> impl Iterator<Item = Record> + 'a {
        tree.kinds().iter().flat_map(move |(from, to)| {
            let first = Key {
                kind: *from,
                name: Vec::new(),
            };
            let start = match after {
                Some(after) if *after >= first => Bound::Excluded(after.clone()),
                _ => Bound::Included(first),
            };
            let end = Key {
                kind: *to,
                name: Vec::new(),
            };
            let empty = after.is_some_and(|after| *after >= end);
            let range = (!empty).then(|| self.entries.range((start, Bound::Excluded(end))));
            range
                .into_iter()
                .flatten()
                .map(|(key, entry)| record(key, entry))
        })
    }

    /// All records, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }
}

fn bucket_of(key: &Key) -> usize {
    let mut hash = Xxh3::new();
    hash.update(&key.kind.to_le_bytes());
    hash.update(&key.name);
    (hash.digest() % BUCKETS as u64) as usize
}
