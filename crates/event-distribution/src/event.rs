//! Events and their positions in the log.
//!
//! [`LogPosition`] is ordered like the log: a later epoch follows all positions of an earlier one.

use crate::time::Micros;

/// A number of events of an epoch: position n covers the events 0 to n - 1.
pub type Position = u64;

/// One run of the publisher. A publisher that restarts counts from 0 in a larger epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The largest epoch that is accepted from the wire; as microseconds since the Unix epoch, it is in the year 4253.
    /// Larger numbers remain available to count on from any accepted epoch.
    pub const MAX: Epoch = Epoch(1 << 56);
}

/// A position in the log of one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The run of the publisher.
    pub epoch: Epoch,
    /// Number of events of that run before this position.
    pub position: Position,
}

/// The copies that a purge invalidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PurgeKey {
    /// All copies of an object.
    Object(u64),
    /// All copies of the objects of a group.
    Group(u32),
}

/// A purge: no copy from before `timestamp` may be served any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Purge {
    /// The copies that are invalidated.
    pub key: PurgeKey,
    /// Time set by the service that issued the purge, in microseconds since the Unix epoch. It is sent in whole
    /// milliseconds, rounded up.
    pub timestamp: Micros,
}

impl Purge {
    /// The position of this purge in the order of a snapshot.
    pub fn cursor(self) -> PurgeCursor {
        PurgeCursor {
            timestamp: self.timestamp,
            key: self.key,
        }
    }
}

/// A position in the order of purges, by timestamp and then by key. The order is the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurgeCursor {
    /// Timestamp of the purge at this position.
    pub timestamp: Micros,
    /// Key of the purge at this position.
    pub key: PurgeKey,
}

/// An event that is distributed. Changes of the cache list and configuration versions are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Copies become invalid.
    Purge(Purge),
}
