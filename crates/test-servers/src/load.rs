//! Load: clients that send requests in a closed loop, with a fixed number of open requests per connection, and counters
//! of the results.

use crate::client::{request_frame, Frame};
use crate::{Client, HANG_TIMEOUT};
use hdrhistogram::Histogram;
use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Kind of a frame that responds to a request.
const RESPONSE_FRAME: u8 = 66;

/// What a client does after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryBehavior {
    /// Waits for the advised time, then retries.
    HonorsRetryAfter,
    /// Retries immediately.
    RetriesImmediately,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Source address of the connections, on loopback.
    pub from: IpAddr,
    pub connections: usize,
    pub retry_behavior: RetryBehavior,
    /// Open requests per connection; must be 1 with [`RetryBehavior::HonorsRetryAfter`].
    pub pipelined: u32,
    /// Time between a successful response and the next request.
    pub think_time: Duration,
    /// A successful response within this time counts as [`Counts::within_budget`].
    pub latency_budget: Duration,
    /// Time after which a client gives up, as sent in the request.
    pub deadline: Duration,
    /// Longest retry time that the proxy advises; this value means that the retry has no reservation.
    pub max_retry_after: Duration,
    /// Maximum number of requests per connection.
    pub max_requests: u64,
    /// Additional fields of each request; `{n}` in a value is replaced by a number that differs per request.
    pub extra_fields: Vec<(String, String)>,
    /// Number of objects that are requested in turn, the first part of each.
    pub object_count: u32,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            from: "127.0.0.1".parse().unwrap(),
            connections: 1,
            retry_behavior: RetryBehavior::HonorsRetryAfter,
            pipelined: 1,
            think_time: Duration::ZERO,
            latency_budget: Duration::from_millis(500),
            deadline: Duration::from_millis(3000),
            max_retry_after: Duration::from_millis(1000),
            max_requests: u64::MAX,
            extra_fields: Vec::new(),
            object_count: 600,
        }
    }
}

/// Counters of a load, readable while it runs.
#[derive(Debug, Default)]
pub struct Counts {
    pub requests: AtomicU64,
    pub successful: AtomicU64,
    pub within_budget: AtomicU64,
    pub rejected: AtomicU64,
    pub failed: AtomicU64,
    /// Retries at an advised time, and how many of them were successful.
    pub advised_retries: AtomicU64,
    pub successful_retries: AtomicU64,
    /// Connections that the proxy closed.
    pub closed: AtomicU64,
    /// Rejections that advise [`Load::max_retry_after`] or more.
    pub capped_retry_after: AtomicU64,
    /// Rejections without a retry time.
    pub without_retry_after: AtomicU64,
}

impl Counts {
    pub fn value(count: &AtomicU64) -> u64 {
        count.load(Relaxed)
    }
}

/// A load that runs in threads of its own.
pub struct RunningLoad {
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Histogram<u64>>>,
}

/// Connects from the source address `from`.
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
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream
}

/// The retry time that a response advises.
pub fn retry_after(response: &Frame) -> Option<Duration> {
    let (fields, _) = response.fields_and_body();
    let retry_after = fields.iter().find(|(name, _)| name == "later")?;
    retry_after.1.parse().ok().map(Duration::from_millis)
}

