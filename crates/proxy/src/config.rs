//! The one place where settings are read, checked and given defaults; a faulty key is named by its whole path.

use crate::{buffer, frame};
use meadowrill_admission::cost::LookupClass;
use meadowrill_event_distribution::settings::MAX_TEXT_BYTES;
use meadowrill_routing::host;
use meadowrill_routing::interface::{Micros, Settings};
use meadowrill_settings as own;
use serde_json::Value;
use slog::Level;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Where nothing is said: the least that the platform gives a front.
const MEMORY_MB: f64 = 192.0;
const SOCKETS: f64 = 1024.0;
const CONNECT_TIMEOUT: f64 = 0.4;
const CONN_IDLE: f64 = 15.0;
const LONGEST: f64 = 10.0;
const MAX_OPEN: f64 = 20_000.0;
/// Our own settings, where no other file is named; they may be missing.
const OWN: &str = "deploy/meadowrill.textproto";
/// Descriptors that belong to no connection: standard streams, listener, poller, signals, journal, log.
const SPARE: usize = 24;

/// Of clients' connections one in so many may drain beside those that are served.
const DRAINING: usize = 8;

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Faulty {
    pub key: String,
    pub what: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

fn faulty(key: impl Into<String>, what: impl Into<String>) -> Faulty {
    Faulty {
        key: key.into(),
        what: what.into(),
    }
}

/// The level of the log, which may change while the log's own thread reads it.
#[derive(Clone, Debug)]
pub(crate) struct Shown(Arc<AtomicUsize>);

impl Shown {
    pub(crate) fn new(level: Level) -> Shown {
        Shown(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    pub(crate) fn shows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Relaxed)
    }
}

#[derive(Debug)]
pub(crate) struct Config {
    path: PathBuf,
    /// Where our own settings were named to be.
    own_path: Option<PathBuf>,
    /// Our own settings.
    pub own: own::Settings,
    /// As it was read, to tell what a later one changes.
    text: Value,
    pub name: String,
    pub listen: SocketAddr,
    pub journal: SocketAddr,
    pub seed: u64,
    /// What the module is handed.
    pub settings: Settings,
    pub known: Value,
    pub log: Shown,
    /// Names in the order of the settings: their places are what the module knows.
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub reports: Vec<String>,
    /// What a byte on the sockets stands for in the settings' kilobytes: both flows are told.
    pub kb_per_byte: f64,
    pub connect_timeout: Micros,
    pub conn_idle: Micros,
    /// The longest that a client waits.
    pub longest: Micros,
    /// The longest that a client may be told to stay away; 0 where it may be told nothing.
    pub longest_away: Micros,
    /// Ceilings: connections of each side and of clients that drain, lookups, bytes in rings.
    pub clients: usize,
    pub draining: usize,
    pub caches: usize,
    pub lookups: usize,
    pub buffers: usize,
}

/// What bounds the lookups of a class.
#[derive(Debug, PartialEq)]
pub(crate) struct Class {
    pub name: String,
    pub deadline_ms: f64,
    /// What admission control needs to know of it.
    pub admission: LookupClass,
    /// Its lookups carry a mark against repeats.
    pub keyed: bool,
    /// To run one twice is not the same as once.
    pub effect: bool,
    /// How long the origin drops repeats of a mark, whichever cache they come by; 0 where it does not.
    pub window: Micros,
}

/// A part of the configuration with its path.
struct Node<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> Node<'a> {
    fn get(&self, key: &str) -> Node<'a> {
        let path = if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        };
        Node {
            value: self.value.and_then(|v| v.get(key)),
            path,
        }
    }

    fn need(&self) -> Result<&'a Value, Faulty> {
        self.value.ok_or_else(|| faulty(&self.path, "is missing"))
    }

    fn text(&self) -> Result<&'a str, Faulty> {
        self.need()?
            .as_str()
            .ok_or_else(|| faulty(&self.path, "is not a text"))
    }

    fn address(&self) -> Result<SocketAddr, Faulty> {
        let text = self.text()?;
        text.parse().map_err(|_| {
            faulty(
                &self.path,
                format!("{text:?} is not an address with a port"),
            )
        })
    }

    fn number(&self, default: f64, least: f64) -> Result<f64, Faulty> {
        let Some(value) = self.value else {
            return Ok(default);
        };
        let number = value
            .as_f64()
            .ok_or_else(|| faulty(&self.path, "is not a number"))?;
        if number >= least {
            Ok(number)
        } else {
            Err(faulty(&self.path, format!("{number} is below {least}")))
        }
    }

    fn names(&self, of: Option<&str>) -> Result<Vec<String>, Faulty> {
        let Some(value) = self.value else {
            return Ok(Vec::new());
        };
        let items = value
            .as_array()
            .ok_or_else(|| faulty(&self.path, "is not a list"))?;
        let name = |(at, item): (usize, &Value)| {
            let item = of.map_or(Some(item), |of| item.get(of));
            let what = || faulty(format!("{}.{at}", self.path), "has no name");
            item.and_then(Value::as_str)
                .map(str::to_string)
                .ok_or_else(what)
        };
        items.iter().enumerate().map(name).collect()
    }
}

