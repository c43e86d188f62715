//! What an installation sets of the fleet, with the bounds of each.

use crate::Micros;
use std::net::SocketAddr;

/// The key that is at fault, below `fleet`, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    pub key: &'static str,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Fronts with another fleet's name are not heard.
    pub fleet: String,
    /// Where this front hears the others, and the address that it gives them, where that differs.
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    /// Some fronts that are asked first.
    pub contacts: Vec<SocketAddr>,
    pub zone: String,
    pub weight: u32,
    /// Time between two probes of one member by one observer.
    pub period: Micros,
    /// How many observe a member.
    pub observers: usize,
    pub members_most: usize,
    pub bytes_per_s: u64,
    /// How long the dead are shown and asked for, and those who left are shown.
    pub remember: Micros,
    /// Off only in baselines: whether an observer doubts its own eyes.
    pub own_health: bool,
    /// Whether what is too long for datagrams may go over a stream.
    pub streams: bool,
}

pub const SEC: Micros = 1_000_000;
/// A name, a zone and a version are no longer than this.
pub const TEXT_MOST: usize = 64;

impl Plan {
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

    /// The fleet's name, as it stands in every message.
    pub fn number(&self) -> u64 {
        crate::rings::hash(&self.fleet, 98)
    }

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
