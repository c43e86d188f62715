//! The plain types of a replicated record: the key it is found by, the entry that is held for the key, and their form
//! on the wire.

use crate::kind::Kind;
use crate::wire::Record;
use crate::Micros;
use xxhash_rust::xxh3::Xxh3;

/// What a record is found by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The kind's number on the wire.
    pub kind: u32,
    /// The name within its kind, encoded by `kinds`.
    pub name: Vec<u8>,
}

impl Key {
    /// The key of a known kind.
    pub fn new(kind: Kind, name: impl Into<Vec<u8>>) -> Key {
        Key {
            kind: kind as u32,
            name: name.into(),
        }
    }

    /// The key of a record from the wire.
    pub fn of(record: &Record) -> Key {
        Key {
            kind: record.kind,
            name: record.name.clone(),
        }
    }
}

/// What is held for a key. Of two entries the larger stands, compared in the order of these fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// The rank that the record's kind gives it.
    pub rank: (u64, u64),
    /// The value, encoded by `kinds`.
    pub value: Vec<u8>,
    /// The expiry time, in Unix time: from then on the record is treated as if it had never been.
    pub until: Micros,
}

/// The entry of a record from the wire.
pub fn entry(record: &Record) -> Entry {
    let until = Micros::try_from(record.until).unwrap_or(Micros::MAX);
    Entry {
        rank: (record.high, record.low),
        value: record.value.clone(),
        until,
    }
}

/// A key and its entry as a record for the wire.
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

/// Hash of a whole record; the same on every front that holds the same record.
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
