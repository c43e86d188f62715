//! The configuration of admission control, its defaults, and its validation. Each error names the key as it stands in
//! the settings file.

use ipnet::IpNet;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// Most tenants: each has queues of its own, so their number bounds the memory.
pub const MAX_TENANTS: usize = 64;
/// Longest name of a tenant, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// Most requests that a bound of the configuration may allow.
const MAX_LOOKUPS: usize = 65_536;
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=1000.0;
const BUCKET_RATE_RANGE: RangeInclusive<f64> = 0.001..=1e6;
const BUCKET_BURST_RANGE: RangeInclusive<f64> = 1.0..=1e6;
const COST_PER_KB_RANGE: RangeInclusive<Micros> = 0..=100_000;

/// Which request is admitted next. Operators see the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First come, first served, up to the capacity limits.
    FirstCome,
    /// First come, first served, with a token bucket for each client; the baseline to compare with.
    Buckets,
    /// Weighted fair queueing among tenants, then among the clients of a tenant.
    Fair,
}

/// What identifies a client: requests with the same key belong to the same client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientKey {
    /// The address of the peer.
    Address,
    /// The connection.
    Connection,
    /// A field of the request; the address where a request lacks it.
    Field(String),
}

/// A tenant: a share of the capacity, and who belongs to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique name, shown to operators.
    pub name: String,
    /// Its share against those of the other tenants.
    pub weight: f64,
    /// Networks whose addresses belong to it.
    pub networks: Vec<IpNet>,
    /// Values of the tenant field that name it.
    pub values: Vec<String>,
}

/// The configuration of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Which request is admitted next.
    pub discipline: QueueDiscipline,
    /// The first is the default tenant: of all requests that match no other.
    pub tenants: Vec<Tenant>,
    /// The field of a request that names its tenant; it takes precedence over the network.
    pub tenant_field: Option<String>,
    /// What identifies a client.
    pub client_key: ClientKey,
    /// Most requests that wait, of all tenants together.
    pub max_waiting: usize,
    /// Lower bound of the concurrency limit.
    pub min_concurrency: usize,
    /// Upper bound of the concurrency limit.
    pub max_concurrency: usize,
    /// Cost of a kilobyte, in addition to the duration of its request.
    pub cost_per_kb: Micros,
    /// Tokens a second of a client's bucket, for [`QueueDiscipline::Buckets`].
    pub bucket_rate: f64,
    /// Tokens that a client's bucket holds, for [`QueueDiscipline::Buckets`].
    pub bucket_burst: f64,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            discipline: QueueDiscipline::FirstCome,
            tenants: vec![Tenant::default()],
            tenant_field: None,
            client_key: ClientKey::Address,
            max_waiting: 4096,
            min_concurrency: 4,
            max_concurrency: 4096,
            cost_per_kb: 10,
            bucket_rate: 50.0,
            bucket_burst: 10.0,
        }
    }
}

impl Default for Tenant {
    fn default() -> Tenant {
        Tenant {
            name: "default".into(),
            weight: 1.0,
            networks: Vec::new(),
            values: Vec::new(),
        }
    }
}

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key in the settings file.
    pub key: String,
    /// What is wrong with its value.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

impl std::error::Error for ConfigError {}

fn ensure(
    valid: bool,
    key: impl Into<String>,
    message: impl Into<String>,
) -> Result<(), ConfigError> {
    if valid {
        Ok(())
    } else {
        Err(ConfigError {
            key: key.into(),
            message: message.into(),
        })
    }
}

fn ensure_within(
    value: f64,
    range: RangeInclusive<f64>,
    key: impl Into<String>,
) -> Result<(), ConfigError> {
    // NaN is in no range.
    let message = format!("{value} is not within {} to {}", range.start(), range.end());
    ensure(range.contains(&value), key, message)
}

/// Key of a tenant's field in the settings file. The default tenant is first here, and has fields of its own there.
fn tenant_key(tenant_index: usize, field: &str) -> String {
    match tenant_index {
        0 => format!("turns.default_{field}"),
        _ => format!("turns.tenant[{}].{field}", tenant_index - 1),
    }
}

