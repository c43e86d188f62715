//! The program's log. A dedicated thread writes the lines, so logging never blocks on a slow reader of the log.

use crate::config::LogLevel;
use meadowrill_settings::LogFormat;
use slog::{Drain, Filter, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use std::sync::Mutex;
use std::time::Duration;

/// Lines that may wait to be written. Further lines are dropped and counted.
const QUEUE_LENGTH: usize = 1024;
/// How long the process waits at its end for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The log of one process. [`Log::end`] flushes it.
pub(crate) struct Log {
    pub(crate) logger: Logger,
    guard: slog_async::AsyncGuard,
}

impl Log {
    /// Starts the log on standard error. Each line carries the fields of `process`.
    pub(crate) fn start<T>(format: LogFormat, level: LogLevel, process: OwnedKV<T>) -> Log
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        // Write errors are ignored: a log that cannot be written must not end the process.
        let (drain, guard) = match format {
            LogFormat::Text => {
                let plain = slog_term::PlainDecorator::new(std::io::stderr());
                async_drain(
                    slog_term::FullFormat::new(plain)
                        .use_utc_timestamp()
                        .build()
                        .ignore_res(),
                )
            }
            LogFormat::Json => {
                async_drain(Mutex::new(slog_json::Json::default(std::io::stderr())).ignore_res())
            }
        };
        let drain = Filter::new(drain, move |line| level.shows(line.level())).ignore_res();
        Log {
            logger: Logger::root(drain, process),
            guard,
        }
    }

    /// Waits up to [`FLUSH_TIMEOUT`] for the last lines to be written. A reader that has stopped reading does not block
    /// it.
    pub(crate) fn end(self) {
        let Log { logger, guard } = self;
        let (done, written) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
        std::mem::forget(logger);
    }
}

/// Starts a thread that writes the lines to the drain, and a bounded queue in front of it.
fn async_drain<D>(lines: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(lines)
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}
