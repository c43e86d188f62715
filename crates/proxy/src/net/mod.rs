//! Connections by peer, and what they share: a non-blocking stream with its two rings, and how far a send came.

pub(crate) mod caches;
pub(crate) mod calls;
pub(crate) mod clients;
pub(crate) mod datagrams;
pub(crate) mod events;
pub(crate) mod fronts;
pub(crate) mod journal;
pub(crate) mod operators;
pub(crate) mod streams;

use self::calls::{add, Calls};
use crate::http;
use crate::ring::{Ring, Tally};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use meadowrill_routing::interface::AttemptOutcome;
use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use rustix::event::Timespec;
use rustix::net::{bind, connect, socket_with, AddressFamily, SocketFlags, SocketType};
use std::fmt;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

/// Connections that are told of in one wait; the others are told of in the next.
const TOLD: usize = 1024;
/// What belongs to no connection of ours: signals and listeners, which the library gathers.
const LIBRARY: u64 = 0;

/// Whom a readiness is about. Keys are never used twice, so one that comes late finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    Journal(u64),
    Cache(u64),
    Client(u64),
    Door,
    /// Datagrams of other members of the fleet, streams that they open, and one of these or of this front's own.
    Datagrams,
    Chunks,
    Stream(u64),
    /// The operators' socket, and one that asks there.
    Operators,
    Operator(u64),
    Reload,
    /// An operator wants the report in the log.
    Report,
    Signal,
}

impl Key {
    /// How a connection is told apart in a wait; the kind stands in front.
    fn data(self) -> u64 {
        match self {
            Key::Journal(n) => 1 << 60 | n,
            Key::Cache(n) => 2 << 60 | n,
            Key::Client(n) => 3 << 60 | n,
            Key::Stream(n) => 4 << 60 | n,
            _ => LIBRARY,
        }
    }

    fn told(data: u64) -> Option<Key> {
        let number = data & ((1 << 60) - 1);
        match data >> 60 {
            1 => Some(Key::Journal(number)),
            2 => Some(Key::Cache(number)),
            3 => Some(Key::Client(number)),
            4 => Some(Key::Stream(number)),
            _ => None,
        }
    }
}

/// What the loop gathered in one round.
pub(crate) type Gathered = Vec<(Key, Readiness)>;

/// The way into the loop, and what connections share.
pub(crate) struct Poll {
    handle: LoopHandle<'static, Gathered>,
    pub tally: Tally,
    pub calls: Rc<Calls>,
    next: u64,
    /// Connections are waited for here, and the library's own poller with them: that makes five calls each wait, with
    /// two changes of what is watched, for a timer and a note that nothing here needs.
    epoll: OwnedFd,
    told: Vec<epoll::Event>,
}

