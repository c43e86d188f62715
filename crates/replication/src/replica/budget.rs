//! Token buckets, which limit the bytes sent per second.
//!
//! Invariant: the available tokens are between `min_available` and `capacity`.

use crate::{Micros, SEC};

/// Capacity of the bucket for ordinary messages, and the limit of its debt, in seconds of its rate.
const MESSAGE_BURST_SECONDS: f64 = 1.0;
/// Capacity of the bucket for catch-up pages, in seconds of its rate.
const CATCH_UP_BURST_SECONDS: f64 = 0.02;

/// A token bucket in bytes that can go into debt: a message of any size may be sent while any tokens are available.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    bytes_per_second: f64,
    capacity: f64,
    /// Limit of the debt, as a negative number of tokens.
    min_available: f64,
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket for messages in ordinary operation.
    pub(super) fn for_messages(bytes_per_second: u64, now: Micros) -> TokenBucket {
        let capacity = bytes_per_second as f64 * MESSAGE_BURST_SECONDS;
        TokenBucket::full(bytes_per_second, capacity, -capacity, now)
    }

    /// Creates a full bucket for pages sent to proxies that are catching up. Its debt is not limited.
    pub(super) fn for_catch_up(bytes_per_second: u64, now: Micros) -> TokenBucket {
        let capacity = bytes_per_second as f64 * CATCH_UP_BURST_SECONDS;
        TokenBucket::full(bytes_per_second, capacity, f64::NEG_INFINITY, now)
    }

    fn full(bytes_per_second: u64, capacity: f64, min_available: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            bytes_per_second: bytes_per_second as f64,
            capacity,
            min_available,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros) {
        let seconds = (now - self.refilled_at).max(0) as f64 / SEC as f64;
        self.available = (self.available + seconds * self.bytes_per_second).min(self.capacity);
        self.refilled_at = now;
    }

    /// Takes tokens for sent bytes.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(self.min_available);
    }

    /// Whether anything may be sent.
    pub(super) fn has_tokens(&self) -> bool {
        self.available > 0.0
    }
}
