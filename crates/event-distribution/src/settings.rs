//! Settings of an installation and their bounds.

use crate::time::Micros;
pub use crate::time::{MILLISECOND, SECOND};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum length of a name, a region or a zone, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Maximum number of listed relays.
pub const MAX_RELAYS: usize = 64;
/// Maximum distance of a relay from the publisher, in hops: a relay follows the publisher, or a relay that follows the
/// publisher.
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

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Key of the setting, below `fleet.events` or `fleet.relay`.
    pub key: &'static str,
    /// Description of the violated bound.
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

/// Identity and address of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayAddress {
    /// Name of the relay, unique among the relays.
    pub name: String,
    /// Address of its datagram socket.
    pub address: SocketAddr,
    /// Members of the same region prefer this relay.
    pub region: String,
    /// Members of the same zone prefer this relay over others of the region.
    pub zone: String,
    /// Whether this relay is a publisher. Relays follow publishers first.
    pub publishes: bool,
}

/// Settings that are the same for all members of a fleet: `fleet { events { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DistributionSettings {
    /// Hash of the fleet's name. Messages from other fleets are dropped.
    pub fleet: u64,
    /// All relays, including the publisher.
    pub relays: Vec<RelayAddress>,
    /// `batch_ms`, 100 ms: how long events are collected before they are sent.
    pub batch_interval: Micros,
    /// `heartbeat_ms`, 400 ms: interval between two heartbeats of a subscriber. Relays send one heartbeat per batch
    /// interval.
    pub heartbeat_interval: Micros,
    /// `retry_ms`, 200 ms: how long a subscriber waits for an answer before it sends another heartbeat.
    pub retry_interval: Micros,
    /// `tries`, 3: number of unanswered heartbeats after which a subscriber chooses another relay.
    pub max_unanswered: u32,
    /// `lease_ms`, 1.6 s: duration of a lease, counted from when the granted request was sent.
    pub lease_duration: Micros,
    /// `lag_most_ms`, 600 ms: a subscriber that lacks an event older than this gets no new lease.
    pub max_lag: Micros,
    /// `copy_age_ms`, 2 s: a subscriber without a lease serves no copy older than this.
    pub max_copy_age: Micros,
    /// Bound on how much faster one clock runs than another, in parts per thousand: 10.
    pub clock_drift_per_mille: Micros,
    /// `keep_s`, 900 s: how long purges are stored for members that were disconnected.
    pub purge_retention: Micros,
    /// `purges_most`, 200,000: maximum number of stored purges. Purges beyond it are dropped, oldest first, and all
    /// copies older than a dropped purge are refused.
    pub max_purges: usize,
}

impl DistributionSettings {
    /// The default settings, with the given relays.
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

    /// Extends a duration so that it has passed by the slowest clock of the fleet.
    pub fn with_drift(&self, duration: Micros) -> Micros {
        duration + duration * self.clock_drift_per_mille / 1000
    }

    /// The maximum time from the publication of an event until it is in force everywhere, after one failure. A lagging
    /// subscriber gets its last lease within `max_lag`, and a subscriber that has failed holds its lease for
    /// `lease_duration`. If its relay fails as well before that lease expires, the time grows by up to one more lease.
    pub fn in_force_within(&self) -> Micros {
        let last_lease =
            self.max_lag + self.with_drift(self.lease_duration) + 4 * self.batch_interval;
        last_lease.max(self.with_drift(self.max_copy_age) + 2 * self.batch_interval)
    }

    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if self.relays.is_empty() || self.relays.len() > MAX_RELAYS {
            let reason = format!("must be listed 1 to {MAX_RELAYS} times");
            return Err(InvalidSetting::new("relay", reason));
        }
        for (index, relay) in self.relays.iter().enumerate() {
            validate_relay(relay, &self.relays[..index])?;
        }
        self.validate_durations()?;
        if !UNANSWERED_BOUNDS.contains(&self.max_unanswered) {
            return Err(out_of_bounds("tries", &UNANSWERED_BOUNDS));
        }
        if !PURGES_BOUNDS.contains(&self.max_purges) {
            return Err(out_of_bounds("purges_most", &PURGES_BOUNDS));
        }
        Ok(())
    }

    fn validate_durations(&self) -> Result<(), InvalidSetting> {
        let (batch, heartbeat) = (self.batch_interval, self.heartbeat_interval);
        validate_duration("batch_ms", batch, 10 * MILLISECOND..=SECOND)?;
        validate_duration("heartbeat_ms", heartbeat, 50 * MILLISECOND..=10 * SECOND)?;
        validate_duration(
            "retry_ms",
            self.retry_interval,
            20 * MILLISECOND..=heartbeat,
        )?;
        validate_duration("lease_ms", self.lease_duration, 2 * heartbeat..=60 * SECOND)?;
        validate_duration("lag_most_ms", self.max_lag, 2 * batch..=60 * SECOND)?;
        validate_duration(
            "copy_age_ms",
            self.max_copy_age,
            100 * MILLISECOND..=600 * SECOND,
        )?;
        validate_duration(
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
            "name {name:?} must be 1 to {MAX_TEXT_BYTES} bytes long"
        ));
    }
    if relay.region.len() > MAX_TEXT_BYTES || relay.zone.len() > MAX_TEXT_BYTES {
        return invalid(format!(
            "{name}: region or zone is longer than {MAX_TEXT_BYTES} bytes"
        ));
    }
    if before.iter().any(|other| other.name == *name) {
        return invalid(format!("{name:?} is listed twice"));
    }
    Ok(())
}

fn validate_duration(
    key: &'static str,
    duration: Micros,
    bounds: RangeInclusive<Micros>,
) -> Result<(), InvalidSetting> {
    if bounds.contains(&duration) {
        return Ok(());
    }
    let [duration, min, max] =
        [duration, *bounds.start(), *bounds.end()].map(|duration| duration / MILLISECOND);
    let reason = format!("{duration} ms is not within {min} to {max} ms");
    Err(InvalidSetting::new(key, reason))
}

fn out_of_bounds<N: fmt::Display>(key: &'static str, bounds: &RangeInclusive<N>) -> InvalidSetting {
    let reason = format!("is not within {} to {}", bounds.start(), bounds.end());
    InvalidSetting::new(key, reason)
}

/// Limits of one relay: `fleet { relay { ... } }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayLimits {
    /// `subscribers_most`: maximum number of subscribers served at a time. Further ones are rejected.
    pub max_subscribers: usize,
    /// `joins_per_s`: maximum rate of new subscribers per second, which is also the burst size.
    pub joins_per_second: u64,
    /// `snapshot_bytes_per_s`: maximum rate of snapshot bytes per second, for all subscribers together.
    pub snapshot_bytes_per_second: u64,
    /// `window_bytes`: bytes of events that are stored for subscribers that reconnect.
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
    /// Returns the first limit that is out of bounds.
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

/// Identity, address and location of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the member, unique in the fleet.
    pub name: String,
    /// Number of this start of the member, larger than those of earlier starts under the same name.
    pub incarnation: u64,
    /// Address at which other members reach this one.
    pub address: SocketAddr,
    /// Region of the member. Relays of the same region are preferred.
    pub region: String,
    /// Zone of the member. Relays of the same zone are preferred over others of the region.
    pub zone: String,
}
