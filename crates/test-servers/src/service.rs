//! A cache, parent or origin with a limited capacity: a number of workers, a service time per request and a queue in
//! the order of arrival. It caches objects whose request asks to retain them, and fills a miss from the source that the
//! request names.

use crate::header;
use crate::program::KEY_TTL;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Addresses of the servers by id; shared by servers that fill from each other.
pub type Directory = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Maximum number of cached objects; the object with the smallest path is evicted first, on which no test relies.
const MAX_CACHED_OBJECTS: usize = 100_000;

struct ServerState {
    /// When each worker becomes free.
    workers: Mutex<BinaryHeap<Reverse<Instant>>>,
    service_time_us: AtomicU64,
    size: usize,
    /// When each cached copy was issued, in milliseconds since the Unix epoch. `None`: the server has every object.
    cached: Option<Mutex<BTreeMap<String, u128>>>,
    directory: Directory,
    in_progress: AtomicUsize,
    peak_in_progress: AtomicUsize,
    responses: AtomicU64,
    fills: AtomicU64,
    /// For a server that has every object: the last execution and the number of executions by idempotency key.
    executions: Mutex<BTreeMap<String, (Instant, u32)>>,
    /// Purge times of objects in milliseconds since the Unix epoch, and the number of requests that allowed an older
    /// copy.
    purged: Mutex<BTreeMap<String, u128>>,
    outdated_copies_allowed: AtomicU64,
    /// How long after a purge requests may still allow older copies.
    purge_grace_ms: AtomicU64,
}

/// Default of [`Service::set_purge_grace`].
const PURGE_GRACE_MS: u64 = 500;
/// Tolerance for the clocks and for the transit time of a request.
const AGE_TOLERANCE_MS: u128 = 50;

/// A server on loopback with a limited capacity. Clones share the state.
#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    state: Arc<ServerState>,
}

impl Service {
    /// Starts a server. With `empty` it is a cache without objects; otherwise it has every object, as an origin does.
    pub fn start(
        workers: usize,
        service_time: Duration,
        size: usize,
        empty: bool,
        directory: &Directory,
    ) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ServerState {
            workers: Mutex::new((0..workers).map(|_| Reverse(Instant::now())).collect()),
            service_time_us: AtomicU64::new(service_time.as_micros() as u64),
            size,
            cached: empty.then(Default::default),
            directory: Arc::clone(directory),
            in_progress: AtomicUsize::new(0),
            peak_in_progress: AtomicUsize::new(0),
            responses: AtomicU64::new(0),
            executions: Mutex::default(),
            purged: Mutex::default(),
            outdated_copies_allowed: AtomicU64::new(0),
            purge_grace_ms: AtomicU64::new(PURGE_GRACE_MS),
            fills: AtomicU64::new(0),
        });
        let shared_state = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared_state);
                thread::spawn(move || state.serve(stream));
            }
        });
        Service { address, state }
    }

    /// Sets the service time of the following requests.
    pub fn set_service_time(&self, service_time: Duration) {
        self.state
            .service_time_us
            .store(service_time.as_micros() as u64, Relaxed);
    }

    /// The number of responses, including those with status 404.
    pub fn responses(&self) -> u64 {
        self.state.responses.load(Relaxed)
    }

    /// The number of misses that were filled from a source, including failed ones.
    pub fn fills(&self) -> u64 {
        self.state.fills.load(Relaxed)
    }

    /// The number of executions by idempotency key, at a server that has every object.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.state
            .executions
            .lock()
            .unwrap()
            .iter()
            .map(|(idempotency_key, (_, n))| (idempotency_key.clone(), *n))
            .collect()
    }

    /// Records a purge: requests for this object are then checked for whether they allow copies from before the purge.
    pub fn record_purge(&self, item: &str, stamp_ms: u128) {
        self.state
            .purged
            .lock()
            .unwrap()
            .insert(item.into(), stamp_ms);
    }

    /// Sets how long after a purge requests may still allow older copies.
    pub fn set_purge_grace(&self, span: Duration) {
        self.state
            .purge_grace_ms
            .store(span.as_millis() as u64, Relaxed);
    }

    /// The number of requests that allowed a copy from before a purge after that time.
    pub fn outdated_copies_allowed(&self) -> u64 {
        self.state.outdated_copies_allowed.load(Relaxed)
    }

    /// The maximum number of concurrent requests since the last call.
    pub fn take_peak_concurrency(&self) -> usize {
        self.state.peak_in_progress.swap(0, Relaxed)
    }
}

struct Response {
    cache_status: &'static str,
    /// How long a fill from the source took.
    source_ms: Option<u128>,
    /// When the copy was issued, in milliseconds since the Unix epoch.
    issued_ms: u128,
}

impl Response {
    fn hit(issued_ms: u128) -> Response {
        Response {
            cache_status: "TCP_HIT",
            source_ms: None,
            issued_ms,
        }
    }
}

/// The age of copies that a request allows, in milliseconds; unlimited without the header field.
fn oldest_ms(head: &str) -> u128 {
    let allowed = header(head, "Oldest-Ms").and_then(|ms| ms.parse::<u64>().ok());
    u128::from(allowed.unwrap_or(u64::MAX))
}

