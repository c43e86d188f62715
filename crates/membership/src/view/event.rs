//! What a view is given and gives: its identity, the actions for its host, the changes that it reports, its counters.

use crate::claim::MemberState;
use crate::wire::DropReason;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The identity of this proxy.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The version of the program, shown to operators.
    pub version: String,
    /// When the process started, by its own clock: only compared with other starts of the same name.
    pub start: u64,
}

/// What the host of a view has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    SendDatagram {
        /// Where it goes.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Send over a stream, as it may be longer than a datagram. The host reports failures by
    /// [`View::stream_failed`](super::View::stream_failed).
    SendStream {
        /// Where it goes.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Notify the log and other modules of a change.
    Notify(Change),
}

/// A change of the view, for the log and for other modules.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member appeared, or its state or its process changed.
    MemberChanged {
        /// Its name.
        name: String,
        /// Its former state; none where it was not known.
        from: Option<MemberState>,
        /// Its state now.
        to: MemberState,
        /// The start of its process.
        start: u64,
        /// Its incarnation.
        incarnation: u64,
        /// How this proxy learned of it.
        source: ClaimSource,
        /// Who claims it; empty where nobody accuses the member.
        accuser: String,
    },
    /// A member replaced its published body.
    BodyReplaced {
        /// Its name.
        name: String,
    },
    /// A member that was dead or had left was removed from the view.
    Forgotten {
        /// Its name.
        name: String,
    },
    /// This proxy was claimed to fail, and refuted that.
    Refuted {
        /// Who claimed it.
        accuser: String,
    },
    /// This process was paused or starved: what it knew of others may be outdated.
    ProcessPaused {
        /// For how long.
        duration: Micros,
    },
    /// This proxy's view agreed with that of another proxy for the first time.
    Joined,
    /// Another process of this proxy's name started later or as late: this proxy took a later start than that one.
    StartAdvanced {
        /// The start that was superseded.
        start: u64,
    },
    /// The other process of this proxy's name is alive: this proxy withdraws from the fleet.
    Withdrawn {
        /// Where the other process receives messages.
        other_address: String,
    },
    /// This proxy has left the fleet.
    DepartureCompleted {
        /// How many members have confirmed it.
        confirmations: usize,
    },
}

/// How this proxy learned of a change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimSource {
    /// From the member itself.
    MemberItself,
    /// By this proxy's own probes.
    OwnProbe,
    /// By a rumor from another proxy.
    Rumor,
    /// By an anti-entropy exchange: others have known it for a while.
    AntiEntropy,
}

impl ClaimSource {
    /// Its name in logs, as operators know it.
    pub fn name(self) -> &'static str {
        match self {
            ClaimSource::MemberItself => "Said",
            ClaimSource::OwnProbe => "Seen",
            ClaimSource::Rumor => "Heard",
            ClaimSource::AntiEntropy => "Caught",
        }
    }
}

/// Counters of a view since it was made.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Probes sent.
    pub probes: u64,
    /// Probes without any response.
    pub failed_probes: u64,
    /// Suspicions that this proxy's own probes raised or confirmed.
    pub suspicions: u64,
    /// Claims about this proxy that it refuted.
    pub refutations: u64,
    /// Members that this proxy declared dead.
    pub deaths_declared: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Messages sent over streams.
    pub chunks_sent: u64,
    /// Bytes sent in datagrams and over streams.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Deferrable messages that were not sent for lack of budget.
    pub deferred: u64,
    /// Messages and records dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Bytes sent, by kind of message.
    pub bytes_sent_by_kind: BTreeMap<&'static str, u64>,
}
