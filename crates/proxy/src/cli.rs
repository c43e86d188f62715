//! The command line, and all sub-commands other than `serve` and `relay`.

use crate::config::Config;
use crate::error::Error;
use crate::{relay, serve};
use clap::{Parser, Subcommand};
use meadowrill_test_servers::demo;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a sub-command waits for the answer of a running process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A traffic router for a two-tier cache. Without a sub-command, runs `serve`.
#[derive(Debug, Parser)]
#[command(name = "meadowrill", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve clients, as configured by the file that the environment variable BALANCER_CONFIG names
    Serve {
        /// The settings file, in protobuf text format [default: deploy/meadowrill.textproto, if it exists]
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Run a relay or publisher of numbered events, as configured by the settings file
    Relay {
        /// The settings file, in protobuf text format, with `fleet { relay { ... } }`
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Validate a configuration (JSON) or a settings file (protobuf text format): exit code 0 if it is valid, else 1
    Check { file: PathBuf },
    /// Print the admission control report of a running proxy: limits, tenants and their heaviest clients
    Turns {
        /// The process's operator socket, as in its settings
        socket: PathBuf,
    },
    /// Print how a running proxy or relay sees the fleet
    Fleet {
        /// The process's operator socket, as in its settings
        socket: PathBuf,
        /// Print JSON
        #[arg(long, global = true)]
        json: bool,
        #[command(subcommand)]
        part: Option<FleetPart>,
    },
    /// Print the metrics of a running proxy or relay in the text format for scrapers
    Metrics {
        /// The process's operator socket, as in its settings
        socket: PathBuf,
    },
    /// Run a proxy with test servers on loopback: a heavy and a light tenant, first without and then with admission
    /// control
    Demo {
        /// Duration of each half, in seconds
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(2..=300))]
        seconds: u64,
    },
}

/// The state that proxies replicate, and the distribution of events
#[derive(Debug, Subcommand)]
pub(crate) enum FleetPart {
    /// Print the distribution of events: position, lease and lag; for a relay also lagging subscribers and the position
    /// in force everywhere
    Events,
    /// Print the replicated state by record type: records, bytes, and endpoints on which the discovery service
    /// disagrees
    State,
    /// Print the entries in which another proxy's replicated state differs
    Diff {
        /// The operator socket of the other proxy
        other: PathBuf,
    },
    /// Print the history of one idempotency key of a request class
    Ledger {
        idempotency_key: String,
        class: String,
    },
}

/// Runs a sub-command; without one, the proxy serves.
pub(crate) fn run(
    command: Option<Command>,
    benchmark_counts: Option<fn() -> String>,
) -> Result<(), Error> {
    match command {
        None => serve(None, benchmark_counts),
        Some(Command::Serve { settings }) => serve(settings, benchmark_counts),
        Some(Command::Relay { settings }) => relay::start(&settings),
        Some(Command::Check { file }) => {
            let kind = check(&file)?;
            println!("{}: valid {kind}", file.display());
            Ok(())
        }
        Some(Command::Turns { socket }) => print_answer(&socket, "turns"),
        Some(Command::Fleet { socket, json, part }) => fleet(&socket, json, part),
        Some(Command::Metrics { socket }) => print_answer(&socket, "metrics"),
        Some(Command::Demo { seconds }) => demo::run(seconds).map_err(Error::Demo),
    }
}

fn fleet(socket: &Path, json: bool, part: Option<FleetPart>) -> Result<(), Error> {
    match part {
        None if json => print_answer(socket, "fleet json"),
        None => print_answer(socket, "fleet"),
        Some(FleetPart::Events) if json => print_answer(socket, "fleet events json"),
        Some(FleetPart::Events) => print_answer(socket, "fleet events"),
        Some(FleetPart::State) if json => print_answer(socket, "fleet state json"),
        Some(FleetPart::State) => print_answer(socket, "fleet state"),
        Some(FleetPart::Ledger {
            idempotency_key,
            class,
        }) => print_answer(socket, &format!("fleet ledger {idempotency_key} {class}")),
        Some(FleetPart::Diff { other }) => {
            let here = query(socket, "fleet entries")?;
            let there = query(&other, "fleet entries")?;
            print!("{}", diff(&here, &there));
            Ok(())
        }
    }
}

fn print_answer(socket: &Path, command: &str) -> Result<(), Error> {
    print!("{}", query(socket, command)?);
    Ok(())
}

/// Sends one command to the operator socket of a running process. Returns the answer.
fn query(socket: &Path, command: &str) -> Result<String, Error> {
    exchange(socket, command).map_err(|error| Error::Path {
        path: socket.to_path_buf(),
        error,
    })
}

fn exchange(socket: &Path, command: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The entries of a replica by record type and name.
fn parse_entries(text: &str) -> BTreeMap<(&str, &str), &str> {
    let lines = text.lines().map(|line| line.splitn(3, ' '));
    lines
        .filter_map(|mut words| Some(((words.next()?, words.next()?), words.next()?)))
        .collect()
}

/// Lists the entries that only one of two replicas has, or that differ between them.
fn diff(here: &str, there: &str) -> String {
    let (here, there) = (parse_entries(here), parse_entries(there));
    let mut text = String::new();
    for (name, value) in &here {
        match there.get(name) {
            None => text += &format!("only here:  {} {} {value}\n", name.0, name.1),
            Some(other) if other != value => {
                text += &format!("differs:    {} {} {value} | {other}\n", name.0, name.1);
            }
            Some(_) => {}
        }
    }
    for (name, value) in there.iter().filter(|(name, _)| !here.contains_key(*name)) {
        text += &format!("only there: {} {} {value}\n", name.0, name.1);
    }
    text + &format!("{} here, {} there\n", here.len(), there.len())
}

/// Validates a file. Returns the kind of the file.
fn check(file: &Path) -> Result<&'static str, Error> {
    let text = std::fs::read_to_string(file).map_err(|error| Error::Path {
        path: file.to_path_buf(),
        error,
    })?;
    let file = file.to_path_buf();
    if text.trim_start().starts_with('{') {
        match Config::read(&text, check_environment) {
            Ok(_) => Ok("configuration"),
            Err(error) => Err(Error::InvalidConfig { file, error }),
        }
    } else {
        match meadowrill_settings::read(&text) {
            Ok(_) => Ok("settings"),
            Err(error) => Err(Error::InvalidSettings { file, error }),
        }
    }
}

/// Substitutes the name and the address that the platform sets in the environment; a check accepts any values.
fn check_environment(name: &str) -> Option<String> {
    match name {
        "BALANCER_NAME" => Some("front".to_string()),
        "BALANCER_LISTEN" => Some("127.0.0.1:0".to_string()),
        _ => None,
    }
}
