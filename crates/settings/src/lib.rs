//! Reads and validates the settings file. The file is in protobuf text format, and its schema is
//! `proto/meadowrill.proto`. A file is accepted only if all of it is valid. An error names the key, the line and the
//! reason.

#![allow(
    clippy::too_many_lines,
    reason = "some functions read all keys of a message, and a test has a long table of cases"
)]

mod events;
pub mod places;

pub use events::{Publish, Relay};

use ipnet::IpNet;
use meadowrill_admission::config::{AdmissionConfig, ClientKey, QueueDiscipline, Tenant};
use meadowrill_event_distribution::settings as distribution;
use meadowrill_membership::settings::{self as fleet, FleetSettings as Fleet};
use meadowrill_replication::settings as replica;
use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));

/// Permitted intervals between reports in the log, in seconds.
const REPORT_INTERVAL_RANGE_S: std::ops::RangeInclusive<f64> = 1.0..=86_400.0;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// `log.form`.
    pub log_format: LogFormat,
    /// `operators.socket`: path of the operator socket.
    pub operator_socket: Option<String>,
    /// `operators.report_every_s`: seconds between reports in the log.
    pub report_interval_s: Option<f64>,
    /// `turns`: admission control.
    pub admission: AdmissionConfig,
    /// `fleet`: membership of this process in a fleet.
    pub fleet: Option<Fleet>,
    /// `fleet.replica`: the state that this proxy replicates.
    pub replica: Option<ReplicaSettings>,
    /// `fleet.region`: region of this proxy or relay. Empty if it is not set.
    pub region: String,
    /// `fleet.events`: distribution of events through relays.
    pub events: Option<distribution::DistributionSettings>,
    /// `fleet.relay`: settings of a relay process. Proxies ignore them.
    pub relay: Option<Relay>,
}

/// The replicated state, and the snapshot that preserves it across restarts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaSettings {
    /// Settings of the replication protocol.
    pub replication: replica::ReplicationSettings,
    /// Path of the snapshot file.
    pub snapshot_path: Option<String>,
    /// Seconds between two writes of the snapshot.
    pub snapshot_interval_s: u64,
}

/// Why a settings file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the invalid key, such as `fleet.relay.name`.
    pub key: String,
    /// Line of the key, counted from 1. 0 if the line is unknown.
    pub line: usize,
    /// What is wrong with the value.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.key, self.reason),
            line => write!(f, "line {line}: {}: {}", self.key, self.reason),
        }
    }
}

/// A message, and its path in the settings file.
struct Node {
    message: DynamicMessage,
    path: String,
}

impl Node {
    /// Path of a field of this message.
    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Value of a field, if it is set. Every name passed here has to be in the schema; a name that is not is treated as
    /// not set.
    fn value(&self, name: &str) -> Option<Value> {
        let is_set = self.message.has_field_by_name(name);
        is_set
            .then(|| self.message.get_field_by_name(name).map(|v| v.into_owned()))
            .flatten()
    }

    fn node(&self, name: &str) -> Option<Node> {
        let message = self.value(name)?.as_message()?.clone();
        Some(Node {
            message,
            path: self.key(name),
        })
    }

    fn nodes(&self, name: &str) -> Vec<Node> {
        let value = self.value(name);
        let items = value.as_ref().and_then(Value::as_list).unwrap_or_default();
        let node = |(index, item): (usize, &Value)| {
            let message = item.as_message()?.clone();
            Some(Node {
                message,
                path: format!("{}[{index}]", self.key(name)),
            })
        };
        items.iter().enumerate().filter_map(node).collect()
    }

    fn text(&self, name: &str) -> Option<String> {
        self.value(name)?.as_str().map(str::to_string)
    }

    fn texts(&self, name: &str) -> Vec<String> {
        let value = self.value(name);
        let items = value.as_ref().and_then(Value::as_list).unwrap_or_default();
        items
            .iter()
            .filter_map(|v| v.as_str().map(str::to_string))
            .collect()
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.value(name)?.as_f64()
    }

    fn count(&self, name: &str) -> Option<usize> {
        self.value(name)?.as_u32().map(|n| n as usize)
    }

    fn long_count(&self, name: &str) -> Option<u64> {
        self.value(name)?.as_u64()
    }

    fn flag(&self, name: &str) -> bool {
        self.value(name).and_then(|v| v.as_bool()).unwrap_or(false)
    }

