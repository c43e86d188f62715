//! A replicated record: its key, the entry stored for the key, and their conversion to and from the wire format.
//!
//! Invariant: entries of one key are totally ordered, and a merge keeps the larger one. So merging is commutative,
//! associative and idempotent.

use crate::record_type::RecordType;
use crate::wire::Record;
use crate::wire_time;
use crate::Micros;
use xxhash_rust::xxh3::Xxh3;

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The record type's number on the wire.
    pub record_type: u32,
    /// The name within the record type, encoded by `records`.
    pub name: Vec<u8>,
}

impl Key {
    /// Creates a key of a known record type.
    pub fn new(record_type: RecordType, name: impl Into<Vec<u8>>) -> Key {
        Key {
            record_type: record_type as u32,
            name: name.into(),
        }
    }

    /// Returns the key of a record from the wire.
    pub fn from_wire(record: &Record) -> Key {
        Key {
            record_type: record.record_type,
            name: record.name.clone(),
        }
    }
}

/// The entry stored for a key. Entries are compared field by field in this order, and the larger wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// The version, defined by the record type. It is compared first, part by part.
    pub rank: (u64, u64),
    /// The value, encoded by `records`.
    pub value: Vec<u8>,
    /// Unix time from which the record is treated as if it had never existed.
    pub expires_at: Micros,
}

impl Entry {
    /// Returns the entry of a record from the wire.
    pub fn from_wire(record: &Record) -> Entry {
        Entry {
            rank: (record.rank_high, record.rank_low),
            value: record.value.clone(),
            expires_at: wire_time::from_wire(record.expires_at),
        }
    }
}

/// Converts a key and its entry to a record for the wire.
pub fn to_wire(key: &Key, entry: &Entry) -> Record {
    Record {
        record_type: key.record_type,
        name: key.name.clone(),
        rank_high: entry.rank.0,
        rank_low: entry.rank.1,
        value: entry.value.clone(),
        expires_at: entry.expires_at as u64,
    }
}

/// Hash over all parts of a record; the same on every replica that stores the same record.
pub fn record_hash(key: &Key, entry: &Entry) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&key.record_type.to_le_bytes());
    hash.update(&(key.name.len() as u32).to_le_bytes());
    hash.update(&key.name);
    for part in [entry.rank.0, entry.rank.1, entry.expires_at as u64] {
        hash.update(&part.to_le_bytes());
    }
    hash.update(&entry.value);
    hash.digest()
}
