//! Messages between publisher, relays and subscribers: datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes, `ev`, a version, a
//! checksum and a protobuf message (the envelope of `meadowrill_membership`). Older builds drop what begins with `ev`.
//!
//! Events are packed: a number that holds the difference of timestamps in milliseconds and the kind, then 8 bytes of an object
//! or the number of a group. That makes 9 or 10 bytes for the purge of an object.

use crate::counters::RejectReason;
use crate::event::{Epoch, Event, LogPosition, Position, Purge, PurgeKey};
use crate::purges::Cursor;
use crate::settings::{MAX_TEXT_BYTES, MILLISECOND};
use crate::Micros;
use meadowrill_membership::envelope;
use prost::encoding::{decode_varint, encode_varint};
use prost::Message;

pub const MARK: [u8; 2] = *b"ev";
/// Never written: events go in datagrams only.
const PACKED_MARK: [u8; 2] = *b"ez";
pub const VERSION: u8 = 1;
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Packed events of one datagram, so that head and grant fit beside them.
pub const EVENTS_MOST: usize = 1000;
/// Stamps are within so many milliseconds of the Unix epoch: the year 6429.
const STAMP_MOST: i64 = 1 << 47;
/// Positions are no larger than this.
pub const POSITION_MOST: Position = 1 << 56;
const KIND_BITS: u32 = 2;
const OBJECT: u64 = 0;
const GROUP: u64 = 1;

#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Lower half of the hash of the fleet's name.
    #[prost(fixed32, tag = "1")]
    pub fleet: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    Batch(Batch),
    #[prost(message, tag = "4")]
    SnapshotPart(SnapshotPart),
    #[prost(message, tag = "5")]
    Busy(Busy),
}

/// A point in a log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Place {
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

impl From<LogPosition> for Place {
    fn from(at: LogPosition) -> Place {
        Place {
            epoch: at.epoch.0,
            position: at.position,
        }
    }
}

impl From<Place> for LogPosition {
    fn from(place: Place) -> LogPosition {
        LogPosition {
            epoch: Epoch(place.epoch),
            position: place.position,
        }
    }
}

/// From a subscriber to whom it follows: where it is, and a request for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Where answers go.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Grows with each heartbeat; the answer names it.
    #[prost(uint32, tag = "4")]
    pub request: u32,
    /// Everything up to here has been applied; none at a start.
    #[prost(message, optional, tag = "5")]
    pub at: Option<Place>,
    /// Of a relay: everything up to here has been applied by all to whom it granted a lease.
    #[prost(message, optional, tag = "6")]
    pub acknowledged: Option<Place>,
    /// Something behind `at` was lost on the way and is to be sent again.
    #[prost(bool, tag = "7")]
    pub gap: bool,
    /// The snapshot is to go on behind this place.
    #[prost(message, optional, tag = "8")]
    pub cursor: Option<SnapshotPlace>,
    /// A snapshot is being fetched.
    #[prost(bool, tag = "9")]
    pub snapshot: bool,
    /// Of a relay: a subscriber is in this epoch, which is later than its own; 0: none is.
    #[prost(uint64, tag = "10")]
    pub later_epoch: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Grant {
    #[prost(uint32, tag = "1")]
    pub request: u32,
    /// How long the lease holds, counted from when the request was sent; 0: none is granted.
    #[prost(uint32, tag = "2")]
    pub lease_us: u32,
    /// Members between the publisher and the sender.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
}

/// Events in order, or none where only a grant is to be told.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// The number of the first of these events.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// How many events the sender knows.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    #[prost(message, optional, tag = "5")]
    pub grant: Option<Grant>,
    /// With the first events of an epoch: whoever has applied this much of the former one may go on here.
    #[prost(message, optional, tag = "6")]
    pub follows: Option<Place>,
    /// How long ago these events were published, as far as the sender knows.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

