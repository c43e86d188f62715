//! The router on sockets: the program `meadowrill`. It is configured by the file that `BALANCER_CONFIG` names, and by the
//! settings of operators beside it.
//!
//! | module | job |
//! | --- | --- |
//! | `cli` | the command line and its commands |
//! | `config` | the configuration: keys, defaults, checks |
//! | `proxy` | the event loop round the router, and what becomes of a request |
//! | `net` | connections and datagrams |
//! | `frame`, `http` | the wire to clients and to endpoints |
//! | `relay` | the command that hands on events |
//! | `report` | tables, metrics and log lines for operators |

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

/// Connections that may wait to be accepted; the kernel cuts it to what the machine allows.
const LISTEN_BACKLOG: i32 = 4096;

/// Runs the program by its command line. `benchmark_counts` adds what a benchmark's build counts, for operators who ask
/// for it.
pub fn main(benchmark_counts: Option<fn() -> String>) -> ExitCode {
    match cli::run(Cli::parse().command, benchmark_counts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowrill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration and serves until a signal ends it.
fn serve(settings: Option<PathBuf>, counts: Option<fn() -> String>) -> Result<(), Error> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| Error::NotConfigured)?;
    let config = Config::load(path.into(), settings)?;
    let mut events = event_loop()?;
    let logging = Log::start(
        config.operator.log,
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
            crit!(log, "ended"; "error" => %e);
            Error::Io(e)
        });
    logging.end();
    ended
}

/// Opens the listener for clients, with a longer queue than the library's.
fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |error: io::Error| Error::Listen { address, error };
    let listener = TcpListener::bind(address).map_err(failed)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG).map_err(|e| failed(e.into()))?;
    Ok(listener)
}

/// Makes the event loop, which receives signals as well. To be called before the log's thread starts, so that it leaves
/// signals to the loop.
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

/// Has panics logged with their place; the usual report would wait for whoever reads standard error.
fn log_panics(log: &Logger) {
    let log = log.clone();
    std::panic::set_hook(Box::new(
        move |panic| error!(log, "panic"; "what" => %panic),
    ));
}
