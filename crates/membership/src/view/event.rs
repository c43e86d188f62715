//! What a view is given and gives: its identity, the actions for its host, the changes it reports, its counters.

use crate::claim::MemberState;
use crate::wire::DropReason;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The identity of this front.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    pub name: String,
    pub version: String,
    /// When the process started, by its own clock: only compared with other starts of the same name.
    pub start: u64,
}

/// What the host of a view has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    SendDatagram { to: SocketAddr, bytes: Vec<u8> },
    /// Send over a stream, as it may be longer than a datagram. The host reports failures by
    /// [`View::unstreamed`](super::View::unstreamed).
    SendStream { to: SocketAddr, bytes: Vec<u8> },
    /// Report a change to the log and to other modules.
    Notify(Change),
}

/// A change of the view, for the log and for other modules.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member appeared, or its state or its process changed.
    MemberChanged {
        name: String,
        from: Option<MemberState>,
        to: MemberState,
        start: u64,
        incarnation: u64,
        source: ClaimSource,
        accuser: String,
    },
    /// A member replaced its published body.
    BodyReplaced { name: String },
    /// A member that was dead or had left was removed from the view.
    Forgotten { name: String },
    /// This front was claimed to fail, and refuted that.
    Refuted { accuser: String },
    /// This process was paused or starved for so long: what it knew of others may be old.
    ProcessPaused { duration: Micros },
    /// This front's view agreed with that of another front for the first time.
    Joined,
    /// Another process of this front's name started later or as late: this front took a later start than that one.
    StartAdvanced { start: u64 },
    /// The other process of this front's name is alive: this front withdraws from the fleet.
    Withdrawn { other_address: String },
    /// This front has announced its departure, and so many members have confirmed that.
    DepartureCompleted { confirmations: usize },
}

/// The source of a change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimSource {
    /// The member itself.
    MemberItself,
    /// This front's own probes.
    OwnProbe,
    /// A rumor from another front.
    Rumor,
    /// An anti-entropy exchange: others have known it for a while.
    AntiEntropy,
}

impl ClaimSource {
    /// Its name in logs.
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
    /// Probes without any answer.
    pub failed_probes: u64,
    /// Suspicions that this front's own probes raised or confirmed.
    pub suspicions: u64,
    /// Claims about this front that it refuted.
    pub refutations: u64,
    /// Members that this front declared dead.
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
