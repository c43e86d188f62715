//! What the publisher says of `done`, as it is heard.

use super::clock::SharedClock;
use super::relays::told_done;
use meadowrill_event_distribution::Micros;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Between two questions to the publisher up to where all is done: what a time until done may be told too late by.
pub const DONE_LOOK: Duration = Duration::from_millis(10);

/// The first moment at which the publisher was heard to say that so many purges are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoneWord {
    pub at: Micros,
    pub purges: usize,
}

/// Asks the publisher again and again up to where all is done.
pub struct DoneWatch {
    over: Arc<AtomicBool>,
    words: Arc<Mutex<Vec<DoneWord>>>,
    thread: Option<JoinHandle<()>>,
}

impl DoneWatch {
    pub fn start(socket: PathBuf, clock: SharedClock) -> DoneWatch {
        let (over, words) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<Mutex<Vec<DoneWord>>>::default(),
        );
        let (ended, all) = (Arc::clone(&over), Arc::clone(&words));
        let thread = thread::spawn(move || {
            while !ended.load(Relaxed) {
                let purges = told_done(&socket);
                let at = clock.now();
                if let (Some(purges), Ok(mut all)) = (purges, all.lock()) {
                    if all.last().is_none_or(|last| last.purges < purges) {
                        all.push(DoneWord { at, purges });
                    }
                }
                thread::sleep(DONE_LOOK);
            }
        });
        DoneWatch {
            over,
            words,
            thread: Some(thread),
        }
    }

    /// How many purges are done by now.
    pub fn done(&self) -> usize {
        self.words
            .lock()
            .ok()
            .and_then(|words| words.last().map(|word| word.purges))
            .unwrap_or(0)
    }

    pub fn end(&mut self) -> Vec<DoneWord> {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.words
            .lock()
            .map(|words| words.clone())
            .unwrap_or_default()
    }
}

impl Drop for DoneWatch {
    fn drop(&mut self) {
        self.end();
    }
}