impl Poll {
    pub(crate) fn new(events: &EventLoop<'static, Gathered>) -> io::Result<Poll> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(
            &epoll,
            events,
            epoll::EventData::new_u64(LIBRARY),
            epoll::EventFlags::IN,
        )?;
        let (handle, tally, told) = (events.handle(), Tally::default(), Vec::with_capacity(TOLD));
        Ok(Poll {
            handle,
            tally,
            calls: Rc::default(),
            next: 0,
            epoll,
            told,
        })
    }

    /// Waits until something is ready, at most so long; true where the library has something to gather.
    pub(crate) fn wait(&mut self, most: Duration, gathered: &mut Gathered) -> io::Result<bool> {
        add(&self.calls.waits, 1);
        // Whole milliseconds, upwards: the call that takes less is not there on all kernels, nor under tools.
        let most = most.as_micros().div_ceil(1000) as i64;
        let most = Timespec {
            tv_sec: most / 1000,
            tv_nsec: most % 1000 * 1_000_000,
        };
        self.told.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.told), Some(&most)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        let mut library = false;
        for event in &self.told {
            let (data, flags) = (event.data.u64(), event.flags);
            let Some(key) = Key::told(data) else {
                library = true;
                continue;
            };
            let any = |of: epoll::EventFlags| flags.intersects(of);
            let error =
                any(epoll::EventFlags::ERR | epoll::EventFlags::HUP | epoll::EventFlags::RDHUP);
            let (readable, writable) = (any(epoll::EventFlags::IN), any(epoll::EventFlags::OUT));
            gathered.push((
                key,
                Readiness {
                    readable,
                    writable,
                    error,
                },
            ));
        }
        Ok(library)
    }

    pub(crate) fn key(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Told once at each change, so that no connection is asked about again while nothing has come.
    pub(crate) fn watch<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
    ) -> io::Result<RegistrationToken> {
        self.watch_for(file, key, Interest::BOTH)
    }

    /// The same for what is never waited on for room: each datagram that leaves would be told of.
    pub(crate) fn watch_input<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
    ) -> io::Result<RegistrationToken> {
        self.watch_for(file, key, Interest::READ)
    }

    fn watch_for<F: AsFd + 'static>(
        &self,
        file: F,
        key: Key,
        interest: Interest,
    ) -> io::Result<RegistrationToken> {
        add(&self.calls.controls, 1);
        let source = Generic::new(file, interest, Mode::Edge);
        let tell = move |ready, _: &mut _, gathered: &mut Gathered| {
            gathered.push((key, ready));
            Ok(PostAction::Continue)
        };
        self.handle
            .insert_source(source, tell)
            .map_err(|e| io::Error::other(e.error.to_string()))
    }

    pub(crate) fn unwatch(&self, token: RegistrationToken) {
        add(&self.calls.controls, 1);
        self.handle.remove(token);
    }

    /// Begins a connection without waiting for it; a refusal may show at once or later.
    pub(crate) fn connect(
        &self,
        address: SocketAddr,
        key: Key,
        most: (usize, usize),
    ) -> io::Result<Link> {
        self.connect_from(None, address, key, most)
    }

    /// The same from an address of this machine.
    pub(crate) fn connect_from(
        &self,
        from: Option<IpAddr>,
        address: SocketAddr,
        key: Key,
        most: (usize, usize),
    ) -> io::Result<Link> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        add(&self.calls.connections, 2);
        let socket = socket_with(family, SocketType::STREAM, flags, None)?;
        if let Some(from) = from.filter(|from| from.is_ipv4() == address.is_ipv4()) {
            bind(&socket, &SocketAddr::new(from, 0))?;
        }
        match connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        self.link(TcpStream::from(socket), key, most)
    }

    pub(crate) fn link(
        &self,
        stream: TcpStream,
        key: Key,
        most: (usize, usize),
    ) -> io::Result<Link> {
        add(&self.calls.connections, 2);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        add(&self.calls.controls, 1);
        // Told once at each change; closing the connection ends it.
        let flags = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::RDHUP;
        let data = epoll::EventData::new_u64(key.data());
        epoll::add(&self.epoll, &stream, data, flags | epoll::EventFlags::ET)?;
        let (inbound, outbound) = (
            Ring::new(most.0, &self.tally),
            Ring::new(most.1, &self.tally),
        );
        let calls = Rc::clone(&self.calls);
        Ok(Link {
            stream,
            calls,
            inbound,
            outbound,
            readable: false,
            writable: false,
            ending: false,
            expected: 0,
            written: 0,
        })
    }

    /// Reads what has come, as far as the ring takes it; true once the peer has ended its side.
    pub(crate) fn fill(&mut self, link: &mut Link) -> io::Result<bool> {
        while link.readable && link.inbound.room() > 0 {
            if self.fill_some(link)? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// One read; true once the peer has ended its side.
    pub(crate) fn fill_some(&mut self, link: &mut Link) -> io::Result<bool> {
        let read = link.piece()?;
        link.expected = link.expected.saturating_sub(read.unwrap_or(0));
        Ok(read == Some(0))
    }

    /// Reads one piece of what has come and drops it; true once the peer has ended its side.
    pub(crate) fn discard(&mut self, link: &mut Link) -> io::Result<bool> {
        let ended = link.piece()? == Some(0);
        link.inbound.clear();
        Ok(ended)
    }
}

/// A connection: who owns it is told by where it is kept.
pub(crate) struct Link {
    stream: TcpStream,
    calls: Rc<Calls>,
    pub inbound: Ring,
    pub outbound: Ring,
    pub readable: bool,
    pub writable: bool,
    /// The peer has ended its side, or the connection has: reading comes to that end.
    ending: bool,
    /// Bytes that are known to come, so that they are read at once.
    expected: usize,
    /// Bytes that the kernel has taken so far.
    pub written: u64,
}

impl Link {
    pub(crate) fn heard(&mut self, ready: Readiness) {
        self.readable |= ready.readable || ready.error;
        self.writable |= ready.writable || ready.error;
        self.ending |= ready.error;
    }

    /// One read: how much came, and none where nothing is there. What is less than could have come is all there is,
    /// and the next is told anew; but the end of a peer that was told already is not told again.
    fn piece(&mut self) -> io::Result<Option<usize>> {
        add(&self.calls.reads, 1);
        match self
            .inbound
            .read(self.expected, |into| (&self.stream).read(into))
        {
            Ok((n, most)) => {
                self.readable &= n > 0 && (n == most || self.ending);
                Ok(Some(n))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.readable = false;
                Ok(None)
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Hands on what the kernel takes now.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.pass(&[]).map(drop)
    }

    /// Hands on what is kept and then `body`, as far as the kernel takes them now; how much of the body it took.
    fn pass(&mut self, body: &[u8]) -> io::Result<usize> {
        let mut done = 0;
        while self.writable && (done < body.len() || !self.outbound.is_empty()) {
            add(&self.calls.writes, 1);
            let pieces = [
                IoSlice::new(self.outbound.whole()),
                IoSlice::new(&body[done..]),
            ];
            match (&self.stream).write_vectored(&pieces) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    let kept = n.min(self.outbound.len());
                    self.outbound.drop_front(kept);
                    done += n - kept;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(done)
    }

    /// Whether a connection that was begun is up.
    pub(crate) fn arrived(&self) -> io::Result<bool> {
        add(&self.calls.connections, 2);
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Ends this side: the peer sees the end behind all that was written.
    pub(crate) fn shut(&self) {
        // What is no longer connected needs no end.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// With its last descriptor a connection is no longer watched.
    pub(crate) fn close(self, poll: &Poll) {
        add(&poll.calls.connections, 1);
    }

    /// Nothing came that was not read, as far as was told.
    pub(crate) fn quiet(&self) -> bool {
        self.inbound.is_empty() && !self.readable && !self.ending
    }

    /// So many more bytes are known to come.
    pub(crate) fn expect(&mut self, more: usize) {
        self.expected = more;
    }

    /// Hands on `head` and `body`, the body as it is as far as the kernel takes it now; the rest is kept.
    pub(crate) fn send(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let full = |_| io::Error::from(ErrorKind::OutOfMemory);
        self.outbound.put(head).map_err(full)?;
        let done = self.pass(body)?;
        add(&self.calls.copied, (body.len() - done) as u64);
        self.outbound.put(&body[done..]).map_err(full)
    }
}

/// How far a send had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// No descriptor was to be had, or the lookup was over.
    Unsent,
    Unconnected,
    /// Some of the request never left.
    PartlyWritten,
    /// All of it left; nothing or only a part of an answer came.
    Written,
    Answering,
}

impl Reach {
    /// Whether the machine has taken the request: its last byte was written to a connection that it accepted.
    pub(crate) fn taken(self) -> bool {
        matches!(self, Reach::Written | Reach::Answering)
    }
}

/// Why a send failed.
#[derive(Debug)]
pub(crate) enum Cause {
    Io(io::Error),
    Closed,
    TimeUp,
    Withdrawn,
    NoDescriptor,
    Answer(http::Fault),
    Panicked,
}

/// A failed send: what happened, and what it proves.
#[derive(Debug)]
pub(crate) struct Fault {
    pub reach: Reach,
    pub cause: Cause,
}

impl Fault {
    /// Rule 2: only what never left as a whole is known not to have run.
    pub(crate) fn ending(&self) -> AttemptOutcome {
        match (self.reach, &self.cause) {
            (Reach::Unsent, _) | (Reach::Unconnected | Reach::PartlyWritten, Cause::Withdrawn) => {
                AttemptOutcome::Superseded
            }
            (_, Cause::Withdrawn) => AttemptOutcome::Cancelled,
            (Reach::Unconnected | Reach::PartlyWritten, _) => AttemptOutcome::ConnectFailed,
            (_, Cause::TimeUp) => AttemptOutcome::TimedOut,
            (_, Cause::Answer(_)) => AttemptOutcome::Error,
            _ => AttemptOutcome::ConnectionReset,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reach {
            Reach::Unsent => "not sent",
            Reach::Unconnected => "not connected",
            Reach::PartlyWritten => "not wholly written",
            Reach::Written => "written, unanswered",
            Reach::Answering => "cut within the answer",
        })?;
        match &self.cause {
            Cause::Io(e) => write!(f, ": {e}"),
            Cause::Closed => write!(f, ": closed by the peer"),
            Cause::TimeUp => write!(f, ": time up"),
            Cause::Withdrawn => write!(f, ": withdrawn"),
            Cause::NoDescriptor => write!(f, ": no descriptor free"),
            Cause::Answer(fault) => write!(f, ": {fault}"),
            Cause::Panicked => write!(f, ": panic"),
        }
    }
}

#[cfg(test)]
mod recorded;
#[cfg(test)]
mod tests;
