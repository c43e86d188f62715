//! Clients of keyed lookups beside the faults: each mark is asked for at some front, and again at another at once, after a
//! second and after six, whatever came of it. What ran is told by the stand-in origin, never by the fronts.

use crate::serving::{answer, ANSWER};
use meadowrill_test_servers::ask;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const WORKERS: usize = 32;
const PATIENCE: Duration = Duration::from_secs(4);
const CONNECT: Duration = Duration::from_millis(300);
/// When a client comes again, after the try before.
const AGAIN: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(5),
];

#[derive(Debug, Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// The connection ended before the answer: as with a front that is killed.
    pub lost: AtomicU64,
    pub late: AtomicU64,
    /// No front took the connection.
    pub unasked: AtomicU64,
    /// Answers that belong to no lookup, or a second one.
    pub twice: AtomicU64,
}

impl Counts {
    pub fn text(&self) -> String {
        let all = [
            ("asked", &self.asked),
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("lost", &self.lost),
            ("late", &self.late),
            ("unasked", &self.unasked),
            ("twice", &self.twice),
        ];
        all.map(|(name, count)| format!("{name} {}", count.load(Relaxed)))
            .join(", ")
    }
}

/// Due then: a number that keeps the order, the mark, how often it was asked for.
type Due = Reverse<(Instant, u64, u64, usize)>;

#[derive(Default)]
struct Tasks {
    due: BinaryHeap<Due>,
    serial: u64,
}

impl Tasks {
    fn put(&mut self, at: Instant, mark: u64, tries: usize) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial, mark, tries)));
    }
}

pub struct Effects {
    pub counts: Arc<Counts>,
    tasks: Arc<Mutex<Tasks>>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    marks: u64,
}

impl Effects {
    pub fn start(doors: &[SocketAddr], seed: u64) -> Effects {
        let (counts, over) = (Arc::<Counts>::default(), Arc::new(AtomicBool::new(false)));
        let tasks = Arc::<Mutex<Tasks>>::default();
        let threads = (0..WORKERS)
            .map(|n| {
                let (counts, over, tasks) =
                    (Arc::clone(&counts), Arc::clone(&over), Arc::clone(&tasks));
                let doors = doors.to_vec();
                let rng = fastrand::Rng::with_seed(seed ^ n as u64);
                thread::spawn(move || {
                    Worker {
                        n,
                        doors,
                        counts,
                        tasks,
                        over,
                        rng,
                        number: 0,
                    }
                    .run()
                })
            })
            .collect();
        Effects {
            counts,
            tasks,
            over,
            threads,
            marks: 0,
        }
    }

    /// So many new marks, spread over that time.
    pub fn ask(&mut self, many: u64, span: Duration) {
        if let Ok(mut tasks) = self.tasks.lock() {
            let now = Instant::now();
            for n in 0..many {
                self.marks += 1;
                tasks.put(now + span.mul_f64(n as f64 / many as f64), self.marks, 0);
            }
        }
    }

    /// Waits until all that is due was asked, at most so long.
    pub fn done(&self, most: Duration) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if self.tasks.lock().is_ok_and(|tasks| tasks.due.is_empty()) {
                // What the workers have in hand.
                thread::sleep(Duration::from_millis(500));
                if self.tasks.lock().is_ok_and(|tasks| tasks.due.is_empty()) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Effects {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Worker {
    n: usize,
    doors: Vec<SocketAddr>,
    counts: Arc<Counts>,
    tasks: Arc<Mutex<Tasks>>,
    over: Arc<AtomicBool>,
    rng: fastrand::Rng,
    number: u32,
}

impl Worker {
    fn run(mut self) {
        while !self.over.load(Relaxed) {
            let next = self.tasks.lock().ok().and_then(|mut tasks| {
                let due = tasks
                    .due
                    .peek()
                    .is_some_and(|Reverse((at, ..))| *at <= Instant::now());
                due.then(|| tasks.due.pop()).flatten()
            });
            let Some(Reverse((_, _, mark, tries))) = next else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            // The second comes while the first is still asked for.
            let together = tries == 0 && self.rng.bool();
            if together {
                self.again(mark, 1);
            }
            self.try_once(mark);
            if !together || tries > 0 {
                self.again(mark, tries + 1);
            }
        }
    }

    fn again(&self, mark: u64, tries: usize) {
        if let (Some(wait), Ok(mut tasks)) = (AGAIN.get(tries - 1), self.tasks.lock()) {
            tasks.put(Instant::now() + *wait, mark, tries);
        }
    }

    fn try_once(&mut self, mark: u64) {
        for _ in 0..10 {
            let at = self.rng.usize(0..self.doors.len());
            // A fresh one each time tells what was asked from what was not.
            let Ok(mut stream) = TcpStream::connect_timeout(&self.doors[at], CONNECT) else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(PATIENCE));
            self.number += 1;
            let (txn, unique) = (
                format!("{:08x}{:08x}", self.n + 1000, self.number),
                format!("{mark:032x}"),
            );
            let more = [
                ("txn", txn.as_str()),
                ("unique", unique.as_str()),
                ("item", &unique[16..]),
                ("slice", "0"),
            ];
            let request = ask(self.number, "book", &more, b"");
            self.counts.asked.fetch_add(1, Relaxed);
            let got = stream
                .write_all(&request)
                .and_then(|()| answer(&mut stream));
            // A front that parts says so first.
            let got = if matches!(got, Ok((90, ..))) {
                answer(&mut stream)
            } else {
                got
            };
            let count = match got {
                Ok((ANSWER, of, code)) if of == self.number => match code {
                    0 => &self.counts.served,
                    11 => &self.counts.refused,
                    _ => &self.counts.failed,
                },
                Ok(_) => &self.counts.twice,
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    &self.counts.late
                }
                Err(_) => &self.counts.lost,
            };
            count.fetch_add(1, Relaxed);
            return;
        }
        self.counts.unasked.fetch_add(1, Relaxed);
    }
}