/// Nested settings to the simulator's paths: lists of objects by count and place, lists of values by commas.
fn flatten(value: &Value, path: &str, pairs: &mut Vec<(String, String)>) {
    let scalar = |v: &Value| match v {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten(value, &path, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((format!("{path}.count"), items.len().to_string()));
            for (at, item) in items.iter().enumerate() {
                flatten(item, &format!("{path}.{at}"), pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar).collect();
            pairs.push((path.to_string(), items.join(",")));
        }
        Value::Null => {}
        other => pairs.push((path.to_string(), scalar(other))),
    }
}

/// Our own settings: a file that is named must be there.
fn read_own(path: Option<&Path>) -> Result<own::Settings, Faulty> {
    match path {
        Some(path) => read_settings(path),
        None if Path::new(OWN).exists() => read_settings(Path::new(OWN)),
        None => Ok(own::Settings::default()),
    }
}

/// The settings file at this path.
pub(crate) fn read_settings(path: &Path) -> Result<own::Settings, Faulty> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| faulty("settings file", format!("{}: {e}", path.display())))?;
    own::read(&text).map_err(|f| {
        faulty(
            f.key,
            format!("{}, line {}: {}", path.display(), f.line, f.what),
        )
    })
}

impl Config {
    pub(crate) fn load(path: PathBuf, own_path: Option<PathBuf>) -> Result<Config, Faulty> {
        let text = std::fs::read_to_string(&path);
        let text =
            text.map_err(|e| faulty("BALANCER_CONFIG", format!("{}: {e}", path.display())))?;
        let own = read_own(own_path.as_deref())?;
        let config = Config {
            path,
            own_path,
            own,
            ..Config::read(&text, |name| std::env::var(name).ok())?
        };
        let name_fits = (1..=MAX_TEXT_BYTES).contains(&config.name.len());
        if config.own.events.is_some() && !name_fits {
            return Err(faulty(
                "name",
                format!("has to be of 1 to {MAX_TEXT_BYTES} bytes with fleet.events"),
            ));
        }
        Ok(config)
    }

    /// The files as they stand now, checked as at the start.
    pub(crate) fn again(&self) -> Result<Config, Faulty> {
        Config::load(self.path.clone(), self.own_path.clone())
    }

