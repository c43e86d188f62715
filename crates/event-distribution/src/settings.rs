//! What an installation sets, with the bounds of each setting.

use crate::time::Micros;
pub use crate::time::{MILLISECOND, SECOND};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Bytes of a name, a region or a zone at most.
pub const MAX_TEXT_BYTES: usize = 64;
/// Relays that may be listed.
pub const MAX_RELAYS: usize = 64;
/// A relay may follow one that follows the publisher; no farther.
pub(crate) const MAX_RELAY_HOPS: u32 = 2;
/// Bounds of [`DistributionSettings::max_unanswered`].
const UNANSWERED_BOUNDS: RangeInclusive<u32> = 1..=100;
/// Bounds of [`DistributionSettings::max_purges`].
const PURGES_BOUNDS: RangeInclusive<usize> = 1_000..=10_000_000;
/// Bounds of [`RelayLimits::max_subscribers`].
const SUBSCRIBERS_BOUNDS: RangeInclusive<usize> = 1..=100_000;
/// Bounds of [`RelayLimits::joins_per_second`].
const JOINS_BOUNDS: RangeInclusive<u64> = 1..=100_000;
/// Bounds of [`RelayLimits::snapshot_bytes_per_second`].
const SNAPSHOT_BYTES_BOUNDS: RangeInclusive<u64> = 10_000..=1_000_000_000;
/// Bounds of [`RelayLimits::window_bytes`].
const WINDOW_BYTES_BOUNDS: RangeInclusive<usize> = 10_000..=1_000_000_000;

/// A setting out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Its key, below `fleet.events` or `fleet.relay`.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl InvalidSetting {
    fn new(key: &'static str, reason: impl Into<String>) -> InvalidSetting {
        let reason = reason.into();
        InvalidSetting { key, reason }
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for InvalidSetting {}

/// Where a relay is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayAddress {
    /// Its name, unique among the relays.
    pub name: String,
    /// Of its socket for datagrams.
    pub address: SocketAddr,
    /// Members of the same region prefer it.
    pub region: String,
    /// Members of the same zone prefer it most.
    pub zone: String,
    /// It publishes. Relays follow such a one first.
    pub publishes: bool,
}

/// The same for all members of one fleet: `fleet { events { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DistributionSettings {
    /// Hash of the fleet's name; what comes from another fleet is dropped.
    pub fleet: u64,
    /// All relays, with the one that publishes.
    pub relays: Vec<RelayAddress>,
    /// `batch_ms`, 100 ms: events are collected for so long before they are sent.
    pub batch_interval: Micros,
    /// `heartbeat_ms`, 400 ms: between two heartbeats of a subscriber; relays send theirs once a batch.
    pub heartbeat_interval: Micros,
    /// `retry_ms`, 200 ms: after so long without an answer a heartbeat is sent again.
    pub retry_interval: Micros,
    /// `tries`, 3: unanswered heartbeats until a subscriber chooses another relay.
    pub max_unanswered: u32,
    /// `lease_ms`, 1.6 s: how long a lease holds, from the request that was granted.
    pub lease_duration: Micros,
    /// `lag_most_ms`, 600 ms: a subscriber that lacks an event older than this gets no new lease.
    pub max_lag: Micros,
    /// `copy_age_ms`, 2 s: without a lease, no copy older than this is served.
    pub max_copy_age: Micros,
    /// Bound on how much faster one clock runs than another, in parts per thousand: 10.
    pub clock_drift_per_mille: Micros,
    /// `keep_s`, 900 s: how long purges are stored for members that were away.
    pub purge_retention: Micros,
    /// `purges_most`, 200,000: purges that are stored; beyond, all copies older than the oldest one dropped are refused.
    pub max_purges: usize,
}

impl DistributionSettings {
    /// The defaults, for these relays.
    pub fn new(fleet: u64, relays: Vec<RelayAddress>) -> DistributionSettings {
        DistributionSettings {
            fleet,
            relays,
            batch_interval: 100 * MILLISECOND,
            heartbeat_interval: 400 * MILLISECOND,
            retry_interval: 200 * MILLISECOND,
            max_unanswered: 3,
            lease_duration: 1_600 * MILLISECOND,
            max_lag: 600 * MILLISECOND,
            max_copy_age: 2 * SECOND,
            clock_drift_per_mille: 10,
            purge_retention: 900 * SECOND,
            max_purges: 200_000,
        }
    }

    /// A span as the slowest clock of the fleet may take it.
    pub fn with_drift(&self, span: Micros) -> Micros {
        span + span * self.clock_drift_per_mille / 1000
    }

