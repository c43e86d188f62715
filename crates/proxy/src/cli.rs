//! The command line, and its commands but for serving.

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

/// How long a running process may take to answer an operator.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A traffic router for a two-tier cache. Without a command it serves.
#[derive(Debug, Parser)]
#[command(name = "meadowrill", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
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
        of: Option<FleetPart>,
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
pub(crate) enum FleetPart {
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

/// Runs a command; without one the proxy serves.
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
            println!("{}: good {kind}", file.display());
            Ok(())
        }
        Some(Command::Turns { socket }) => print_answer(&socket, "turns"),
        Some(Command::Fleet { socket, json, of }) => fleet(&socket, json, of),
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
        Some(FleetPart::Ledger { mark, class }) => {
            print_answer(socket, &format!("fleet ledger {mark} {class}"))
        }
        Some(FleetPart::Diff { other }) => {
            let here = query(socket, "fleet entries")?;
            let there = query(&other, "fleet entries")?;
            print!("{}", diff(&here, &there));
            Ok(())
        }
    }
}

fn print_answer(socket: &Path, word: &str) -> Result<(), Error> {
    print!("{}", query(socket, word)?);
    Ok(())
}

/// Sends one word to the operators' socket of a running process. Returns the answer.
fn query(socket: &Path, word: &str) -> Result<String, Error> {
    exchange(socket, word).map_err(|error| Error::Path {
        path: socket.to_path_buf(),
        error,
    })
}

fn exchange(socket: &Path, word: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{word}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The entries of a replica by kind and name.
fn entries(text: &str) -> BTreeMap<(&str, &str), &str> {
    let lines = text.lines().map(|line| line.splitn(3, ' '));
    lines
        .filter_map(|mut words| Some(((words.next()?, words.next()?), words.next()?)))
        .collect()
}

/// The entries that one of two replicas has and the other has not, or has otherwise.
fn diff(here: &str, there: &str) -> String {
    let (here, there) = (entries(here), entries(there));
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

/// Checks a file. Returns what kind of file it is.
fn check(file: &Path) -> Result<&'static str, Error> {
    let text = std::fs::read_to_string(file).map_err(|error| Error::Path {
        path: file.to_path_buf(),
        error,
    })?;
    let file = file.to_path_buf();
    if text.trim_start().starts_with('{') {
        match Config::read(&text, check_environment) {
            Ok(_) => Ok("configuration"),
            Err(error) => Err(Error::FaultyConfig { file, error }),
        }
    } else {
        match meadowrill_settings::read(&text) {
            Ok(_) => Ok("settings"),
            Err(error) => Err(Error::FaultySettings { file, error }),
        }
    }
}

/// The platform gives name and address in the environment; any will do for a check.
fn check_environment(name: &str) -> Option<String> {
    match name {
        "BALANCER_NAME" => Some("front".to_string()),
        "BALANCER_LISTEN" => Some("127.0.0.1:0".to_string()),
        _ => None,
    }
}
