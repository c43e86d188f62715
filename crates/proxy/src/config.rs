//! Reads and validates the platform's configuration and sets its defaults; no other module does so. An error names the
//! full path of the invalid key. The settings of operators come from a separate file (`meadowrill_settings`).
//!
//! | key | unit, default | effect |
//! | --- | --- | --- |
//! | `name` | text; `BALANCER_NAME`, else `front` | the name of this proxy in the log and the fleet |
//! | `listen` | address; `BALANCER_LISTEN` | where clients connect |
//! | `journal` | address, required | the discovery service |
//! | `seed` | 64-bit hexadecimal number, required | seed of random choices |
//! | `log` | `error`, `warning`, `info` or `debug`; `info` | log level |
//! | `known` | object with `entries`, required | the endpoint list as of `pos` |
//! | `limits.memory_mb` | megabytes, 192 | memory limit; buffers may use two fifths of it |
//! | `limits.sockets` | count, 1024 | file descriptors, divided between clients and endpoints |
//! | `flow_bytes_per_s` | bytes per second; as `flow_kb_per_s` | flow on the sockets, to convert bytes to kilobytes |
//! | `settings` | object, required | passed to the router; this module also reads the keys below |
//! | `settings.classes` | list, required | request classes, see module `class` |
//! | `settings.zones`, `settings.host_types` | names, none | names used in the endpoint list, by index |
//! | `settings.feedback.fields` | names, none | fields of load reports, by index |
//! | `settings.specifics.flow_kb_per_s` | kilobytes per second, 1 | see `flow_bytes_per_s` |
//! | `settings.limits.connect_timeout_s` | seconds, 0.4 | timeout for connecting to an endpoint |
//! | `settings.limits.conn_idle_s` | seconds, 15 | how long endpoints keep an idle connection open |
//! | `settings.limits.max_open` | count, 20,000 | maximum number of concurrent requests |
//! | `settings.limits.retry_after` | true or false, false | whether responses may contain a retry delay |
//! | `settings.limits.max_retry_after_s` | seconds, 0 | maximum retry delay |
//! | `settings.limits.send_cap` | count; the router's default, 4 | attempts of a request; validated here |

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

/// The minimum memory and descriptors that the platform grants a proxy.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.4;
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
const DEFAULT_MAX_REQUESTS: f64 = 20_000.0;
/// The name of a proxy if neither the configuration nor the environment sets one.
const DEFAULT_NAME: &str = "front";
/// The settings file of operators if the command line names none. This file may be missing.
const DEFAULT_OPERATOR_PATH: &str = "deploy/meadowrill.textproto";
/// Descriptors that belong to no connection: standard streams, listener, poller, signals, discovery, log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Client connections that may be served for each one that may drain at the same time.
const CLIENTS_PER_DRAINING: usize = 8;
/// Fraction of the memory that buffers may use. The rest is for the router's estimates, the allocator's overhead and
/// the data that one round of the event loop moves.
const BUFFER_FRACTION: f64 = 0.4;
/// Keys whose changes take effect only at the next start.
const RESTART_REQUIRED_KEYS: [&str; 7] = [
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
    /// The path of the operators' settings file from the command line.
    operator_path: Option<PathBuf>,
    /// The settings of operators.
    pub(crate) operator: operator::Settings,
    /// The JSON as it was read. A reload compares it with the new JSON to find changed keys.
    json: Value,
    /// Name of this proxy.
    pub(crate) name: String,
    /// The address on which clients connect.
    pub(crate) listen: SocketAddr,
    /// Address of the discovery service.
    pub(crate) discovery: SocketAddr,
    /// Seed of random choices.
    pub(crate) seed: u64,
    /// The settings for the router.
    pub(crate) routing: Settings,
    /// The endpoint list when the configuration was written, with its position.
    pub(crate) initial_list: Value,
    pub(crate) log_level: LogLevel,
    /// Request classes in the order of the settings. The router refers to classes, zones, types and fields by index.
    pub(crate) classes: Vec<ClassConfig>,
    pub(crate) zones: Vec<String>,
    pub(crate) endpoint_types: Vec<String>,
    pub(crate) load_report_fields: Vec<String>,
    /// Kilobytes in the settings' unit that one byte on the sockets corresponds to.
    pub(crate) kilobytes_per_byte: f64,
    /// Timeout for connecting to an endpoint.
    pub(crate) connect_timeout: Micros,
    /// How long endpoints keep an idle connection open.
    pub(crate) idle_timeout: Micros,
    /// The longest deadline of all request classes.
    pub(crate) longest_deadline: Micros,
    /// The maximum retry delay in a response, or 0 if responses must not contain one.
    pub(crate) max_retry_after: Micros,
    /// Maximum number of client connections that are served.
    pub(crate) max_client_connections: usize,
    /// Maximum number of client connections that drain.
    pub(crate) max_draining_connections: usize,
    /// Maximum number of connections to endpoints.
    pub(crate) max_endpoint_connections: usize,
    /// Maximum number of concurrent requests.
    pub(crate) max_requests: usize,
    /// Maximum memory of all buffers, in bytes.
    pub(crate) max_buffer_bytes: usize,
}

