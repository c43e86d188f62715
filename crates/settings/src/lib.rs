//! The settings file: protobuf text format after `proto/meadowrill.proto`. Read and checked whole; a fault names the
//! key, the line and the reason.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
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

/// How often a report may go to the log, in seconds.
const EVERY: std::ops::RangeInclusive<f64> = 1.0..=86_400.0;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub log: Form,
    /// Path of the operators' socket.
    pub socket: Option<String>,
    /// Seconds between reports in the log.
    pub report_every: Option<f64>,
    pub turns: AdmissionConfig,
    pub fleet: Option<Fleet>,
    pub replica: Option<Replica>,
    /// Of this front or relay; empty if not told.
    pub region: String,
    /// How events come from relays.
    pub events: Option<distribution::DistributionSettings>,
    /// What a relay is to do; fronts do not look at it.
    pub relay: Option<Relay>,
}

/// What is shared among the fronts, and where it is kept across starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replica {
    pub plan: replica::ReplicationSettings,
    pub snapshot: Option<String>,
    /// Seconds between two writings of it.
    pub snapshot_every: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    pub key: String,
    /// From 1; 0 where no line can be told.
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.key, self.what),
            line => write!(f, "line {line}: {}: {}", self.key, self.what),
        }
    }
}

/// A message with the path to it.
struct Node {
    message: DynamicMessage,
    path: String,
}

