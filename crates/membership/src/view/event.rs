//! The inputs and outputs of a view: its identity, the actions for its host, the changes that it reports, and its
//! counters.

use crate::claim::MemberState;
use crate::wire::DropReason;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The identity of this proxy.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    /// Name of this proxy, unique in the fleet.
    pub name: String,
    /// Version of the program, shown to operators.
    pub version: String,
    /// When the process started, by its own clock. It is only compared with other starts of the same name.
    pub start: u64,
}

/// An action that the host of a view has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    SendDatagram {
        /// Address of the recipient.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Send a message over a stream, because it may be longer than a datagram. The host reports failures with
    /// [`View::stream_failed`](super::View::stream_failed).
    SendStream {
        /// Address of the recipient.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Report a change to the log and to other modules.
    Notify(Change),
}

/// A change of the view, for the log and for other modules.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member appeared, or its state or process changed.
    MemberChanged {
        /// Name of the member.
        name: String,
        /// Former state of the member, or `None` if it was unknown.
        from: Option<MemberState>,
        /// New state of the member.
        to: MemberState,
        /// Start of the member's process.
        start: u64,
        /// Incarnation of the member.
        incarnation: u64,
        /// How this proxy learned of the change.
        source: ClaimSource,
        /// Name of the proxy that made the claim; empty if no proxy accuses the member.
        accuser: String,
    },
    /// A member replaced its published body.
    BodyReplaced {
        /// Name of the member.
        name: String,
    },
    /// A member that was dead or had left was removed from the view.
    Forgotten {
        /// Name of the member.
        name: String,
    },
    /// Another proxy claimed that this proxy had failed, and this proxy refuted the claim.
    Refuted {
        /// Name of the proxy that made the claim.
        accuser: String,
    },
    /// This process was paused or starved, so its knowledge of other members may be outdated.
    ProcessPaused {
        /// Duration of the pause.
        duration: Micros,
    },
    /// This proxy's view was equal to the view of another proxy for the first time.
    Joined,
    /// Another process with this proxy's name has the same or a later start, or this proxy's start was forgotten. This
    /// proxy adopted a later start.
    StartAdvanced {
        /// The start that was superseded.
        start: u64,
    },
    /// Another process with this proxy's name is alive, so this proxy withdraws from the fleet.
    Withdrawn {
        /// Address at which the other process receives messages.
        other_address: String,
    },
    /// This proxy has left the fleet.
    DepartureCompleted {
        /// Number of members that confirmed the departure.
        confirmations: usize,
    },
}

/// The way in which this proxy learned of a change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimSource {
    /// By a message from the member itself.
    MemberItself,
    /// By this proxy's own probes.
    OwnProbe,
    /// By a rumor from another proxy.
    Rumor,
    /// By an anti-entropy exchange: other proxies may have known of the change for a while.
    AntiEntropy,
}

impl ClaimSource {
    /// The name of the source in logs.
    pub fn name(self) -> &'static str {
        match self {
            ClaimSource::MemberItself => "Said",
            ClaimSource::OwnProbe => "Seen",
            ClaimSource::Rumor => "Heard",
            ClaimSource::AntiEntropy => "Caught",
        }
    }
}

/// Counters of a view since its creation.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Probes sent.
    pub probes: u64,
    /// Probes without any response.
    pub failed_probes: u64,
    /// Suspicions that this proxy raised or confirmed with its own probes.
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
    /// Deferrable messages that were not sent because the send budget was exhausted.
    pub deferred: u64,
    /// Messages and records dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Bytes sent, by kind of message.
    pub bytes_sent_by_kind: BTreeMap<&'static str, u64>,
}
