//! The send budget: a token bucket of bytes.
//!
//! Probes and their responses are sent whatever is left of it; rumors and anti-entropy exchanges wait for it. Invariant:
//! what is available lies within the capacity, as credit or as debt.

use super::View;
use crate::settings::SECOND;
use crate::wire;
use crate::Micros;

/// Capacity of the bucket, in seconds of the configured rate.
const BURST_SECONDS: u64 = 3;
/// Share of the capacity above which rumors carry published bodies. Below it the bytes go to anti-entropy, which sends
/// nothing twice.
pub(super) const BODY_RUMORS_SHARE: f64 = 0.5;
/// Share of the capacity above which rumors without bodies (failures and returns) are sent, exchanges are begun and
/// indirect probes are requested of all helpers.
pub(super) const ESSENTIAL_SHARE: f64 = 0.2;

/// Token bucket of the bytes that may be sent.
#[derive(Clone, Debug)]
pub(super) struct SendBudget {
    bytes_per_s: u64,
    /// Negative after unconditional messages have overdrawn it.
    available: f64,
    refilled_at: Micros,
}

impl SendBudget {
    /// A full bucket.
    pub(super) fn new(bytes_per_s: u64, now: Micros) -> SendBudget {
        let mut budget = SendBudget {
            bytes_per_s,
            available: 0.0,
            refilled_at: now,
        };
        budget.available = budget.capacity();
        budget
    }

    fn capacity(&self) -> f64 {
        (self.bytes_per_s * BURST_SECONDS) as f64
    }

    pub(super) fn refill(&mut self, now: Micros) {
        self.available += (now - self.refilled_at) as f64 * self.bytes_per_s as f64 / SECOND as f64;
        self.available = self.available.min(self.capacity());
        self.refilled_at = now;
    }

    /// Whether at least this share of the capacity is available.
    pub(super) fn has_share(&self, share: f64) -> bool {
        self.available >= self.capacity() * share
    }

    fn has_datagram(&self) -> bool {
        self.available >= wire::MAX_DATAGRAM_LENGTH as f64
    }

    /// The debt is at most the capacity: the simultaneous start of many proxies would otherwise silence a contact just
    /// when they need it to learn of each other.
    fn charge(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-self.capacity());
    }
}

impl View {
    /// Whether a deferrable message may be sent now; counts those that may not.
    pub(super) fn may_send_deferrable(&mut self) -> bool {
        self.budget.refill(self.now);
        let allowed = self.budget.has_datagram();
        self.counters.deferred += u64::from(!allowed);
        allowed
    }

    /// Accounts for the encoded message in the send buffer.
    pub(super) fn charge_send_buffer(&mut self, kind: &'static str) {
        let length = self.send_buffer.len();
        self.budget.charge(length);
        self.counters.bytes_sent += length as u64;
        *self.counters.bytes_sent_by_kind.entry(kind).or_default() += length as u64;
    }
}
