//! Polls the publisher for the number of purges that are done, that is, in force everywhere.

use super::clock::SharedClock;
use super::relays::query_done_purges;
use meadowrill_event_distribution::Micros;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between two polls. A measured time until a purge is done may be too long by this much.
pub const DONE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The first answer of the publisher with this number of done purges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoneReport {
    /// When the answer was received.
    pub at: Micros,
    /// How many purges are done, counted from the first.
    pub purges: usize,
}

/// A thread that polls the publisher and stores each answer that shows progress.
pub struct DonePoller {
    stopping: Arc<AtomicBool>,
    reports: Arc<Mutex<Vec<DoneReport>>>,
    thread: Option<JoinHandle<()>>,
}

impl DonePoller {
    /// Starts to poll the operator socket of the publisher.
    pub fn start(socket: PathBuf, clock: SharedClock) -> DonePoller {
        let (stopping, reports) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<Mutex<Vec<DoneReport>>>::default(),
        );
        let (stop, all) = (Arc::clone(&stopping), Arc::clone(&reports));
        let thread = thread::spawn(move || {
            while !stop.load(Relaxed) {
                let purges = query_done_purges(&socket);
                let at = clock.now();
                if let (Some(purges), Ok(mut all)) = (purges, all.lock()) {
                    if all.last().is_none_or(|last| last.purges < purges) {
                        all.push(DoneReport { at, purges });
                    }
                }
                thread::sleep(DONE_POLL_INTERVAL);
            }
        });
        DonePoller {
            stopping,
            reports,
            thread: Some(thread),
        }
    }

    /// How many purges are done, by the last answer.
    pub fn done(&self) -> usize {
        self.reports
            .lock()
            .ok()
            .and_then(|reports| reports.last().map(|report| report.purges))
            .unwrap_or(0)
    }

    /// Stops polling and returns all stored answers.
    pub fn stop(&mut self) -> Vec<DoneReport> {
        self.stopping.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.reports
            .lock()
            .map(|reports| reports.clone())
            .unwrap_or_default()
    }
}

impl Drop for DonePoller {
    fn drop(&mut self) {
        self.stop();
    }
}
