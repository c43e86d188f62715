//! The program's log. Whoever logs must not wait for whoever reads, so the log has a thread of its own.

use crate::config::Shown;
use meadowrill_settings::Form;
use slog::{Drain, Filter, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use std::sync::Mutex;
use std::time::Duration;

/// Lines that wait for a reader of the log; what goes beyond is dropped and counted.
const WAITING: usize = 1024;
/// How long the end waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// The log of one process, and what is to be dropped for the last lines to be written.
pub(crate) struct Log {
    pub logger: Logger,
    guard: slog_async::AsyncGuard,
}

impl Log {
    /// `who` stands in each line.
    pub(crate) fn start<T>(form: Form, level: Shown, who: OwnedKV<T>) -> Log
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
            logger: Logger::root(drain, who),
            guard,
        }
    }

    /// The last lines are waited for, but not for a reader that has stopped reading.
    pub(crate) fn end(self) {
        let Log { logger, guard } = self;
        let (tell, written) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            let _ = tell.send(());
        });
        let _ = written.recv_timeout(LAST_LINES);
        std::mem::forget(logger);
    }
}

fn queued<D>(lines: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(lines)
        .chan_size(WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}
