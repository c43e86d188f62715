//! Random interleavings, drawn from a seed, against the complete program. Clients send requests, cancel, close,
//! half-close or pause within a frame. Caches respond, fail, truncate a response, hang, respond twice or close. An
//! endpoint starts and stops draining, and the process is paused now and then. At the end it receives SIGTERM with
//! requests open. The checks hold for every order of events.

use meadowrill_test_servers::*;
use serde_json::json;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ChildStderr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const CONNECTIONS_PER_CLIENT: usize = 30;
const KEY_TTL_MS: u128 = 400;
/// The lifetime of a key applies to the time at which the proxy writes a retry. The cache receives the retry at most
/// this much later.
const TRANSIT_TOLERANCE_MS: u128 = 50;
/// An attempt is late if the proxy writes it this long after its client has left. The third late attempt is a fault,
/// and so is any attempt after [`MAX_LATENESS_MS`]. The time of writing counts, because a cache on a busy host may read
/// the attempt later.
const LATE_AFTER_MS: u128 = 100;
const MAX_LATE_ATTEMPTS: usize = 2;
const MAX_LATENESS_MS: u128 = 500;

struct Random(u64, u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }
}

/// A complete request that a cache received.
struct ReceivedRequest {
    id: u32,
    received_at_ms: u128,
    /// Whether the response proves that the request never ran.
    proved_not_run: bool,
}

type ReceivedLog = Arc<Mutex<Vec<ReceivedRequest>>>;

/// When the proxy wrote its attempts, by request, in milliseconds since the Unix epoch.
type WriteTimes = Arc<Mutex<HashMap<u32, Vec<u128>>>>;

/// Reads the proxy's log to its end, and records when attempts were written.
fn read_write_times(log: BufReader<ChildStderr>, written: &WriteTimes) {
    let field = |line: &str, name: &str| {
        let (_, rest) = line.split_once(name)?;
        Some(rest.split(',').next()?.trim().to_string())
    };
    for line in log.lines().map_while(Result::ok) {
        assert!(
            !line.contains("logger dropped messages"),
            "lines are missing from the log: {line}"
        );
        if !line.contains("attempt written") {
            continue;
        }
        let id = field(&line, "request: ").and_then(|id| u32::from_str_radix(&id, 16).ok());
        let at = field(&line, "written_at_us: ").and_then(|at| at.parse::<u128>().ok());
        if let (Some(id), Some(at)) = (id, at) {
            written
                .lock()
                .unwrap()
                .entry(id)
                .or_default()
                .push(at / 1000);
        }
    }
}

fn cache(seed: u64, log: ReceivedLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (log, random) = (Arc::clone(&log), Random(seed, number as u64 * 1000));
            thread::spawn(move || serve(stream, random, &log));
        }
    });
    address
}

/// Serves one connection. A failed read or write means that the proxy has closed it.
fn serve(mut stream: TcpStream, mut random: Random, log: &ReceivedLog) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (mut head, mut line) = (String::new(), String::new());
        while reader.read_line(&mut line).ok()? > 2 {
            head.push_str(&line);
            line.clear();
        }
        let id = u32::from_str_radix(header(&head, "X-Req")?, 16).ok()?;
        let length: u64 = header(&head, "Content-Length").map_or(0, |n| n.parse().unwrap());
        std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink()).ok()?;
        let behavior = random.below(20);
        log.lock().unwrap().push(ReceivedRequest {
            id,
            received_at_ms: now_ms(),
            proved_not_run: matches!(behavior, 0 | 1),
        });
        let ok = format!(
            "HTTP/1.1 200 OK\r\nX-Cache: TCP_HIT\r\nVersion: {id}\r\nContent-Length: 8\r\n\r\n{id:08x}"
        );
        match behavior {
            0 => stream
                .write_all(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                .ok()?,
            1 => stream
                .write_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
                .ok()?,
            2 => stream
                .write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
                .ok()?,
            3 => return None,
            4 => return stream.write_all(&ok.as_bytes()[..ok.len() - 3]).ok(),
            5 => {
                thread::sleep(Duration::from_millis(150));
                stream.write_all(ok.as_bytes()).ok()?;
            }
            // Sends no response and waits until the proxy closes the connection.
            6 => drop(reader.read(&mut [0]).ok()?),
            7 => stream.write_all(format!("{ok}{ok}").as_bytes()).ok()?,
            8 => {
                stream.write_all(ok.as_bytes()).ok()?;
                return None;
            }
            9 => {
                rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return None;
            }
            _ => stream.write_all(ok.as_bytes()).ok()?,
        }
    }
}

