//! What a replica has its host do: messages to send, decisions on requests, updates to apply, events to log.

use crate::ledger::Decision;
use crate::records::{EndpointInfo, EndpointPhase};
use crate::Micros;

/// One thing that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram to a proxy.
    SendDatagram {
        /// The receiver's name.
        to: String,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Send a message that is too large for a datagram to a proxy, over a stream.
    SendStream {
        /// The receiver's name.
        to: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Carry out the ledger's decision on a request.
    Decision(Decision),
    /// Apply a purge that another proxy reported.
    Purge {
        /// The object; none for a whole group.
        object: Option<u64>,
        /// The group, where there is no object.
        group: u32,
        /// Copies from before this time are purged, in Unix time.
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
        /// What else is known of it.
        endpoint: EndpointInfo,
    },
    /// Others' observations of a subject have changed; [`super::Replica::shared_estimate`] combines them.
    UseObservations {
        /// The subject, as [`super::Subject::decode`] reads it.
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
        /// The urgent records and the claims are complete; otherwise the time allowed for them is up.
        caught_up: bool,
        /// Time since the start.
        elapsed: Micros,
    },
    /// Catching up is complete.
    CaughtUp {
        /// Records received.
        records: u64,
        /// Time since the start.
        elapsed: Micros,
    },
    /// A donor failed or stalled, and another takes its place.
    DonorReplaced {
        /// The donor that is given up.
        former: String,
        /// The donor that is requested instead.
        next: String,
    },
    /// This proxy has compared its claims with all other voters and votes from now on.
    VotingStarted {
        /// Time since the start.
        elapsed: Micros,
    },
}
