//! The settings of the fleet for one proxy, with their bounds. Keys of the settings file are named in errors only.

use crate::hash::{stable_hash, FLEET_SALT};
use crate::Micros;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// Most bytes of a name, a zone or a version.
pub const MAX_TEXT_LENGTH: usize = 64;
const PROBE_PERIOD_RANGE: RangeInclusive<Micros> = SECOND / 20..=60 * SECOND;
const OBSERVERS_RANGE: RangeInclusive<usize> = 1..=16;
const MAX_MEMBERS_RANGE: RangeInclusive<usize> = 2..=65_536;
const BYTES_PER_SECOND_RANGE: RangeInclusive<u64> = 1000..=1_000_000_000;
/// Shortest retention of departed members, in probe periods.
const MIN_RETENTION_PERIODS: Micros = 10;

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Its key, below `fleet`.
    pub key: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.message)
    }
}

impl std::error::Error for InvalidSetting {}

/// The settings of the fleet for one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet: messages of others are dropped. Default: `meadowrill`.
    pub fleet: String,
    /// Where this proxy receives messages.
    pub listen: SocketAddr,
    /// The address that it publishes for that. Default: where it listens.
    pub advertise: SocketAddr,
    /// Addresses of proxies through which this one joins. Default: none.
    pub contacts: Vec<SocketAddr>,
    /// Zone of this proxy, published to others. Default: empty.
    pub zone: String,
    /// Weight of this proxy against others, published to them. Default: 1.
    pub weight: u32,
    /// Time between two probes of one member by one observer. Default: a second.
    pub probe_period: Micros,
    /// Observers of each member. Default: 4.
    pub observers: usize,
    /// Members that the view may hold, this proxy included. Default: 1024.
    pub max_members: usize,
    /// Rate of the send budget. Default: 4000.
    pub bytes_per_second: u64,
    /// How long members that are dead or have left stay in the view. Default: ten minutes.
    pub departed_retention: Micros,
    /// Whether local health extends timeouts: off in baselines only.
    pub local_health: bool,
    /// Whether long parts of an exchange may go over a stream. Default: yes.
    pub use_streams: bool,
}

impl FleetSettings {
    /// The defaults, for a proxy that listens there.
    pub fn new(listen: SocketAddr) -> FleetSettings {
        FleetSettings {
            fleet: "meadowrill".into(),
            listen,
            advertise: listen,
            contacts: Vec::new(),
            zone: String::new(),
            weight: 1,
            probe_period: SECOND,
            observers: 4,
            max_members: 1024,
            bytes_per_second: 4000,
            departed_retention: 600 * SECOND,
            local_health: true,
            use_streams: true,
        }
    }

    /// Hash of the fleet's name, as in every message.
    pub fn fleet_id(&self) -> u64 {
        stable_hash(&self.fleet, FLEET_SALT)
    }

    /// Checks all settings.
    ///
    /// # Errors
    /// The first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.validate_identity()?;
        self.validate_limits()
    }

    fn validate_identity(&self) -> Result<(), InvalidSetting> {
        ensure(
            !self.fleet.is_empty() && self.fleet.len() <= MAX_TEXT_LENGTH,
            "name",
            &format!("has to be of 1 to {MAX_TEXT_LENGTH} bytes"),
        )?;
        ensure(
            self.zone.len() <= MAX_TEXT_LENGTH,
            "zone",
            &format!("is longer than {MAX_TEXT_LENGTH} bytes"),
        )?;
        ensure(
            !self.advertise.ip().is_unspecified() && self.advertise.port() != 0,
            "advertise",
            "is no address that others could reach; listen on one, or tell it",
        )
    }

    fn validate_limits(&self) -> Result<(), InvalidSetting> {
        ensure(
            PROBE_PERIOD_RANGE.contains(&self.probe_period),
            "period_ms",
            "is not within 50 to 60000",
        )?;
        ensure(
            OBSERVERS_RANGE.contains(&self.observers),
            "observers",
            "is not within 1 to 16",
        )?;
        ensure(
            MAX_MEMBERS_RANGE.contains(&self.max_members),
            "members_most",
            "is not within 2 to 65536",
        )?;
        ensure(
            BYTES_PER_SECOND_RANGE.contains(&self.bytes_per_second),
            "bytes_per_s",
            "is not within 1000 to 1000000000",
        )?;
        ensure(
            self.departed_retention >= MIN_RETENTION_PERIODS * self.probe_period,
            "remember_s",
            "is less than ten periods",
        )
    }
}

fn ensure(is_valid: bool, key: &'static str, message: &str) -> Result<(), InvalidSetting> {
    if is_valid {
        return Ok(());
    }
    Err(InvalidSetting {
        key,
        message: message.into(),
    })
}
