//! Clients that send keyed requests during the faults. Each idempotency key is sent to a random proxy and, whatever the
//! outcome, again at once, after one second and after six seconds in all. The test origin counts which keys ran, not
//! the proxies.

use crate::serving::{read_frame, RESPONSE_FRAME};
use meadowrill_test_servers::request_frame;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const WORKER_COUNT: usize = 32;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delays of the repeated requests for a key, each after the attempt before it.
const RETRY_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Requests of all workers, by outcome.
#[derive(Debug, Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub rejected: AtomicU64,
    pub failed: AtomicU64,
    /// The connection ended before the response, as when a proxy is killed.
    pub connection_lost: AtomicU64,
    /// No complete response arrived within the time limit.
    pub timed_out: AtomicU64,
    /// No proxy accepted a connection, so the request was not sent.
    pub not_sent: AtomicU64,
    /// Responses that do not belong to the request, or second ones.
    pub unexpected: AtomicU64,
}

impl Counts {
    /// All counters in one line.
    pub fn summary(&self) -> String {
        let counts = [
            ("asked", &self.sent),
            ("served", &self.served),
            ("refused", &self.rejected),
            ("failed", &self.failed),
            ("lost", &self.connection_lost),
            ("late", &self.timed_out),
            ("unasked", &self.not_sent),
            ("twice", &self.unexpected),
        ];
        counts
            .map(|(name, count)| format!("{name} {}", count.load(Relaxed)))
            .join(", ")
    }
}

/// A request by its due time, a serial number that keeps the order, its key and the attempts made for that key before.
type DueRequest = Reverse<(Instant, u64, u64, usize)>;

#[derive(Default)]
struct Schedule {
    due: BinaryHeap<DueRequest>,
    last_serial: u64,
}

impl Schedule {
    fn add(&mut self, due_at: Instant, key: u64, attempts: usize) {
        self.last_serial += 1;
        self.due
            .push(Reverse((due_at, self.last_serial, key, attempts)));
    }
}

/// Running workers, which stop when this is dropped.
pub struct KeyedClients {
    pub counts: Arc<Counts>,
    schedule: Arc<Mutex<Schedule>>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    last_key: u64,
}

impl KeyedClients {
    /// Starts the workers, which send to random ones of these proxies.
    pub fn start(proxies: &[SocketAddr], seed: u64) -> KeyedClients {
        let (counts, stopping) = (Arc::<Counts>::default(), Arc::new(AtomicBool::new(false)));
        let schedule = Arc::<Mutex<Schedule>>::default();
        let threads = (0..WORKER_COUNT)
            .map(|number| {
                let (counts, stopping, schedule) = (
                    Arc::clone(&counts),
                    Arc::clone(&stopping),
                    Arc::clone(&schedule),
                );
                let proxies = proxies.to_vec();
                let rng = fastrand::Rng::with_seed(seed ^ number as u64);
                thread::spawn(move || {
                    Worker {
                        number,
                        proxies,
                        counts,
                        schedule,
                        stopping,
                        rng,
                        last_request: 0,
                    }
                    .run()
                })
            })
            .collect();
        KeyedClients {
            counts,
            schedule,
            stopping,
            threads,
            last_key: 0,
        }
    }

    /// Schedules requests for new keys, evenly over the duration.
    pub fn schedule_keys(&mut self, key_count: u64, duration: Duration) {
        if let Ok(mut schedule) = self.schedule.lock() {
            let now = Instant::now();
            for number in 0..key_count {
                self.last_key += 1;
                schedule.add(
                    now + duration.mul_f64(number as f64 / key_count as f64),
                    self.last_key,
                    0,
                );
            }
        }
    }

    /// Waits until no request is scheduled any more. Returns whether that happened within the time limit.
    pub fn wait_until_sent(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self
                .schedule
                .lock()
                .is_ok_and(|schedule| schedule.due.is_empty())
            {
                // Requests in progress may schedule repeats.
                thread::sleep(Duration::from_millis(500));
                if self
                    .schedule
                    .lock()
                    .is_ok_and(|schedule| schedule.due.is_empty())
                {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for KeyedClients {
    fn drop(&mut self) {
        self.stopping.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Worker {
    number: usize,
    proxies: Vec<SocketAddr>,
    counts: Arc<Counts>,
    schedule: Arc<Mutex<Schedule>>,
    stopping: Arc<AtomicBool>,
    rng: fastrand::Rng,
    last_request: u32,
}

impl Worker {
    fn run(mut self) {
        while !self.stopping.load(Relaxed) {
            let next = self.schedule.lock().ok().and_then(|mut schedule| {
                let due = schedule
                    .due
                    .peek()
                    .is_some_and(|Reverse((due_at, ..))| *due_at <= Instant::now());
                due.then(|| schedule.due.pop()).flatten()
            });
            let Some(Reverse((_, _, key, attempts))) = next else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            // The first repeat is sent while the first request is still in progress.
            let concurrent_retry = attempts == 0 && self.rng.bool();
            if concurrent_retry {
                self.schedule_retry(key, 1);
            }
            self.send_once(key);
            if !concurrent_retry || attempts > 0 {
                self.schedule_retry(key, attempts + 1);
            }
        }
    }

    fn schedule_retry(&self, key: u64, attempts: usize) {
        if let (Some(delay), Ok(mut schedule)) =
            (RETRY_DELAYS.get(attempts - 1), self.schedule.lock())
        {
            schedule.add(Instant::now() + *delay, key, attempts);
        }
    }

    fn send_once(&mut self, key: u64) {
        for _ in 0..10 {
            let proxy = self.rng.usize(0..self.proxies.len());
            // A new connection per request shows whether the request was sent at all.
            let Ok(mut stream) = TcpStream::connect_timeout(&self.proxies[proxy], CONNECT_TIMEOUT)
            else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
            self.last_request += 1;
            let (txn, key_text) = (
                format!("{:08x}{:08x}", self.number + 1000, self.last_request),
                format!("{key:032x}"),
            );
            let fields = [
                ("txn", txn.as_str()),
                ("unique", key_text.as_str()),
                ("item", &key_text[16..]),
                ("slice", "0"),
            ];
            let request = request_frame(self.last_request, "book", &fields, b"");
            self.counts.sent.fetch_add(1, Relaxed);
            let response = stream
                .write_all(&request)
                .and_then(|()| read_frame(&mut stream));
            // A proxy that is leaving sends a notice before the response.
            let response = if matches!(response, Ok((90, ..))) {
                read_frame(&mut stream)
            } else {
                response
            };
            let count = match response {
                Ok((RESPONSE_FRAME, stream_id, code)) if stream_id == self.last_request => {
                    match code {
                        0 => &self.counts.served,
                        11 => &self.counts.rejected,
                        _ => &self.counts.failed,
                    }
                }
                Ok(_) => &self.counts.unexpected,
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    &self.counts.timed_out
                }
                Err(_) => &self.counts.connection_lost,
            };
            count.fetch_add(1, Relaxed);
            return;
        }
        self.counts.not_sent.fetch_add(1, Relaxed);
    }
}
