//! Relays for the links between members. Each member has one relay address, at which all others reach it by datagrams
//! and by streams. A relay identifies the sender by its source address, so each ordered pair of members is a link of
//! its own, with its own faults.

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

/// Faults of one link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Probability of losing a datagram, and the number of consecutive datagrams that each loss takes.
    pub loss: f64,
    pub burst: u32,
    pub delay_ms: f64,
    /// Upper bound of a random additional delay, which reorders datagrams.
    pub jitter_ms: f64,
    /// Probabilities of sending a datagram twice, truncating it and flipping one of its bits.
    pub duplicated: f64,
    pub truncated: f64,
    pub corrupted: f64,
    /// Bandwidth in bytes per second; 0 for no limit.
    pub bytes_per_s: f64,
    /// The link carries nothing.
    pub cut: bool,
    /// The link is up and down in alternation, for this many milliseconds each; 0 for always up.
    pub flap_ms: f64,
    /// For streams only. `reset` closes a stream when the next bytes arrive; `half_open` reads and discards all bytes,
    /// as if the peer had disappeared without closing the connection.
    pub reset: bool,
    pub half_open: bool,
}

impl Fault {
    fn passes(&self, started_at: Instant) -> bool {
        let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3;
        let flapped_down = self.flap_ms > 0.0 && (elapsed_ms / self.flap_ms) as u64 % 2 == 1;
        !self.cut && !flapped_down
    }
}

/// Traffic counters of one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub passed: u64,
    pub bytes: u64,
    pub lost: u64,
    /// Datagrams that were truncated or had a bit flipped.
    pub changed: u64,
    /// Streams opened over the link, and bytes that streams carried along it.
    pub streams: u64,
    pub streamed: u64,
}

#[derive(Default)]
struct LinkState {
    faults: BTreeMap<(usize, usize), Fault>,
    counts: BTreeMap<(usize, usize), Count>,
    /// Address at which each member itself listens: set in advance, or learned from its datagrams.
    listen_addresses: BTreeMap<usize, SocketAddr>,
}

/// The relay addresses of all members, served by background threads until this is dropped.
pub struct LinkRelays {
    state: Arc<Mutex<LinkState>>,
    shutdown: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    addresses: Vec<SocketAddr>,
}

/// A datagram in transit: its due time, a serial number that keeps the order, sender, receiver and content.
type DueDatagram = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct DatagramForwarder {
    sockets: Vec<UdpSocket>,
    state: Arc<Mutex<LinkState>>,
    due: BinaryHeap<DueDatagram>,
    last_serial: u64,
    rng: fastrand::Rng,
    started_at: Instant,
    /// Time until which a link of limited bandwidth is busy, and datagrams still to be lost in the current burst.
    busy_until: BTreeMap<(usize, usize), Instant>,
    burst_losses_left: BTreeMap<(usize, usize), u32>,
}

impl LinkRelays {
    /// Starts one relay address per member. Member `n` sends from an address that ends with `n + 1`.
    ///
    /// # Errors
    ///
    /// If the sockets cannot be opened.
    pub fn start(members: usize, seed: u64) -> io::Result<LinkRelays> {
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..members {
            let (socket, listener) = bind_udp_and_tcp()?;
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
                .register(listener, Token(members + at), Interest::READABLE)?;
        }
        let (state, shutdown) = (
            Arc::<Mutex<LinkState>>::default(),
            Arc::new(AtomicBool::new(false)),
        );
        let started_at = Instant::now();
        let mut forwarder = DatagramForwarder {
            sockets,
            state: Arc::clone(&state),
            due: BinaryHeap::new(),
            last_serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            started_at,
            busy_until: BTreeMap::new(),
            burst_losses_left: BTreeMap::new(),
        };
        let thread_shutdown = Arc::clone(&shutdown);
        let thread = thread::spawn(move || {
            let mut events = Events::with_capacity(256);
            while !thread_shutdown.load(Relaxed) {
                let now = Instant::now();
                let next = forwarder
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
                    match at.checked_sub(members) {
                        None => forwarder.receive(at),
                        Some(to) => accept_streams(
                            &listeners[to],
                            to,
                            &forwarder.state,
                            &thread_shutdown,
                            started_at,
                        ),
                    }
                }
                forwarder.send_due();
            }
        });
        Ok(LinkRelays {
            state,
            shutdown,
            thread: Some(thread),
            addresses,
        })
    }

    /// Address at which other members reach this one.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.addresses[member]
    }

    /// Sets where a member listens, so that it receives datagrams before it has sent any.
    pub fn set_listen_address(&self, member: usize, listen: SocketAddr) {
        if let Ok(mut state) = self.state.lock() {
            state.listen_addresses.insert(member, listen);
        }
    }

    /// Replaces the faults of the link from one member to another.
    pub fn set(&self, from: usize, to: usize, fault: Fault) {
        if let Ok(mut state) = self.state.lock() {
            state.faults.insert((from, to), fault);
        }
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        if let Ok(mut state) = self.state.lock() {
            state.faults.clear();
        }
    }

    /// Counters of the links on which anything was sent.
    pub fn counts(&self) -> BTreeMap<(usize, usize), Count> {
        self.state
            .lock()
            .map(|state| state.counts.clone())
            .unwrap_or_default()
    }
}