impl ServerState {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        loop {
            let (mut head, mut line) = (String::new(), String::new());
            while matches!(reader.read_line(&mut line), Ok(n) if n > 2) {
                head.push_str(&line);
                line.clear();
            }
            let mut body = vec![
                0;
                header(&head, "Content-Length")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0)
            ];
            if head.is_empty() || reader.read_exact(&mut body).is_err() {
                return;
            }
            let now = self.in_progress.fetch_add(1, Relaxed) + 1;
            self.peak_in_progress.fetch_max(now, Relaxed);
            let response = self.respond(&head);
            self.in_progress.fetch_sub(1, Relaxed);
            self.responses.fetch_add(1, Relaxed);
            let written = response.map(|Response { cache_status, source_ms, issued_ms }| {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Cache: {cache_status}\r\nVersion: 1\r\nIssued-At: {}\r\n{}Content-Length: {}\r\n\r\n",
                    issued_ms,
                    source_ms.map_or(String::new(), |ms| format!("Source-Ms: {ms}\r\n")),
                    self.size
                );
                stream.write_all(&[head.as_bytes(), &vec![b'x'; self.size]].concat())
            });
            let written = written.unwrap_or_else(|| {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            });
            if written.is_err() {
                return;
            }
        }
    }

    /// Responds after the service time; `None` for a miss that cannot be filled.
    fn respond(&self, head: &str) -> Option<Response> {
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        self.check_allowed_age(&path, head);
        let service_time = Duration::from_micros(self.service_time_us.load(Relaxed));
        let until = {
            let mut workers = self.workers.lock().unwrap();
            let free = workers
                .pop()
                .map_or_else(Instant::now, |Reverse(at)| at.max(Instant::now()));
            workers.push(Reverse(free + service_time));
            free + service_time
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        let idempotency_key = header(head, "Idempotency-Key");
        let Some(cached) = &self.cached else {
            idempotency_key
                .into_iter()
                .for_each(|idempotency_key| self.execute(idempotency_key));
            return Some(Response::hit(crate::now_ms()));
        };
        let issued_ms = cached.lock().unwrap().get(&path).copied();
        if let Some(issued_ms) =
            issued_ms.filter(|issued| *issued + oldest_ms(head) >= crate::now_ms())
        {
            return Some(Response::hit(issued_ms));
        }
        let source = header(head, "Upstream")?;
        let address = self.directory.lock().unwrap().get(source).copied()?;
        self.fills.fetch_add(1, Relaxed);
        let start = Instant::now();
        let issued_ms = self.fetch(address, &path, head, idempotency_key)?;
        if header(head, "Retain").is_some_and(|rank| rank != "0") {
            let mut cached = cached.lock().unwrap();
            cached.insert(path, issued_ms);
            if cached.len() > MAX_CACHED_OBJECTS {
                cached.pop_first();
            }
        }
        Some(Response {
            cache_status: "TCP_MISS",
            source_ms: Some(start.elapsed().as_millis()),
            issued_ms,
        })
    }

    /// Executes the side effect, except for a repeat within [`KEY_TTL`] of the last execution.
    fn execute(&self, idempotency_key: &str) {
        let mut executions = self.executions.lock().unwrap();
        let now = Instant::now();
        let (at, count) = executions.entry(idempotency_key.into()).or_insert((now, 0));
        if *count == 0 || now > *at + KEY_TTL {
            (*at, *count) = (now, *count + 1);
        }
    }

    fn check_allowed_age(&self, path: &str, head: &str) {
        let Some(item) = path.split('/').nth(3) else {
            return;
        };
        let Some(stamp) = self.purged.lock().unwrap().get(item).copied() else {
            return;
        };
        let since = crate::now_ms().saturating_sub(stamp);
        if since > u128::from(self.purge_grace_ms.load(Relaxed))
            && oldest_ms(head) > since + AGE_TOLERANCE_MS
        {
            self.outdated_copies_allowed.fetch_add(1, Relaxed);
        }
    }

    /// Requests the object in the way of a parent that fills from the origin; returns when the copy was issued.
    fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        request_head: &str,
        idempotency_key: Option<&str>,
    ) -> Option<u128> {
        let mut stream = TcpStream::connect_timeout(&address, crate::HANG_TIMEOUT).ok()?;
        let idempotency_key = idempotency_key.map_or(String::new(), |idempotency_key| {
            format!("Idempotency-Key: {idempotency_key}\r\n")
        });
        let oldest = header(request_head, "Oldest-Ms")
            .map_or(String::new(), |ms| format!("Oldest-Ms: {ms}\r\n"));
        let headers = format!("Upstream: s-o\r\nRetain: 1\r\n{oldest}{idempotency_key}");
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\n{headers}\r\n").as_bytes())
            .ok()?;
        let (mut reader, mut line, mut length) = (BufReader::new(stream), String::new(), 0);
        reader
            .read_line(&mut line)
            .ok()
            .filter(|_| line.contains(" 200 "))?;
        let mut issued_ms = crate::now_ms();
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            match line.trim_end().split_once(": ") {
                Some(("Content-Length", n)) => length = n.parse().ok()?,
                Some(("Issued-At", ms)) => issued_ms = ms.parse().ok()?,
                Some(_) => {}
                None => break,
            }
        }
        reader
            .read_exact(&mut vec![0; length])
            .ok()
            .map(|()| issued_ms)
    }
}