/// The division of the descriptors between kinds of connections.
struct ConnectionLimits {
    clients: usize,
    draining: usize,
    endpoints: usize,
}

impl ConnectionLimits {
    /// Clients get two fifths of the descriptors that are not reserved. On the platform, clients hold at most a third
    /// of all descriptors; the surplus admits new connections while the close of old ones is not yet processed.
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
    /// Reads the configuration and the settings of operators.
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
            let problem =
                format!("must be 1 to {MAX_TEXT_BYTES} bytes long if fleet.events is set");
            return Err(ConfigError::new("name", problem));
        }
        Ok(config)
    }

    /// Reads and validates the files again, as at the start.
    pub(crate) fn reload(&self) -> Result<Config, ConfigError> {
        Config::load(self.path.clone(), self.operator_path.clone())
    }

    /// Applies the changes that may take effect while the proxy runs. Returns the other changed keys. `known` keeps its
    /// value from the start, because the discovery service has delivered all later changes of the endpoint list.
    pub(crate) fn replace(&mut self, new: Config) -> Vec<&'static str> {
        self.discovery = new.discovery;
        self.log_level.copy_from(&new.log_level);
        let mut restart_required = restart_required_operator_keys(&self.operator, &new.operator);
        self.operator = new.operator;
        let changed = |key: &&'static str| self.json.get(key) != new.json.get(key);
        restart_required.extend(RESTART_REQUIRED_KEYS.into_iter().filter(changed));
        restart_required
    }

    /// Parses the configuration. The name and the address come from the environment if the text does not contain them.
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
            return Err(settings.error("must be an object"));
        }
        let classes = read_classes(&settings.get("classes"))?;
        let mut pairs = Vec::new();
        flatten(settings.required()?, "", &mut pairs);
        let request_limits = settings.get("limits");
        request_limits.get("send_cap").number(1.0, 1.0)?;
        let connections = ConnectionLimits::new(descriptors);
        let kilobytes_per_byte = read_kilobytes_per_byte(&root, &settings)?;
        let initial_list = read_initial_list(&root.get("known"))?;
        let log_level = read_log_level(&root.get("log"))?;
        let max_retry_after = read_max_retry_after(&request_limits)?;
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
                request_limits
                    .get("connect_timeout_s")
                    .number(DEFAULT_CONNECT_TIMEOUT_S, 0.001)?,
            ),
            idle_timeout: host::micros(
                request_limits
                    .get("conn_idle_s")
                    .number(DEFAULT_IDLE_TIMEOUT_S, 0.0)?,
            ),
            max_client_connections: connections.clients,
            max_draining_connections: connections.draining,
            max_endpoint_connections: connections.endpoints,
            max_requests: request_limits
                .get("max_open")
                .number(DEFAULT_MAX_REQUESTS, 1.0)? as usize,
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
            .map_err(|_| ConfigError::new("BALANCER_LISTEN", "is not an IP address with a port")),
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
    u64::from_str_radix(seed.text()?, 16)
        .map_err(|_| seed.error("is not a 64-bit hexadecimal number"))
}

/// The settings specify a flow in kilobytes; the platform specifies the same flow in bytes on the sockets.
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
        Err(known.get("entries").error("must be a list"))
    }
}

fn read_log_level(log: &Node) -> Result<Level, ConfigError> {
    let Some(value) = log.value else {
        return Ok(Level::Info);
    };
    let level = value.as_str().and_then(|text| text.parse().ok());
    level.ok_or_else(|| log.error("is not a log level: expected error, warning, info or debug"))
}

fn read_max_retry_after(request_limits: &Node) -> Result<Micros, ConfigError> {
    let seconds = request_limits.get("max_retry_after_s").number(0.0, 0.0)?;
    let is_enabled = request_limits.get("retry_after").is_true();
    Ok(if is_enabled { host::micros(seconds) } else { 0 })
}

fn longest_deadline(classes: &[ClassConfig]) -> Micros {
    let deadlines = classes.iter().map(|class| class.deadline_ms);
    host::micros(deadlines.fold(0.0, f64::max) / 1e3)
}

/// The changed keys of the operators' settings that take effect only at the next start.
fn restart_required_operator_keys(
    old: &operator::Settings,
    new: &operator::Settings,
) -> Vec<&'static str> {
    let mut keys = Vec::new();
    if old.log_format != new.log_format {
        keys.push("log.form");
    }
    if old.operator_socket != new.operator_socket {
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

/// Reads the settings of operators. A file named on the command line must exist; the default file may be missing.
fn read_default_settings(path: Option<&Path>) -> Result<operator::Settings, ConfigError> {
    let default = Path::new(DEFAULT_OPERATOR_PATH);
    match path {
        Some(path) => read_settings(path),
        None if default.exists() => read_settings(default),
        None => Ok(operator::Settings::default()),
    }
}

/// Reads the settings of operators from `path`.
pub(crate) fn read_settings(path: &Path) -> Result<operator::Settings, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigError::new("settings file", format!("{}: {e}", path.display())))?;
    operator::read(&text).map_err(|error| {
        let place = format!("{}, line {}", path.display(), error.line);
        ConfigError::new(error.key, format!("{place}: {}", error.reason))
    })
}

#[cfg(test)]
mod tests;