impl Load {
    /// Sends requests until [`RunningLoad::finish`].
    pub fn start(&self, to: SocketAddr) -> RunningLoad {
        let (counts, stop) = (
            Arc::new(Counts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let spawn = |connection: usize| {
            let (load, counts, stop) = (self.clone(), Arc::clone(&counts), Arc::clone(&stop));
            thread::spawn(move || load.run_connection(connection, to, &counts, &stop))
        };
        let threads = (0..self.connections).map(spawn).collect();
        RunningLoad {
            counts,
            stop,
            threads,
        }
    }

    /// Part of the request id that differs between loads from different networks.
    fn host(&self) -> u8 {
        match self.from {
            IpAddr::V4(from) => from.octets()[2] ^ from.octets()[3].rotate_left(4),
            IpAddr::V6(_) => 0,
        }
    }

    /// Encodes a request with the additional fields of this load.
    fn encode_request(&self, connection: usize, stream: u32) -> Vec<u8> {
        let object = stream.wrapping_add(connection as u32 * 37) % self.object_count;
        let item = format!(
            "{:016x}",
            u64::from(object + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let (limit, txn) = (
            self.deadline.as_millis().to_string(),
            format!("{:06x}{:02x}{stream:08x}", connection + 1, self.host()),
        );
        let numbered = |value: &String| {
            value.replace("{n}", &(connection as u32 * 1_000_000 + stream).to_string())
        };
        let more: Vec<_> = self
            .extra_fields
            .iter()
            .map(|(name, value)| (name.as_str(), numbered(value)))
            .collect();
        let fields = [
            ("limit", limit.as_str()),
            ("item", &item),
            ("slice", "0"),
            ("txn", &txn),
        ];
        let fields: Vec<_> = fields
            .into_iter()
            .chain(more.iter().map(|(n, v)| (*n, v.as_str())))
            .collect();
        request_frame(stream, "map", &fields, b"")
    }

    fn run_connection(
        &self,
        connection: usize,
        to: SocketAddr,
        counts: &Counts,
        stop: &AtomicBool,
    ) -> Histogram<u64> {
        let mut response_times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
        let mut client = Client(connect_from(self.from, to));
        let (mut open_requests, mut stream) = (BTreeMap::new(), 0);
        let mut is_advised_retry = false;
        while !stop.load(Relaxed) && u64::from(stream) < self.max_requests {
            while open_requests.len() < self.pipelined as usize {
                stream += 1;
                open_requests.insert(stream, Instant::now());
                client.write(&self.encode_request(connection, stream));
                counts.requests.fetch_add(1, Relaxed);
            }
            let response = client
                .read_frame()
                .filter(|frame| frame.kind == RESPONSE_FRAME);
            let Some((response, since)) =
                response.and_then(|a| open_requests.remove(&a.stream).map(|since| (a, since)))
            else {
                // The proxy closed the connection or asked for no further requests: it may do so while none is open.
                counts.closed.fetch_add(1, Relaxed);
                client = Client(connect_from(self.from, to));
                open_requests.clear();
                continue;
            };
            let elapsed = since.elapsed();
            let successful = response.code() == 0;
            counts
                .advised_retries
                .fetch_add(u64::from(is_advised_retry), Relaxed);
            counts
                .successful_retries
                .fetch_add(u64::from(is_advised_retry && successful), Relaxed);
            is_advised_retry = false;
            match response.code() {
                0 => {
                    counts.successful.fetch_add(1, Relaxed);
                    counts
                        .within_budget
                        .fetch_add(u64::from(elapsed <= self.latency_budget), Relaxed);
                    response_times.saturating_record(elapsed.as_micros() as u64);
                    if !self.think_time.is_zero() {
                        thread::sleep(self.think_time);
                    }
                }
                11 => {
                    counts.rejected.fetch_add(1, Relaxed);
                    let retry_after = retry_after(&response);
                    counts
                        .without_retry_after
                        .fetch_add(u64::from(retry_after.is_none()), Relaxed);
                    if self.retry_behavior == RetryBehavior::HonorsRetryAfter {
                        // Without an advised time: a short default wait.
                        thread::sleep(retry_after.unwrap_or(Duration::from_millis(20)));
                        is_advised_retry = retry_after
                            .is_some_and(|retry_after| retry_after < self.max_retry_after);
                        let capped = retry_after
                            .is_some_and(|retry_after| retry_after >= self.max_retry_after);
                        counts
                            .capped_retry_after
                            .fetch_add(u64::from(capped), Relaxed);
                    }
                }
                _ => drop(counts.failed.fetch_add(1, Relaxed)),
            }
        }
        response_times
    }
}

impl RunningLoad {
    /// Stops the load; returns the counters and the response times of successful requests, in microseconds.
    pub fn finish(self) -> (Arc<Counts>, Histogram<u64>) {
        self.stop.store(true, Relaxed);
        let mut merged = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
        for thread in self.threads {
            merged.add(thread.join().unwrap()).unwrap();
        }
        (self.counts, merged)
    }
}
