//! The level of the log.

use slog::Level;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// The level of the log, which may change while the log's own thread reads it. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct LogLevel(Arc<AtomicUsize>);

impl LogLevel {
    pub(crate) fn new(level: Level) -> LogLevel {
        LogLevel(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    /// Whether lines of this level are written.
    pub(crate) fn shows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Relaxed)
    }

    /// Takes over the level of another.
    pub(super) fn copy_from(&self, other: &LogLevel) {
        self.0.store(other.0.load(Relaxed), Relaxed);
    }
}
