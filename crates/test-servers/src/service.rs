//! A cache, parent or origin with a capacity: so many workers, each lookup so long, a queue in the order of arrival.
//! It keeps what it was told to retain and fills what it lacks from the source that a request names.

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

/// Where the machines are, by id: shared by those that fill from each other.
pub type Directory = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Objects that one machine keeps; the least path goes first, which no test leans on.
const HELD: usize = 100_000;

struct Machine {
    /// When each worker is free again.
    workers: Mutex<BinaryHeap<Reverse<Instant>>>,
    each_us: AtomicU64,
    size: usize,
    /// When each copy was issued, in milliseconds since the Unix epoch. None: it has everything.
    held: Option<Mutex<BTreeMap<String, u128>>>,
    directory: Directory,
    inside: AtomicUsize,
    most_inside: AtomicUsize,
    answered: AtomicU64,
    fills: AtomicU64,
    /// Of one that has everything: what ran by mark, when it began last, and how often.
    runs: Mutex<BTreeMap<String, (Instant, u32)>>,
    /// Objects that were purged, by when; and requests that would have let an older copy through.
    purged: Mutex<BTreeMap<String, u128>>,
    old_let_through: AtomicU64,
    /// How long after a purge requests may still let older copies through.
    heed_ms: AtomicU64,
}

/// How long after a purge requests may still let older copies through, if nothing else is told.
const HEED_MS: u64 = 500;
/// What clocks and the way to here may add to the age that a request allows.
const SLACK: u128 = 50;

#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    machine: Arc<Machine>,
}

impl Service {
    /// `empty` ones hold nothing at first; the others, as an origin does, have everything.
    pub fn start(
        workers: usize,
        each: Duration,
        size: usize,
        empty: bool,
        directory: &Directory,
    ) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let machine = Arc::new(Machine {
            workers: Mutex::new((0..workers).map(|_| Reverse(Instant::now())).collect()),
            each_us: AtomicU64::new(each.as_micros() as u64),
            size,
            held: empty.then(Default::default),
            directory: Arc::clone(directory),
            inside: AtomicUsize::new(0),
            most_inside: AtomicUsize::new(0),
            answered: AtomicU64::new(0),
            runs: Mutex::default(),
            purged: Mutex::default(),
            old_let_through: AtomicU64::new(0),
            heed_ms: AtomicU64::new(HEED_MS),
            fills: AtomicU64::new(0),
        });
        let served = Arc::clone(&machine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let machine = Arc::clone(&served);
                thread::spawn(move || machine.serve(stream));
            }
        });
        Service { address, machine }
    }

    /// From now on each lookup takes so long.
    pub fn each(&self, each: Duration) {
        self.machine.each_us.store(each.as_micros() as u64, Relaxed);
    }

    pub fn answered(&self) -> u64 {
        self.machine.answered.load(Relaxed)
    }

    pub fn fills(&self) -> u64 {
        self.machine.fills.load(Relaxed)
    }

    /// How often each mark ran, at one that has everything.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.machine
            .runs
            .lock()
            .unwrap()
            .iter()
            .map(|(mark, (_, n))| (mark.clone(), *n))
            .collect()
    }

    /// From now on requests for this object are looked at: whether they let copies of before through.
    pub fn purged(&self, item: &str, stamp_ms: u128) {
        self.machine
            .purged
            .lock()
            .unwrap()
            .insert(item.into(), stamp_ms);
    }

    /// From now on requests may let older copies through for so long after a purge.
    pub fn heed_within(&self, span: Duration) {
        self.machine.heed_ms.store(span.as_millis() as u64, Relaxed);
    }

    pub fn old_let_through(&self) -> u64 {
        self.machine.old_let_through.load(Relaxed)
    }

    /// The most that were here at one time since the last call.
    pub fn most_inside(&self) -> usize {
        self.machine.most_inside.swap(0, Relaxed)
    }
}

struct Answer {
    note: &'static str,
    /// How long the source of a miss took.
    source_ms: Option<u128>,
    /// When the copy was issued.
    issued_ms: u128,
}

