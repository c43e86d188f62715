//! The state of members, for operators.

use crate::counters::Counters;
use crate::event::LogPosition;
use crate::time::Micros;

/// The state of a subscriber, or of a relay's subscription.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The relay that the member follows.
    pub relay: String,
    /// Everything up to here has been applied. `None` before the first snapshot or event.
    pub position: Option<LogPosition>,
    /// The last position that the relay has announced.
    pub relay_head: Option<LogPosition>,
    /// Remaining time of the lease. `None` without a lease.
    pub lease_remaining: Option<Micros>,
    /// Whether a snapshot is being fetched.
    pub fetching_snapshot: bool,
    /// Number of purges in force that the member knows.
    pub purges: usize,
    /// Copies from before this timestamp are refused.
    pub purge_floor: Option<Micros>,
    /// Counters since the start of the member.
    pub counters: Counters,
}

/// A subscriber that lags or has no lease, as the member that serves it knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingSubscriber {
    /// Name of the subscriber.
    pub name: String,
    /// The subscriber, and all that it serves, have applied everything up to here.
    pub acknowledged: Option<LogPosition>,
    /// Remaining time of its lease.
    pub lease_remaining: Option<Micros>,
    /// Time since its last heartbeat.
    pub since_heartbeat: Micros,
}

/// The state of the serving side of a relay or publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributorStatus {
    /// The end of the log of this member.
    pub head: LogPosition,
    /// All lease holders have applied everything up to here.
    pub acknowledged: LogPosition,
    /// Publisher only: everything up to here is in force everywhere, at subscribers with and without a lease.
    pub in_force: Option<LogPosition>,
    /// Number of known subscribers.
    pub subscribers: usize,
    /// Number of granted leases that may not have expired at their holders.
    pub leases: usize,
    /// Subscribers that lag or have no lease, ordered by their last heartbeat, most recent first. The list is bounded.
    pub lagging: Vec<LaggingSubscriber>,
    /// Number of purges in force that the member knows.
    pub purges: usize,
    /// Copies from before this timestamp are refused.
    pub purge_floor: Option<Micros>,
    /// Bytes of events that are stored for subscribers that reconnect.
    pub window_bytes: usize,
    /// Counters since the start of the member.
    pub counters: Counters,
}
