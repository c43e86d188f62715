//! The protobuf messages. Field numbers and types are the form on the wire; names are ours.

use crate::event::{Epoch, LogPosition, PurgeCursor, PurgeKey};
use prost::Message;

/// What a datagram holds behind its envelope.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Packet {
    /// Lower half of the hash of the fleet's name.
    #[prost(fixed32, tag = "1")]
    pub(super) fleet: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5")]
    pub(super) body: Option<Body>,
}

/// One message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// From a subscriber to the member that feeds it.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Events, to a subscriber.
    #[prost(message, tag = "3")]
    Batch(Batch),
    /// Purges in force, to a subscriber.
    #[prost(message, tag = "4")]
    SnapshotPart(SnapshotPart),
    /// The answer to a heartbeat that cannot be served now.
    #[prost(message, tag = "5")]
    Busy(Busy),
}

/// A point in a log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct WirePosition {
    /// The run of the publisher.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// Events of that run before this point.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

impl From<LogPosition> for WirePosition {
    fn from(from: LogPosition) -> WirePosition {
        WirePosition {
            epoch: from.epoch.0,
            position: from.position,
        }
    }
}

impl From<WirePosition> for LogPosition {
    fn from(from: WirePosition) -> LogPosition {
        LogPosition {
            epoch: Epoch(from.epoch),
            position: from.position,
        }
    }
}

/// From a subscriber to the member that feeds it: where it is, and a request for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Of the subscriber.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Larger at each start of the same name.
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
    pub position: Option<WirePosition>,
    /// Of a relay: everything up to here has been applied by all to whom it granted a lease.
    #[prost(message, optional, tag = "6")]
    pub acknowledged: Option<WirePosition>,
    /// Something behind `position` was lost on the way and is to be sent again.
    #[prost(bool, tag = "7")]
    pub resend: bool,
    /// The snapshot is to go on behind this place.
    #[prost(message, optional, tag = "8")]
    pub snapshot_cursor: Option<WireCursor>,
    /// A snapshot is being fetched.
    #[prost(bool, tag = "9")]
    pub fetching_snapshot: bool,
    /// Of a relay: a subscriber is in this epoch, which is newer than its own; 0: none is.
    #[prost(uint64, tag = "10")]
    pub newer_epoch: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LeaseGrant {
    /// Of the heartbeat that is answered.
    #[prost(uint32, tag = "1")]
    pub request: u32,
    /// How long the lease holds, counted from when the request was sent; 0: none is granted.
    #[prost(uint32, tag = "2")]
    pub lease_micros: u32,
    /// Members between the publisher and the sender.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
}

/// Events in order, or none where only a grant is sent.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The run of the publisher.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// The number of the first of these events.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// How many events the sender knows.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// Encoded events.
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    /// The answer to the last heartbeat.
    #[prost(message, optional, tag = "5")]
    pub grant: Option<LeaseGrant>,
    /// With the first events of an epoch: a subscriber that has applied this much of the former one may continue here.
    #[prost(message, optional, tag = "6")]
    pub continues_from: Option<WirePosition>,
    /// How long ago these events were published, as far as the sender knows.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

/// A place in the order of purges.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct WireCursor {
    /// Of the purge at this place, in microseconds since the Unix epoch.
    #[prost(sint64, tag = "1")]
    pub timestamp: i64,
    /// Of the purge at this place; what has none is dropped.
    #[prost(oneof = "WireKey", tags = "2, 3")]
    pub key: Option<WireKey>,
}

/// What a purge is about.
#[derive(Clone, Copy, PartialEq, Eq, prost::Oneof)]
pub enum WireKey {
    /// All copies of an object.
    #[prost(fixed64, tag = "2")]
    Object(u64),
    /// All copies of the objects of a group.
    #[prost(uint32, tag = "3")]
    Group(u32),
}

impl WireCursor {
    /// The place, where it has a key.
    pub fn to_cursor(self) -> Option<PurgeCursor> {
        let key = match self.key? {
            WireKey::Object(object) => PurgeKey::Object(object),
            WireKey::Group(group) => PurgeKey::Group(group),
        };
        Some(PurgeCursor {
            timestamp: self.timestamp,
            key,
        })
    }
}

impl From<PurgeCursor> for WireCursor {
    fn from(from: PurgeCursor) -> WireCursor {
        let key = match from.key {
            PurgeKey::Object(object) => WireKey::Object(object),
            PurgeKey::Group(group) => WireKey::Group(group),
        };
        WireCursor {
            timestamp: from.timestamp,
            key: Some(key),
        }
    }
}

/// Some of the purges in force, in the order of their timestamps.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotPart {
    /// The sender's own position as it wrote this.
    #[prost(message, optional, tag = "1")]
    pub position: Option<WirePosition>,
    /// The part goes on behind this place; none: from the start.
    #[prost(message, optional, tag = "2")]
    pub after: Option<WireCursor>,
    /// The next one goes on behind this place; none: that was all.
    #[prost(message, optional, tag = "3")]
    pub next: Option<WireCursor>,
    /// Encoded events.
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    /// Copies from before this timestamp are to be refused.
    #[prost(sint64, optional, tag = "5")]
    pub purge_floor: Option<i64>,
    /// The sender waits for a request before it sends more.
    #[prost(bool, tag = "6")]
    pub is_paused: bool,
    /// Of the heartbeat that is answered.
    #[prost(uint32, tag = "7")]
    pub request: u32,
}

/// Not now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Busy {
    /// Of the heartbeat that is answered.
    #[prost(uint32, tag = "1")]
    pub request: u32,
    /// When to try again.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
    /// No more subscribers are taken here: another relay is to be chosen.
    #[prost(bool, tag = "3")]
    pub full: bool,
}
