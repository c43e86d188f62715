//! Bounds on the bytes that are sent: token buckets.
//!
//! Invariant: the available tokens stay between the lowest debt and the capacity.

use crate::{Micros, SEC};

/// Seconds' worth of bytes that messages may send at once, and may be in debt.
const MESSAGE_BURST_SECONDS: f64 = 1.0;
/// Seconds' worth of bytes that may be sent at once to proxies that catch up.
const CATCH_UP_BURST_SECONDS: f64 = 0.02;

/// A token bucket in bytes that can go into debt: a message is sent whole once there are any tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    bytes_per_second: f64,
    capacity: f64,
    /// The debt goes no further than this.
    lowest: f64,
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// For messages in ordinary operation.
    pub(super) fn for_messages(bytes_per_second: u64, now: Micros) -> TokenBucket {
        let capacity = bytes_per_second as f64 * MESSAGE_BURST_SECONDS;
        TokenBucket::full(bytes_per_second, capacity, -capacity, now)
    }

    /// For the records handed to proxies that catch up: no debt is forgiven.
    pub(super) fn for_catch_up(bytes_per_second: u64, now: Micros) -> TokenBucket {
        let capacity = bytes_per_second as f64 * CATCH_UP_BURST_SECONDS;
        TokenBucket::full(bytes_per_second, capacity, f64::NEG_INFINITY, now)
    }

    fn full(bytes_per_second: u64, capacity: f64, lowest: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            bytes_per_second: bytes_per_second as f64,
            capacity,
            lowest,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time that has passed.
    pub(super) fn refill(&mut self, now: Micros) {
        let seconds = (now - self.refilled_at).max(0) as f64 / SEC as f64;
        self.available = (self.available + seconds * self.bytes_per_second).min(self.capacity);
        self.refilled_at = now;
    }

    /// Takes tokens for bytes that are sent.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(self.lowest);
    }

    /// Whether anything may be sent.
    pub(super) fn has_tokens(&self) -> bool {
        self.available > 0.0
    }
}
