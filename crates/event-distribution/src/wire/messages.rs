//! The protobuf messages. Field numbers and types define the wire format; the names are not sent.

use crate::event::{Epoch, LogPosition, PurgeCursor, PurgeKey};
use prost::Message;

/// Content of a datagram after its envelope.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Packet {
    /// Lower half of the hash of the fleet's name.
    #[prost(fixed32, tag = "1")]
    pub(super) fleet: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5")]
    pub(super) body: Option<Body>,
}

/// The message of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// From a subscriber to the member that serves it.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Events for a subscriber.
    #[prost(message, tag = "3")]
    Batch(Batch),
    /// Purges in force for a subscriber.
    #[prost(message, tag = "4")]
    SnapshotPart(SnapshotPart),
    /// The answer to a heartbeat that cannot be served now.
    #[prost(message, tag = "5")]
    Busy(Busy),
}

/// A position in the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct WirePosition {
    /// The run of the publisher.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// Number of events of that run before this position.
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

/// Reports the position of a subscriber to the member that serves it, and requests a lease.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Name of the subscriber.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this start of the subscriber, larger than those of earlier starts under the same name.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Address to which answers are sent.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Number of the request, which grows with each heartbeat. The answer repeats it.
    #[prost(uint32, tag = "4")]
    pub request: u32,
    /// Everything up to here has been applied. `None` at a start.
    #[prost(message, optional, tag = "5")]
    pub position: Option<WirePosition>,
    /// Relay only: everything up to here has been applied by all holders of its leases.
    #[prost(message, optional, tag = "6")]
    pub acknowledged: Option<WirePosition>,
    /// Events after `position` were lost in the network and have to be sent again.
    #[prost(bool, tag = "7")]
    pub resend: bool,
    /// The snapshot has to continue after this position.
    #[prost(message, optional, tag = "8")]
    pub snapshot_cursor: Option<WireCursor>,
    /// A snapshot is being fetched.
    #[prost(bool, tag = "9")]
    pub fetching_snapshot: bool,
    /// Relay only: a subscriber is in this epoch, which is newer than the relay's own. 0 if there is none.
    #[prost(uint64, tag = "10")]
    pub newer_epoch: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LeaseGrant {
    /// Number of the heartbeat that is answered.
    #[prost(uint32, tag = "1")]
    pub request: u32,
    /// Duration of the lease in microseconds, counted from when the request was sent. 0 if no lease is granted.
    #[prost(uint32, tag = "2")]
    pub lease_micros: u32,
    /// Distance of the sender from the publisher, in hops.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
}

/// Events in order. A batch without events carries a grant, or shows where an epoch starts.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The run of the publisher.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// Number of the first event.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// The number of events of the epoch that the sender announces.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// Encoded events.
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    /// The answer to the last heartbeat.
    #[prost(message, optional, tag = "5")]
    pub grant: Option<LeaseGrant>,
    /// Sent with the first events of an epoch: a subscriber that has applied the previous epoch up to this position may
    /// continue here.
    #[prost(message, optional, tag = "6")]
    pub continues_from: Option<WirePosition>,
    /// Time since these events were published, as estimated by the sender.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

/// A position in the order of purges.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct WireCursor {
    /// Timestamp of the purge at this position, in microseconds since the Unix epoch.
    #[prost(sint64, tag = "1")]
    pub timestamp: i64,
    /// Key of the purge at this position. Messages with a cursor that has no key are dropped.
    #[prost(oneof = "WireKey", tags = "2, 3")]
    pub key: Option<WireKey>,
}

/// The copies that a purge invalidates.
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
    /// The position, if it has a key.
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

/// A part of the purges in force, ordered by their timestamps.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotPart {
    /// Position of the sender when it wrote this part.
    #[prost(message, optional, tag = "1")]
    pub position: Option<WirePosition>,
    /// The part begins after this position; `None` for the first part.
    #[prost(message, optional, tag = "2")]
    pub after: Option<WireCursor>,
    /// The next part begins after this position; `None` for the last part.
    #[prost(message, optional, tag = "3")]
    pub next: Option<WireCursor>,
    /// Encoded events.
    #[prost(bytes = "vec", tag = "4")]
    pub events: Vec<u8>,
    /// Copies from before this timestamp have to be refused.
    #[prost(sint64, optional, tag = "5")]
    pub purge_floor: Option<i64>,
    /// The sender waits for a request before it sends more.
    #[prost(bool, tag = "6")]
    pub is_paused: bool,
    /// Number of the heartbeat that is answered.
    #[prost(uint32, tag = "7")]
    pub request: u32,
}

/// The answer to a heartbeat that cannot be served now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Busy {
    /// Number of the heartbeat that is answered.
    #[prost(uint32, tag = "1")]
    pub request: u32,
    /// Time after which the subscriber may retry.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
    /// The maximum number of subscribers is reached, so the subscriber has to choose another relay.
    #[prost(bool, tag = "3")]
    pub full: bool,
}