impl Drop for LinkRelays {
    fn drop(&mut self) {
        self.shutdown.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds a port that is free for both datagrams and streams.
fn bind_udp_and_tcp() -> io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..64 {
        let socket = UdpSocket::bind(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0))?;
        if let Ok(listener) = TcpListener::bind(socket.local_addr()?) {
            return Ok((socket, listener));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Number of the member that sends from this address.
fn member_number(source: SocketAddr) -> Option<usize> {
    match source.ip() {
        IpAddr::V4(v4) => usize::from(v4.octets()[3]).checked_sub(1),
        IpAddr::V6(_) => None,
    }
}

/// Most members of a fleet, as each needs a last octet of its own.
pub const MAX_MEMBERS: usize = 250;
/// Most streams open at one time over all links.
const MAX_STREAMS: usize = 400;
/// Interval at which a stream over a cut link checks whether the link is up again. Hundreds of streams share the
/// machine with the processes under test.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for bytes before an idle stream checks the shutdown flag and the faults of its link.
const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay for each lost piece of a stream, as for a retransmission; also the time limit for connecting to the receiver.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(50);

/// Accepts the streams that wait at one member's relay address and forwards each in two threads.
fn accept_streams(
    listener: &TcpListener,
    to: usize,
    state: &Arc<Mutex<LinkState>>,
    shutdown: &Arc<AtomicBool>,
    started_at: Instant,
) {
    while let Ok((stream, address)) = listener.accept() {
        let Some(from) = member_number(address) else {
            continue;
        };
        let listen_address = {
            let Ok(mut state) = state.lock() else {
                return;
            };
            state.counts.entry((from, to)).or_default().streams += 1;
            let passes = |link| {
                state
                    .faults
                    .get(&link)
                    .is_none_or(|f: &Fault| f.passes(started_at))
            };
            // A stream over a cut link is closed at once. On a real network, whoever opened it would only notice a
            // time-out.
            let open = Arc::strong_count(shutdown) < 2 * MAX_STREAMS
                && passes((from, to))
                && passes((to, from));
            state.listen_addresses.get(&to).copied().filter(|_| open)
        };
        let near = std::net::TcpStream::from(stream);
        let Some(far) = listen_address.and_then(|listen_address| {
            std::net::TcpStream::connect_timeout(&listen_address, RETRANSMISSION_DELAY).ok()
        }) else {
            continue;
        };
        let ready = near
            .set_nonblocking(false)
            .and_then(|()| Ok((near.try_clone()?, far.try_clone()?)));
        let Ok((near_copy, far_copy)) = ready else {
            continue;
        };
        for (link, source, sink) in [((from, to), near, far), ((to, from), far_copy, near_copy)] {
            let (state, shutdown) = (Arc::clone(state), Arc::clone(shutdown));
            thread::spawn(move || {
                forward_stream(link, source, sink, &state, &shutdown, started_at)
            });
        }
    }
}

/// Forwards one direction of a stream under the current faults of its link. While the link is cut the bytes wait, as
/// retransmission would deliver them later. Bits are flipped although a real network's checksums would detect most
/// of that.
fn forward_stream(
    link: (usize, usize),
    mut source: std::net::TcpStream,
    mut sink: std::net::TcpStream,
    state: &Mutex<LinkState>,
    shutdown: &AtomicBool,
    started_at: Instant,
) {
    let seed = (link.0 as u64) << 32 | link.1 as u64;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut bytes = [0; 8192];
    let _ = source.set_read_timeout(Some(READ_TIMEOUT));
    while !shutdown.load(Relaxed) {
        let Ok(fault) = state
            .lock()
            .map(|s| s.faults.get(&link).cloned().unwrap_or_default())
        else {
            return;
        };
        if !fault.passes(started_at) {
            thread::sleep(CUT_POLL_INTERVAL);
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
        if rng.f64() < fault.corrupted {
            bytes[rng.usize(0..length)] ^= 1 << rng.u8(0..8);
        }
        let mut wait =
            Duration::from_secs_f64((fault.delay_ms + fault.jitter_ms * rng.f64()) / 1e3);
        if fault.bytes_per_s > 0.0 {
            wait += Duration::from_secs_f64(length as f64 / fault.bytes_per_s);
        }
        while rng.f64() < fault.loss.min(0.9) {
            wait += RETRANSMISSION_DELAY;
        }
        thread::sleep(wait);
        if let Ok(mut state) = state.lock() {
            state.counts.entry(link).or_default().streamed += length as u64;
        }
        if sink.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    // Closing both sockets also ends the other direction.
    let _ = source.shutdown(Shutdown::Both);
    let _ = sink.shutdown(Shutdown::Both);
}

impl DatagramForwarder {
    /// Receives all datagrams that wait at one relay address.
    fn receive(&mut self, to: usize) {
        let mut bytes = [0; 2048];
        while let Ok((length, address)) = self.sockets[to].recv_from(&mut bytes) {
            let Some(from) = member_number(address).filter(|from| *from < self.sockets.len())
            else {
                continue;
            };
            self.schedule(from, to, address, bytes[..length].to_vec());
        }
    }

    /// Applies the faults of the link to a datagram and queues what is left of it.
    fn schedule(&mut self, from: usize, to: usize, address: SocketAddr, mut bytes: Vec<u8>) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        state.listen_addresses.insert(from, address);
        let fault = state.faults.get(&(from, to)).cloned().unwrap_or_default();
        let count = state.counts.entry((from, to)).or_default();
        let now = Instant::now();
        let burst = self.burst_losses_left.entry((from, to)).or_default();
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
        if !fault.passes(self.started_at) || lost {
            count.lost += 1;
            return;
        }
        if self.rng.f64() < fault.truncated {
            bytes.truncate(self.rng.usize(0..bytes.len().max(1)));
            count.changed += 1;
        }
        if !bytes.is_empty() && self.rng.f64() < fault.corrupted {
            let at = self.rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(0..8);
            count.changed += 1;
        }
        count.passed += 1;
        count.bytes += bytes.len() as u64;
        let copies = if self.rng.f64() < fault.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut at = now
                + Duration::from_secs_f64(
                    (fault.delay_ms + fault.jitter_ms * self.rng.f64()) / 1e3,
                );
            if fault.bytes_per_s > 0.0 {
                let busy_until = self.busy_until.entry((from, to)).or_insert(now);
                *busy_until = (*busy_until).max(now)
                    + Duration::from_secs_f64(bytes.len() as f64 / fault.bytes_per_s);
                at = at.max(*busy_until);
            }
            self.last_serial += 1;
            self.due
                .push(Reverse((at, self.last_serial, from, to, bytes.clone())));
        }
    }

    /// Sends the queued datagrams whose time has come.
    fn send_due(&mut self) {
        let now = Instant::now();
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, _, to, bytes))) = self.due.pop() else {
                return;
            };
            let listen_address = self
                .state
                .lock()
                .ok()
                .and_then(|state| state.listen_addresses.get(&to).copied());
            if let Some(listen_address) = listen_address {
                // A datagram to a member that is down is lost, as on any network.
                let _ = self.sockets[to].send_to(&bytes, listen_address);
            }
        }
    }
}
