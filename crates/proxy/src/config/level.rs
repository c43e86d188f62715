//! The log level.

use slog::Level;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// The log level. It may change while the logging thread reads it. Clones share one level.
#[derive(Clone, Debug)]
pub(crate) struct LogLevel(Arc<AtomicUsize>);

impl LogLevel {
    pub(crate) fn new(level: Level) -> LogLevel {
        LogLevel(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    /// Whether lines of this level are written to the log.
    pub(crate) fn shows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Relaxed)
    }

    /// Sets the level to that of `other`.
    pub(super) fn copy_from(&self, other: &LogLevel) {
        self.0.store(other.0.load(Relaxed), Relaxed);
    }
}
