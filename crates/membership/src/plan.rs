//! The settings of the fleet, with their bounds.

use crate::Micros;
use std::net::SocketAddr;

/// A setting that is out of bounds: its key, below `fleet`, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    pub key: &'static str,
    pub what: String,
}

/// The settings of the fleet for one front.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
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
    pub period: Micros,
    /// Observers of each member.
    pub observers: usize,
    /// Members that the view may hold, this front included.
    pub members_most: usize,
    /// Rate of the send budget.
    pub bytes_per_s: u64,
    /// How long members that are dead or have left stay in the view.
    pub remember: Micros,
    /// Whether local health extends timeouts: off in baselines only.
    pub own_health: bool,
    /// Whether long parts of an exchange may go over a stream.
    pub streams: bool,
}

/// One second.
pub const SEC: Micros = 1_000_000;
/// Length of a name, a zone or a version at most.
pub const TEXT_MOST: usize = 64;

impl Plan {
    /// The defaults, for a front that listens there.
    pub fn new(listen: SocketAddr) -> Plan {
        Plan {
            fleet: "meadowrill".into(),
            listen,
            advertise: listen,
            contacts: Vec::new(),
            zone: String::new(),
            weight: 1,
            period: SEC,
            observers: 4,
            members_most: 1024,
            bytes_per_s: 4000,
            remember: 600 * SEC,
            own_health: true,
            streams: true,
        }
    }

    /// Hash of the fleet's name, as in every message.
    pub fn number(&self) -> u64 {
        crate::rings::hash(&self.fleet, 98)
    }

    /// Fails with the first setting that is out of bounds.
    pub fn check(&self) -> Result<(), Faulty> {
        let wrong = |key, what: String| Err(Faulty { key, what });
        if self.fleet.is_empty() || self.fleet.len() > TEXT_MOST {
            return wrong("name", format!("has to be of 1 to {TEXT_MOST} bytes"));
        }
        if self.zone.len() > TEXT_MOST {
            return wrong("zone", format!("is longer than {TEXT_MOST} bytes"));
        }
        if self.advertise.ip().is_unspecified() || self.advertise.port() == 0 {
            return wrong(
                "advertise",
                "is no address that others could reach; listen on one, or tell it".into(),
            );
        }
        if !(SEC / 20..=60 * SEC).contains(&self.period) {
            return wrong("period_ms", "is not within 50 to 60000".into());
        }
        if !(1..=16).contains(&self.observers) {
            return wrong("observers", "is not within 1 to 16".into());
        }
        if !(2..=65_536).contains(&self.members_most) {
            return wrong("members_most", "is not within 2 to 65536".into());
        }
        if !(1000..=1_000_000_000).contains(&self.bytes_per_s) {
            return wrong("bytes_per_s", "is not within 1000 to 1000000000".into());
        }
        if self.remember < 10 * self.period {
            return wrong("remember_s", "is less than ten periods".into());
        }
        Ok(())
    }
}
