//! The fleet settings of one proxy and their bounds. The keys of the settings file appear only in errors.

use crate::hash::{stable_hash, FLEET_SALT};
use crate::Micros;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// Maximum length of a name, a zone or a version, in bytes.
pub const MAX_TEXT_LENGTH: usize = 64;
const PROBE_PERIOD_RANGE: RangeInclusive<Micros> = SECOND / 20..=60 * SECOND;
const OBSERVERS_RANGE: RangeInclusive<usize> = 1..=16;
const MAX_MEMBERS_RANGE: RangeInclusive<usize> = 2..=65_536;
const BYTES_PER_SECOND_RANGE: RangeInclusive<u64> = 1000..=1_000_000_000;
/// Minimum retention of departed members, in probe periods.
const MIN_RETENTION_PERIODS: Micros = 10;

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Key of the setting, below `fleet`.
    pub key: &'static str,
    /// Description of the violated bound.
    pub message: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.message)
    }
}

impl std::error::Error for InvalidSetting {}

/// The fleet settings of one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet. Messages from other fleets are dropped. Default: `meadowrill`.
    pub fleet: String,
    /// Address at which this proxy receives messages.
    pub listen: SocketAddr,
    /// Address that this proxy publishes to receive messages. Default: `listen`.
    pub advertise: SocketAddr,
    /// Addresses of proxies through which this proxy joins the fleet. Default: none.
    pub contacts: Vec<SocketAddr>,
    /// Zone of this proxy, published to other members. Default: empty.
    pub zone: String,
    /// Weight of this proxy relative to other proxies, published to them. Default: 1.
    pub weight: u32,
    /// Interval at which an observer probes a member. Default: one second.
    pub probe_period: Micros,
    /// Number of observers of each member. Default: 4.
    pub observers: usize,
    /// Maximum number of members in the view, including this proxy. Default: 1024.
    pub max_members: usize,
    /// Refill rate of the send budget. Default: 4000.
    pub bytes_per_second: u64,
    /// How long members that are dead or have left are retained in the view. Default: ten minutes.
    pub departed_retention: Micros,
    /// Whether local health extends timeouts. Disabled only in baseline comparisons.
    pub local_health: bool,
    /// Whether large messages of an anti-entropy exchange may be sent over a stream. Default: true.
    pub use_streams: bool,
}

impl FleetSettings {
    /// The default settings of a proxy with this listen address.
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

    /// Hash of the fleet's name, which every message carries.
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
            &format!("must be 1 to {MAX_TEXT_LENGTH} bytes long"),
        )?;
        ensure(
            self.zone.len() <= MAX_TEXT_LENGTH,
            "zone",
            &format!("must be at most {MAX_TEXT_LENGTH} bytes long"),
        )?;
        ensure(
            !self.advertise.ip().is_unspecified() && self.advertise.port() != 0,
            "advertise",
            "is not an address that other proxies can reach; listen on such an address or set advertise",
        )
    }

    fn validate_limits(&self) -> Result<(), InvalidSetting> {
        ensure(
            PROBE_PERIOD_RANGE.contains(&self.probe_period),
            "period_ms",
            "must be between 50 and 60000",
        )?;
        ensure(
            OBSERVERS_RANGE.contains(&self.observers),
            "observers",
            "must be between 1 and 16",
        )?;
        ensure(
            MAX_MEMBERS_RANGE.contains(&self.max_members),
            "members_most",
            "must be between 2 and 65536",
        )?;
        ensure(
            BYTES_PER_SECOND_RANGE.contains(&self.bytes_per_second),
            "bytes_per_s",
            "must be between 1000 and 1000000000",
        )?;
        ensure(
            self.departed_retention >= MIN_RETENTION_PERIODS * self.probe_period,
            "remember_s",
            "must be at least ten probe periods",
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
