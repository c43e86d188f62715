//! Counters for metrics and reports.

use crate::record_type::RecordType;
use crate::wire::MessageType;
use crate::Micros;
use meadowrill_membership::envelope::DropReason;
use std::collections::BTreeMap;

/// What one replica has sent, received and merged since its start.
#[derive(Clone, Debug, Default)]
pub struct ReplicaCounters {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes sent, by type of message.
    pub sent_bytes_by_type: BTreeMap<MessageType, u64>,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages dropped, by the reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Records merged from rumors, by the number of their type.
    pub merged_from_rumors: BTreeMap<u32, u64>,
    /// Records merged from comparisons and catching up, by the number of their type.
    pub merged_by_repair: BTreeMap<u32, u64>,
    /// Records received that differed from a stored one, which was kept.
    pub conflicts_kept: u64,
    /// Records received that replaced a stored one.
    pub conflicts_replaced: u64,
    /// Times that a comparison waited for budget.
    pub comparisons_delayed: u64,
    /// Age of records received, by type, since the host last took these.
    pub record_ages: Vec<(RecordType, Micros)>,
}