/// The names, networks and field values of the tenants that were checked so far.
#[derive(Default)]
struct AssignedKeys<'a> {
    names: BTreeSet<&'a str>,
    networks: BTreeSet<IpNet>,
    values: BTreeSet<&'a str>,
}

impl<'a> AssignedKeys<'a> {
    fn check(&mut self, tenant_index: usize, tenant: &'a Tenant) -> Result<(), ConfigError> {
        self.check_name(tenant_index, &tenant.name)?;
        ensure_within(
            tenant.weight,
            WEIGHT_RANGE,
            tenant_key(tenant_index, "weight"),
        )?;
        self.check_networks(tenant_index, &tenant.networks)?;
        self.check_values(tenant_index, &tenant.values)?;
        let reachable =
            tenant_index == 0 || !tenant.networks.is_empty() || !tenant.values.is_empty();
        let message = "neither network nor value: nobody would be this tenant";
        ensure(reachable, tenant_key(tenant_index, "network"), message)
    }

    fn check_name(&mut self, tenant_index: usize, name: &'a str) -> Result<(), ConfigError> {
        let key = tenant_key(tenant_index, "name");
        ensure(!name.is_empty(), &key, "is empty")?;
        let plain = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let valid = plain && name.len() <= MAX_NAME_LENGTH;
        ensure(valid, &key, "may hold letters, digits, '-', '_' and '.'")?;
        ensure(
            self.names.insert(name),
            &key,
            format!("{name:?} is named twice"),
        )
    }

    fn check_networks(
        &mut self,
        tenant_index: usize,
        networks: &[IpNet],
    ) -> Result<(), ConfigError> {
        for (index, network) in networks.iter().enumerate() {
            let key = format!("{}[{index}]", tenant_key(tenant_index, "network"));
            let message = format!("{network} is another tenant's already");
            ensure(self.networks.insert(network.trunc()), key, message)?;
        }
        Ok(())
    }

    fn check_values(
        &mut self,
        tenant_index: usize,
        values: &'a [String],
    ) -> Result<(), ConfigError> {
        for (index, value) in values.iter().enumerate() {
            let key = format!("{}[{index}]", tenant_key(tenant_index, "value"));
            let message = format!("{value:?} is another tenant's already");
            ensure(self.values.insert(value), key, message)?;
        }
        Ok(())
    }
}

impl AdmissionConfig {
    /// Validates the whole configuration.
    ///
    /// # Errors
    /// The first key whose value is out of bounds or in conflict with another.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check_tenants()?;
        self.check_bounds()?;
        let cost_valid = COST_PER_KB_RANGE.contains(&self.cost_per_kb);
        ensure(cost_valid, "turns.us_per_kb", "is not within 0 to 100000")?;
        ensure_within(self.bucket_rate, BUCKET_RATE_RANGE, "turns.bucket_per_s")?;
        ensure_within(self.bucket_burst, BUCKET_BURST_RANGE, "turns.bucket_burst")
    }

    fn check_tenants(&self) -> Result<(), ConfigError> {
        let count = self.tenants.len();
        let message = format!("{count} tenants, {MAX_TENANTS} at most");
        ensure((1..=MAX_TENANTS).contains(&count), "turns.tenant", message)?;
        let mut assigned = AssignedKeys::default();
        for (tenant_index, tenant) in self.tenants.iter().enumerate() {
            assigned.check(tenant_index, tenant)?;
        }
        let field_named = assigned.values.is_empty() || self.tenant_field.is_some();
        ensure(
            field_named,
            "turns.tenant_field",
            "is missing, but tenants name values of it",
        )
    }

    fn check_bounds(&self) -> Result<(), ConfigError> {
        let allowed = 1..=MAX_LOOKUPS;
        let message = "is not within 1 to 65536";
        ensure(
            allowed.contains(&self.max_waiting),
            "turns.waiting_most",
            message,
        )?;
        ensure(
            allowed.contains(&self.min_concurrency),
            "turns.inside_least",
            message,
        )?;
        let max_valid = (self.min_concurrency..=MAX_LOOKUPS).contains(&self.max_concurrency);
        ensure(
            max_valid,
            "turns.inside_most",
            "is not within inside_least to 65536",
        )
    }
}
