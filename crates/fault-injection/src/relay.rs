//! Relays: one address for each front, at which all others reach it, by datagrams and by streams. Who sends is told by
//! the address it comes from, so each ordered pair of fronts is a link of its own, with its own faults.

use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a link does to datagrams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Share lost, and how many are lost in a row then.
    pub loss: f64,
    pub burst: u32,
    pub delay_ms: f64,
    /// Added by chance, up to that; what is delayed less overtakes.
    pub jitter_ms: f64,
    pub doubled: f64,
    pub cut_short: f64,
    pub flipped: f64,
    /// Bytes a second; 0 for no bound.
    pub slow: f64,
    /// Nothing passes.
    pub cut: bool,
    /// Passes and is cut in turn, so many milliseconds each.
    pub flap_ms: f64,
    /// Of streams only: reset once this much of a piece has passed, and taken in but never passed on, as by a peer
    /// that is gone without a word.
    pub reset: bool,
    pub half_open: bool,
}

impl Fault {
    fn passes(&self, begun: Instant) -> bool {
        let since = begun.elapsed().as_secs_f64() * 1e3;
        let flapped = self.flap_ms > 0.0 && (since / self.flap_ms) as u64 % 2 == 1;
        !self.cut && !flapped
    }
}

/// Counted for each link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub passed: u64,
    pub bytes: u64,
    pub lost: u64,
    pub changed: u64,
    /// Streams that were opened along it, and bytes that these brought.
    pub streams: u64,
    pub streamed: u64,
}

#[derive(Default)]
struct Shared {
    faults: BTreeMap<(usize, usize), Fault>,
    counts: BTreeMap<(usize, usize), Count>,
    /// Where each front really listens, as far as it has sent anything.
    homes: BTreeMap<usize, SocketAddr>,
}

pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    addresses: Vec<SocketAddr>,
}

/// A datagram on its way: when it is due, a number that keeps the order, from whom, to whom.
type Due = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Wire {
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Shared>>,
    due: BinaryHeap<Due>,
    serial: u64,
    rng: fastrand::Rng,
    begun: Instant,
    /// Of a slow link: until when it is busy; of one that loses in bursts: how many are still to be lost.
    busy: BTreeMap<(usize, usize), Instant>,
    bursts: BTreeMap<(usize, usize), u32>,
}

impl Relays {
    /// One for each of so many fronts. A front `n` sends from an address that ends with `n + 1`.
    pub fn start(many: usize, seed: u64) -> io::Result<Relays> {
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..many {
            let (socket, listener) = both()?;
            sockets.push(socket);
            listeners.push(listener);
        }
        let addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let mut poll = Poll::new()?;
        for (at, socket) in sockets.iter_mut().enumerate() {
            poll.registry()
                .register(socket, Token(at), Interest::READABLE)?;
        }
        for (at, listener) in listeners.iter_mut().enumerate() {
            poll.registry()
                .register(listener, Token(many + at), Interest::READABLE)?;
        }
        let (shared, over) = (
            Arc::<Mutex<Shared>>::default(),
            Arc::new(AtomicBool::new(false)),
        );
        let begun = Instant::now();
        let mut wire = Wire {
            sockets,
            shared: Arc::clone(&shared),
            due: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            begun,
            busy: BTreeMap::new(),
            bursts: BTreeMap::new(),
        };
        let ends = Arc::clone(&over);
        let thread = thread::spawn(move || {
            let mut events = Events::with_capacity(256);
            while !ends.load(Relaxed) {
                let now = Instant::now();
                let next = wire
                    .due
                    .peek()
                    .map(|Reverse((at, ..))| at.saturating_duration_since(now));
                let wait = next
                    .unwrap_or(Duration::from_millis(20))
                    .min(Duration::from_millis(20));
                if poll.poll(&mut events, Some(wait)).is_err() {
                    continue;
                }
                let ready: Vec<usize> = events.iter().map(|e| e.token().0).collect();
                for at in ready {
                    match at.checked_sub(many) {
                        None => wire.read(at),
                        Some(to) => streams(&listeners[to], to, &wire.shared, &ends, begun),
                    }
                }
                wire.send();
            }
        });
        Ok(Relays {
            shared,
            over,
            thread: Some(thread),
            addresses,
        })
    }

