//! Actions for the host, and notices for its log.

use crate::event::{Event, LogPosition};
use crate::time::Micros;
use std::net::SocketAddr;

/// An action for the host. The host executes the outputs in their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// Apply an event that was unknown so far. The host has to apply it before it sends the next datagram of this
    /// member.
    Apply(Event),
    /// Publisher only: the event is in force everywhere.
    InForce {
        /// The event as it was published.
        event: Event,
        /// Time since the event source delivered the event to the publisher.
        took: Micros,
    },
    /// Write a notice to the log.
    Notice(Notice),
}

/// A notice for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The member holds a lease again.
    LeaseAcquired {
        /// The relay that granted the lease.
        relay: String,
        /// How long the member had no lease.
        time_without_lease: Micros,
    },
    /// The lease expired without renewal.
    LeaseExpired {
        /// The relay that the member follows.
        relay: String,
    },
    /// The member follows another relay from now on.
    RelayChanged {
        /// The former relay.
        from: String,
        /// The new relay.
        to: String,
    },
    /// The next events are no longer in a relay's window, so the member fetches all purges in force.
    SnapshotStarted {
        /// The relay that sends the snapshot.
        relay: String,
    },
    /// The member knows all purges in force.
    SnapshotCompleted {
        /// Number of purges received with the snapshot.
        purges: u64,
        /// Time since the first part of the snapshot. A restarted fetch counts from its original start.
        took: Micros,
        /// The log continues from here.
        position: LogPosition,
    },
    /// A new epoch has started, for example because the publisher restarted.
    EpochStarted {
        /// First position of the epoch.
        position: LogPosition,
    },
    /// The purge floor has risen, because purges were dropped to stay within the bound or were missed by the publisher:
    /// copies from before this timestamp are refused.
    PurgeFloorRaised {
        /// In microseconds since the Unix epoch.
        floor: Micros,
    },
    /// The lease of a subscriber of this member has expired.
    SubscriberLeaseExpired {
        /// Name of the subscriber.
        name: String,
    },
}
