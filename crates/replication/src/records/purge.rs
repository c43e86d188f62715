//! Purges. The rank is the timestamp, so that the latest purge of an object or a group wins. A purge is never undone.

use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::wire_time;
use crate::Micros;

/// First byte of the name of an object's purge, followed by the object.
const OBJECT: u8 = b'o';
/// First byte of the name of a group's purge, followed by the group.
const GROUP: u8 = b'g';

/// The record of a purge of one object, or of a complete group if `object` is none. `timestamp` is Unix time in
/// microseconds.
pub fn purge_record(
    object: Option<u64>,
    group: u32,
    timestamp: Micros,
    retention: Micros,
) -> (Key, Entry) {
    let name = match object {
        Some(object) => [&[OBJECT][..], &object.to_be_bytes()].concat(),
        None => [&[GROUP][..], &group.to_be_bytes()].concat(),
    };
    let entry = Entry {
        rank: (timestamp.max(0) as u64, 0),
        value: Vec::new(),
        expires_at: timestamp + retention,
    };
    (Key::new(RecordType::Purge, name), entry)
}

/// Decodes a purge. Returns the object (none for a group), the group, and the timestamp.
pub fn decode_purge(key: &Key, entry: &Entry) -> Option<(Option<u64>, u32, Micros)> {
    let (scope, name) = key.name.split_first()?;
    let timestamp = wire_time::from_wire(entry.rank.0);
    match *scope {
        OBJECT => Some((
            Some(u64::from_be_bytes(name.try_into().ok()?)),
            0,
            timestamp,
        )),
        GROUP => Some((None, u32::from_be_bytes(name.try_into().ok()?), timestamp)),
        _ => None,
    }
}
