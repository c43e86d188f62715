//! Counters for metrics and reports.

use crate::kind::Kind;
use crate::wire::MessageKind;
use crate::Micros;
use meadowrill_membership::envelope::DropReason;
use std::collections::BTreeMap;

/// What one replica has sent, received and merged since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub heard: u64,
    /// Bytes received.
    pub heard_bytes: u64,
    /// Bytes sent, by kind of message.
    pub spent: BTreeMap<MessageKind, u64>,
    /// Messages dropped, by the reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Records merged from rumors, by the number of their kind.
    pub news: BTreeMap<u32, u64>,
    /// Records merged from comparisons and catching up, by the number of their kind.
    pub repaired: BTreeMap<u32, u64>,
    /// Records received that differed from a held one which stood.
    pub lost: u64,
    /// Records received that replaced a held one.
    pub won: u64,
    /// Times that a comparison waited for budget.
    pub held_back: u64,
    /// Age of records received, by kind, since the host last took these.
    pub lags: Vec<(Kind, Micros)>,
}
