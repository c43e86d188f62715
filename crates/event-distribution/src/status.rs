//! What members show of themselves to operators.

use crate::counters::Counters;
use crate::event::LogPosition;
use crate::time::Micros;

/// The state of a subscriber, or of the following side of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The relay that it follows.
    pub relay: String,
    /// Up to where it has applied everything; none before the first snapshot or event.
    pub position: Option<LogPosition>,
    /// The last position that its relay has announced.
    pub relay_head: Option<LogPosition>,
    /// What is left of its lease; none where it has expired.
    pub lease_remaining: Option<Micros>,
    /// Whether a snapshot is being fetched.
    pub fetching_snapshot: bool,
    /// Purges in force that it knows.
    pub purges: usize,
    /// Copies from before this timestamp are refused.
    pub purge_floor: Option<Micros>,
    /// Counts since its start.
    pub counters: Counters,
}

/// One subscriber that lags or has no lease, as the member that feeds it knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingSubscriber {
    /// Its name.
    pub name: String,
    /// Up to where it, and all that it feeds, have applied everything.
    pub acknowledged: Option<LogPosition>,
    /// What is left of its lease.
    pub lease_remaining: Option<Micros>,
    /// Time since its last heartbeat.
    pub since_heartbeat: Micros,
}

/// The state of the feeding side of a relay or publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributorStatus {
    /// The last position that this member knows.
    pub head: LogPosition,
    /// All that hold a lease have applied everything up to here.
    pub acknowledged: LogPosition,
    /// Publisher only: everything up to here is in force everywhere, leases or not.
    pub in_force: Option<LogPosition>,
    /// Subscribers known.
    pub subscribers: usize,
    /// Leases granted that may not have expired at their holders.
    pub leases: usize,
    /// Subscribers that lag or have no lease, the most recent heartbeat first; bounded.
    pub lagging: Vec<LaggingSubscriber>,
    /// Purges in force that it knows.
    pub purges: usize,
    /// Copies from before this timestamp are refused.
    pub purge_floor: Option<Micros>,
    /// Bytes of events stored for subscribers that come back.
    pub window_bytes: usize,
    /// Counts since its start.
    pub counters: Counters,
}
