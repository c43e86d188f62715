//! Encoding of events: a varint with the kind and the timestamp's difference in milliseconds from the previous event,
//! followed by the 8 bytes of an object or the varint of a group. The purge of an object takes 9 or 10 bytes.

use crate::counters::RejectReason;
use crate::event::{Event, Purge, PurgeKey};
use crate::time::MILLISECOND;
use crate::timestamp;
use prost::encoding::{decode_varint, encode_varint};

/// Maximum size of the events in one datagram, in bytes. It leaves room for the rest of the message.
pub const MAX_EVENT_BYTES: usize = 1000;
/// Number of low bits of an event's first varint that contain its kind.
const KIND_BITS: u32 = 2;
const KIND_OBJECT: u64 = 0;
const KIND_GROUP: u64 = 1;

/// Encodes events one after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventEncoder {
    bytes: Vec<u8>,
    count: u64,
    last_milliseconds: i64,
}

impl EventEncoder {
    /// Number of encoded events.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether no event has been encoded.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Appends an event. Returns false and appends nothing if the datagram has no more room.
    #[must_use]
    pub fn push(&mut self, event: &Event) -> bool {
        let Event::Purge(purge) = *event;
        let milliseconds = timestamp::to_milliseconds(timestamp::round_to_wire(purge.timestamp));
        let difference = zigzag(milliseconds - self.last_milliseconds);
        let length = self.bytes.len();
        self.encode(difference, purge.key);
        if self.bytes.len() > MAX_EVENT_BYTES {
            self.bytes.truncate(length);
            return false;
        }
        self.last_milliseconds = milliseconds;
        self.count += 1;
        true
    }

    fn encode(&mut self, difference: u64, key: PurgeKey) {
        match key {
            PurgeKey::Object(object) => {
                encode_varint(difference << KIND_BITS | KIND_OBJECT, &mut self.bytes);
                self.bytes.extend(object.to_le_bytes());
            }
            PurgeKey::Group(group) => {
                encode_varint(difference << KIND_BITS | KIND_GROUP, &mut self.bytes);
                encode_varint(u64::from(group), &mut self.bytes);
            }
        }
    }

    /// The encoded events.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Decodes events that [`EventEncoder`] encoded.
///
/// # Errors
///
/// Returns [`RejectReason::OutOfBounds`] for an unknown kind, a truncated event or a number out of bounds.
pub fn decode_events(bytes: &[u8]) -> Result<Vec<Event>, RejectReason> {
    let mut rest = bytes;
    let mut events = Vec::new();
    let mut milliseconds = 0i64;
    while !rest.is_empty() {
        let header = varint(&mut rest)?;
        milliseconds = milliseconds
            .checked_add(unzigzag(header >> KIND_BITS))
            .filter(|milliseconds| timestamp::is_valid(*milliseconds))
            .ok_or(RejectReason::OutOfBounds)?;
        let key = decode_key(header & ((1 << KIND_BITS) - 1), &mut rest)?;
        events.push(Event::Purge(Purge {
            key,
            timestamp: milliseconds * MILLISECOND,
        }));
    }
    Ok(events)
}

fn decode_key(kind: u64, rest: &mut &[u8]) -> Result<PurgeKey, RejectReason> {
    match kind {
        KIND_OBJECT => {
            let (object, remaining) = rest
                .split_first_chunk::<8>()
                .ok_or(RejectReason::OutOfBounds)?;
            *rest = remaining;
            Ok(PurgeKey::Object(u64::from_le_bytes(*object)))
        }
        KIND_GROUP => {
            let group = varint(rest)?;
            let group = u32::try_from(group).map_err(|_| RejectReason::OutOfBounds)?;
            Ok(PurgeKey::Group(group))
        }
        _ => Err(RejectReason::OutOfBounds),
    }
}

fn varint(rest: &mut &[u8]) -> Result<u64, RejectReason> {
    decode_varint(rest).map_err(|_| RejectReason::OutOfBounds)
}

fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}
