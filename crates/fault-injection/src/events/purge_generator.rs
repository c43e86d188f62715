//! Load generator: purges at a steady rate, issued through the test journal service.

use super::clock::SharedClock;
use super::numbering::object_of;
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use meadowrill_test_servers::journal::PublishingJournal;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A thread that issues purges at a steady rate until it is stopped.
pub struct PurgeGenerator {
    stopping: Arc<AtomicBool>,
    issued_at: Arc<Mutex<Vec<Micros>>>,
    thread: Option<JoinHandle<()>>,
}

impl PurgeGenerator {
    /// Starts to issue `per_second` purges a second.
    pub fn start(
        journal: PublishingJournal,
        per_second: u32,
        clock: SharedClock,
    ) -> PurgeGenerator {
        let (stopping, issued_at) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<Mutex<Vec<Micros>>>::default(),
        );
        let (stop, all) = (Arc::clone(&stopping), Arc::clone(&issued_at));
        let thread = thread::spawn(move || {
            let started_at = clock.now();
            for number in 0u64.. {
                let due = started_at + number as Micros * SECOND / Micros::from(per_second);
                let wait = (due - clock.now()).max(0);
                thread::sleep(Duration::from_micros(wait.unsigned_abs()));
                if stop.load(Relaxed) {
                    return;
                }
                let now = clock.now();
                if let Ok(mut all) = all.lock() {
                    all.push(now);
                }
                // Stamps of the journal service are in whole milliseconds.
                let stamp = now.div_euclid(MILLISECOND);
                journal
                    .publish(json!({"expire": {"name": format!("{:016x}", object_of(number)), "stamp": stamp}}));
            }
        });
        PurgeGenerator {
            stopping,
            issued_at,
            thread: Some(thread),
        }
    }

    /// Stops the generator and returns when each purge was issued, by its number.
    pub fn stop(&mut self) -> Vec<Micros> {
        self.stopping.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.issued_at
            .lock()
            .map(|issued_at| issued_at.clone())
            .unwrap_or_default()
    }
}

impl Drop for PurgeGenerator {
    fn drop(&mut self) {
        self.stop();
    }
}
