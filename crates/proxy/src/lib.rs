//! The program `meadowrill`: a traffic router with its network I/O. The file named by the environment variable
//! `BALANCER_CONFIG` and an optional settings file for operators configure it.
//!
//! | module | job |
//! | --- | --- |
//! | `cli` | the command line and its sub-commands |
//! | `config` | the configuration: keys, defaults and validation |
//! | `proxy` | the event loop around the router, and request handling |
//! | `net` | connections and datagrams |
//! | `frame`, `http` | the wire protocols to clients and to endpoints |
//! | `relay` | the sub-command that forwards events to subscribers |
//! | `report` | tables, JSON, metrics and log lines for operators |

mod buffer;
mod cli;
mod clock;
mod config;
mod error;
mod frame;
mod http;
mod logging;
mod net;
mod proxy;
mod relay;
mod report;
mod sorted_vec;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Readiness};
use clap::Parser;
use cli::Cli;
use config::Config;
use error::Error;
use logging::Log;
use slog::{crit, error, info, o, Logger};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

/// Connections that may wait to be accepted. The kernel reduces this number to the host's maximum.
const LISTEN_BACKLOG: i32 = 4096;

/// Parses the command line and runs the program. `benchmark_counts` returns the counters of a benchmark build, which
/// operators can query.
pub fn main(benchmark_counts: Option<fn() -> String>) -> ExitCode {
    match cli::run(Cli::parse().command, benchmark_counts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowrill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration and serves until a signal stops the process.
fn serve(settings: Option<PathBuf>, counts: Option<fn() -> String>) -> Result<(), Error> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| Error::NotConfigured)?;
    let config = Config::load(path.into(), settings)?;
    let mut events = event_loop()?;
    let logging = Log::start(
        config.operator.log_format,
        config.log_level.clone(),
        o!("front" => config.name.clone()),
    );
    let log = logging.logger.clone();
    log_panics(&log);
    let listener = listen(config.listen)?;
    let address = listener.local_addr().map_err(Error::Io)?;
    info!(log, "listening"; "at" => %address, "clients" => config.max_client_connections,
        "caches" => config.max_endpoint_connections, "buffers" => config.max_buffer_bytes);
    let ended = proxy::Proxy::new(config, listener, &events, log.clone(), counts)
        .and_then(|mut proxy| proxy.run(&mut events))
        .map_err(|e| {
            crit!(log, "proxy failed"; "error" => %e);
            Error::Io(e)
        });
    logging.end();
    ended
}

/// Opens the listener for clients. Its accept queue is longer than the standard library's default.
fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |error: io::Error| Error::Listen { address, error };
    let listener = TcpListener::bind(address).map_err(failed)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG).map_err(|e| failed(e.into()))?;
    Ok(listener)
}

/// Creates the event loop, which also receives signals. This function must be called before the logging thread starts,
/// so that the thread leaves signals to the event loop.
fn event_loop() -> Result<EventLoop<'static, net::ReadyEvents>, Error> {
    let events =
        EventLoop::try_new().map_err(|e| Error::EventLoop(io::Error::other(e.to_string())))?;
    let signals = Signals::new(&[
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
        Signal::SIGUSR1,
    ])
    .map_err(|e| Error::Signals(io::Error::other(e.to_string())))?;
    let received = |event: calloop::signals::Event, _: &mut (), ready: &mut net::ReadyEvents| {
        let key = match event.signal() {
            Signal::SIGHUP => net::Key::Reload,
            Signal::SIGUSR1 => net::Key::Report,
            _ => net::Key::Signal,
        };
        ready.push((key, Readiness::EMPTY));
    };
    events
        .handle()
        .insert_source(signals, received)
        .map_err(|e| Error::Signals(io::Error::other(e.to_string())))?;
    Ok(events)
}

/// Installs a hook that logs panics with their location. The default hook would block while nobody reads standard
/// error.
fn log_panics(log: &Logger) {
    let log = log.clone();
    std::panic::set_hook(Box::new(
        move |panic| error!(log, "panic"; "what" => %panic),
    ));
}
