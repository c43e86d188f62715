//! Purges. Rank: the stamp, so that the latest purge of an object or a group wins. A purge is never undone.

use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::wire_time;
use crate::Micros;

/// First byte of the name of an object's purge; the object follows.
const OBJECT: u8 = b'o';
/// First byte of the name of a group's purge; the group follows.
const GROUP: u8 = b'g';

/// The record of a purge of one object, or of a whole group where there is none; `stamp` is Unix time in microseconds.
pub fn purge_record(
    object: Option<u64>,
    group: u32,
    stamp: Micros,
    retention: Micros,
) -> (Key, Entry) {
    let name = match object {
        Some(object) => [&[OBJECT][..], &object.to_be_bytes()].concat(),
        None => [&[GROUP][..], &group.to_be_bytes()].concat(),
    };
    let entry = Entry {
        rank: (stamp.max(0) as u64, 0),
        value: Vec::new(),
        expires_at: stamp + retention,
    };
    (Key::new(RecordType::Purge, name), entry)
}

/// Decodes a purge: the object or the group, and the stamp.
pub fn decode_purge(key: &Key, entry: &Entry) -> Option<(Option<u64>, u32, Micros)> {
    let (scope, name) = key.name.split_first()?;
    let stamp = wire_time::from_wire(entry.rank.0);
    match *scope {
        OBJECT => Some((Some(u64::from_be_bytes(name.try_into().ok()?)), 0, stamp)),
        GROUP => Some((None, u32::from_be_bytes(name.try_into().ok()?), stamp)),
        _ => None,
    }
}
