//! The one place where the platform's configuration is read, checked and given defaults; a faulty key is named by its
//! whole path. The settings of operators come from a file of their own (`meadowrill_settings`).
//!
//! | key | unit, default | effect |
//! | --- | --- | --- |
//! | `name` | text; `BALANCER_NAME`, else `front` | the name of this proxy in the log and the fleet |
//! | `listen` | address; `BALANCER_LISTEN` | where clients connect |
//! | `journal` | address, required | the discovery service |
//! | `seed` | 64 bits in hex, required | seed of random choices |
//! | `log` | `error`, `warning`, `info` or `debug`; `info` | level of the log |
//! | `known` | object with `entries`, required | the endpoint list as of `pos` |
//! | `limits.memory_mb` | megabytes, 192 | two fifths of it are for buffers |
//! | `limits.sockets` | count, 1024 | descriptors, shared out between clients and endpoints |
//! | `flow_bytes_per_s` | bytes per second; as `specifics.flow_kb_per_s` | with that, what a byte counts as |
//! | `settings` | object, required | handed to the router; the keys below are read here as well |
//! | `settings.classes` | list, required | see `class` |
//! | `settings.zones`, `settings.host_types` | names, none | names in the endpoint list, by index |
//! | `settings.feedback.fields` | names, none | fields of load reports, by index |
//! | `settings.specifics.flow_kb_per_s` | kilobytes per second, 1 | see `flow_bytes_per_s` |
//! | `settings.limits.connect_timeout_s` | seconds, 0.4 | when a connection to an endpoint has failed |
//! | `settings.limits.conn_idle_s` | seconds, 15 | how long endpoints keep an idle connection |
//! | `settings.limits.max_open` | count, 20,000 | requests at one time |
//! | `settings.limits.retry_after` | true or false, false | whether clients may be told to stay away |
//! | `settings.limits.max_retry_after_s` | seconds, 0 | for how long at most |
//! | `settings.limits.send_cap` | count; the router's default, 4 | attempts of a request; checked here, used by the router |

mod class;
mod error;
mod level;
mod node;

pub(crate) use self::class::ClassConfig;
pub(crate) use self::error::ConfigError;
pub(crate) use self::level::LogLevel;

use self::class::read_classes;
use self::node::{flatten, Node};
use crate::{buffer, frame};
use meadowrill_event_distribution::settings::MAX_TEXT_BYTES;
use meadowrill_routing::host;
use meadowrill_routing::interface::{Micros, Settings};
use meadowrill_settings as operator;
use serde_json::Value;
use slog::Level;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The least memory and descriptors that the platform gives a proxy.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.4;
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
const DEFAULT_MAX_REQUESTS: f64 = 20_000.0;
/// The name of a proxy that is given none.
const DEFAULT_NAME: &str = "front";
/// The settings of operators, where no other file is named; it may be missing.
const DEFAULT_OPERATOR_PATH: &str = "deploy/meadowrill.textproto";
/// Descriptors that belong to no connection: standard streams, listener, poller, signals, discovery, log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Of the connections of clients one in so many may drain beside those that are served.
const CLIENTS_PER_DRAINING: usize = 8;
/// Fraction of the memory that buffers may fill; the rest is for the router's estimates, the allocator's slack and what
/// a round moves.
const BUFFER_FRACTION: f64 = 0.4;
/// Keys that take effect at a start only.
const FIXED_KEYS: [&str; 7] = [
    "name",
    "listen",
    "seed",
    "limits",
    "settings",
    "flow_bytes_per_s",
    "link_bytes_per_s",
];

/// The configuration of one proxy.
#[derive(Debug)]
pub(crate) struct Config {
    path: PathBuf,
    /// Where the settings of operators were named to be.
    operator_path: Option<PathBuf>,
    /// The settings of operators.
    pub(crate) operator: operator::Settings,
    /// As it was read, to find what a later one changes.
    json: Value,
    /// Name of this proxy.
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// Address of the discovery service.
    pub(crate) discovery: SocketAddr,
    /// Seed of random choices.
    pub(crate) seed: u64,
    /// What the router is given.
    pub(crate) routing: Settings,
    /// The endpoint list as it was when the configuration was written, with its position.
    pub(crate) initial_list: Value,
    pub(crate) log_level: LogLevel,
    /// Names in the order of the settings: their index is what the router knows.
    pub(crate) classes: Vec<ClassConfig>,
    pub(crate) zones: Vec<String>,
    pub(crate) endpoint_types: Vec<String>,
    pub(crate) load_report_fields: Vec<String>,
    /// How many of the settings' kilobytes a byte on the sockets stands for.
    pub(crate) kilobytes_per_byte: f64,
    /// When a connection to an endpoint has failed.
    pub(crate) connect_timeout: Micros,
    /// How long endpoints keep an idle connection.
    pub(crate) idle_timeout: Micros,
    /// The longest that a client waits.
    pub(crate) longest_deadline: Micros,
    /// The longest that a client may be told to stay away; 0 where it may be told nothing.
    pub(crate) max_retry_after: Micros,
    /// Connections of clients that are served.
    pub(crate) max_client_connections: usize,
    /// Connections of clients that drain.
    pub(crate) max_draining_connections: usize,
    /// Connections to endpoints.
    pub(crate) max_endpoint_connections: usize,
    /// Requests at one time.
    pub(crate) max_requests: usize,
    /// Bytes in buffers.
    pub(crate) max_buffer_bytes: usize,
}