    /// Where others reach this front.
    pub fn address(&self, front: usize) -> SocketAddr {
        self.addresses[front]
    }

    /// A front that may be sent to before it has sent anything itself, and where it listens.
    pub fn expect_at(&self, front: usize, listen: SocketAddr) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.homes.insert(front, listen);
        }
    }

    pub fn set(&self, from: usize, to: usize, fault: Fault) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.faults.insert((from, to), fault);
        }
    }

    pub fn heal(&self) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.faults.clear();
        }
    }

    /// Counts of the links that carried anything.
    pub fn counts(&self) -> BTreeMap<(usize, usize), Count> {
        self.shared
            .lock()
            .map(|shared| shared.counts.clone())
            .unwrap_or_default()
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A port that is free for datagrams and streams.
fn both() -> io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..64 {
        let socket = UdpSocket::bind(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0))?;
        if let Ok(listener) = TcpListener::bind(socket.local_addr()?) {
            return Ok((socket, listener));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Which front has this address.
fn front(from: SocketAddr) -> Option<usize> {
    match from.ip() {
        IpAddr::V4(v4) => usize::from(v4.octets()[3]).checked_sub(1),
        IpAddr::V6(_) => None,
    }
}

/// So many fronts there may be, each with a last octet of its own.
pub const FRONTS: usize = 250;
/// Streams that are carried at one time, over all links.
const STREAMS: usize = 400;
/// How long one that is cut looks away, and one with nothing on its way: hundreds of them share the machine with those that are tested.
const LOOK: Duration = Duration::from_millis(5);
const QUIET: Duration = Duration::from_millis(100);
/// What a lost part of a stream costs: it is sent again.
const AGAIN: Duration = Duration::from_millis(50);

/// Takes in the streams that wait at one front's relay, and carries each in two threads.
fn streams(
    listener: &TcpListener,
    to: usize,
    shared: &Arc<Mutex<Shared>>,
    over: &Arc<AtomicBool>,
    begun: Instant,
) {
    while let Ok((stream, address)) = listener.accept() {
        let Some(from) = front(address) else { continue };
        let home = {
            let Ok(mut shared) = shared.lock() else {
                return;
            };
            shared.counts.entry((from, to)).or_default().streams += 1;
            let passes = |link| {
                shared
                    .faults
                    .get(&link)
                    .is_none_or(|f: &Fault| f.passes(begun))
            };
            // Where nothing passes it does not come up; whoever opened it finds that out by waiting or, here, sooner.
            let open =
                Arc::strong_count(over) < 2 * STREAMS && passes((from, to)) && passes((to, from));
            shared.homes.get(&to).copied().filter(|_| open)
        };
        let near = std::net::TcpStream::from(stream);
        let Some(far) =
            home.and_then(|home| std::net::TcpStream::connect_timeout(&home, AGAIN).ok())
        else {
            continue;
        };
        let ready = near
            .set_nonblocking(false)
            .and_then(|()| Ok((near.try_clone()?, far.try_clone()?)));
        let Ok((near_too, far_too)) = ready else {
            continue;
        };
        for (link, source, sink) in [((from, to), near, far), ((to, from), far_too, near_too)] {
            let (shared, over) = (Arc::clone(shared), Arc::clone(over));
            thread::spawn(move || pump(link, source, sink, &shared, &over, begun));
        }
    }
}

/// Carries one direction of a stream, as the link's faults have it at the moment: what is cut waits, as it would be
/// sent again for a while; bits are flipped, though a network's own checksums would find most.
fn pump(
    link: (usize, usize),
    mut source: std::net::TcpStream,
    mut sink: std::net::TcpStream,
    shared: &Mutex<Shared>,
    over: &AtomicBool,
    begun: Instant,
) {
    let seed = (link.0 as u64) << 32 | link.1 as u64;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut bytes = [0; 8192];
    let _ = source.set_read_timeout(Some(QUIET));
    while !over.load(Relaxed) {
        let Ok(fault) = shared
            .lock()
            .map(|s| s.faults.get(&link).cloned().unwrap_or_default())
        else {
            return;
        };
        if !fault.passes(begun) {
            thread::sleep(LOOK);
            continue;
        }
        let length = match source.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => length,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue
            }
            Err(_) => break,
        };
        if fault.reset {
            break;
        }
        if fault.half_open {
            continue;
        }
        if rng.f64() < fault.flipped {
            bytes[rng.usize(0..length)] ^= 1 << rng.u8(0..8);
        }
        let mut wait =
            Duration::from_secs_f64((fault.delay_ms + fault.jitter_ms * rng.f64()) / 1e3);
        if fault.slow > 0.0 {
            wait += Duration::from_secs_f64(length as f64 / fault.slow);
        }
        while rng.f64() < fault.loss.min(0.9) {
            wait += AGAIN;
        }
        thread::sleep(wait);
        if let Ok(mut shared) = shared.lock() {
            shared.counts.entry(link).or_default().streamed += length as u64;
        }
        if sink.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    // Both directions end with one.
    let _ = source.shutdown(Shutdown::Both);
    let _ = sink.shutdown(Shutdown::Both);
}

impl Wire {
    fn read(&mut self, to: usize) {
        let mut bytes = [0; 2048];
        while let Ok((length, address)) = self.sockets[to].recv_from(&mut bytes) {
            let Some(from) = front(address).filter(|from| *from < self.sockets.len()) else {
                continue;
            };
            self.take(from, to, address, bytes[..length].to_vec());
        }
    }

    fn take(&mut self, from: usize, to: usize, address: SocketAddr, mut bytes: Vec<u8>) {
        let Ok(mut shared) = self.shared.lock() else {
            return;
        };
        shared.homes.insert(from, address);
        let fault = shared.faults.get(&(from, to)).cloned().unwrap_or_default();
        let count = shared.counts.entry((from, to)).or_default();
        let now = Instant::now();
        let burst = self.bursts.entry((from, to)).or_default();
        let lost = if *burst > 0 {
            *burst -= 1;
            true
        } else {
            let lost = self.rng.f64() < fault.loss;
            *burst = if lost {
                fault.burst.saturating_sub(1)
            } else {
                0
            };
            lost
        };
        if !fault.passes(self.begun) || lost {
            count.lost += 1;
            return;
        }
        if self.rng.f64() < fault.cut_short {
            bytes.truncate(self.rng.usize(0..bytes.len().max(1)));
            count.changed += 1;
        }
        if !bytes.is_empty() && self.rng.f64() < fault.flipped {
            let at = self.rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(0..8);
            count.changed += 1;
        }
        count.passed += 1;
        count.bytes += bytes.len() as u64;
        let many = if self.rng.f64() < fault.doubled { 2 } else { 1 };
        for _ in 0..many {
            let mut at = now
                + Duration::from_secs_f64(
                    (fault.delay_ms + fault.jitter_ms * self.rng.f64()) / 1e3,
                );
            if fault.slow > 0.0 {
                let busy = self.busy.entry((from, to)).or_insert(now);
                *busy = (*busy).max(now) + Duration::from_secs_f64(bytes.len() as f64 / fault.slow);
                at = at.max(*busy);
            }
            self.serial += 1;
            self.due
                .push(Reverse((at, self.serial, from, to, bytes.clone())));
        }
    }

    fn send(&mut self) {
        let now = Instant::now();
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, _, to, bytes))) = self.due.pop() else {
                return;
            };
            let home = self
                .shared
                .lock()
                .ok()
                .and_then(|shared| shared.homes.get(&to).copied());
            if let Some(home) = home {
                // One that is not there loses it, as on any network.
                let _ = self.sockets[to].send_to(&bytes, home);
            }
        }
    }
}
