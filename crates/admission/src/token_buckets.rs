//! A token bucket for each client: the common form of rate limit, and the baseline that fair queueing is compared with.
//!
//! The implementation is the generic cell rate algorithm (ITU-T I.371): a bucket is stored as the time at which it
//! would be full. A client's rate is limited even if no other client sends requests. The table has a fixed size, so
//! clients whose hashes collide share a bucket.

use crate::identity::ClientIdentity;
use meadowrill_routing::interface::Micros;

const BUCKET_COUNT: usize = 4_096;
const MICROS_PER_SECOND: f64 = 1e6;

/// Token buckets, selected by the client's hash.
pub struct TokenBuckets {
    /// When each bucket will be full again.
    full_at: Vec<Micros>,
    /// Time between two tokens, in microseconds.
    interval: f64,
    burst: f64,
}

impl TokenBuckets {
    /// Creates full buckets that hold `burst` tokens and gain `rate_per_second` tokens.
    pub fn new(rate_per_second: f64, burst: f64) -> TokenBuckets {
        TokenBuckets {
            full_at: vec![0; BUCKET_COUNT],
            interval: MICROS_PER_SECOND / rate_per_second,
            burst,
        }
    }

    /// Takes a token from the client's bucket.
    ///
    /// # Errors
    /// If the bucket has no token, returns the time at which it will have one.
    pub fn take_token(&mut self, now: Micros, identity: ClientIdentity) -> Result<(), Micros> {
        let full_at = &mut self.full_at[identity.client as usize % BUCKET_COUNT];
        let next = (*full_at).max(now) as f64 + self.interval;
        let latest = now as f64 + self.interval * self.burst;
        if next <= latest {
            *full_at = next as Micros;
            return Ok(());
        }
        Err((now as f64 + next - latest) as Micros)
    }
}

#[cfg(test)]
mod tests;
