//! meadowrill on sockets: start and log. What it is told stands in the file that `BALANCER_CONFIG` names, and in our
//! own settings beside it.

#![allow(
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

mod buffer;
mod cli;
mod clock;
mod config;
mod frame;
mod front;
mod http;
mod logging;
mod net;
mod relay;
mod report;
mod sorted_vec;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Readiness};
use clap::Parser;
use cli::{Cli, Command};
use config::Config;
use logging::Log;
use meadowrill_test_servers::demo;
use slog::{crit, error, info, o, Logger};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// Connections that may wait for the loop; the kernel cuts it to what the machine allows.
const BACKLOG: i32 = 4096;

/// The loop, which gathers signals as well. To be made before the log's thread starts, so that it leaves them to the
/// loop.
fn event_loop() -> Result<EventLoop<'static, net::ReadyEvents>, String> {
    let poll = EventLoop::try_new().map_err(|e| format!("poller: {e}"))?;
    let signals = Signals::new(&[
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
        Signal::SIGUSR1,
    ])
    .map_err(|e| format!("signals: {e}"))?;
    let told = |event: calloop::signals::Event, _: &mut (), gathered: &mut net::ReadyEvents| {
        let key = match event.signal() {
            Signal::SIGHUP => net::Key::Reload,
            Signal::SIGUSR1 => net::Key::Report,
            _ => net::Key::Signal,
        };
        gathered.push((key, Readiness::EMPTY));
    };
    poll.handle()
        .insert_source(signals, told)
        .map_err(|e| format!("signals: {e}"))?;
    Ok(poll)
}

/// Where a panic was belongs into the log; the usual report would wait for whoever reads standard error.
fn log_panics(log: &Logger) {
    let told = log.clone();
    std::panic::set_hook(Box::new(
        move |panic| error!(told, "panic"; "what" => %panic),
    ));
}

fn serve(config: Config, counts: Option<fn() -> String>) -> Result<(), String> {
    let mut poll = event_loop()?;
    let logging = Log::start(
        config.own.log,
        config.log.clone(),
        o!("front" => config.name.clone()),
    );
    let log = logging.logger.clone();
    log_panics(&log);
    let listener =
        TcpListener::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    // The library's own is short for what may have to wait at the clients' ceiling.
    rustix::net::listen(&listener, BACKLOG)
        .map_err(|e| format!("listen {}: {e}", config.listen))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    info!(log, "listening"; "at" => %at, "clients" => config.clients, "caches" => config.caches,
        "buffers" => config.buffers);
    let ended = front::Front::new(config, listener, &poll, log.clone(), counts)
        .and_then(|mut front| front.run(&mut poll))
        .map_err(|e| {
            crit!(log, "ended"; "error" => %e);
            e.to_string()
        });
    logging.end();
    ended
}

fn start(settings: Option<PathBuf>, counts: Option<fn() -> String>) -> Result<(), String> {
    let path =
        std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG: is not set".to_string())?;
    let config = Config::load(path.into(), settings).map_err(|faulty| faulty.to_string())?;
    serve(config, counts)
}

/// What the program does, by its command line. `counts` adds what a bench build counts, for whoever asks the
/// operators' socket for it.
pub fn main(counts: Option<fn() -> String>) -> ExitCode {
    let done = match Cli::parse().command {
        None => start(None, counts),
        Some(Command::Serve { settings }) => start(settings, counts),
        Some(Command::Relay { settings }) => relay::start(&settings),
        Some(Command::Check { file }) => {
            cli::check(&file).map(|kind| println!("{}: good {kind}", file.display()))
        }
        Some(Command::Turns { socket }) => {
            cli::operator(&socket, "turns").map(|text| print!("{text}"))
        }
        Some(Command::Fleet { socket, json, of }) => {
            let ask = |word: &str| cli::operator(&socket, word);
            let told = match of {
                None => ask(if json { "fleet json" } else { "fleet" }),
                Some(cli::Of::Events) => ask(if json {
                    "fleet events json"
                } else {
                    "fleet events"
                }),
                Some(cli::Of::State) => ask(if json {
                    "fleet state json"
                } else {
                    "fleet state"
                }),
                Some(cli::Of::Ledger { mark, class }) => {
                    ask(&format!("fleet ledger {mark} {class}"))
                }
                Some(cli::Of::Diff { other }) => ask("fleet entries").and_then(|here| {
                    let there = cli::operator(&other, "fleet entries")?;
                    Ok(cli::diff(&here, &there))
                }),
            };
            told.map(|text| print!("{text}"))
        }
        Some(Command::Metrics { socket }) => {
            cli::operator(&socket, "metrics").map(|text| print!("{text}"))
        }
        Some(Command::Demo { seconds }) => demo::run(seconds),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("meadowrill: {what}");
            ExitCode::FAILURE
        }
    }
}
