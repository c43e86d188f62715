//! Purges at a steady rate, told by the stand-in journal service.

use super::clock::SharedClock;
use super::numbering::object_of;
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use meadowrill_test_servers::journal::Speaking;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Tells purges at a steady rate until it is ended.
pub struct Teller {
    over: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Micros>>>,
    thread: Option<JoinHandle<()>>,
}

impl Teller {
    pub fn start(journal: Speaking, per_second: u32, clock: SharedClock) -> Teller {
        let (over, told) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<Mutex<Vec<Micros>>>::default(),
        );
        let (ended, all) = (Arc::clone(&over), Arc::clone(&told));
        let thread = thread::spawn(move || {
            let begun = clock.now();
            for number in 0u64.. {
                let due = begun + number as Micros * SECOND / Micros::from(per_second);
                let wait = (due - clock.now()).max(0);
                thread::sleep(Duration::from_micros(wait.unsigned_abs()));
                if ended.load(Relaxed) {
                    return;
                }
                let now = clock.now();
                if let Ok(mut all) = all.lock() {
                    all.push(now);
                }
                // Stamps of the service are in whole milliseconds.
                let stamp = now.div_euclid(MILLISECOND);
                journal
                    .tell(json!({"expire": {"name": format!("{:016x}", object_of(number)), "stamp": stamp}}));
            }
        });
        Teller {
            over,
            told,
            thread: Some(thread),
        }
    }

    /// When each purge was told.
    pub fn end(&mut self) -> Vec<Micros> {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.told
            .lock()
            .map(|told| told.clone())
            .unwrap_or_default()
    }
}

impl Drop for Teller {
    fn drop(&mut self) {
        self.end();
    }
}