impl Answer {
    fn hit(issued_ms: u128) -> Answer {
        Answer {
            note: "TCP_HIT",
            source_ms: None,
            issued_ms,
        }
    }
}

/// The age of copies that a request allows, in milliseconds.
fn oldest_ms(head: &str) -> u128 {
    let told = header(head, "Oldest-Ms").and_then(|ms| ms.parse::<u64>().ok());
    u128::from(told.unwrap_or(u64::MAX))
}

impl Machine {
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
            let now = self.inside.fetch_add(1, Relaxed) + 1;
            self.most_inside.fetch_max(now, Relaxed);
            let answer = self.answer(&head);
            self.inside.fetch_sub(1, Relaxed);
            self.answered.fetch_add(1, Relaxed);
            let written = answer.map(|Answer { note, source_ms, issued_ms }| {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Cache: {note}\r\nVersion: 1\r\nIssued-At: {}\r\n{}Content-Length: {}\r\n\r\n",
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

    /// None for a miss without a source.
    fn answer(&self, head: &str) -> Option<Answer> {
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        self.look_at_age(&path, head);
        let each = Duration::from_micros(self.each_us.load(Relaxed));
        let until = {
            let mut workers = self.workers.lock().unwrap();
            let free = workers
                .pop()
                .map_or_else(Instant::now, |Reverse(at)| at.max(Instant::now()));
            workers.push(Reverse(free + each));
            free + each
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        let mark = header(head, "Idempotency-Key");
        let Some(held) = &self.held else {
            mark.into_iter().for_each(|mark| self.run(mark));
            return Some(Answer::hit(crate::now_ms()));
        };
        let issued_ms = held.lock().unwrap().get(&path).copied();
        if let Some(issued_ms) =
            issued_ms.filter(|issued| *issued + oldest_ms(head) >= crate::now_ms())
        {
            return Some(Answer::hit(issued_ms));
        }
        let source = header(head, "Upstream")?;
        let address = self.directory.lock().unwrap().get(source).copied()?;
        self.fills.fetch_add(1, Relaxed);
        let start = Instant::now();
        let issued_ms = self.fetch(address, &path, head, mark)?;
        if header(head, "Retain").is_some_and(|rank| rank != "0") {
            let mut held = held.lock().unwrap();
            held.insert(path, issued_ms);
            if held.len() > HELD {
                held.pop_first();
            }
        }
        Some(Answer {
            note: "TCP_MISS",
            source_ms: Some(start.elapsed().as_millis()),
            issued_ms,
        })
    }

    /// Has the effect, but for a repeat that comes soon after.
    fn run(&self, mark: &str) {
        let mut runs = self.runs.lock().unwrap();
        let now = Instant::now();
        let (at, many) = runs.entry(mark.into()).or_insert((now, 0));
        if *many == 0 || now > *at + KEY_TTL {
            (*at, *many) = (now, *many + 1);
        }
    }

    fn look_at_age(&self, path: &str, head: &str) {
        let Some(item) = path.split('/').nth(3) else {
            return;
        };
        let Some(stamp) = self.purged.lock().unwrap().get(item).copied() else {
            return;
        };
        let since = crate::now_ms().saturating_sub(stamp);
        if since > u128::from(self.heed_ms.load(Relaxed)) && oldest_ms(head) > since + SLACK {
            self.old_let_through.fetch_add(1, Relaxed);
        }
    }

    /// As from a parent that passes on what the origin has; when that was issued.
    fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        asked: &str,
        mark: Option<&str>,
    ) -> Option<u128> {
        let mut stream = TcpStream::connect_timeout(&address, crate::HANG).ok()?;
        let mark = mark.map_or(String::new(), |mark| format!("Idempotency-Key: {mark}\r\n"));
        let oldest =
            header(asked, "Oldest-Ms").map_or(String::new(), |ms| format!("Oldest-Ms: {ms}\r\n"));
        let origin = format!("Upstream: s-o\r\nRetain: 1\r\n{oldest}{mark}");
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\n{origin}\r\n").as_bytes())
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
