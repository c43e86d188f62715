//! The replicated map: records by kind and key, each with a rank. Of two records of one key the larger stands, by rank,
//! then by bytes; so the merge is the same in any order and however often, and a build merges kinds that it does not
//! know as well as those that it does. Digests over buckets tell where two maps differ.

use crate::kinds::{Kind, Tree, TREES};
use crate::wire::Record;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use xxhash_rust::xxh3::Xxh3;

/// Buckets of one tree.
pub const BUCKETS: usize = 256;

/// What a record is found by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: u32,
    pub name: Vec<u8>,
}

impl Key {
    pub fn new(kind: Kind, name: impl Into<Vec<u8>>) -> Key {
        Key { kind: kind as u32, name: name.into() }
    }

    fn bucket(&self) -> usize {
        let mut hash = Xxh3::new();
        hash.update(&self.kind.to_le_bytes());
        hash.update(&self.name);
        (hash.digest() % BUCKETS as u64) as usize
    }
}

/// What is held of a key. Compared in this order: the rank that its kind gives it, then what it says, then how long.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub rank: (u64, u64),
    pub value: Vec<u8>,
    /// From here on it is as if it had never been, in Unix time.
    pub until: Micros,
}

/// What became of a record that was to be taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    /// It stands now; true where another stood before.
    New(bool),
    /// The same or a larger one is held.
    Known,
    /// It is over, too large, or there is no room for it.
    Refused,
}

/// Bounds of one kind: entries, and bytes of keys and values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    pub entries: usize,
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    pub entries: usize,
    pub bytes: usize,
}

#[derive(Clone, Debug)]
pub struct Map {
    entries: BTreeMap<Key, Entry>,
    /// By when they are over: what goes first, also where there is no room. The same at all that hold the same.
    over: BTreeSet<(Micros, Key)>,
    hashes: BTreeMap<u64, Key>,
    /// By tree and bucket.
    buckets: BTreeSet<(usize, usize, u64)>,
    digests: [[u64; BUCKETS]; TREES],
    held: BTreeMap<u32, Held>,
    bound: Room,
    /// Records for which there was no room, or that made room.
    pub displaced: u64,
}

/// A key and a value are no longer than this.
pub const KEY_MOST: usize = 128;
pub const VALUE_MOST: usize = 4096;