/// A place in the order of purges.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SnapshotPlace {
    #[prost(sint64, tag = "1")]
    pub timestamp: i64,
    #[prost(oneof = "PlaceKey", tags = "2, 3")]
    pub key: Option<PlaceKey>,
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Oneof)]
pub enum PlaceKey {
    #[prost(fixed64, tag = "2")]
    Object(u64),
    #[prost(uint32, tag = "3")]
    Group(u32),
}

impl SnapshotPlace {
    pub fn of((timestamp, key): Cursor) -> SnapshotPlace {
        let key = match key {
            PurgeKey::Object(object) => PlaceKey::Object(object),
            PurgeKey::Group(group) => PlaceKey::Group(group),
        };
        SnapshotPlace {
            timestamp,
            key: Some(key),
        }
    }

    pub fn cursor(self) -> Option<Cursor> {
        let key = match self.key? {
            PlaceKey::Object(object) => PurgeKey::Object(object),
            PlaceKey::Group(group) => PurgeKey::Group(group),
        };
        Some((self.timestamp, key))
    }
}

/// Some of the purges that still bind, in the order of their timestamps.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotPart {
    /// The sender's own position as it wrote this.
    #[prost(message, optional, tag = "1")]
    pub at: Option<Place>,
    /// The part goes on behind this place; none: from the start.
    #[prost(message, optional, tag = "2")]
    pub after: Option<SnapshotPlace>,
    /// The next one goes on behind this place; none: that was all.
    #[prost(message, optional, tag = "3")]
    pub next: Option<SnapshotPlace>,
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    /// Copies from before this timestamp are to be refused.
    #[prost(sint64, optional, tag = "5")]
    pub floor: Option<i64>,
    /// The sender waits for a request before it sends more.
    #[prost(bool, tag = "6")]
    pub paused: bool,
    #[prost(uint32, tag = "7")]
    pub request: u32,
}

/// Not now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Busy {
    #[prost(uint32, tag = "1")]
    pub request: u32,
    #[prost(uint32, tag = "2")]
    pub retry_ms: u32,
    /// No more subscribers are taken here: another relay is to be asked.
    #[prost(bool, tag = "3")]
    pub full: bool,
}

pub fn encode(fleet: u64, body: Body) -> Vec<u8> {
    let mut bytes = Vec::new();
    envelope::write(
        MARK,
        VERSION,
        &Packet {
            fleet: fleet as u32,
            body: Some(body),
        },
        &mut bytes,
    );
    bytes
}

pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Body, RejectReason> {
    let packet: Packet =
        envelope::read(MARK, PACKED_MARK, VERSION, bytes).map_err(|_| RejectReason::Envelope)?;
    if packet.fleet != fleet as u32 {
        return Err(RejectReason::OtherFleet);
    }
    let body = packet.body.ok_or(RejectReason::OutOfBounds)?;
    if !body.is_within_bounds() {
        return Err(RejectReason::OutOfBounds);
    }
    Ok(body)
}

impl Body {
    fn is_within_bounds(&self) -> bool {
        match self {
            Body::Heartbeat(heartbeat) => heartbeat.is_within_bounds(),
            Body::Batch(batch) => batch.is_within_bounds(),
            Body::SnapshotPart(part) => part.is_within_bounds(),
            Body::Busy(_) => true,
        }
    }
}

impl Place {
    fn is_within_bounds(&self) -> bool {
        self.epoch <= Epoch::MAX.0 && self.position <= POSITION_MOST
    }
}

impl Heartbeat {
    fn is_within_bounds(&self) -> bool {
        let text = !self.name.is_empty()
            && self.name.len() <= MAX_TEXT_BYTES
            && self.address.len() <= MAX_TEXT_BYTES;
        // All that a relay feeds are no farther than the relay.
        let acknowledged =
            self.acknowledged.map(LogPosition::from) <= self.at.map(LogPosition::from);
        let cursor = self.cursor.is_none_or(|cursor| cursor.cursor().is_some());
        let epoch = self.later_epoch <= Epoch::MAX.0;
        text && acknowledged && cursor && epoch && self.at.is_none_or(|at| at.is_within_bounds())
    }
}