    /// Number of an enum value, or 0, the number of the first value, if the field is not set.
    fn enum_number(&self, name: &str) -> i32 {
        self.value(name)
            .and_then(|v| v.as_enum_number())
            .unwrap_or(0)
    }
}

/// An error about `key`, with the line of the key in `text`.
fn error_at(text: &str, key: String, reason: impl Into<String>) -> SettingsError {
    SettingsError {
        line: places::line_of(text, &key),
        key,
        reason: reason.into(),
    }
}

/// Parses the value of `key`, an IP address with a port.
fn parse_address(text: &str, key: String, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| {
        error_at(
            text,
            key,
            format!("{value:?} is not an IP address with a port"),
        )
    })
}

/// Reads and validates the text of a settings file.
///
/// # Errors
///
/// The first invalid key, if the text cannot be parsed or a value is invalid.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    let schema_error = |e: &dyn fmt::Display| SettingsError {
        key: "schema".into(),
        line: 0,
        reason: e.to_string(),
    };
    let pool = DescriptorPool::decode(SCHEMA).map_err(|e| schema_error(&e))?;
    let schema = pool
        .get_message_by_name("meadowrill.Settings")
        .ok_or_else(|| schema_error(&"message meadowrill.Settings is missing"))?;
    let message = DynamicMessage::parse_text_format(schema, text).map_err(|e| {
        let offset = e
            .labels()
            .and_then(|mut labels| labels.next())
            .map_or(text.len(), |label| label.offset());
        let (key, line) = places::key_at(text, offset);
        SettingsError {
            key,
            line,
            reason: e.to_string(),
        }
    })?;
    let root = Node {
        message,
        path: String::new(),
    };
    let mut settings = Settings::default();
    if let Some(log) = root.node("log") {
        settings.log_format = if log.enum_number("form") == 1 {
            LogFormat::Json
        } else {
            LogFormat::Text
        };
    }
    if let Some(operators) = root.node("operators") {
        settings.operator_socket = operators.text("socket").filter(|path| !path.is_empty());
        settings.report_interval_s = operators
            .number("report_every_s")
            .filter(|interval| *interval != 0.0);
        if settings
            .report_interval_s
            .is_some_and(|interval| !REPORT_INTERVAL_RANGE_S.contains(&interval))
        {
            let reason = format!(
                "is not within {} to {}",
                REPORT_INTERVAL_RANGE_S.start(),
                REPORT_INTERVAL_RANGE_S.end()
            );
            return Err(error_at(text, operators.key("report_every_s"), reason));
        }
    }
    if let Some(turns) = root.node("turns") {
        settings.admission = admission_config(&turns, text)?;
        settings
            .admission
            .validate()
            .map_err(|error| error_at(text, error.key, error.message))?;
    }
    if let Some(node) = root.node("fleet") {
        let fleet = fleet_settings(&node, text)?;
        fleet
            .validate()
            .map_err(|e: fleet::InvalidSetting| error_at(text, node.key(e.key), e.message))?;
        if let Some(node) = node.node("replica") {
            let mut replica = replica_settings(&node);
            let path = |key: &str| node.key(key);
            replica
                .replication
                .validate()
                .map_err(|e: replica::InvalidSetting| error_at(text, path(e.key), e.reason))?;
            if replica.replication.ledger.is_some()
                && fleet.departed_retention
                    < replica.replication.purge_retention.min(60 * fleet::SECOND)
            {
                let reason = "is less than a minute and less than fleet.replica.purge_keep_s, but fleet.replica.ledger \
                              is set: a network partition could outlast it";
                return Err(error_at(
                    text,
                    "fleet.remember_s".into(),
                    reason.to_string(),
                ));
            }
            replica.replication.fleet_id = fleet.fleet_id();
            replica.replication.zone.clone_from(&fleet.zone);
            settings.replica = Some(replica);
        }
        settings.region = events::region(&node, text)?;
        settings.events = events::distribution_settings(&node, &fleet, text)?;
        settings.relay = events::relay(&node, settings.events.as_ref(), text)?;
        settings.fleet = Some(fleet);
    }
    Ok(settings)
}

