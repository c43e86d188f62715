//! The program's log. Logging never waits for a reader of the log: a thread of its own writes the lines.

use crate::config::LogLevel;
use meadowrill_settings::Form;
use slog::{Drain, Filter, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use std::sync::Mutex;
use std::time::Duration;

/// Lines that may wait to be written; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 1024;
/// How long the end of the process waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The log of one process. [`Log::end`] writes its last lines.
pub(crate) struct Log {
    pub(crate) logger: Logger,
    guard: slog_async::AsyncGuard,
}

impl Log {
    /// Starts the log on standard error. The fields of `process` stand in each line.
    pub(crate) fn start<T>(form: Form, level: LogLevel, process: OwnedKV<T>) -> Log
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        // A log that cannot be written is no reason to end.
        let (drain, guard) = match form {
            Form::Text => {
                let plain = slog_term::PlainDecorator::new(std::io::stderr());
                queued(
                    slog_term::FullFormat::new(plain)
                        .use_utc_timestamp()
                        .build()
                        .ignore_res(),
                )
            }
            Form::Json => {
                queued(Mutex::new(slog_json::Json::default(std::io::stderr())).ignore_res())
            }
        };
        let drain = Filter::new(drain, move |line| level.shows(line.level())).ignore_res();
        Log {
            logger: Logger::root(drain, process),
            guard,
        }
    }

    /// Waits for the last lines to be written, but not for a reader of the log that has stopped reading.
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

/// Has a thread of its own write the lines.
fn queued<D>(lines: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(lines)
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}