/// The state of a request as its client sees it.
#[derive(Clone, Copy, Default)]
struct RequestState {
    /// Whether the class is not idempotent, so that a second run is a fault.
    retry_unsafe: bool,
    keyed: bool,
    /// When the client cancelled the request, or closed or half-closed its connection.
    abandoned_at_ms: Option<u128>,
    responses: u32,
    wrong_body: bool,
}

struct TestRun {
    address: SocketAddr,
    ids: AtomicU32,
    requests: Mutex<HashMap<u32, RequestState>>,
    /// Whether the proxy was sent SIGTERM; from then on it may refuse connections.
    terminating: AtomicBool,
}

impl TestRun {
    fn run_client(&self, mut random: Random) {
        for _ in 0..CONNECTIONS_PER_CLIENT {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, HANG_TIMEOUT) else {
                assert!(self.terminating.load(Relaxed), "connection refused");
                return;
            };
            stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
            self.use_connection(Client(stream), &mut random);
        }
    }

    #[allow(clippy::too_many_lines, reason = "one sequence of steps")]
    fn use_connection(&self, mut client: Client, random: &mut Random) {
        let mut open: HashMap<u32, u32> = HashMap::new();
        let rounds = 1 + random.below(4);
        let mut stream = 0;
        for _ in 0..rounds {
            let mut bytes = Vec::new();
            for _ in 0..1 + random.below(4) {
                stream += 1;
                let id = self.ids.fetch_add(1, Relaxed);
                let (verb, txn, key) = (
                    ["map", "map", "order", "book"][random.below(4)],
                    format!("{id:016x}"),
                    format!("{id:032x}"),
                );
                let item = format!("{:016x}", random.below(50));
                let limit = (300 + random.below(1200)).to_string();
                let mut fields = vec![("txn", txn.as_str()), ("item", &item), ("limit", &limit)];
                if verb == "book" {
                    fields.push(("unique", &key));
                }
                bytes.extend(request_frame(stream, verb, &fields, b""));
                let request = RequestState {
                    retry_unsafe: verb == "order",
                    keyed: verb == "book",
                    ..RequestState::default()
                };
                self.requests.lock().unwrap().insert(id, request);
                open.insert(stream, id);
            }
            if client.0.write_all(&bytes).is_err() {
                return self.connection_lost(&open);
            }
            match random.below(8) {
                0 => {
                    let stream = *open.keys().min().expect("one");
                    if client.0.write_all(&frame(67, stream, &[])).is_err() {
                        return self.connection_lost(&open);
                    }
                    // The cancellation may cross the response.
                    self.mark_abandoned(open[&stream]);
                }
                1 => {
                    drop(client);
                    return open.values().for_each(|id| self.mark_abandoned(*id));
                }
                2 => {
                    let _ = client.0.shutdown(Shutdown::Write);
                    open.values().for_each(|id| self.mark_abandoned(*id));
                    while let Some(response) = client.read_frame() {
                        self.record_response(&open, &response);
                    }
                    return;
                }
                3 => {
                    let _ = client.0.write_all(&[9, 0]);
                    thread::sleep(Duration::from_millis(20));
                    drop(client);
                    return open.values().for_each(|id| self.mark_abandoned(*id));
                }
                _ => {
                    // Every open request gets a response.
                    while !open.is_empty() {
                        let Some(response) = client.read_frame() else {
                            return self.connection_lost(&open);
                        };
                        self.record_response(&open, &response);
                        open.remove(&response.stream);
                    }
                }
            }
            let requests = self.requests.lock().unwrap();
            open.retain(|_, id| requests[id].abandoned_at_ms.is_none());
        }
        while !open.is_empty() {
            let Some(response) = client.read_frame() else {
                return self.connection_lost(&open);
            };
            self.record_response(&open, &response);
            open.remove(&response.stream);
        }
    }

    fn record_response(&self, open: &HashMap<u32, u32>, response: &Frame) {
        let Some(id) = open.get(&response.stream).filter(|_| response.kind == 66) else {
            return;
        };
        let mut requests = self.requests.lock().unwrap();
        let request = requests.get_mut(id).unwrap();
        request.responses += 1;
        request.wrong_body |=
            response.code() == 0 && response.fields_and_body().1 != format!("{id:08x}").as_bytes();
    }

    fn mark_abandoned(&self, id: u32) {
        self.requests
            .lock()
            .unwrap()
            .get_mut(&id)
            .unwrap()
            .abandoned_at_ms = Some(now_ms());
    }

    /// Handles a connection that the proxy has closed. This is allowed only during its shutdown, and only if no
    /// response is due.
    fn connection_lost(&self, open: &HashMap<u32, u32>) {
        assert!(
            self.terminating.load(Relaxed),
            "connection closed with {} requests open",
            open.len()
        );
        // These requests were written to a closed connection, or after the proxy announced that it accepts no more
        // requests. The proxy did not accept them, so no response is due.
        open.values().for_each(|id| self.mark_abandoned(*id));
    }
}

