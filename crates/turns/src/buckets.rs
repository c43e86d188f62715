//! Plain token buckets, one for each client: what most proxies offer, and what the fair door is measured beside. A
//! client's rate holds whether anybody else asks or not. The table is fixed: clients share a bucket by hash.

use crate::names::Asker;
use meadowrill_core::interface::Micros;

const BUCKETS: usize = 4_096;

pub struct Buckets {
    /// When each would be full again (the cell rate form of a token bucket).
    full_at: Vec<Micros>,
    every: f64,
    burst: f64,
}

impl Buckets {
    pub fn new(per_s: f64, burst: f64) -> Buckets {
        Buckets { full_at: vec![0; BUCKETS], every: 1e6 / per_s, burst }
    }

    /// None where it may pass, else the moment at which a token is there.
    pub fn ask(&mut self, now: Micros, asker: Asker) -> Option<Micros> {
        let full_at = &mut self.full_at[asker.client as usize % BUCKETS];
        let next = (*full_at).max(now) as f64 + self.every;
        let most = now as f64 + self.every * self.burst;
        if next <= most {
            *full_at = next as Micros;
            return None;
        }
        Some((now as f64 + next - most) as Micros)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_burst_passes_then_the_rate() {
        let mut buckets = Buckets::new(10.0, 3.0);
        let asker = Asker { tenant: 0, client: 5, connection: 1, address: "127.0.0.1".parse().unwrap() };
        let asked: Vec<_> = (0..4).map(|_| buckets.ask(0, asker)).collect();
        assert_eq!(asked, [None, None, None, Some(100_000)]);
        assert_eq!((buckets.ask(100_000, asker), buckets.ask(100_000, asker)), (None, Some(200_000)));
    }
}
