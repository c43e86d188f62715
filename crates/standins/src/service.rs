//! A cache, parent or origin with a capacity: so many workers, each lookup so long, a queue in the order of arrival.
//! It keeps what it was told to retain and fills what it lacks from the source that a request names.

use crate::header;
use crate::program::KEY_TTL;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
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
    /// None: it has everything.
    held: Option<Mutex<BTreeSet<String>>>,
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
}

/// How long after a purge requests may still let older copies through.
const HEED: u128 = 500;
/// What clocks and the way to here may add to the age that a request allows.
const SLACK: u128 = 50;

#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    machine: Arc<Machine>,
}

impl Service {
    /// `empty` ones hold nothing at first; the others, as an origin does, have everything.
    pub fn start(workers: usize, each: Duration, size: usize, empty: bool, directory: &Directory) -> Service {
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
        self.machine.runs.lock().unwrap().iter().map(|(mark, (_, n))| (mark.clone(), *n)).collect()
    }

    /// From now on requests for this object are looked at: whether they let copies of before through.
    pub fn purged(&self, item: &str, stamp_ms: u128) {
        self.machine.purged.lock().unwrap().insert(item.into(), stamp_ms);
    }

    pub fn old_let_through(&self) -> u64 {
        self.machine.old_let_through.load(Relaxed)
    }

    /// The most that were here at one time since the last call.
    pub fn most_inside(&self) -> usize {
        self.machine.most_inside.swap(0, Relaxed)
    }
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
            let mut body = vec![0; header(&head, "Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0)];
            if head.is_empty() || reader.read_exact(&mut body).is_err() {
                return;
            }
            let now = self.inside.fetch_add(1, Relaxed) + 1;
            self.most_inside.fetch_max(now, Relaxed);
            let answer = self.answer(&head);
            self.inside.fetch_sub(1, Relaxed);
            self.answered.fetch_add(1, Relaxed);
            let written = answer.map(|(note, source_ms)| {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Cache: {note}\r\nVersion: 1\r\nIssued-At: {}\r\n{}Content-Length: {}\r\n\r\n",
                    crate::now_ms(),
                    source_ms.map_or(String::new(), |ms| format!("Source-Ms: {ms}\r\n")),
                    self.size
                );
                stream.write_all(&[head.as_bytes(), &vec![b'x'; self.size]].concat())
            });
            let written = written
                .unwrap_or_else(|| stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            if written.is_err() {
                return;
            }
        }
    }

    /// The note of an answer and how long its source took; none for a miss without a source.
    fn answer(&self, head: &str) -> Option<(&'static str, Option<u128>)> {
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        self.look_at_age(&path, head);
        let each = Duration::from_micros(self.each_us.load(Relaxed));
        let until = {
            let mut workers = self.workers.lock().unwrap();
            let free = workers.pop().map_or_else(Instant::now, |Reverse(at)| at.max(Instant::now()));
            workers.push(Reverse(free + each));
            free + each
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        let mark = header(head, "Idempotency-Key");
        let Some(held) = &self.held else {
            mark.into_iter().for_each(|mark| self.run(mark));
            return Some(("TCP_HIT", None));
        };
        if held.lock().unwrap().contains(&path) {
            return Some(("TCP_HIT", None));
        }
        let source = header(head, "Upstream")?;
        let address = self.directory.lock().unwrap().get(source).copied()?;
        self.fills.fetch_add(1, Relaxed);
        let start = Instant::now();
        self.fetch(address, &path, mark)?;
        if header(head, "Retain").is_some_and(|rank| rank != "0") {
            let mut held = held.lock().unwrap();
            held.insert(path);
            if held.len() > HELD {
                held.pop_first();
            }
        }
        Some(("TCP_MISS", Some(start.elapsed().as_millis())))
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
        let Some(item) = path.split('/').nth(3) else { return };
        let Some(stamp) = self.purged.lock().unwrap().get(item).copied() else { return };
        let since = crate::now_ms().saturating_sub(stamp);
        let allowed = header(head, "Oldest-Ms").and_then(|ms| ms.parse::<u128>().ok()).unwrap_or(u128::MAX);
        if since > HEED && allowed > since + SLACK {
            self.old_let_through.fetch_add(1, Relaxed);
        }
    }

    /// As from a parent that passes on what the origin has.
    fn fetch(&self, address: SocketAddr, path: &str, mark: Option<&str>) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&address, crate::HANG).ok()?;
        let mark = mark.map_or(String::new(), |mark| format!("Idempotency-Key: {mark}\r\n"));
        let origin = format!("Upstream: s-o\r\nRetain: 1\r\n{mark}");
        stream.write_all(format!("GET {path} HTTP/1.1\r\n{origin}\r\n").as_bytes()).ok()?;
        let (mut reader, mut line, mut length) = (BufReader::new(stream), String::new(), 0);
        reader.read_line(&mut line).ok().filter(|_| line.contains(" 200 "))?;
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            match line.trim_end().split_once(": ") {
                Some(("Content-Length", n)) => length = n.parse().ok()?,
                Some(_) => {}
                None => break,
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()
    }
}