#[allow(clippy::too_many_lines, reason = "one sequence of steps")]
fn run_with_seed(seed: u64) {
    let log = ReceivedLog::default();
    let journal = Journal::start();
    let caches: Vec<SocketAddr> = (0..3)
        .map(|n| cache(seed * 7 + n, Arc::clone(&log)))
        .collect();
    let names = ["s-a", "s-b", "s-c"];
    let listed: Vec<_> = names.into_iter().zip(caches.iter().copied()).collect();
    let mut config = config(&listed, journal.address);
    config["settings"]["limits"]["conn_idle_s"] = json!(1.0);
    config["settings"]["classes"][2]["key_ttl_s"] = json!(KEY_TTL_MS as f64 / 1e3);
    config["log"] = json!("debug");
    let mut program = Program::start_with_log(&config);
    let written = WriteTimes::default();
    let reader = thread::spawn({
        let (log, written) = (program.log.take().unwrap(), Arc::clone(&written));
        move || read_write_times(log, &written)
    });
    let (_, mut service) = journal.accept_subscriber();
    let before = program.open_descriptors();
    let ids = AtomicU32::new(1);
    let (requests, terminating) = (Mutex::default(), AtomicBool::new(false));
    let test_run = TestRun {
        address: program.address,
        ids,
        requests,
        terminating,
    };

    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                scope.spawn({
                    let test_run = &test_run;
                    move || test_run.run_client(Random(seed, (n as u64 + 1) << 32))
                })
            })
            .collect();
        let mut random = Random(seed, 1 << 60);
        let mut pos = 1;
        while !clients.iter().all(|client| client.is_finished()) {
            thread::sleep(Duration::from_millis(15));
            match random.below(6) {
                0 => {
                    program.pause();
                    thread::sleep(Duration::from_millis(random.below(30) as u64));
                    program.resume();
                }
                1 | 2 => {
                    // One endpoint starts or stops draining; the others keep their state.
                    pos += 1;
                    let phase = if random.below(2) == 0 {
                        "DRAINING"
                    } else {
                        "SERVING"
                    };
                    let members = json!([member(names[0], "std", caches[0], phase)]);
                    let _ = service.write_all(hosts_event(pos, &members).as_bytes());
                }
                _ => drop(service.write_all(format!("{pos}\n").as_bytes())),
            }
        }

        clients
            .into_iter()
            .for_each(|client| client.join().expect("the checks of a client pass"));
    });
    // The number of open descriptors returns to its initial value when idle connections have timed out.
    let end = Instant::now() + HANG_TIMEOUT;
    while program.open_descriptors() > before {
        assert!(
            Instant::now() < end,
            "{} descriptors, {before} before",
            program.open_descriptors()
        );
        thread::sleep(Duration::from_millis(50));
    }
    let peak = program.peak_memory_kb();
    assert!(peak < 32_000, "{peak} kB");
    // Shutdown with requests open.
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let test_run = &test_run;
            scope.spawn(move || {
                let mut random = Random(seed, (n as u64 + 100) << 32);
                let stream = TcpStream::connect_timeout(&test_run.address, HANG_TIMEOUT).unwrap();
                stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
                test_run.use_connection(Client(stream), &mut random);
            });
        }
        test_run.terminating.store(true, Relaxed);
        program.terminate();
    });
    assert!(
        program.exits_within(HANG_TIMEOUT / 2),
        "the proxy has not exited"
    );
    reader.join().unwrap();
    check_outcomes(seed, &test_run, &log, &written);
}

