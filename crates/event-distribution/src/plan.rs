//! What an installation sets, with the bounds of each.

use crate::Micros;
use std::net::SocketAddr;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// A name, a region and a zone are no longer than this, in bytes.
pub const TEXT_MOST: usize = 64;
/// A relay may follow one that follows the publisher; no farther.
pub(crate) const RELAYS_IN_LINE: u32 = 2;
/// Heartbeats that may be tried at one relay.
const TRIES_MOST: u32 = 100;
/// Relays that may be listed.
pub const RELAYS_MOST: usize = 64;

/// The key that is at fault, below `fleet.events` or `fleet.relay`, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    pub key: &'static str,
    pub what: String,
}

/// Where a relay is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayAddress {
    pub name: String,
    pub address: SocketAddr,
    pub region: String,
    pub zone: String,
    /// It publishes. Relays follow such a one first.
    pub publishes: bool,
}

/// The same for all members of one fleet: `fleet { events { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    /// Hash of the fleet's name; what comes from another fleet is dropped.
    pub fleet: u64,
    pub relays: Vec<RelayAddress>,
    /// Events are collected for so long before they are sent.
    pub batch: Micros,
    /// Between two heartbeats of a subscriber; relays send theirs once a batch.
    pub heartbeat: Micros,
    /// After so long without an answer a heartbeat is sent again.
    pub retry: Micros,
    /// Unanswered heartbeats until a subscriber turns to another relay.
    pub tries: u32,
    /// How long a lease holds, from the request that was granted.
    pub lease: Micros,
    /// A subscriber that lacks an event older than this gets no new lease.
    pub lag_most: Micros,
    /// Without a lease, no copy older than this is served.
    pub copy_age: Micros,
    /// Bound on how much faster one clock runs than another, in parts per thousand.
    pub drift_per_mille: Micros,
    /// How long purges are kept for those who were not there.
    pub keep: Micros,
    /// Purges that are kept at most; beyond, all copies older than the oldest one dropped are refused.
    pub purges_most: usize,
}

impl Plan {
    pub fn new(fleet: u64, relays: Vec<RelayAddress>) -> Plan {
        Plan {
            fleet,
            relays,
            batch: 100 * MILLISECOND,
            heartbeat: 400 * MILLISECOND,
            retry: 200 * MILLISECOND,
            tries: 3,
            lease: 1_600 * MILLISECOND,
            lag_most: 600 * MILLISECOND,
            copy_age: 2 * SECOND,
            drift_per_mille: 10,
            keep: 900 * SECOND,
            purges_most: 200_000,
        }
    }

    /// A span as the slowest clock of the fleet may take it.
    pub fn with_drift(&self, span: Micros) -> Micros {
        span + span * self.drift_per_mille / 1000
    }

    /// The longest that an event can take to be in force everywhere, once it is published and after one failure: a
    /// subscriber that lags gets its last lease after `lag_most`, and one that has gone keeps it for `lease`. Where its
    /// relay goes as well before that lease is over, it takes up to one lease more.
    pub fn done_within(&self) -> Micros {
        let last_lease = self.lag_most + self.with_drift(self.lease) + 4 * self.batch;
        last_lease.max(self.with_drift(self.copy_age) + 2 * self.batch)
    }

    pub fn check(&self) -> Result<(), Faulty> {
        let wrong = |key, what: String| Err(Faulty { key, what });
        if self.relays.is_empty() || self.relays.len() > RELAYS_MOST {
            return wrong("relay", format!("has to be told 1 to {RELAYS_MOST} times"));
        }
        for (at, relay) in self.relays.iter().enumerate() {
            if relay.name.is_empty() || relay.name.len() > TEXT_MOST {
                return wrong(
                    "relay",
                    format!("name {:?}: has to be of 1 to {TEXT_MOST} bytes", relay.name),
                );
            }
            if relay.region.len() > TEXT_MOST || relay.zone.len() > TEXT_MOST {
                return wrong(
                    "relay",
                    format!(
                        "{}: region or zone is longer than {TEXT_MOST} bytes",
                        relay.name
                    ),
                );
            }
            if self.relays[..at]
                .iter()
                .any(|other| other.name == relay.name)
            {
                return wrong("relay", format!("{:?} is told twice", relay.name));
            }
        }
        let spans = [
            (
                "batch_ms",
                self.batch,
                10 * MILLISECOND,
                1_000 * MILLISECOND,
            ),
            (
                "heartbeat_ms",
                self.heartbeat,
                50 * MILLISECOND,
                10 * SECOND,
            ),
            ("retry_ms", self.retry, 20 * MILLISECOND, self.heartbeat),
            ("lease_ms", self.lease, 2 * self.heartbeat, 60 * SECOND),
            ("lag_most_ms", self.lag_most, 2 * self.batch, 60 * SECOND),
            (
                "copy_age_ms",
                self.copy_age,
                100 * MILLISECOND,
                600 * SECOND,
            ),
            ("keep_s", self.keep, 10 * SECOND, 86_400 * SECOND),
        ];
        for (key, value, least, most) in spans {
            if !(least..=most).contains(&value) {
                let ms = |span: Micros| span / MILLISECOND;
                return wrong(
                    key,
                    format!(
                        "{} ms is not within {} to {} ms",
                        ms(value),
                        ms(least),
                        ms(most)
                    ),
                );
            }
        }
        if !(1..=TRIES_MOST).contains(&self.tries) {
            return wrong("tries", format!("is not within 1 to {TRIES_MOST}"));
        }
        if !(1_000..=10_000_000).contains(&self.purges_most) {
            return wrong("purges_most", "is not within 1000 to 10000000".into());
        }
        Ok(())
    }
}

/// What one relay sets beside: `fleet { relay { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayPlan {
    /// Subscribers that are served at one time; more are told to come later.
    pub subscribers_most: usize,
    /// New subscribers a second, and as many at once.
    pub joins_per_s: u64,
    /// Bytes a second of snapshots, for all subscribers together.
    pub snapshot_bytes_per_s: u64,
    /// Bytes of events that are kept for those who come back.
    pub window_bytes: usize,
}

impl Default for RelayPlan {
    fn default() -> RelayPlan {
        RelayPlan {
            subscribers_most: 2_048,
            joins_per_s: 1_000,
            snapshot_bytes_per_s: 8_000_000,
            window_bytes: 4_000_000,
        }
    }
}

impl RelayPlan {
    pub fn check(&self) -> Result<(), Faulty> {
        let wrong = |key, what: &str| {
            Err(Faulty {
                key,
                what: what.into(),
            })
        };
        if !(1..=100_000).contains(&self.subscribers_most) {
            return wrong("subscribers_most", "is not within 1 to 100000");
        }
        if !(1..=100_000).contains(&self.joins_per_s) {
            return wrong("joins_per_s", "is not within 1 to 100000");
        }
        if !(10_000..=1_000_000_000).contains(&self.snapshot_bytes_per_s) {
            return wrong("snapshot_bytes_per_s", "is not within 10000 to 1000000000");
        }
        if !(10_000..=1_000_000_000).contains(&self.window_bytes) {
            return wrong("window_bytes", "is not within 10000 to 1000000000");
        }
        Ok(())
    }
}

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    pub name: String,
    /// Larger at each start of the same name.
    pub incarnation: u64,
    /// Where others reach it.
    pub address: SocketAddr,
    pub region: String,
    pub zone: String,
}
