//! Counters for metrics and reports.

use crate::record_type::RecordType;
use crate::wire::MessageType;
use crate::Micros;
use meadowrill_membership::envelope::DropReason;
use std::collections::BTreeMap;

/// Counts of what one replica has sent, received and merged since its start.
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
    /// Messages dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Records merged from rumors, by the number of the record type.
    pub merged_from_rumors: BTreeMap<u32, u64>,
    /// Records merged from comparisons and catching up, by the number of the record type.
    pub merged_by_repair: BTreeMap<u32, u64>,
    /// Records received that differed from the stored record of their key and did not replace it.
    pub conflicts_kept: u64,
    /// Records received that replaced the stored record of their key.
    pub conflicts_replaced: u64,
    /// Number of times that a comparison was not started or continued for lack of budget.
    pub comparisons_delayed: u64,
    /// Type and age of records merged since the host last took this list.
    pub record_ages: Vec<(RecordType, Micros)>,
}
