//! Token buckets, one for each client: the usual rate limit, and the baseline that fair queueing is measured against.
//!
//! The generic cell rate algorithm (ITU-T I.371): a bucket is kept as the time at which it would be full. A client's rate
//! is limited whether other clients send requests or not. The table is fixed: clients share a bucket by hash.

use crate::identity::ClientIdentity;
use meadowrill_routing::interface::Micros;

const BUCKET_COUNT: usize = 4_096;
const MICROS_PER_SECOND: f64 = 1e6;

/// Token buckets by client.
pub struct TokenBuckets {
    /// When each bucket would be full again.
    full_at: Vec<Micros>,
    /// Time in which one token is added.
    interval: f64,
    burst: f64,
}

impl TokenBuckets {
    /// Full buckets of `burst` tokens that gain `rate_per_second`.
    pub fn new(rate_per_second: f64, burst: f64) -> TokenBuckets {
        TokenBuckets {
            full_at: vec![0; BUCKET_COUNT],
            interval: MICROS_PER_SECOND / rate_per_second,
            burst,
        }
    }

    /// Takes a token of the client.
    ///
    /// # Errors
    /// The time at which there will be a token, where there is none.
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