/// Reads `fleet.replica`.
fn replica_settings(node: &Node) -> ReplicaSettings {
    let mut settings = replica::ReplicationSettings::default();
    let millis = |key: &str, default| node.count(key).map_or(default, |n| n as i64 * 1000);
    let seconds = |node: &Node, key: &str, default| {
        node.count(key)
            .map_or(default, |n| n as i64 * meadowrill_replication::SEC)
    };
    settings.period = millis("period_ms", settings.period);
    settings.ready_timeout = millis("ready_after_ms", settings.ready_timeout);
    settings.bytes_per_second = node
        .count("bytes_per_s")
        .map_or(settings.bytes_per_second, |n| n as u64);
    settings.catch_up_bytes_per_second = node
        .count("catch_up_bytes_per_s")
        .map_or(settings.catch_up_bytes_per_second, |n| n as u64);
    settings.max_entries = node.count("entries_most").unwrap_or(settings.max_entries);
    settings.max_bytes = node.count("bytes_most").unwrap_or(settings.max_bytes);
    settings.purge_retention = seconds(node, "purge_keep_s", settings.purge_retention);
    settings.observation_retention =
        seconds(node, "learned_keep_s", settings.observation_retention);
    settings.ledger = node.node("ledger").map(|node| {
        let defaults = replica::LedgerSettings::default();
        replica::LedgerSettings {
            owners_per_key: node.count("copies").unwrap_or(defaults.owners_per_key),
            quorum_budget_fraction: node
                .number("write_part")
                .unwrap_or(defaults.quorum_budget_fraction),
            without_quorum: match node.enum_number("unwritten") {
                1 => replica::WithoutQuorum::Send,
                _ => replica::WithoutQuorum::Reject,
            },
            claim_retention: seconds(&node, "keep_s", defaults.claim_retention),
            min_voters: node.count("fronts_least").unwrap_or(defaults.min_voters),
            max_body_bytes: node.count("body_bytes").unwrap_or(defaults.max_body_bytes),
        }
    });
    let snapshot_path = node.text("snapshot").filter(|path| !path.is_empty());
    ReplicaSettings {
        replication: settings,
        snapshot_path,
        snapshot_interval_s: node.count("snapshot_every_s").unwrap_or(60).max(1) as u64,
    }
}

/// Reads the keys of `fleet` that concern membership.
fn fleet_settings(fleet: &Node, text: &str) -> Result<Fleet, SettingsError> {
    let listen = fleet.text("listen").unwrap_or_default();
    let mut settings = Fleet::new(parse_address(text, fleet.key("listen"), &listen)?);
    if let Some(advertise) = fleet.text("advertise") {
        settings.advertise = parse_address(text, fleet.key("advertise"), &advertise)?;
    }
    for (index, contact) in fleet.texts("contact").iter().enumerate() {
        settings.contacts.push(parse_address(
            text,
            format!("{}[{index}]", fleet.key("contact")),
            contact,
        )?);
    }
    settings.fleet = fleet.text("name").unwrap_or(settings.fleet);
    settings.zone = fleet.text("zone").unwrap_or(settings.zone);
    settings.weight = fleet.count("weight").map_or(settings.weight, |n| n as u32);
    settings.probe_period = fleet
        .count("period_ms")
        .map_or(settings.probe_period, |n| n as i64 * 1000);
    settings.observers = fleet.count("observers").unwrap_or(settings.observers);
    settings.max_members = fleet.count("members_most").unwrap_or(settings.max_members);
    settings.bytes_per_second = fleet
        .count("bytes_per_s")
        .map_or(settings.bytes_per_second, |n| n as u64);
    settings.departed_retention = fleet
        .count("remember_s")
        .map_or(settings.departed_retention, |n| n as i64 * fleet::SECOND);
    Ok(settings)
}