/// How descriptors are shared out.
struct ConnectionLimits {
    clients: usize,
    draining: usize,
    endpoints: usize,
}

impl ConnectionLimits {
    /// Clients get two fifths of what is not reserved: they hold a third of the descriptors at most (the platform), and a
    /// little more lets them cross a close.
    fn new(descriptors: usize) -> ConnectionLimits {
        let clients = (descriptors - RESERVED_DESCRIPTORS) * 2 / 5;
        let draining = (clients / CLIENTS_PER_DRAINING).max(1);
        ConnectionLimits {
            clients,
            draining,
            endpoints: descriptors - RESERVED_DESCRIPTORS - clients - draining,
        }
    }
}

impl Config {
    /// Reads the configuration, and the settings of operators.
    pub(crate) fn load(
        path: PathBuf,
        operator_path: Option<PathBuf>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(&path)
            .map_err(|e| ConfigError::new("BALANCER_CONFIG", format!("{}: {e}", path.display())))?;
        let operator = read_default_settings(operator_path.as_deref())?;
        let config = Config {
            path,
            operator_path,
            operator,
            ..Config::read(&text, |name| std::env::var(name).ok())?
        };
        let name_fits = (1..=MAX_TEXT_BYTES).contains(&config.name.len());
        if config.operator.events.is_some() && !name_fits {
            let problem = format!("has to be of 1 to {MAX_TEXT_BYTES} bytes with fleet.events");
            return Err(ConfigError::new("name", problem));
        }
        Ok(config)
    }

    /// The files as they stand now, checked as at the start.
    pub(crate) fn read_again(&self) -> Result<Config, ConfigError> {
        Config::load(self.path.clone(), self.operator_path.clone())
    }

    /// Takes over what may change while the proxy runs. Returns the keys of what else has changed. `known` stays that of
    /// the start: discovery told what came after.
    pub(crate) fn replace(&mut self, new: Config) -> Vec<&'static str> {
        self.discovery = new.discovery;
        self.log_level.copy_from(&new.log_level);
        let mut later = fixed_operator_keys(&self.operator, &new.operator);
        self.operator = new.operator;
        let changed = |key: &&'static str| self.json.get(key) != new.json.get(key);
        later.extend(FIXED_KEYS.into_iter().filter(changed));
        later
    }

    /// Reads the text of the configuration; name and address from the environment where it names none.
    pub(crate) fn read(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text)
            .map_err(|e| ConfigError::new("BALANCER_CONFIG", e.to_string()))?;
        let root = Node::root(&json);
        let name = read_name(&root.get("name"), env("BALANCER_NAME"))?;
        let seed = read_seed(&root.get("seed"))?;
        let limits = root.get("limits");
        let memory = limits.get("memory_mb").number(DEFAULT_MEMORY_MB, 32.0)? * 1e6;
        let descriptors = limits.get("sockets").number(DEFAULT_DESCRIPTORS, 64.0)? as usize;
        let settings = root.get("settings");
        if !settings.required()?.is_object() {
            return Err(settings.fault("is not an object"));
        }
        let classes = read_classes(&settings.get("classes"))?;
        let mut pairs = Vec::new();
        flatten(settings.required()?, "", &mut pairs);
        let bounds = settings.get("limits");
        bounds.get("send_cap").number(1.0, 1.0)?;
        let connections = ConnectionLimits::new(descriptors);
        let kilobytes_per_byte = read_kilobytes_per_byte(&root, &settings)?;
        let initial_list = read_initial_list(&root.get("known"))?;
        let log_level = read_log_level(&root.get("log"))?;
        let max_retry_after = read_max_retry_after(&bounds)?;
        Ok(Config {
            path: PathBuf::new(),
            operator_path: None,
            operator: operator::Settings::default(),
            max_retry_after,
            name,
            log_level: LogLevel::new(log_level),
            listen: read_listen(&root.get("listen"), env("BALANCER_LISTEN"))?,
            discovery: root.get("journal").address()?,
            seed,
            routing: host::settings(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()))),
            initial_list,
            longest_deadline: longest_deadline(&classes),
            classes,
            zones: settings.get("zones").names(None)?,
            endpoint_types: settings.get("host_types").names(None)?,
            load_report_fields: settings.get("feedback").get("fields").names(None)?,
            kilobytes_per_byte,
            connect_timeout: host::micros(
                bounds
                    .get("connect_timeout_s")
                    .number(DEFAULT_CONNECT_TIMEOUT_S, 0.001)?,
            ),
            idle_timeout: host::micros(
                bounds
                    .get("conn_idle_s")
                    .number(DEFAULT_IDLE_TIMEOUT_S, 0.0)?,
            ),
            max_client_connections: connections.clients,
            max_draining_connections: connections.draining,
            max_endpoint_connections: connections.endpoints,
            max_requests: bounds.get("max_open").number(DEFAULT_MAX_REQUESTS, 1.0)? as usize,
            max_buffer_bytes: (memory * BUFFER_FRACTION) as usize
                - buffer::spare_bytes(frame::MAX_FRAME),
            json,
        })
    }
}

