//! What an installation may set, its defaults, and the checks on it. Each fault names its key as it stands in
//! the settings file.

use ipnet::IpNet;
use meadowrill_core::interface::Micros;
use std::collections::BTreeSet;
use std::fmt;

/// Tenants that may be named: each has queues of its own, so their number bounds the memory.
pub const TENANTS: usize = 64;
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=1000.0;

/// Who is let in next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// As read, up to the bounds: the door as it was.
    FirstCome,
    /// As read, each client up to a rate of its own: the plain alternative, kept to compare with.
    Buckets,
    /// Fair among tenants, then among a tenant's clients.
    Fair,
}

/// What makes two lookups one client's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientBy {
    Address,
    Connection,
    /// A field of the request; the address where a request lacks it.
    Field(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    /// Its share against the others'.
    pub weight: f64,
    pub networks: Vec<IpNet>,
    /// Values of the tenant field that stand for it.
    pub values: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub order: Order,
    /// The first is the default tenant: whoever matches none.
    pub tenants: Vec<Tenant>,
    /// The field of a request that tells its tenant, before its network is looked at.
    pub tenant_field: Option<String>,
    pub client_by: ClientBy,
    /// Lookups that may wait at the door, all together.
    pub waiting_most: usize,
    /// Bounds of the limit on what is inside.
    pub inside_least: usize,
    pub inside_most: usize,
    /// What a kilobyte costs beside the time that its lookup takes.
    pub per_kb: Micros,
    /// Of [`Order::Buckets`]: lookups a second of one client, and how many at once.
    pub bucket_per_s: f64,
    pub bucket_burst: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            order: Order::FirstCome,
            tenants: vec![Tenant::default()],
            tenant_field: None,
            client_by: ClientBy::Address,
            waiting_most: 4096,
            inside_least: 4,
            inside_most: 4096,
            per_kb: 10,
            bucket_per_s: 50.0,
            bucket_burst: 10.0,
        }
    }
}

impl Default for Tenant {
    fn default() -> Tenant {
        Tenant { name: "default".into(), weight: 1.0, networks: Vec::new(), values: Vec::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

fn ensure(good: bool, key: impl Into<String>, what: impl Into<String>) -> Result<(), Fault> {
    if good {
        Ok(())
    } else {
        Err(Fault { key: key.into(), what: what.into() })
    }
}

fn within(value: f64, range: std::ops::RangeInclusive<f64>, key: impl Into<String>) -> Result<(), Fault> {
    // What is not a number is in no range.
    let what = || format!("{value} is not within {} to {}", range.start(), range.end());
    ensure(range.contains(&value), key, what())
}

impl Plan {
    /// Whole or not at all: the first fault is returned.
    pub fn check(&self) -> Result<(), Fault> {
        let count = self.tenants.len();
        ensure(
            (1..=TENANTS).contains(&count),
            "turns.tenant",
            format!("{count} tenants, {TENANTS} at most"),
        )?;
        let (mut names, mut networks, mut values) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        for (at, tenant) in self.tenants.iter().enumerate() {
            // The default tenant stands first here and has no place among those named.
            let key = |field: &str| match at {
                0 => format!("turns.default_{field}"),
                _ => format!("turns.tenant[{}].{field}", at - 1),
            };
            ensure(!tenant.name.is_empty(), key("name"), "is empty")?;
            let plain = tenant.name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            ensure(
                plain && tenant.name.len() <= 64,
                key("name"),
                "may hold letters, digits, '-', '_' and '.'",
            )?;
            ensure(names.insert(&tenant.name), key("name"), format!("{:?} is named twice", tenant.name))?;
            within(tenant.weight, WEIGHTS, key("weight"))?;
            for (n, net) in tenant.networks.iter().enumerate() {
                let twice = format!("{net} is another tenant's already");
                ensure(networks.insert(net.trunc()), format!("{}[{n}]", key("network")), twice)?;
            }
            for (n, value) in tenant.values.iter().enumerate() {
                let twice = format!("{value:?} is another tenant's already");
                ensure(values.insert(value), format!("{}[{n}]", key("value")), twice)?;
            }
            let reached = at == 0 || !tenant.networks.is_empty() || !tenant.values.is_empty();
            ensure(reached, key("network"), "neither network nor value: nobody would be this tenant")?;
        }
        ensure(
            values.is_empty() || self.tenant_field.is_some(),
            "turns.tenant_field",
            "is missing, but tenants name values of it",
        )?;
        ensure((1..=65_536).contains(&self.waiting_most), "turns.waiting_most", "is not within 1 to 65536")?;
        ensure((1..=65_536).contains(&self.inside_least), "turns.inside_least", "is not within 1 to 65536")?;
        ensure(
            (self.inside_least..=65_536).contains(&self.inside_most),
            "turns.inside_most",
            "is not within inside_least to 65536",
        )?;
        ensure((0..=100_000).contains(&self.per_kb), "turns.us_per_kb", "is not within 0 to 100000")?;
        within(self.bucket_per_s, 0.001..=1e6, "turns.bucket_per_s")?;
        within(self.bucket_burst, 1.0..=1e6, "turns.bucket_burst")
    }
}
