//! meadowrill on sockets: start and log. What it is told stands in the file that `BALANCER_CONFIG` names.

mod config;
mod frame;
mod front;
mod http;
mod net;
mod ring;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Readiness};
use config::Config;
use slog::{crit, error, info, o, Drain, Filter, Logger};
use std::net::TcpListener;
use std::process::ExitCode;
use std::time::Duration;

/// Lines that wait for a reader of the log; what goes beyond is dropped and counted.
const WAITING: usize = 1024;
/// How long the end waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Connections that may wait for the loop; the kernel cuts it to what the machine allows.
const BACKLOG: i32 = 4096;

/// Serving runs on one thread and must not wait for whoever reads the log, so the log has one of its own.
fn log(config: &Config) -> (Logger, slog_async::AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    // A log that cannot be written is no reason to end.
    let level = config.log.clone();
    let drain = Filter::new(drain, move |line| level.shows(line.level())).ignore_res();
    (Logger::root(drain, o!("front" => config.name.clone())), guard)
}

fn serve(config: Config) -> Result<(), String> {
    let mut poll = EventLoop::try_new().map_err(|e| format!("poller: {e}"))?;
    // Before the log's thread starts, so that it leaves these signals to the loop as well.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    let told = |event: calloop::signals::Event, _: &mut (), gathered: &mut net::Gathered| {
        let reload = event.signal() == Signal::SIGHUP;
        gathered.push((if reload { net::Key::Reload } else { net::Key::Signal }, Readiness::EMPTY));
    };
    poll.handle().insert_source(signals, told).map_err(|e| format!("signals: {e}"))?;
    let (log, guard) = log(&config);
    // Where a panic was belongs into the log; the usual report would wait for whoever reads standard error.
    let told = log.clone();
    std::panic::set_hook(Box::new(move |panic| error!(told, "panic"; "what" => %panic)));
    let listener = TcpListener::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    // The library's own is short for what may have to wait at the clients' ceiling.
    rustix::net::listen(&listener, BACKLOG).map_err(|e| format!("listen {}: {e}", config.listen))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    info!(log, "listening"; "at" => %at, "clients" => config.clients, "caches" => config.caches,
        "buffers" => config.buffers);
    let ended = front::Front::new(config, listener, &poll, log.clone())
        .and_then(|mut front| front.run(&mut poll))
        .map_err(|e| {
            crit!(log, "ended"; "error" => %e);
            e.to_string()
        });
    // The last lines are waited for, but not for a reader that has stopped reading.
    let (tell, written) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = tell.send(());
    });
    let _ = written.recv_timeout(LAST_LINES);
    std::mem::forget(log);
    ended
}

fn main() -> ExitCode {
    let config = match std::env::var("BALANCER_CONFIG").ok() {
        None => Err("BALANCER_CONFIG: is not set".to_string()),
        Some(path) => Config::load(path.into()).map_err(|faulty| faulty.to_string()),
    };
    match config.and_then(serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("meadowrill: {what}");
            ExitCode::FAILURE
        }
    }
}