/// When the proxy wrote a received request: its last write before the receipt. Returns the time of the receipt if the
/// log has no such write.
fn written_at(received: &ReceivedRequest, written: &HashMap<u32, Vec<u128>>) -> u128 {
    let writes = written.get(&received.id).into_iter().flatten();
    let before = writes.copied().filter(|at| *at <= received.received_at_ms);
    before.max().unwrap_or(received.received_at_ms)
}

fn check_outcomes(seed: u64, test_run: &TestRun, log: &ReceivedLog, written: &WriteTimes) {
    let requests = test_run.requests.lock().unwrap();
    let log = log.lock().unwrap();
    let written = written.lock().unwrap();
    assert!(
        requests.len() > 500 && log.len() > 300,
        "{} requests, {} attempts",
        requests.len(),
        log.len()
    );
    let mut first_received: HashMap<u32, u128> = HashMap::new();
    let (mut late, mut after_leaving) = (0, 0);
    for received in log.iter() {
        let request = &requests[&received.id];
        if let Some(left) = request.abandoned_at_ms {
            let lateness_ms = written_at(received, &written).saturating_sub(left);
            assert!(
                lateness_ms < MAX_LATENESS_MS,
                "seed {seed}: request {:x} was sent {lateness_ms} ms after its client left",
                received.id
            );
            late += usize::from(lateness_ms > LATE_AFTER_MS);
            after_leaving += usize::from(lateness_ms > 0);
        }
        if let Some(before) = first_received.get(&received.id) {
            assert!(
                !request.retry_unsafe,
                "seed {seed}: request {:x} ran twice",
                received.id
            );
            let within = received.received_at_ms - before <= KEY_TTL_MS + TRANSIT_TOLERANCE_MS;
            assert!(
                !request.keyed || within,
                "seed {seed}: request {:x} was sent again {} ms later",
                received.id,
                received.received_at_ms - before
            );
        } else if !received.proved_not_run {
            first_received.insert(received.id, received.received_at_ms);
        }
    }
    assert!(
        late <= MAX_LATE_ATTEMPTS,
        "seed {seed}: {late} of {after_leaving} attempts for clients that had left were written late"
    );
    for (id, request) in requests.iter() {
        assert!(
            !request.wrong_body,
            "seed {seed}: request {id:x} got the response to another request"
        );
        let max_responses = 1;
        assert!(
            request.responses <= max_responses,
            "seed {seed}: request {id:x} got {} responses",
            request.responses
        );
        assert!(
            request.responses == 1 || request.abandoned_at_ms.is_some(),
            "seed {seed}: request {id:x} got no response"
        );
    }
}

#[test]
fn every_interleaving_has_one_outcome() {
    thread::scope(|scope| {
        for seed in 1..=3 {
            scope.spawn(move || run_with_seed(seed));
        }
    });
}