/// Reads `turns`.
fn admission_config(turns: &Node, text: &str) -> Result<AdmissionConfig, SettingsError> {
    let defaults = AdmissionConfig::default();
    let mut tenants = vec![Tenant::default()];
    tenants[0].weight = turns.number("default_weight").unwrap_or(tenants[0].weight);
    for tenant in turns.nodes("tenant") {
        let mut networks = Vec::new();
        for (index, network) in tenant.texts("network").iter().enumerate() {
            // An address without a prefix length is a network of one address.
            let parsed = network
                .parse::<IpNet>()
                .or_else(|e| network.parse::<IpAddr>().map(IpNet::from).map_err(|_| e));
            let key = || format!("{}[{index}]", tenant.key("network"));
            networks.push(
                parsed.map_err(|_| {
                    error_at(text, key(), format!("{network:?} is not an IP network"))
                })?,
            );
        }
        tenants.push(Tenant {
            name: tenant.text("name").unwrap_or_default(),
            weight: tenant.number("weight").unwrap_or(1.0),
            networks,
            values: tenant.texts("value"),
        });
    }
    let field = turns.text("client_field").filter(|field| !field.is_empty());
    let client_key = match (turns.enum_number("client_by"), field) {
        (2, None) => {
            return Err(error_at(
                text,
                turns.key("client_field"),
                "is missing, but client_by is FIELD",
            ))
        }
        (2, Some(field)) => ClientKey::Field(field),
        (_, Some(_)) => {
            return Err(error_at(
                text,
                turns.key("client_field"),
                "is set, but client_by is not FIELD",
            ))
        }
        (1, None) => ClientKey::Connection,
        (_, None) => ClientKey::Address,
    };
    let discipline = match turns.enum_number("order") {
        2 => QueueDiscipline::Fair,
        1 => QueueDiscipline::Buckets,
        _ => QueueDiscipline::FirstCome,
    };
    Ok(AdmissionConfig {
        discipline,
        tenants,
        tenant_field: turns.text("tenant_field").filter(|field| !field.is_empty()),
        client_key,
        max_waiting: turns.count("waiting_most").unwrap_or(defaults.max_waiting),
        min_concurrency: turns
            .count("inside_least")
            .unwrap_or(defaults.min_concurrency),
        max_concurrency: turns
            .count("inside_most")
            .unwrap_or(defaults.max_concurrency),
        cost_per_kb: turns
            .count("us_per_kb")
            .map_or(defaults.cost_per_kb, |n| n as i64),
        bucket_rate: turns.number("bucket_per_s").unwrap_or(defaults.bucket_rate),
        bucket_burst: turns
            .number("bucket_burst")
            .unwrap_or(defaults.bucket_burst),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"# The settings of a district.
log { form: JSON }
operators { report_every_s: 60 }
turns {
  order: FAIR
  tenant { name: "north" weight: 3 network: "10.1.0.0/16" network: "10.2.3.4" }
  tenant {
    name: "south"
    network: "10.9.0.0/16"
    value: "s" # by field
  }
  tenant_field: "house"
  client_by: FIELD
  client_field: "desk"
  inside_least: 8
}
fleet {
  listen: "127.0.0.1:7000"
  contact: "127.0.0.2:7000"
  zone: "east"
  period_ms: 500
  replica {
    bytes_per_s: 9000
    snapshot: "/tmp/shared"
    ledger { copies: 5 unwritten: SERVE
      keep_s: 60 }
  }
}
"#;

    #[test]
    fn all_settings_of_a_file_are_read() {
        let settings = read(VALID).unwrap();
        assert_eq!(
            (
                settings.log_format,
                settings.report_interval_s,
                settings.operator_socket
            ),
            (LogFormat::Json, Some(60.0), None)
        );
        let admission = settings.admission;
        assert_eq!(
            (
                admission.discipline,
                admission.min_concurrency,
                admission.tenants.len()
            ),
            (QueueDiscipline::Fair, 8, 3)
        );
        assert_eq!(
            (
                admission.tenants[1].weight,
                admission.tenants[1].networks.len()
            ),
            (3.0, 2)
        );
        assert_eq!(admission.client_key, ClientKey::Field("desk".into()));
        let fleet = settings.fleet.unwrap();
        assert_eq!(
            (fleet.probe_period, fleet.contacts.len(), fleet.advertise),
            (500_000, 1, fleet.listen)
        );
        let replica = settings.replica.unwrap();
        assert_eq!(
            (
                replica.replication.bytes_per_second,
                replica.snapshot_path.as_deref()
            ),
            (9000, Some("/tmp/shared"))
        );
        assert_eq!(
            (
                replica.replication.zone.as_str(),
                replica.replication.fleet_id
            ),
            ("east", fleet.fleet_id())
        );
        let ledger = replica.replication.ledger.unwrap();
        let defaults = replica::LedgerSettings::default();
        assert_eq!(
            (ledger.owners_per_key, ledger.without_quorum),
            (5, replica::WithoutQuorum::Send)
        );
        assert_eq!(
            (ledger.claim_retention, ledger.quorum_budget_fraction),
            (
                60 * meadowrill_replication::SEC,
                defaults.quorum_budget_fraction
            )
        );
        assert_eq!(read("").unwrap(), Settings::default());
    }

    #[test]
    fn errors_name_the_invalid_key_and_its_line() {
        let cases = [
            ("weight: 3", "weight: nan", "turns.tenant[0].weight", 6),
            ("weight: 3", "weight: 0", "turns.tenant[0].weight", 6),
            ("weight: 3", "weight: -1", "turns.tenant[0].weight", 6),
            ("weight: 3", "weight: 1e300", "turns.tenant[0].weight", 6),
            ("weight: 3", "weight: inf", "turns.tenant[0].weight", 6),
            ("weight: 3", "weight: \"3\"", "turns.tenant[0].weight", 6),
            ("weight: 3", "wait: 3", "turns.tenant[0].wait", 6),
            (
                "10.9.0.0/16",
                "10.9.0.0/99",
                "turns.tenant[1].network[0]",
                9,
            ),
            (
                "10.9.0.0/16",
                "10.2.3.4/32",
                "turns.tenant[1].network[0]",
                9,
            ),
            ("\"south\"", "\"north\"", "turns.tenant[1].name", 8),
            ("\"south\"", "\"\"", "turns.tenant[1].name", 8),
            ("\"south\"", "\"so uth\"", "turns.tenant[1].name", 8),
            (
                "inside_least: 8",
                "inside_least: -8",
                "turns.inside_least",
                15,
            ),
            (
                "inside_least: 8",
                "inside_least: 0",
                "turns.inside_least",
                15,
            ),
            (
                "inside_least: 8",
                "inside_least: 99999999999",
                "turns.inside_least",
                15,
            ),
            (
                "inside_least: 8",
                "waiting_most: 0",
                "turns.waiting_most",
                15,
            ),
            (
                "inside_least: 8",
                "bucket_per_s: 0",
                "turns.bucket_per_s",
                15,
            ),
            (
                "inside_least: 8",
                "default_weight: 0",
                "turns.default_weight",
                15,
            ),
            ("order: FAIR", "order: FARE", "turns.order", 5),
            (
                "report_every_s: 60",
                "report_every_s: 0.1",
                "operators.report_every_s",
                3,
            ),
            (
                "client_by: FIELD",
                "client_by: ADDRESS",
                "turns.client_field",
                14,
            ),
            ("period_ms: 500", "period_ms: 5", "fleet.period_ms", 21),
            ("127.0.0.1:7000", "127.0.0.1", "fleet.listen", 18),
            ("127.0.0.1:7000", "0.0.0.0:7000", "fleet.advertise", 17),
            ("127.0.0.2:7000", "contact", "fleet.contact[0]", 19),
            (
                "zone: \"east\"",
                "members_most: 1",
                "fleet.members_most",
                20,
            ),
            (
                "bytes_per_s: 9000",
                "bytes_per_s: 9",
                "fleet.replica.bytes_per_s",
                23,
            ),
            ("copies: 5", "copies: 0", "fleet.replica.ledger.copies", 25),
            (
                "copies: 5",
                "copies: 5 write_part: 2",
                "fleet.replica.ledger.write_part",
                25,
            ),
            ("keep_s: 60", "keep_s: 0", "fleet.replica.ledger.keep_s", 26),
            (
                "unwritten: SERVE",
                "unwritten: SWERVE",
                "fleet.replica.ledger.unwritten",
                25,
            ),
            ("zone: \"east\"", "remember_s: 30", "fleet.remember_s", 20),
            ("  client_field: \"desk\"\n", "", "turns.client_field", 4),
            ("  tenant_field: \"house\"\n", "", "turns.tenant_field", 4),
        ];
        for (valid, invalid, key, line) in cases {
            assert!(VALID.contains(valid), "{valid}");
            let error = read(&VALID.replacen(valid, invalid, 1)).unwrap_err();
            assert_eq!(
                (error.key.as_str(), error.line),
                (key, line),
                "{invalid}: {error}"
            );
            assert!(!error.reason.is_empty());
        }
        // A message that is not closed is reported at the end of the text.
        assert_eq!(read("turns {\n order: FAIR\n").unwrap_err().line, 2);
    }
}
