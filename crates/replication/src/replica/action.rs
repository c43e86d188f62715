//! The output of a replica, which its host carries out: messages to send, decisions on requests, updates to apply and
//! events to log.

use crate::ledger::Decision;
use crate::records::{EndpointInfo, EndpointPhase};
use crate::Micros;

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram to a proxy.
    SendDatagram {
        /// The name of the receiving proxy.
        to: String,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Send a message that is too large for a datagram to a proxy, over a stream.
    SendStream {
        /// The name of the receiving proxy.
        to: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Carry out the ledger's decision on a request.
    Decision(Decision),
    /// Apply a purge that another proxy reported.
    Purge {
        /// The object; none for the purge of a complete group.
        object: Option<u64>,
        /// The group, if `object` is none.
        group: u32,
        /// Unix time. Cached copies from before this time are purged.
        stamp: Micros,
    },
    /// Apply the phase of an endpoint that another proxy reported.
    UpdateEndpoint {
        /// The endpoint's id.
        id: String,
        /// When its process started.
        started_at: Micros,
        /// Its phase.
        phase: EndpointPhase,
        /// Its other properties.
        endpoint: EndpointInfo,
    },
    /// Update the shared estimate for a subject, because other proxies' observations of it have changed.
    /// [`super::Replica::shared_estimate`] combines the observations.
    UpdateSharedEstimate {
        /// The subject, in the encoding that [`super::Subject::decode`] decodes.
        subject: Vec<u8>,
    },
    /// Log an event.
    Log(LogEvent),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This proxy may report that it is ready.
    Ready {
        /// Whether the urgent records and the claims are complete. If not, the time limit for them has passed.
        caught_up: bool,
        /// Time since the start.
        elapsed: Micros,
    },
    /// Catching up is complete.
    CaughtUp {
        /// Number of records received.
        records: u64,
        /// Time since the start.
        elapsed: Micros,
    },
    /// A donor failed or stalled, and was replaced by another.
    DonorReplaced {
        /// The donor that was replaced.
        former: String,
        /// The donor that replaces it.
        next: String,
    },
    /// This proxy has compared its claims with all other voters and votes on the claims of all keys from now on.
    VotingStarted {
        /// Time since the start.
        elapsed: Micros,
    },
}
