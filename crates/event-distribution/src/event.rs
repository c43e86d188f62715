//! Events and their numbers.
//!
//! The order of [`LogPosition`] is that of the whole log: a later epoch is behind everything of an earlier one.

use crate::time::Micros;

/// How many events of an epoch are known: a position of n stands for the events 0 to n - 1.
pub type Position = u64;

/// One run of the publisher. A publisher that restarts numbers from 0 in a larger epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The largest epoch that is read from the wire: as microseconds, the year 4253. Beyond it there is room to count
    /// on from any epoch that was read.
    pub const MAX: Epoch = Epoch(1 << 56);
}

/// A point in the log of one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The run of the publisher.
    pub epoch: Epoch,
    /// Events of that run before this point.
    pub position: Position,
}

/// What a purge is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PurgeKey {
    /// All copies of an object.
    Object(u64),
    /// All copies of the objects of a group.
    Group(u32),
}

/// No copy from before `timestamp` may be served any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Purge {
    /// What it is about.
    pub key: PurgeKey,
    /// Set by the service that issued the purge, in microseconds since the Unix epoch. It travels in whole
    /// milliseconds, rounded up.
    pub timestamp: Micros,
}

impl Purge {
    /// Its place in the order of a snapshot.
    pub fn cursor(self) -> PurgeCursor {
        PurgeCursor {
            timestamp: self.timestamp,
            key: self.key,
        }
    }
}

/// A place in the order of purges, the same at every member: by timestamp, then by key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurgeCursor {
    /// Of the purge at this place.
    pub timestamp: Micros,
    /// Of the purge at this place.
    pub key: PurgeKey,
}

/// What is distributed. Changes of the cache list and versions of the configuration are to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Copies are invalid.
    Purge(Purge),
}
