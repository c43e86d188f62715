//! Events and their numbers.

use crate::Micros;

/// How many events of an epoch are known: a position of n stands for the events 0 to n - 1.
pub type Position = u64;

/// One run of the publisher. A publisher that starts anew numbers from 0 in a larger epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// A point in the log of one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    pub epoch: Epoch,
    pub position: Position,
}

/// What a purge is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PurgeKey {
    Object(u64),
    Group(u32),
}

/// No copy from before `stamp` may be served any more. Stamps are of the service that told the purge, in microseconds
/// since the Unix epoch; they travel in whole milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Purge {
    pub key: PurgeKey,
    pub stamp: Micros,
}

/// What is distributed. Changes of the cache list and versions of the configuration are to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Purge(Purge),
}