impl Map {
    /// `bound` holds for each kind by itself.
    pub fn new(bound: Room) -> Map {
        Map {
            entries: BTreeMap::new(),
            over: BTreeSet::new(),
            hashes: BTreeMap::new(),
            buckets: BTreeSet::new(),
            digests: [[0; BUCKETS]; TREES],
            held: BTreeMap::new(),
            bound,
            displaced: 0,
        }
    }

    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All of a kind whose names begin so, in order.
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

    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Key, &Entry)> {
        self.with_prefix(kind, &[])
    }

    pub fn held(&self) -> &BTreeMap<u32, Held> {
        &self.held
    }

    /// Whether one more of this kind finds room without another having to go.
    pub fn room(&self, kind: Kind) -> bool {
        let held = self.held.get(&(kind as u32)).copied().unwrap_or_default();
        held.entries < self.bound.entries && held.bytes + KEY_MOST + VALUE_MOST < self.bound.bytes
    }

    /// Takes a record in, if it stands over what is held.
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

    /// Of too many those go that are over first; a record that would be the first to go is not taken in.
    fn make_room(&mut self, key: &Key, entry: &Entry) -> bool {
        let more = key.name.len() + entry.value.len();
        loop {
            let held = self.held.get(&key.kind).copied().unwrap_or_default();
            if held.entries < self.bound.entries && held.bytes + more <= self.bound.bytes {
                return true;
            }
            // An effect makes room for none: whoever asks to claim one more is told that there is none.
            if Kind::of(key.kind) == Some(Kind::Effect) {
                return false;
            }
            let first = self.over.iter().find(|(_, k)| k.kind == key.kind).cloned();
            let Some((until, first)) = first.filter(|(until, _)| *until < entry.until) else { return false };
            debug_assert!(until <= entry.until);
            self.remove(&first);
            self.displaced += 1;
        }
    }

    /// Puts a record into the digests and the list of its bucket, or takes it out again.
    fn turn(&mut self, key: &Key, hash: u64) {
        let (tree, bucket) = (Tree::of(key.kind) as usize, key.bucket());
        self.digests[tree][bucket] ^= hash;
        if !self.buckets.remove(&(tree, bucket, hash)) {
            self.buckets.insert((tree, bucket, hash));
        }
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        let hash = hash(&key, &entry);
        self.turn(&key, hash);
        let held = self.held.entry(key.kind).or_default();
        held.entries += 1;
        held.bytes += key.name.len() + entry.value.len();
        self.hashes.insert(hash, key.clone());
        self.over.insert((entry.until, key.clone()));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        let hash = hash(key, &entry);
        self.turn(key, hash);
        self.hashes.remove(&hash);
        self.over.remove(&(entry.until, key.clone()));
        if let Some(held) = self.held.get_mut(&key.kind) {
            held.entries -= 1;
            held.bytes -= key.name.len() + entry.value.len();
        }
        Some(entry)
    }

    /// Drops what is over.
    pub fn sweep(&mut self, now: Micros) {
        while let Some((until, key)) = self.over.first().cloned() {
            if until > now {
                return;
            }
            self.remove(&key);
        }
    }

    /// When something is over next.
    pub fn next(&self) -> Option<Micros> {
        self.over.first().map(|(until, _)| *until)
    }

    // Comparing.

    pub fn root(&self, tree: Tree) -> u64 {
        let fold = |h: u64, b: &u64| (h ^ b).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        self.digests[tree as usize].iter().fold(7, fold)
    }

    /// Over all trees: the same at all that hold the same.
    pub fn digest(&self) -> u64 {
        Tree::ALL.into_iter().fold(0, |h, tree| (h ^ self.root(tree)).rotate_left(21))
    }

    pub fn digests(&self, tree: Tree) -> Vec<u32> {
        self.digests[tree as usize].iter().map(|b| (b ^ (b >> 32)) as u32).collect()
    }

    /// Buckets in which this map and another with these digests differ.
    pub fn differing(&self, tree: Tree, theirs: &[u32]) -> Vec<usize> {
        let mine = self.digests(tree);
        (0..BUCKETS).filter(|at| theirs.get(*at) != mine.get(*at)).collect()
    }

    /// Hashes of all records of a tree in one bucket.
    pub fn hashes_in(&self, tree: Tree, bucket: usize) -> impl Iterator<Item = u64> + '_ {
        let (tree, end) = (tree as usize, u64::MAX);
        self.buckets.range((tree, bucket, 0)..=(tree, bucket, end)).map(|(.., hash)| *hash)
    }

    pub fn has(&self, hash: u64) -> bool {
        self.hashes.contains_key(&hash)
    }

    pub fn by_hash(&self, hash: u64) -> Option<Record> {
        self.hashes.get(&hash).and_then(|key| self.record(key))
    }

    pub fn record(&self, key: &Key) -> Option<Record> {
        self.entries.get(key).map(|entry| record(key, entry))
    }

    /// Records of a tree in the order of their keys, from behind `after` on.
    pub fn from<'a>(&'a self, tree: Tree, after: Option<&'a Key>) -> impl Iterator<Item = Record> + 'a {
        tree.kinds().iter().flat_map(move |(from, to)| {
            let first = Key { kind: *from, name: Vec::new() };
            let start = match after {
                Some(after) if *after >= first => Bound::Excluded(after.clone()),
                _ => Bound::Included(first),
            };
            let end = Key { kind: *to, name: Vec::new() };
            let empty = after.is_some_and(|after| *after >= end);
            let range = (!empty).then(|| self.entries.range((start, Bound::Excluded(end))));
            range.into_iter().flatten().map(|(key, entry)| record(key, entry))
        })
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }
}

pub fn record(key: &Key, entry: &Entry) -> Record {
    Record {
        kind: key.kind,
        name: key.name.clone(),
        high: entry.rank.0,
        low: entry.rank.1,
        value: entry.value.clone(),
        until: entry.until as u64,
    }
}

pub fn hash(key: &Key, entry: &Entry) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&key.kind.to_le_bytes());
    hash.update(&(key.name.len() as u32).to_le_bytes());
    hash.update(&key.name);
    for part in [entry.rank.0, entry.rank.1, entry.until as u64] {
        hash.update(&part.to_le_bytes());
    }
    hash.update(&entry.value);
    hash.digest()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SEC;

    fn entry(rank: u64, until: Micros) -> Entry {
        Entry { rank: (rank, 0), value: vec![rank as u8; 4], until }
    }

    #[test]
    fn of_too_many_those_go_that_are_over_first() {
        let mut map = Map::new(Room { entries: 3, bytes: 1000 });
        for n in 0..5u8 {
            map.merge(Key::new(Kind::Learned, [n]), entry(1, SEC + i64::from(n)), 0);
        }
        let left: Vec<u8> = map.of_kind(Kind::Learned).map(|(key, _)| key.name[0]).collect();
        assert_eq!(left, [2, 3, 4]);
        assert_eq!(map.merge(Key::new(Kind::Learned, [0]), entry(1, SEC), 0), Took::Refused);
        // Kinds have rooms of their own, and an effect pushes out none.
        for n in 0..4u8 {
            map.merge(Key::new(Kind::Effect, [n]), entry(1, SEC + i64::from(n)), 0);
        }
        assert_eq!(map.of_kind(Kind::Effect).count(), 3);
        map.sweep(10 * SEC);
        assert!(map.is_empty());
        assert_eq!(map.digest(), Map::new(Room { entries: 1, bytes: 1 }).digest());
    }
}
