//! The command line.

use crate::config::Config;
use clap::{Parser, Subcommand};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a running front may take to tell.
const PATIENCE: Duration = Duration::from_secs(5);

/// A traffic router for a two-tier cache. Without a command it serves.
#[derive(Debug, Parser)]
#[command(name = "meadowrill", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve, as configured by the file that BALANCER_CONFIG names
    Serve {
        /// Our own settings, in protobuf text format [default: deploy/meadowrill.textproto, if it is there]
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Be a relay of numbered events, as the settings file says
    Relay {
        /// Our own settings, in protobuf text format, with `fleet { relay { ... } }`
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Check a configuration (JSON) or a settings file (protobuf text format): exit code 0 if it is good, else 1
    Check { file: PathBuf },
    /// Ask a running front who holds the door
    Turns {
        /// Its operators' socket, as in its settings
        socket: PathBuf,
    },
    /// Ask a running front, or relay, how it sees the fleet
    Fleet {
        /// Its operators' socket, as in its settings
        socket: PathBuf,
        /// As JSON
        #[arg(long, global = true)]
        json: bool,
        #[command(subcommand)]
        of: Option<Of>,
    },
    /// Ask a running front, or relay, for its metrics, as scrapers read them
    Metrics {
        /// Its operators' socket, as in its settings
        socket: PathBuf,
    },
    /// Run a front with stand-ins on loopback: a loud and a quiet tenant, without and with turns
    Demo {
        /// How long each half lasts
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(2..=300))]
        seconds: u64,
    },
}

/// What the fronts share, and how events come
#[derive(Debug, Subcommand)]
pub(crate) enum Of {
    /// Events from relays: position, lease, lag; of a relay also who is late, and what is in force everywhere
    Events,
    /// What is held, by kind: records, bytes, and what is hearsay
    State,
    /// Entry by entry, how another front differs
    Diff {
        /// The other's operators' socket
        other: PathBuf,
    },
    /// One key's story: the mark that its client tells, and the class
    Ledger { mark: String, class: String },
}

/// Lines that one of two has and the other has not, by kind and name.
pub(crate) fn diff(here: &str, there: &str) -> String {
    fn by_name(text: &str) -> BTreeMap<(&str, &str), &str> {
        let lines = text.lines().map(|line| line.splitn(3, ' '));
        lines
            .filter_map(|mut words| Some(((words.next()?, words.next()?), words.next()?)))
            .collect()
    }
    let (here, there) = (by_name(here), by_name(there));
    let mut text = String::new();
    for (name, said) in &here {
        match there.get(name) {
            None => text += &format!("only here:  {} {} {said}\n", name.0, name.1),
            Some(other) if other != said => {
                text += &format!("differs:    {} {} {said} | {other}\n", name.0, name.1);
            }
            Some(_) => {}
        }
    }
    for (name, said) in there.iter().filter(|(name, _)| !here.contains_key(*name)) {
        text += &format!("only there: {} {} {said}\n", name.0, name.1);
    }
    text + &format!("{} here, {} there\n", here.len(), there.len())
}

/// What kind of file it was, or what is wrong with it.
pub(crate) fn check(file: &Path) -> Result<&'static str, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    if text.trim_start().starts_with('{') {
        // The platform gives name and address besides; any will do here.
        let env = |name: &str| match name {
            "BALANCER_NAME" => Some("front".to_string()),
            "BALANCER_LISTEN" => Some("127.0.0.1:0".to_string()),
            _ => None,
        };
        let read = Config::read(&text, env);
        return read
            .map(|_| "configuration")
            .map_err(|f| format!("{}: {f}", file.display()));
    }
    let read = meadowrill_settings::read(&text);
    read.map(|_| "settings")
        .map_err(|f| format!("{}: {f}", file.display()))
}

/// One word to a running front, and its answer.
pub(crate) fn operator(socket: &Path, word: &str) -> Result<String, String> {
    let ask = || -> std::io::Result<String> {
        let mut stream = UnixStream::connect(socket)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().map_err(|e| format!("{}: {e}", socket.display()))
}
