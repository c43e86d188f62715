//! What the host is to do, and what it may log or count.

use crate::event::{Event, LogPosition};
use crate::Micros;
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// An event that was not known before. It has to be in force before the next datagram of this member is sent.
    Apply(Event),
    /// Of a publisher: the event is in force everywhere, so long after it was told.
    InForce {
        event: Event,
        took: Micros,
    },
    Notice(Notice),
}

/// For the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// A lease is held again; how long there was none.
    Leased { relay: String, without: Micros },
    /// The lease has ended and was not renewed.
    Lapsed { relay: String },
    /// Another relay is asked from now on.
    Switched { from: String, to: String },
    /// What was missed is no longer in a relay's window: all that still binds is fetched.
    SnapshotBegun { relay: String },
    SnapshotDone {
        purges: u64,
        took: Micros,
        at: LogPosition,
    },
    /// The publisher has started anew.
    NewEpoch { at: LogPosition },
    /// The bound on purges was reached: copies from before this stamp are refused.
    FloorRaised { floor: Micros },
    /// A subscriber of this relay has lost its lease.
    SubscriberLate { name: String },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejected {
    /// Not of this kind, another version, garbled or truncated.
    Envelope,
    Fleet,
    /// A text or a number is out of bounds.
    Bounds,
    /// From a publisher that another has replaced.
    OldEpoch,
    /// A position that nobody has published yet.
    Future,
    /// A watermark that went back.
    Backwards,
    /// From an earlier start of the same name.
    OldIncarnation,
    /// No more subscribers are taken.
    Full,
    /// An answer to a request that was not made, or a message for another role.
    Unexpected,
}

impl Rejected {
    pub const ALL: [Rejected; 9] = [
        Rejected::Envelope,
        Rejected::Fleet,
        Rejected::Bounds,
        Rejected::OldEpoch,
        Rejected::Future,
        Rejected::Backwards,
        Rejected::OldIncarnation,
        Rejected::Full,
        Rejected::Unexpected,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rejected::Envelope => "envelope",
            Rejected::Fleet => "fleet",
            Rejected::Bounds => "bounds",
            Rejected::OldEpoch => "old_epoch",
            Rejected::Future => "future",
            Rejected::Backwards => "backwards",
            Rejected::OldIncarnation => "old_incarnation",
            Rejected::Full => "full",
            Rejected::Unexpected => "unexpected",
        }
    }
}

/// What one member counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub events: u64,
    pub batches: u64,
    /// Batches with a gap before them, which made a request to send again.
    pub gaps: u64,
    /// Requests of subscribers to send again.
    pub resent: u64,
    pub snapshots: u64,
    pub lapses: u64,
    pub switches: u64,
    /// Subscribers that were told to come later.
    pub busy: u64,
    pub rejected: [u64; Rejected::ALL.len()],
}

impl Counters {
    pub fn reject(&mut self, why: Rejected) {
        self.rejected[why as usize] += 1;
    }
}

/// What a subscriber (or the following side of a relay) tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Whom it follows.
    pub relay: String,
    /// Up to where it has applied all; none before the first snapshot or event.
    pub at: Option<LogPosition>,
    /// The last position of the epoch that its relay has told of.
    pub head: Option<LogPosition>,
    /// What is left of its lease; none where it has lapsed.
    pub lease_left: Option<Micros>,
    pub fetching_snapshot: bool,
    pub purges: usize,
    pub floor: Option<Micros>,
    pub counters: Counters,
}

/// One subscriber, as the member that feeds it sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FedStatus {
    pub name: String,
    pub acknowledged: Option<LogPosition>,
    pub lease_left: Option<Micros>,
    pub heard_ago: Micros,
}

/// What a relay or publisher tells of those that it feeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedStatus {
    pub head: LogPosition,
    /// All that hold a lease have applied everything up to here.
    pub acknowledged: LogPosition,
    /// Publisher only: in force everywhere, leases or not.
    pub done: Option<LogPosition>,
    pub subscribers: usize,
    pub leased: usize,
    /// Those that lag or have lost their lease, latest first; bounded.
    pub late: Vec<FedStatus>,
    pub purges: usize,
    pub floor: Option<Micros>,
    pub window_bytes: usize,
    pub counters: Counters,
}
