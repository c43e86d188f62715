//! Load: clients that ask in a closed loop, each connection one lookup at a time, and what they got.

use crate::client::{ask, Frame};
use crate::{Client, HANG};
use hdrhistogram::Histogram;
use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The type of a frame that answers a lookup.
const ANSWER: u8 = 66;

/// What one who was turned away does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manners {
    /// Stays away as long as it was told, then asks again.
    Returns,
    /// Asks again at once.
    Hammers,
}

#[derive(Clone, Debug)]
pub struct Load {
    /// Address that it comes from, on loopback.
    pub from: IpAddr,
    pub connections: usize,
    pub manners: Manners,
    /// Lookups that a connection has open at a time; of those who return when told, one.
    pub pipelined: u32,
    /// Time between an answer and the next lookup.
    pub think: Duration,
    /// Latency budget; what the client gives up after stands in the lookup.
    pub budget: Duration,
    pub limit: Duration,
    /// The longest time that the front may tell: it stands for no turn.
    pub cap: Duration,
    /// Lookups of one connection at the most.
    pub most: u64,
    /// Further fields of each lookup; `{n}` in a value is another number each time.
    pub more: Vec<(String, String)>,
    /// Objects that are asked for in turn, the first part of each.
    pub objects: u32,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            from: "127.0.0.1".parse().unwrap(),
            connections: 1,
            manners: Manners::Returns,
            pipelined: 1,
            think: Duration::ZERO,
            budget: Duration::from_millis(500),
            limit: Duration::from_millis(3000),
            cap: Duration::from_millis(1000),
            most: u64::MAX,
            more: Vec::new(),
            objects: 600,
        }
    }
}

/// Counted so far, readable while it goes on.
#[derive(Debug, Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub satisfied: AtomicU64,
    pub in_budget: AtomicU64,
    pub nacked: AtomicU64,
    pub failed: AtomicU64,
    /// Returns at a time that was advised, and how many of them were satisfied.
    pub returned: AtomicU64,
    pub got_in: AtomicU64,
    /// Connections that the front ended.
    pub closed: AtomicU64,
    /// Nacks with the longest time that may be told.
    pub told_cap: AtomicU64,
    /// Nacks with no time to come back.
    pub unadvised: AtomicU64,
}

impl Counts {
    pub fn of(count: &AtomicU64) -> u64 {
        count.load(Relaxed)
    }
}

pub struct Running {
    pub counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Histogram<u64>>>,
}

/// A connection from an address of its own choice.
pub fn connect_from(from: IpAddr, to: SocketAddr) -> TcpStream {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let fd = socket(family, SocketType::STREAM, None).unwrap();
    bind(&fd, &SocketAddr::new(from, 0)).unwrap();
    connect(&fd, &to).unwrap();
    let stream = TcpStream::from(fd);
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    stream
}

/// The time to come back that an answer tells.
pub fn later(answer: &Frame) -> Option<Duration> {
    let (fields, _) = answer.parts();
    let later = fields.iter().find(|(name, _)| name == "later")?;
    later.1.parse().ok().map(Duration::from_millis)
}

impl Load {
    /// Asks until [`Running::end`].
    pub fn start(&self, to: SocketAddr) -> Running {
        let (counts, over) = (
            Arc::new(Counts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let connection = |at: usize| {
            let (load, counts, over) = (self.clone(), Arc::clone(&counts), Arc::clone(&over));
            thread::spawn(move || load.ask(at, to, &counts, &over))
        };
        let threads = (0..self.connections).map(connection).collect();
        Running {
            counts,
            over,
            threads,
        }
    }

    /// Loads from different networks never use the same id.
    fn host(&self) -> u8 {
        match self.from {
            IpAddr::V4(from) => from.octets()[2] ^ from.octets()[3].rotate_left(4),
            IpAddr::V6(_) => 0,
        }
    }

    /// A lookup as this load asks it, with the fields that it adds.
    fn lookup(&self, at: usize, stream: u32) -> Vec<u8> {
        let object = stream.wrapping_add(at as u32 * 37) % self.objects;
        let item = format!(
            "{:016x}",
            u64::from(object + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let (limit, txn) = (
            self.limit.as_millis().to_string(),
            format!("{:06x}{:02x}{stream:08x}", at + 1, self.host()),
        );
        let named =
            |value: &String| value.replace("{n}", &(at as u32 * 1_000_000 + stream).to_string());
        let more: Vec<_> = self
            .more
            .iter()
            .map(|(name, value)| (name.as_str(), named(value)))
            .collect();
        let told = [
            ("limit", limit.as_str()),
            ("item", &item),
            ("slice", "0"),
            ("txn", &txn),
        ];
        let told: Vec<_> = told
            .into_iter()
            .chain(more.iter().map(|(n, v)| (*n, v.as_str())))
            .collect();
        ask(stream, "map", &told, b"")
    }

    fn ask(&self, at: usize, to: SocketAddr, counts: &Counts, over: &AtomicBool) -> Histogram<u64> {
        let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
        let mut client = Client(connect_from(self.from, to));
        let (mut asked, mut stream) = (BTreeMap::new(), 0);
        let mut returns = false;
        while !over.load(Relaxed) && u64::from(stream) < self.most {
            while asked.len() < self.pipelined as usize {
                stream += 1;
                asked.insert(stream, Instant::now());
                client.write(&self.lookup(at, stream));
                counts.asked.fetch_add(1, Relaxed);
            }
            let answer = client.hear().filter(|frame| frame.kind == ANSWER);
            let Some((answer, since)) =
                answer.and_then(|a| asked.remove(&a.stream).map(|since| (a, since)))
            else {
                // Closed, or asked to bring no more: the front may do so where nothing is open.
                counts.closed.fetch_add(1, Relaxed);
                client = Client(connect_from(self.from, to));
                asked.clear();
                continue;
            };
            let took = since.elapsed();
            let satisfied = answer.code() == 0;
            counts.returned.fetch_add(u64::from(returns), Relaxed);
            counts
                .got_in
                .fetch_add(u64::from(returns && satisfied), Relaxed);
            returns = false;
            match answer.code() {
                0 => {
                    counts.satisfied.fetch_add(1, Relaxed);
                    counts
                        .in_budget
                        .fetch_add(u64::from(took <= self.budget), Relaxed);
                    times.saturating_record(took.as_micros() as u64);
                    if !self.think.is_zero() {
                        thread::sleep(self.think);
                    }
                }
                11 => {
                    counts.nacked.fetch_add(1, Relaxed);
                    let later = later(&answer);
                    counts
                        .unadvised
                        .fetch_add(u64::from(later.is_none()), Relaxed);
                    if self.manners == Manners::Returns {
                        // Without advice: a little, as any client would.
                        thread::sleep(later.unwrap_or(Duration::from_millis(20)));
                        returns = later.is_some_and(|later| later < self.cap);
                        let capped = later.is_some_and(|later| later >= self.cap);
                        counts.told_cap.fetch_add(u64::from(capped), Relaxed);
                    }
                }
                _ => drop(counts.failed.fetch_add(1, Relaxed)),
            }
        }
        times
    }
}

impl Running {
    /// Ends it; the times of those that were satisfied, in microseconds.
    pub fn end(self) -> (Arc<Counts>, Histogram<u64>) {
        self.over.store(true, Relaxed);
        let mut all = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
        for thread in self.threads {
            all.add(thread.join().unwrap()).unwrap();
        }
        (self.counts, all)
    }
}
