//! The send budget: a token bucket of bytes.
//!
//! Probes and their responses are sent regardless of the available budget; rumors and anti-entropy exchanges are
//! deferred until it suffices. Invariant: the absolute value of the available budget is at most the capacity.

use super::View;
use crate::settings::SECOND;
use crate::wire;
use crate::Micros;

/// Capacity of the bucket, in seconds of the configured rate.
const BURST_SECONDS: u64 = 3;
/// Fraction of the capacity above which rumors carry published bodies. Below it, the budget is left to anti-entropy,
/// which sends no record twice.
pub(super) const BODY_RUMORS_FRACTION: f64 = 0.5;
/// Fraction of the capacity above which rumors without bodies (about members that are dead, have left or have not
/// published a body yet) are sent, additional exchanges are begun and indirect probes are requested from all helpers.
pub(super) const ESSENTIAL_FRACTION: f64 = 0.2;

/// Token bucket of the bytes that may be sent.
#[derive(Clone, Debug)]
pub(super) struct SendBudget {
    bytes_per_second: u64,
    /// Available bytes; negative after unconditional messages have exceeded the budget.
    available: f64,
    refilled_at: Micros,
}

impl SendBudget {
    /// Creates a full bucket.
    pub(super) fn new(bytes_per_second: u64, now: Micros) -> SendBudget {
        let mut budget = SendBudget {
            bytes_per_second,
            available: 0.0,
            refilled_at: now,
        };
        budget.available = budget.capacity();
        budget
    }

    fn capacity(&self) -> f64 {
        (self.bytes_per_second * BURST_SECONDS) as f64
    }

    pub(super) fn refill(&mut self, now: Micros) {
        self.available +=
            (now - self.refilled_at) as f64 * self.bytes_per_second as f64 / SECOND as f64;
        self.available = self.available.min(self.capacity());
        self.refilled_at = now;
    }

    /// Whether at least this fraction of the capacity is available.
    pub(super) fn has_fraction(&self, fraction: f64) -> bool {
        self.available >= self.capacity() * fraction
    }

    fn allows_datagram(&self) -> bool {
        self.available >= wire::MAX_DATAGRAM_LENGTH as f64
    }

    /// Deducts the length of a sent message. The debt is at most the capacity: otherwise the simultaneous start of many
    /// proxies would silence a contact just when they need it to learn of each other.
    fn charge(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-self.capacity());
    }
}

impl View {
    /// Whether a deferrable message may be sent now. Messages that may not be sent are counted as deferred.
    pub(super) fn may_send_deferrable(&mut self) -> bool {
        self.budget.refill(self.now);
        let allowed = self.budget.allows_datagram();
        self.counters.deferred += u64::from(!allowed);
        allowed
    }

    /// Deducts the encoded message in the send buffer from the budget, and counts its bytes.
    pub(super) fn charge_send_buffer(&mut self, kind: &'static str) {
        let length = self.send_buffer.len();
        self.budget.charge(length);
        self.counters.bytes_sent += length as u64;
        *self.counters.bytes_sent_by_kind.entry(kind).or_default() += length as u64;
    }
}