    /// Takes over what may change while the front runs; the keys of what else has changed are returned.
    /// `known` is that of a start: the journal service tells what came after.
    pub(crate) fn renew(&mut self, fresh: Config) -> Vec<&'static str> {
        self.journal = fresh.journal;
        self.log.0.store(fresh.log.0.load(Relaxed), Relaxed);
        let own = std::mem::replace(&mut self.own, fresh.own);
        let mut later = Vec::new();
        if own.log != self.own.log {
            later.push("log.form");
        }
        if own.socket != self.own.socket {
            later.push("operators.socket");
        }
        if own.fleet != self.own.fleet {
            later.push("fleet");
        }
        if own.replica != self.own.replica {
            later.push("fleet.replica");
        }
        if (&own.events, &own.region) != (&self.own.events, &self.own.region) {
            later.push("fleet.events");
        }
        let fixed = [
            "name",
            "listen",
            "seed",
            "limits",
            "settings",
            "flow_bytes_per_s",
            "link_bytes_per_s",
        ];
        later.extend(
            fixed
                .into_iter()
                .filter(|key| self.text.get(key) != fresh.text.get(key)),
        );
        later
    }

    /// From the text of the configuration; name and address from the environment where it tells none.
    pub(crate) fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, Faulty> {
        let json: Value =
            serde_json::from_str(text).map_err(|e| faulty("BALANCER_CONFIG", e.to_string()))?;
        let root = Node {
            value: Some(&json),
            path: String::new(),
        };
        let address = |key: &str, variable: &str| match (root.get(key).value, env(variable)) {
            (None, Some(text)) => text
                .parse()
                .map_err(|_| faulty(variable, "is not an address with a port")),
            _ => root.get(key).address(),
        };
        let name = match (root.get("name").value, env("BALANCER_NAME")) {
            (None, Some(name)) => name,
            (None, None) => "front".to_string(),
            _ => root.get("name").text()?.to_string(),
        };
        let seed = root.get("seed").text()?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| faulty("seed", "is not a hex number of 64 bits"))?;
        let limits = root.get("limits");
        let memory = limits.get("memory_mb").number(MEMORY_MB, 32.0)? * 1e6;
        let sockets = limits.get("sockets").number(SOCKETS, 64.0)? as usize;
        let told = root.get("settings");
        if !told.need()?.is_object() {
            return Err(faulty("settings", "is not an object"));
        }
        let classes = told.get("classes").names(Some("name"))?;
        if classes.is_empty() {
            return Err(faulty("settings.classes", "names no class"));
        }
        let class = |(at, name): (usize, String)| {
            let class = told
                .get("classes")
                .value
                .and_then(|classes| classes.get(at));
            let class = Node {
                value: class,
                path: format!("settings.classes.{at}"),
            };
            let deadline_ms = class.get("deadline_s").number(LONGEST, 0.001)? * 1e3;
            // What is told and not understood is no reason to guess: an effect might come twice.
            let repeat = class.get("repeat");
            let repeat = match repeat.value.map(|told| (told.as_str(), repeat.path)) {
                None => None,
                Some((Some(told @ ("safe" | "keyed" | "unsafe")), _)) => Some(told),
                Some((_, path)) => return Err(faulty(path, "is neither safe, keyed nor unsafe")),
            };
            let keyed = repeat == Some("keyed");
            let effect = repeat.is_some_and(|repeat| repeat != "safe");
            let all = class.get("group").value.is_some_and(|group| group == "all");
            let ttl = class.get("key_ttl_s").number(0.0, 0.0)?;
            let window = if keyed && all { host::micros(ttl) } else { 0 };
            let admission = LookupClass {
                worth: class.get("worth").number(1.0, 0.0)?,
                latency_budget: host::micros(class.get("goal_time_s").number(1.0, 0.0)?),
                budget_stretch: class.get("aim_stretch").number(0.0, 0.0)?,
            };
            Ok(Class {
                name,
                deadline_ms,
                admission,
                keyed,
                effect,
                window,
            })
        };
        let classes = classes
            .into_iter()
            .enumerate()
            .map(class)
            .collect::<Result<Vec<_>, _>>()?;
        let longest = classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max);
        let mut pairs = Vec::new();
        flatten(told.need()?, "", &mut pairs);
        let bounds = told.get("limits");
        bounds.get("send_cap").number(1.0, 1.0)?;
        // Clients hold a third of the descriptors at most; a little more lets them cross a close.
        let clients = (sockets - SPARE) * 2 / 5;
        let draining = (clients / DRAINING).max(1);
        let kb_per_s = told
            .get("specifics")
            .get("flow_kb_per_s")
            .number(1.0, 0.0)?;
        let bytes_per_s = root
            .get("flow_bytes_per_s")
            .number((kb_per_s * 1e3).max(1.0), 1.0)?;
        let known = root.get("known");
        if !known.need()?["entries"].is_array() {
            return Err(faulty("known.entries", "is not a list"));
        }
        let log = match root
            .get("log")
            .value
            .map(|level| level.as_str().and_then(|l| l.parse::<Level>().ok()))
        {
            None => Level::Info,
            Some(Some(level)) => level,
            Some(None) => return Err(faulty("log", "is no level: error, warning, info or debug")),
        };
        let advises = bounds
            .get("retry_after")
            .value
            .is_some_and(|told| told == true);
        let longest_away = bounds.get("max_retry_after_s").number(0.0, 0.0)?;
        Ok(Config {
            path: PathBuf::new(),
            own_path: None,
            own: own::Settings::default(),
            longest_away: if advises {
                host::micros(longest_away)
            } else {
                0
            },
            name,
            log: Shown::new(log),
            listen: address("listen", "BALANCER_LISTEN")?,
            journal: root.get("journal").address()?,
            seed,
            settings: host::settings(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()))),
            known: known.need()?.clone(),
            classes,
            zones: told.get("zones").names(None)?,
            machines: told.get("host_types").names(None)?,
            reports: told.get("feedback").get("fields").names(None)?,
            kb_per_byte: kb_per_s / bytes_per_s,
            connect_timeout: host::micros(
                bounds
                    .get("connect_timeout_s")
                    .number(CONNECT_TIMEOUT, 0.001)?,
            ),
            conn_idle: host::micros(bounds.get("conn_idle_s").number(CONN_IDLE, 0.0)?),
            longest: host::micros(longest / 1e3),
            clients,
            draining,
            caches: sockets - SPARE - clients - draining,
            lookups: bounds.get("max_open").number(MAX_OPEN, 1.0)? as usize,
            // The rest is for the module's memories, the allocator's slack and what a round moves.
            buffers: (memory * 0.4) as usize - buffer::spare_bytes(frame::MAX_FRAME),
            text: json,
        })
    }
}

#[cfg(test)]
mod tests;
