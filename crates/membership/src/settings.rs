//! The settings of the fleet, with their bounds.

use crate::hash::{stable_hash, FLEET_SALT};
use crate::Micros;
use std::net::SocketAddr;

/// A setting that is out of bounds: its key, below `fleet`, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    pub key: &'static str,
    pub message: String,
}

/// The settings of the fleet for one front.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet: messages of others are dropped.
    pub fleet: String,
    /// Where this front receives messages.
    pub listen: SocketAddr,
    /// The address that it publishes for that.
    pub advertise: SocketAddr,
    /// Addresses of fronts through which this one joins.
    pub contacts: Vec<SocketAddr>,
    pub zone: String,
    pub weight: u32,
    /// Time between two probes of one member by one observer.
    pub probe_period: Micros,
    /// Observers of each member.
    pub observers: usize,
    /// Members that the view may hold, this front included.
    pub max_members: usize,
    /// Rate of the send budget.
    pub bytes_per_second: u64,
    /// How long members that are dead or have left stay in the view.
    pub departed_retention: Micros,
    /// Whether local health extends timeouts: off in baselines only.
    pub local_health: bool,
    /// Whether long parts of an exchange may go over a stream.
    pub use_streams: bool,
}

/// One second.
pub const SECOND: Micros = 1_000_000;
/// Length of a name, a zone or a version at most.
pub const MAX_TEXT_LENGTH: usize = 64;

impl FleetSettings {
    /// The defaults, for a front that listens there.
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

    /// Fails with the first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let wrong = |key, message: String| Err(InvalidSetting { key, message });
        if self.fleet.is_empty() || self.fleet.len() > MAX_TEXT_LENGTH {
            return wrong("name", format!("has to be of 1 to {MAX_TEXT_LENGTH} bytes"));
        }
        if self.zone.len() > MAX_TEXT_LENGTH {
            return wrong("zone", format!("is longer than {MAX_TEXT_LENGTH} bytes"));
        }
        if self.advertise.ip().is_unspecified() || self.advertise.port() == 0 {
            return wrong(
                "advertise",
                "is no address that others could reach; listen on one, or tell it".into(),
            );
        }
        if !(SECOND / 20..=60 * SECOND).contains(&self.probe_period) {
            return wrong("period_ms", "is not within 50 to 60000".into());
        }
        if !(1..=16).contains(&self.observers) {
            return wrong("observers", "is not within 1 to 16".into());
        }
        if !(2..=65_536).contains(&self.max_members) {
            return wrong("members_most", "is not within 2 to 65536".into());
        }
        if !(1000..=1_000_000_000).contains(&self.bytes_per_second) {
            return wrong("bytes_per_s", "is not within 1000 to 1000000000".into());
        }
        if self.departed_retention < 10 * self.probe_period {
            return wrong("remember_s", "is less than ten periods".into());
        }
        Ok(())
    }
}
