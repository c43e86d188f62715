//! What a view is given and gives: its identity, the actions for its host, the changes it reports, its counters.

use crate::claim::State;
use crate::wire::Dropped;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The identity of this front.
#[derive(Clone, Debug)]
pub struct Me {
    pub name: String,
    pub version: String,
    /// When the process started, by its own clock: only compared with other starts of the same name.
    pub start: u64,
}

/// What the host of a view has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send a datagram.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// Send over a stream, as it may be longer than a datagram. The host reports failures by
    /// [`View::unstreamed`](super::View::unstreamed).
    Stream { to: SocketAddr, bytes: Vec<u8> },
    /// Report a change to the log and to other modules.
    Tell(Change),
}

/// A change of the view, for the log and for other modules.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member appeared, or its state or its process changed.
    Member {
        name: String,
        from: Option<State>,
        to: State,
        start: u64,
        incarnation: u64,
        why: Why,
        by: String,
    },
    /// A member replaced its published body.
    Values { name: String },
    /// A member that was dead or had left was removed from the view.
    Forgotten { name: String },
    /// This front was claimed to fail, and refuted that.
    Refuted { by: String },
    /// This process was paused or starved for so long: what it knew of others may be old.
    WasAway { span: Micros },
    /// This front's view agreed with that of another front for the first time.
    Joined,
    /// Another process of this front's name started later or as late: this front took a later start than that one.
    Passed { start: u64 },
    /// The other process of this front's name is alive: this front withdraws from the fleet.
    GaveWay { to: String },
    /// This front has announced its departure, and so many members have confirmed that.
    Gone { confirmed: usize },
}

/// The source of a change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The member itself.
    Said,
    /// This front's own probes.
    Seen,
    /// A rumor from another front.
    Heard,
    /// An anti-entropy exchange: others have known it for a while.
    Caught,
}

/// Counters of a view since it was made.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Probes sent.
    pub probes: u64,
    /// Probes without any answer.
    pub failures: u64,
    /// Suspicions that this front's own probes raised or confirmed.
    pub suspicions: u64,
    /// Claims about this front that it refuted.
    pub refutations: u64,
    /// Members that this front declared dead.
    pub deaths: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Messages sent over streams.
    pub chunks: u64,
    /// Bytes sent in datagrams and over streams.
    pub sent_bytes: u64,
    /// Messages received.
    pub heard: u64,
    /// Bytes received.
    pub heard_bytes: u64,
    /// Deferrable messages that were not sent for lack of budget.
    pub held_back: u64,
    /// Messages and records dropped, by reason.
    pub dropped: BTreeMap<Dropped, u64>,
    /// Bytes sent, by kind of message.
    pub spent: BTreeMap<&'static str, u64>,
}