impl Node {
    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// What was told; a field that is missing from the schema is a fault of this program.
    fn value(&self, name: &str) -> Option<Value> {
        let told = self.message.has_field_by_name(name);
        told.then(|| self.message.get_field_by_name(name).map(|v| v.into_owned()))
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
        let node = |(at, item): (usize, &Value)| {
            let message = item.as_message()?.clone();
            Some(Node {
                message,
                path: format!("{}[{at}]", self.key(name)),
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

    /// The number of an enum value; the first one where none was told.
    fn choice(&self, name: &str) -> i32 {
        self.value(name)
            .and_then(|v| v.as_enum_number())
            .unwrap_or(0)
    }
}

fn fault(text: &str, key: String, what: impl Into<String>) -> Faulty {
    Faulty {
        line: places::line_of(text, &key),
        key,
        what: what.into(),
    }
}

/// An address with a port, as it was told for a key.
fn address(text: &str, key: String, told: &str) -> Result<SocketAddr, Faulty> {
    told.parse()
        .map_err(|_| fault(text, key, format!("{told:?} is no address with a port")))
}

/// The text of a settings file.
pub fn read(text: &str) -> Result<Settings, Faulty> {
    let no_schema = |e: &dyn fmt::Display| Faulty {
        key: "schema".into(),
        line: 0,
        what: e.to_string(),
    };
    let pool = DescriptorPool::decode(SCHEMA).map_err(|e| no_schema(&e))?;
    let schema = pool
        .get_message_by_name("meadowrill.Settings")
        .ok_or_else(|| no_schema(&"no Settings"))?;
    let message = DynamicMessage::parse_text_format(schema, text).map_err(|e| {
        let at = e
            .labels()
            .and_then(|mut labels| labels.next())
            .map_or(text.len(), |label| label.offset());
        let (key, line) = places::at(text, at);
        Faulty {
            key,
            line,
            what: e.to_string(),
        }
    })?;
    let root = Node {
        message,
        path: String::new(),
    };
    let mut settings = Settings::default();
    if let Some(log) = root.node("log") {
        settings.log = if log.choice("form") == 1 {
            Form::Json
        } else {
            Form::Text
        };
    }
    if let Some(operators) = root.node("operators") {
        settings.socket = operators.text("socket").filter(|path| !path.is_empty());
        settings.report_every = operators
            .number("report_every_s")
            .filter(|every| *every != 0.0);
        if settings
            .report_every
            .is_some_and(|every| !EVERY.contains(&every))
        {
            let what = format!("is not within {} to {}", EVERY.start(), EVERY.end());
            return Err(fault(text, operators.key("report_every_s"), what));
        }
    }
    if let Some(turns) = root.node("turns") {
        settings.turns = admission_config(&turns, text)?;
        settings
            .turns
            .validate()
            .map_err(|error| fault(text, error.key, error.message))?;
    }
    if let Some(node) = root.node("fleet") {
        let plan = others(&node, text)?;
        plan.validate()
            .map_err(|f: fleet::InvalidSetting| fault(text, node.key(f.key), f.message))?;
        if let Some(node) = node.node("replica") {
            let mut shared = shared(&node);
            let name = |key: &str| node.key(key);
            shared
                .plan
                .validate()
                .map_err(|f: replica::InvalidSetting| fault(text, name(f.key), f.reason))?;
            if shared.plan.ledger.is_some()
                && plan.departed_retention < shared.plan.purge_retention.min(60 * fleet::SECOND)
            {
                let what = "is less than a minute, but a ledger is kept: a split could outlast it";
                return Err(fault(text, "fleet.remember_s".into(), what.to_string()));
            }
            shared.plan.fleet_id = plan.fleet_id();
            shared.plan.zone.clone_from(&plan.zone);
            settings.replica = Some(shared);
        }
        settings.region = events::region(&node, text)?;
        settings.events = events::plan(&node, &plan, text)?;
        settings.relay = events::relay(&node, settings.events.as_ref(), text)?;
        settings.fleet = Some(plan);
    }
    Ok(settings)
}

fn shared(node: &Node) -> Replica {
    let mut plan = replica::ReplicationSettings::default();
    let ms = |key: &str, usual| node.count(key).map_or(usual, |n| n as i64 * 1000);
    let s = |node: &Node, key: &str, usual| {
        node.count(key)
            .map_or(usual, |n| n as i64 * meadowrill_replication::SEC)
    };
    plan.period = ms("period_ms", plan.period);
    plan.ready_timeout = ms("ready_after_ms", plan.ready_timeout);
    plan.bytes_per_second = node
        .count("bytes_per_s")
        .map_or(plan.bytes_per_second, |n| n as u64);
    plan.catch_up_bytes_per_second = node
        .count("catch_up_bytes_per_s")
        .map_or(plan.catch_up_bytes_per_second, |n| n as u64);
    plan.max_entries = node.count("entries_most").unwrap_or(plan.max_entries);
    plan.max_bytes = node.count("bytes_most").unwrap_or(plan.max_bytes);
    plan.purge_retention = s(node, "purge_keep_s", plan.purge_retention);
    plan.observation_retention = s(node, "learned_keep_s", plan.observation_retention);
    plan.ledger = node.node("ledger").map(|node| {
        let usual = replica::LedgerSettings::default();
        replica::LedgerSettings {
            owners_per_key: node.count("copies").unwrap_or(usual.owners_per_key),
            quorum_budget_fraction: node
                .number("write_part")
                .unwrap_or(usual.quorum_budget_fraction),
            without_quorum: match node.choice("unwritten") {
                1 => replica::WithoutQuorum::Send,
                _ => replica::WithoutQuorum::Reject,
            },
            claim_retention: s(&node, "keep_s", usual.claim_retention),
            min_voters: node.count("fronts_least").unwrap_or(usual.min_voters),
            max_body_bytes: node.count("body_bytes").unwrap_or(usual.max_body_bytes),
        }
    });
    let snapshot = node.text("snapshot").filter(|path| !path.is_empty());
    Replica {
        plan,
        snapshot,
        snapshot_every: node.count("snapshot_every_s").unwrap_or(60).max(1) as u64,
    }
}

fn others(fleet: &Node, text: &str) -> Result<Fleet, Faulty> {
    let listen = fleet.text("listen").unwrap_or_default();
    let mut plan = Fleet::new(address(text, fleet.key("listen"), &listen)?);
    if let Some(told) = fleet.text("advertise") {
        plan.advertise = address(text, fleet.key("advertise"), &told)?;
    }
    for (at, told) in fleet.texts("contact").iter().enumerate() {
        plan.contacts.push(address(
            text,
            format!("{}[{at}]", fleet.key("contact")),
            told,
        )?);
    }
    plan.fleet = fleet.text("name").unwrap_or(plan.fleet);
    plan.zone = fleet.text("zone").unwrap_or(plan.zone);
    plan.weight = fleet.count("weight").map_or(plan.weight, |n| n as u32);
    plan.probe_period = fleet
        .count("period_ms")
        .map_or(plan.probe_period, |n| n as i64 * 1000);
    plan.observers = fleet.count("observers").unwrap_or(plan.observers);
    plan.max_members = fleet.count("members_most").unwrap_or(plan.max_members);
    plan.bytes_per_second = fleet
        .count("bytes_per_s")
        .map_or(plan.bytes_per_second, |n| n as u64);
    plan.departed_retention = fleet
        .count("remember_s")
        .map_or(plan.departed_retention, |n| n as i64 * fleet::SECOND);
    Ok(plan)
}

fn admission_config(turns: &Node, text: &str) -> Result<AdmissionConfig, Faulty> {
    let defaults = AdmissionConfig::default();
    let mut tenants = vec![Tenant::default()];
    tenants[0].weight = turns.number("default_weight").unwrap_or(tenants[0].weight);
    for tenant in turns.nodes("tenant") {
        let mut networks = Vec::new();
        for (at, network) in tenant.texts("network").iter().enumerate() {
            // A lone address is a network of one.
            let parsed = network
                .parse::<IpNet>()
                .or_else(|e| network.parse::<IpAddr>().map(IpNet::from).map_err(|_| e));
            let key = || format!("{}[{at}]", tenant.key("network"));
            networks.push(
                parsed.map_err(|_| fault(text, key(), format!("{network:?} is no IP network")))?,
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
    let client_key = match (turns.choice("client_by"), field) {
        (2, None) => {
            return Err(fault(
                text,
                turns.key("client_field"),
                "is missing, but clients are told by a field",
            ))
        }
        (2, Some(field)) => ClientKey::Field(field),
        (_, Some(_)) => {
            return Err(fault(
                text,
                turns.key("client_field"),
                "is told, but client_by is not FIELD",
            ))
        }
        (1, None) => ClientKey::Connection,
        (_, None) => ClientKey::Address,
    };
    let discipline = match turns.choice("order") {
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

    const GOOD: &str = r#"# The door of a district.
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
    fn a_whole_file_is_read() {
        let settings = read(GOOD).unwrap();
        assert_eq!(
            (settings.log, settings.report_every, settings.socket),
            (Form::Json, Some(60.0), None)
        );
        let plan = settings.turns;
        assert_eq!(
            (plan.discipline, plan.min_concurrency, plan.tenants.len()),
            (QueueDiscipline::Fair, 8, 3)
        );
        assert_eq!(
            (plan.tenants[1].weight, plan.tenants[1].networks.len()),
            (3.0, 2)
        );
        assert_eq!(plan.client_key, ClientKey::Field("desk".into()));
        let fleet = settings.fleet.unwrap();
        assert_eq!(
            (fleet.probe_period, fleet.contacts.len(), fleet.advertise),
            (500_000, 1, fleet.listen)
        );
        let shared = settings.replica.unwrap();
        assert_eq!(
            (shared.plan.bytes_per_second, shared.snapshot.as_deref()),
            (9000, Some("/tmp/shared"))
        );
        assert_eq!(
            (shared.plan.zone.as_str(), shared.plan.fleet_id),
            ("east", fleet.fleet_id())
        );
        let ledger = shared.plan.ledger.unwrap();
        let usual = replica::LedgerSettings::default();
        assert_eq!(
            (ledger.owners_per_key, ledger.without_quorum),
            (5, replica::WithoutQuorum::Send)
        );
        assert_eq!(
            (ledger.claim_retention, ledger.quorum_budget_fraction),
            (
                60 * meadowrill_replication::SEC,
                usual.quorum_budget_fraction
            )
        );
        assert_eq!(read("").unwrap(), Settings::default());
    }

    #[test]
    fn the_faulty_key_and_its_line_are_named() {
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
        for (good, bad, key, line) in cases {
            assert!(GOOD.contains(good), "{good}");
            let faulty = read(&GOOD.replacen(good, bad, 1)).unwrap_err();
            assert_eq!(
                (faulty.key.as_str(), faulty.line),
                (key, line),
                "{bad}: {faulty}"
            );
            assert!(!faulty.what.is_empty());
        }
        // Never closed: told at the end.
        assert_eq!(read("turns {\n order: FAIR\n").unwrap_err().line, 2);
    }
}
