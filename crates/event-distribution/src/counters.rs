//! What one member counts since its start, and why it drops a datagram.

use std::fmt;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// Not of this kind, another version, garbled or truncated.
    Envelope,
    /// From a member of another fleet.
    OtherFleet,
    /// A text or a number is out of bounds.
    OutOfBounds,
    /// From a publisher that another has replaced.
    OldEpoch,
    /// A position that nobody has published yet.
    AheadOfLog,
    /// A position behind one that the same subscriber has reported.
    PositionRegressed,
    /// From an earlier start of the same name.
    OldIncarnation,
    /// No more subscribers are taken.
    Full,
    /// An answer to a request that was not made, or a message for another role.
    Unexpected,
}

impl RejectReason {
    /// All reasons, in the order of [`Counters::rejected`].
    pub const ALL: [RejectReason; 9] = [
        RejectReason::Envelope,
        RejectReason::OtherFleet,
        RejectReason::OutOfBounds,
        RejectReason::OldEpoch,
        RejectReason::AheadOfLog,
        RejectReason::PositionRegressed,
        RejectReason::OldIncarnation,
        RejectReason::Full,
        RejectReason::Unexpected,
    ];

    /// As metrics and operators name it.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Envelope => "envelope",
            RejectReason::OtherFleet => "fleet",
            RejectReason::OutOfBounds => "bounds",
            RejectReason::OldEpoch => "old_epoch",
            RejectReason::AheadOfLog => "future",
            RejectReason::PositionRegressed => "backwards",
            RejectReason::OldIncarnation => "old_incarnation",
            RejectReason::Full => "full",
            RejectReason::Unexpected => "unexpected",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for RejectReason {}

/// What one member counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of those.
    pub received_bytes: u64,
    /// Events applied.
    pub events: u64,
    /// Batches applied, or sent to subscribers.
    pub batches: u64,
    /// Batches with a gap before them, which made a request to send again.
    pub gaps: u64,
    /// Requests of subscribers to send again.
    pub resend_requests: u64,
    /// Snapshots begun, or sent to their end.
    pub snapshots: u64,
    /// Leases that ended and were not renewed.
    pub expired_leases: u64,
    /// Times that another relay was chosen.
    pub relay_changes: u64,
    /// Answers to subscribers that they should retry later.
    pub busy: u64,
    /// Datagrams dropped, by [`RejectReason`].
    pub rejected: [u64; RejectReason::ALL.len()],
}

impl Counters {
    /// A datagram was dropped.
    pub fn reject(&mut self, reason: RejectReason) {
        self.rejected[reason as usize] += 1;
    }

    /// A datagram of so many bytes was sent.
    pub(crate) fn record_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }

    /// A datagram of so many bytes was received.
    pub(crate) fn record_received(&mut self, bytes: usize) {
        self.received += 1;
        self.received_bytes += bytes as u64;
    }
}
