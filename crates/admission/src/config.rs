//! The configuration of admission control, its defaults, and its validation. Each error names the key as it is spelled
//! in the settings file.

use ipnet::IpNet;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// Maximum number of tenants. Each tenant has queues of its own, so the number of tenants bounds the memory.
pub const MAX_TENANTS: usize = 64;
/// Maximum length of a tenant's name, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// Upper bound of the settings that count requests.
const MAX_REQUESTS: usize = 65_536;
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=1000.0;
const BUCKET_RATE_RANGE: RangeInclusive<f64> = 0.001..=1e6;
const BUCKET_BURST_RANGE: RangeInclusive<f64> = 1.0..=1e6;
const COST_PER_KB_RANGE: RangeInclusive<Micros> = 0..=100_000;

/// How the next request to admit is chosen. Operators see the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First come, first served, within the capacity limits.
    FirstCome,
    /// First come, first served, with a token bucket for each client: a baseline for comparison.
    Buckets,
    /// Weighted fair queueing among tenants, then among the clients of a tenant.
    Fair,
}

/// What identifies a client: requests with the same key belong to the same client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientKey {
    /// The network address of the peer.
    Address,
    /// The connection.
    Connection,
    /// A field of the request, or the peer's address if the request lacks the field.
    Field(String),
}

/// A tenant: its share of the capacity, and the requests that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique name, shown to operators.
    pub name: String,
    /// Weight of the tenant relative to the other tenants.
    pub weight: f64,
    /// Networks whose addresses belong to the tenant.
    pub networks: Vec<IpNet>,
    /// Values of the tenant field that select the tenant.
    pub values: Vec<String>,
}

/// The configuration of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// How the next request to admit is chosen.
    pub discipline: QueueDiscipline,
    /// All tenants. The first is the default tenant, which receives the requests that match no other tenant.
    pub tenants: Vec<Tenant>,
    /// The field of a request that selects its tenant. It takes precedence over the network.
    pub tenant_field: Option<String>,
    /// What identifies a client.
    pub client_key: ClientKey,
    /// Maximum number of waiting requests of all tenants together.
    pub max_waiting: usize,
    /// Lower bound of the concurrency limit.
    pub min_concurrency: usize,
    /// Upper bound of the concurrency limit.
    pub max_concurrency: usize,
    /// Cost of a kilobyte, added to the duration of the request.
    pub cost_per_kb: Micros,
    /// Tokens per second that a client's bucket gains, for [`QueueDiscipline::Buckets`].
    pub bucket_rate: f64,
    /// Capacity of a client's bucket in tokens, for [`QueueDiscipline::Buckets`].
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
    /// The key in the settings file, such as `turns.waiting_most`.
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
    // A range contains no NaN.
    let message = format!(
        "must be between {} and {}, but is {value}",
        range.start(),
        range.end()
    );
    ensure(range.contains(&value), key, message)
}

/// Returns the key of a tenant's field in the settings file. The default tenant is the first one in the configuration,
/// whereas the settings file has separate fields for it.
fn tenant_key(tenant_index: usize, field: &str) -> String {
    match tenant_index {
        0 => format!("turns.default_{field}"),
        _ => format!("turns.tenant[{}].{field}", tenant_index - 1),
    }
}

/// Names, networks and field values of the tenants checked so far, to find duplicates.
#[derive(Default)]
struct SeenTenantKeys<'a> {
    names: BTreeSet<&'a str>,
    networks: BTreeSet<IpNet>,
    values: BTreeSet<&'a str>,
}

impl<'a> SeenTenantKeys<'a> {
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
        let message = "tenant has neither a network nor a field value, so no request can match it";
        ensure(reachable, tenant_key(tenant_index, "network"), message)
    }

    fn check_name(&mut self, tenant_index: usize, name: &'a str) -> Result<(), ConfigError> {
        let key = tenant_key(tenant_index, "name");
        ensure(!name.is_empty(), &key, "must not be empty")?;
        let plain = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let valid = plain && name.len() <= MAX_NAME_LENGTH;
        let message = format!(
            "must have at most {MAX_NAME_LENGTH} characters, all of them letters, digits, '-', '_' or '.'"
        );
        ensure(valid, &key, message)?;
        ensure(
            self.names.insert(name),
            &key,
            format!("duplicate tenant name {name:?}"),
        )
    }

    fn check_networks(
        &mut self,
        tenant_index: usize,
        networks: &[IpNet],
    ) -> Result<(), ConfigError> {
        for (index, network) in networks.iter().enumerate() {
            let key = format!("{}[{index}]", tenant_key(tenant_index, "network"));
            let message = format!("network {network} is already assigned to a tenant");
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
            let message = format!("field value {value:?} is already assigned to a tenant");
            ensure(self.values.insert(value), key, message)?;
        }
        Ok(())
    }
}

impl AdmissionConfig {
    /// Validates the whole configuration.
    ///
    /// # Errors
    /// Returns the first key whose value is out of bounds or conflicts with another value.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check_tenants()?;
        self.check_bounds()?;
        let cost_valid = COST_PER_KB_RANGE.contains(&self.cost_per_kb);
        ensure(
            cost_valid,
            "turns.us_per_kb",
            "must be between 0 and 100000",
        )?;
        ensure_within(self.bucket_rate, BUCKET_RATE_RANGE, "turns.bucket_per_s")?;
        ensure_within(self.bucket_burst, BUCKET_BURST_RANGE, "turns.bucket_burst")
    }

    fn check_tenants(&self) -> Result<(), ConfigError> {
        let count = self.tenants.len();
        let message = format!("got {count} tenants, must be between 1 and {MAX_TENANTS}");
        ensure((1..=MAX_TENANTS).contains(&count), "turns.tenant", message)?;
        let mut seen = SeenTenantKeys::default();
        for (tenant_index, tenant) in self.tenants.iter().enumerate() {
            seen.check(tenant_index, tenant)?;
        }
        let field_named = seen.values.is_empty() || self.tenant_field.is_some();
        ensure(
            field_named,
            "turns.tenant_field",
            "is missing, but tenants are selected by its values",
        )
    }

    fn check_bounds(&self) -> Result<(), ConfigError> {
        let allowed = 1..=MAX_REQUESTS;
        let message = "must be between 1 and 65536";
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
        let max_valid = (self.min_concurrency..=MAX_REQUESTS).contains(&self.max_concurrency);
        ensure(
            max_valid,
            "turns.inside_most",
            "must be between inside_least and 65536",
        )
    }
}