fn read_listen(listen: &Node, env: Option<String>) -> Result<SocketAddr, ConfigError> {
    match (listen.value, env) {
        (None, Some(text)) => text
            .parse()
            .map_err(|_| ConfigError::new("BALANCER_LISTEN", "is not an address with a port")),
        _ => listen.address(),
    }
}

fn read_name(name: &Node, env: Option<String>) -> Result<String, ConfigError> {
    match (name.value, env) {
        (None, Some(name)) => Ok(name),
        (None, None) => Ok(DEFAULT_NAME.to_string()),
        _ => Ok(name.text()?.to_string()),
    }
}

fn read_seed(seed: &Node) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.fault("is not a hex number of 64 bits"))
}

/// The settings name a flow in kilobytes, the platform the same in bytes on the sockets.
fn read_kilobytes_per_byte(root: &Node, settings: &Node) -> Result<f64, ConfigError> {
    let specifics = settings.get("specifics");
    let kb_per_s = specifics.get("flow_kb_per_s").number(1.0, 0.0)?;
    let default = (kb_per_s * 1e3).max(1.0);
    let bytes_per_s = root.get("flow_bytes_per_s").number(default, 1.0)?;
    Ok(kb_per_s / bytes_per_s)
}

fn read_initial_list(known: &Node) -> Result<Value, ConfigError> {
    let list = known.required()?;
    if list["entries"].is_array() {
        Ok(list.clone())
    } else {
        Err(known.get("entries").fault("is not a list"))
    }
}

fn read_log_level(log: &Node) -> Result<Level, ConfigError> {
    let Some(value) = log.value else {
        return Ok(Level::Info);
    };
    let level = value.as_str().and_then(|text| text.parse().ok());
    level.ok_or_else(|| log.fault("is no level: error, warning, info or debug"))
}

fn read_max_retry_after(bounds: &Node) -> Result<Micros, ConfigError> {
    let seconds = bounds.get("max_retry_after_s").number(0.0, 0.0)?;
    let advises = bounds.get("retry_after").is_true();
    Ok(if advises { host::micros(seconds) } else { 0 })
}

fn longest_deadline(classes: &[ClassConfig]) -> Micros {
    let deadlines = classes.iter().map(|class| class.deadline_ms);
    host::micros(deadlines.fold(0.0, f64::max) / 1e3)
}

/// The keys of the operators' settings that differ, and take effect at a start only.
fn fixed_operator_keys(old: &operator::Settings, new: &operator::Settings) -> Vec<&'static str> {
    let mut keys = Vec::new();
    if old.log != new.log {
        keys.push("log.form");
    }
    if old.socket != new.socket {
        keys.push("operators.socket");
    }
    if old.fleet != new.fleet {
        keys.push("fleet");
    }
    if old.replica != new.replica {
        keys.push("fleet.replica");
    }
    if (&old.events, &old.region) != (&new.events, &new.region) {
        keys.push("fleet.events");
    }
    keys
}

/// The settings of operators: a file that is named must be there.
fn read_default_settings(path: Option<&Path>) -> Result<operator::Settings, ConfigError> {
    let default = Path::new(DEFAULT_OPERATOR_PATH);
    match path {
        Some(path) => read_settings(path),
        None if default.exists() => read_settings(default),
        None => Ok(operator::Settings::default()),
    }
}

/// The settings of operators in this file.
pub(crate) fn read_settings(path: &Path) -> Result<operator::Settings, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigError::new("settings file", format!("{}: {e}", path.display())))?;
    operator::read(&text).map_err(|fault| {
        let place = format!("{}, line {}", path.display(), fault.line);
        ConfigError::new(fault.key, format!("{place}: {}", fault.what))
    })
}

#[cfg(test)]
mod tests;