    /// The longest that an event can take to be in force everywhere, once it is published and after one failure: a
    /// subscriber that lags gets its last lease after `max_lag`, and one that has gone keeps it for `lease_duration`.
    /// Where its relay goes as well before that lease is over, it takes up to one lease more.
    pub fn in_force_within(&self) -> Micros {
        let last_lease =
            self.max_lag + self.with_drift(self.lease_duration) + 4 * self.batch_interval;
        last_lease.max(self.with_drift(self.max_copy_age) + 2 * self.batch_interval)
    }

    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if self.relays.is_empty() || self.relays.len() > MAX_RELAYS {
            let reason = format!("has to be told 1 to {MAX_RELAYS} times");
            return Err(InvalidSetting::new("relay", reason));
        }
        for (index, relay) in self.relays.iter().enumerate() {
            validate_relay(relay, &self.relays[..index])?;
        }
        self.validate_spans()?;
        if !UNANSWERED_BOUNDS.contains(&self.max_unanswered) {
            return Err(out_of_bounds("tries", &UNANSWERED_BOUNDS));
        }
        if !PURGES_BOUNDS.contains(&self.max_purges) {
            return Err(out_of_bounds("purges_most", &PURGES_BOUNDS));
        }
        Ok(())
    }

    fn validate_spans(&self) -> Result<(), InvalidSetting> {
        let (batch, heartbeat) = (self.batch_interval, self.heartbeat_interval);
        validate_span("batch_ms", batch, 10 * MILLISECOND..=SECOND)?;
        validate_span("heartbeat_ms", heartbeat, 50 * MILLISECOND..=10 * SECOND)?;
        validate_span(
            "retry_ms",
            self.retry_interval,
            20 * MILLISECOND..=heartbeat,
        )?;
        validate_span("lease_ms", self.lease_duration, 2 * heartbeat..=60 * SECOND)?;
        validate_span("lag_most_ms", self.max_lag, 2 * batch..=60 * SECOND)?;
        validate_span(
            "copy_age_ms",
            self.max_copy_age,
            100 * MILLISECOND..=600 * SECOND,
        )?;
        validate_span(
            "keep_s",
            self.purge_retention,
            10 * SECOND..=86_400 * SECOND,
        )
    }
}

fn validate_relay(relay: &RelayAddress, before: &[RelayAddress]) -> Result<(), InvalidSetting> {
    let name = &relay.name;
    let invalid = |reason| Err(InvalidSetting::new("relay", reason));
    if name.is_empty() || name.len() > MAX_TEXT_BYTES {
        return invalid(format!(
            "name {name:?}: has to be of 1 to {MAX_TEXT_BYTES} bytes"
        ));
    }
    if relay.region.len() > MAX_TEXT_BYTES || relay.zone.len() > MAX_TEXT_BYTES {
        return invalid(format!(
            "{name}: region or zone is longer than {MAX_TEXT_BYTES} bytes"
        ));
    }
    if before.iter().any(|other| other.name == *name) {
        return invalid(format!("{name:?} is told twice"));
    }
    Ok(())
}

fn validate_span(
    key: &'static str,
    span: Micros,
    bounds: RangeInclusive<Micros>,
) -> Result<(), InvalidSetting> {
    if bounds.contains(&span) {
        return Ok(());
    }
    let [span, least, most] = [span, *bounds.start(), *bounds.end()].map(|span| span / MILLISECOND);
    let reason = format!("{span} ms is not within {least} to {most} ms");
    Err(InvalidSetting::new(key, reason))
}

fn out_of_bounds<N: fmt::Display>(key: &'static str, bounds: &RangeInclusive<N>) -> InvalidSetting {
    let reason = format!("is not within {} to {}", bounds.start(), bounds.end());
    InvalidSetting::new(key, reason)
}

/// Limits of one relay: `fleet { relay { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayLimits {
    /// `subscribers_most`: subscribers that are served at one time; more are refused.
    pub max_subscribers: usize,
    /// `joins_per_s`: new subscribers a second, and as many at once.
    pub joins_per_second: u64,
    /// `snapshot_bytes_per_s`: bytes a second of snapshots, for all subscribers together.
    pub snapshot_bytes_per_second: u64,
    /// `window_bytes`: bytes of events that are stored for subscribers that come back.
    pub window_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> RelayLimits {
        RelayLimits {
            max_subscribers: 2_048,
            joins_per_second: 1_000,
            snapshot_bytes_per_second: 8_000_000,
            window_bytes: 4_000_000,
        }
    }
}

impl RelayLimits {
    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// The first limit that is out of its bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if !SUBSCRIBERS_BOUNDS.contains(&self.max_subscribers) {
            return Err(out_of_bounds("subscribers_most", &SUBSCRIBERS_BOUNDS));
        }
        if !JOINS_BOUNDS.contains(&self.joins_per_second) {
            return Err(out_of_bounds("joins_per_s", &JOINS_BOUNDS));
        }
        if !SNAPSHOT_BYTES_BOUNDS.contains(&self.snapshot_bytes_per_second) {
            let key = "snapshot_bytes_per_s";
            return Err(out_of_bounds(key, &SNAPSHOT_BYTES_BOUNDS));
        }
        if !WINDOW_BYTES_BOUNDS.contains(&self.window_bytes) {
            return Err(out_of_bounds("window_bytes", &WINDOW_BYTES_BOUNDS));
        }
        Ok(())
    }
}

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Unique in the fleet.
    pub name: String,
    /// Larger at each start of the same name.
    pub incarnation: u64,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Relays of the same region are preferred.
    pub region: String,
    /// Relays of the same zone are preferred most.
    pub zone: String,
}