impl Batch {
    fn is_within_bounds(&self) -> bool {
        let first = Place {
            epoch: self.epoch,
            position: self.first,
        };
        let head = Place {
            position: self.head,
            ..first
        };
        [Some(first), Some(head), self.follows]
            .into_iter()
            .flatten()
            .all(|place| place.is_within_bounds())
    }
}

impl SnapshotPart {
    fn is_within_bounds(&self) -> bool {
        let floor = self
            .floor
            .is_none_or(|floor| is_stamp(to_milliseconds(floor)));
        let after = self.after.map(SnapshotPlace::cursor);
        let next = self.next.map(SnapshotPlace::cursor);
        let whole = after != Some(None) && next != Some(None);
        let forward = next.is_none() || next > after;
        floor && whole && forward && self.at.is_none_or(|at| at.is_within_bounds())
    }
}

/// Packs events one behind the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Packer {
    bytes: Vec<u8>,
    count: u64,
    last_stamp_ms: i64,
}

impl Packer {
    pub fn count(&self) -> u64 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// False, and nothing is added, where there is no more room in a datagram.
    #[must_use]
    pub fn push(&mut self, event: &Event) -> bool {
        let Event::Purge(Purge { key, timestamp }) = *event;
        let stamp_ms = to_milliseconds(as_sent(timestamp));
        let difference = zigzag(stamp_ms - self.last_stamp_ms);
        let length = self.bytes.len();
        match key {
            PurgeKey::Object(object) => {
                encode_varint(difference << KIND_BITS | OBJECT, &mut self.bytes);
                self.bytes.extend(object.to_le_bytes());
            }
            PurgeKey::Group(group) => {
                encode_varint(difference << KIND_BITS | GROUP, &mut self.bytes);
                encode_varint(u64::from(group), &mut self.bytes);
            }
        }
        if self.bytes.len() > EVENTS_MOST {
            self.bytes.truncate(length);
            return false;
        }
        self.last_stamp_ms = stamp_ms;
        self.count += 1;
        true
    }

    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// The events of a packed batch.
pub fn unpack(bytes: &[u8]) -> Result<Vec<Event>, RejectReason> {
    let mut rest = bytes;
    let mut events = Vec::new();
    let mut stamp_ms = 0i64;
    while !rest.is_empty() {
        let word = decode_varint(&mut rest).map_err(|_| RejectReason::OutOfBounds)?;
        stamp_ms = stamp_ms
            .checked_add(unzigzag(word >> KIND_BITS))
            .ok_or(RejectReason::OutOfBounds)?;
        if !is_stamp(stamp_ms) {
            return Err(RejectReason::OutOfBounds);
        }
        let key = match word & ((1 << KIND_BITS) - 1) {
            OBJECT => {
                let (object, behind) = rest
                    .split_first_chunk::<8>()
                    .ok_or(RejectReason::OutOfBounds)?;
                rest = behind;
                PurgeKey::Object(u64::from_le_bytes(*object))
            }
            GROUP => {
                let group = decode_varint(&mut rest).map_err(|_| RejectReason::OutOfBounds)?;
                PurgeKey::Group(u32::try_from(group).map_err(|_| RejectReason::OutOfBounds)?)
            }
            _ => return Err(RejectReason::OutOfBounds),
        };
        events.push(Event::Purge(Purge {
            key,
            timestamp: stamp_ms * MILLISECOND,
        }));
    }
    Ok(events)
}

fn is_stamp(milliseconds: i64) -> bool {
    (-STAMP_MOST..=STAMP_MOST).contains(&milliseconds)
}

/// The timestamp as it travels, and as every member keeps it: the order of a snapshot is the same at all of them.
pub(crate) fn as_sent(timestamp: Micros) -> Micros {
    to_milliseconds(timestamp).clamp(-STAMP_MOST, STAMP_MOST) * MILLISECOND
}

/// Upwards: a later timestamp refuses more copies, never fewer.
fn to_milliseconds(timestamp: Micros) -> i64 {
    timestamp.div_euclid(MILLISECOND) + i64::from(timestamp.rem_euclid(MILLISECOND) != 0)
}

fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}
