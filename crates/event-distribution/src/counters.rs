//! Counters of one member, and the reasons for which it drops datagrams.

use std::fmt;

/// The reason for which a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The envelope is of another kind or version, corrupt or truncated.
    Envelope,
    /// The sender belongs to another fleet.
    OtherFleet,
    /// A string or a number is out of bounds.
    OutOfBounds,
    /// A newer epoch has replaced the epoch of the message.
    OldEpoch,
    /// The reported position is beyond the log of the receiver, or the reported epoch leaves no larger one.
    AheadOfLog,
    /// The position is behind one that the same subscriber has reported before.
    PositionRegressed,
    /// The sender is an earlier incarnation of the same name.
    OldIncarnation,
    /// The maximum number of subscribers is reached.
    Full,
    /// The message is a duplicate, arrived too early or too late, answers no outstanding request, or is meant for
    /// another role.
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

    /// Name of the reason in metrics and for operators.
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

/// Counters of one member since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Events applied.
    pub events: u64,
    /// Batches applied, or sent to subscribers.
    pub batches: u64,
    /// Batches that arrived after a gap and caused a resend request.
    pub gaps: u64,
    /// Resend requests of subscribers.
    pub resend_requests: u64,
    /// Snapshot fetches started, or snapshots sent completely.
    pub snapshots: u64,
    /// Leases that expired without renewal.
    pub expired_leases: u64,
    /// Changes to another relay.
    pub relay_changes: u64,
    /// Heartbeats that were answered with a Retry-After.
    pub busy: u64,
    /// Datagrams dropped, by [`RejectReason`].
    pub rejected: [u64; RejectReason::ALL.len()],
}

impl Counters {
    /// Counts a dropped datagram.
    pub fn reject(&mut self, reason: RejectReason) {
        self.rejected[reason as usize] += 1;
    }

    /// Counts a sent datagram and its size.
    pub(crate) fn record_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }

    /// Counts a received datagram and its size.
    pub(crate) fn record_received(&mut self, bytes: usize) {
        self.received += 1;
        self.received_bytes += bytes as u64;
    }
}
