//! What the host is to do, and what it may log.

use crate::event::{Event, LogPosition};
use crate::time::Micros;
use std::net::SocketAddr;

/// One thing that the host is to do. Outputs are carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// A datagram goes out.
    Send {
        /// To this address.
        to: SocketAddr,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// An event that was not known before. It has to be in force before the next datagram of this member is sent.
    Apply(Event),
    /// Of a publisher: the event is in force everywhere.
    InForce {
        /// As it was published.
        event: Event,
        /// Since the service issued it to the publisher.
        took: Micros,
    },
    /// For the log.
    Notice(Notice),
}

/// What is worth a line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// There is a lease again.
    LeaseAcquired {
        /// The relay that granted it.
        relay: String,
        /// How long there was none.
        without: Micros,
    },
    /// The lease has ended and was not renewed.
    LeaseExpired {
        /// The relay that is followed.
        relay: String,
    },
    /// Another relay is followed from now on.
    RelayChanged {
        /// The one followed so far.
        from: String,
        /// The one followed from now on.
        to: String,
    },
    /// What was missed is no longer in a relay's window: all purges in force are fetched.
    SnapshotStarted {
        /// The relay that offers it.
        relay: String,
    },
    /// All purges in force are known.
    SnapshotCompleted {
        /// Purges that came with it.
        purges: u64,
        /// Since its first part.
        took: Micros,
        /// The log goes on from here.
        position: LogPosition,
    },
    /// The publisher has restarted.
    EpochStarted {
        /// Its first position.
        position: LogPosition,
    },
    /// The bound on purges was reached: copies from before this timestamp are refused.
    PurgeFloorRaised {
        /// In microseconds since the Unix epoch.
        floor: Micros,
    },
    /// A subscriber of this member has lost its lease.
    SubscriberLeaseExpired {
        /// Its name.
        name: String,
    },
}
