//! Connections by peer, and what they share: a non-blocking stream with its two rings, and how far a send came.

pub mod caches;
pub mod calls;
pub mod clients;
pub mod journal;
pub mod operators;

use self::calls::{add, Calls};
use crate::http;
use crate::ring::{Ring, Tally};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use meadowrill_core::interface::Ending;
use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// Bytes read at once; a share of them goes into the ring of the connection.
const SCRATCH: usize = 65_536;

/// Whom a readiness is about. Keys are never used twice, so one that comes late finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    Journal(u64),
    Cache(u64),
    Client(u64),
    Door,
    /// The operators' socket, and one that asks there.
    Operators,
    Operator(u64),
    Reload,
    /// An operator wants the report in the log.
    Report,
    Signal,
}

/// What the loop gathered in one round.
pub type Gathered = Vec<(Key, Readiness)>;

/// The way into the loop, and what connections share.
pub struct Poll {
    handle: LoopHandle<'static, Gathered>,
    pub tally: Tally,
    pub calls: Rc<Calls>,
    next: u64,
    scratch: Vec<u8>,
}

impl Poll {
    pub fn new(handle: LoopHandle<'static, Gathered>) -> Poll {
        Poll { handle, tally: Tally::default(), calls: Rc::default(), next: 0, scratch: vec![0; SCRATCH] }
    }

    pub fn key(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Told once at each change, so that no connection is asked about again while nothing has come.
    pub fn watch<F: AsFd + 'static>(&self, file: F, key: Key) -> io::Result<RegistrationToken> {
        add(&self.calls.controls, 1);
        let source = Generic::new(file, Interest::BOTH, Mode::Edge);
        let tell = move |ready, _: &mut _, gathered: &mut Gathered| {
            gathered.push((key, ready));
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, tell).map_err(|e| io::Error::other(e.error.to_string()))
    }

    pub fn unwatch(&self, token: RegistrationToken) {
        add(&self.calls.controls, 1);
        self.handle.remove(token);
    }

    /// Begins a connection without waiting for it; a refusal may show at once or later.
    pub fn connect(&self, address: SocketAddr, key: Key, most: (usize, usize)) -> io::Result<Link> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        add(&self.calls.connections, 2);
        let socket = socket_with(family, SocketType::STREAM, flags, None)?;
        match connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        self.link(TcpStream::from(socket), key, most)
    }

    pub fn link(&self, stream: TcpStream, key: Key, most: (usize, usize)) -> io::Result<Link> {
        add(&self.calls.connections, 2);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = self.watch(Rc::clone(&stream), key)?;
        let (inbound, outbound) = (Ring::new(most.0, &self.tally), Ring::new(most.1, &self.tally));
        let calls = Rc::clone(&self.calls);
        Ok(Link { stream, calls, token, inbound, outbound, readable: false, writable: false, written: 0 })
    }

    /// Reads what has come, as far as the ring takes it; true once the peer has ended its side.
    pub fn fill(&mut self, link: &mut Link) -> io::Result<bool> {
        while link.readable {
            let room = link.inbound.room().min(SCRATCH);
            if room == 0 {
                break;
            }
            match self.piece(link, room)? {
                Some(0) => return Ok(true),
                Some(n) => link.inbound.put(&self.scratch[..n]).map_err(|_| ErrorKind::OutOfMemory)?,
                None => {}
            }
        }
        Ok(false)
    }

    /// The same where the loop may not have told yet that something has come.
    pub fn look(&mut self, link: &mut Link) -> io::Result<bool> {
        link.readable = true;
        self.fill(link)
    }

    /// Reads one piece of what has come and drops it; true once the peer has ended its side.
    pub fn discard(&mut self, link: &mut Link) -> io::Result<bool> {
        Ok(self.piece(link, SCRATCH)? == Some(0))
    }

    /// One read: how much came, and none where nothing is there.
    fn piece(&mut self, link: &mut Link, most: usize) -> io::Result<Option<usize>> {
        add(&self.calls.reads, 1);
        match (&*link.stream).read(&mut self.scratch[..most]) {
            Ok(n) => {
                link.readable &= n > 0;
                Ok(Some(n))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                link.readable = false;
                Ok(None)
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(None),
            Err(e) => Err(e),
        }
    }
}

/// A connection: who owns it is told by where it is kept.
pub struct Link {
    stream: Rc<TcpStream>,
    calls: Rc<Calls>,
    token: RegistrationToken,
    pub inbound: Ring,
    pub outbound: Ring,
    pub readable: bool,
    pub writable: bool,
    /// Bytes that the kernel has taken so far.
    pub written: u64,
}

impl Link {
    pub fn heard(&mut self, ready: Readiness) {
        self.readable |= ready.readable || ready.error;
        self.writable |= ready.writable || ready.error;
    }

    /// Hands on what the kernel takes now.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.writable && !self.outbound.is_empty() {
            add(&self.calls.writes, 1);
            match (&*self.stream).write_vectored(&self.outbound.slices()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.outbound.drop_front(n);
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether a connection that was begun is up.
    pub fn arrived(&self) -> io::Result<bool> {
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
    pub fn shut(&self) {
        // What is no longer connected needs no end.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn close(self, poll: &Poll) {
        poll.unwatch(self.token);
    }
}

/// How far a send had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No descriptor was to be had, or the lookup was over.
    Unsent,
    Unconnected,
    /// Some of the request never left.
    PartlyWritten,
    /// All of it left; nothing or only a part of an answer came.
    Written,
    Answering,
}

/// Why a send failed.
#[derive(Debug)]
pub enum Cause {
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
pub struct Fault {
    pub reach: Reach,
    pub cause: Cause,
}

impl Fault {
    /// Rule 2: only what never left as a whole is known not to have run.
    pub fn ending(&self) -> Ending {
        match (self.reach, &self.cause) {
            (Reach::Unsent, _) => Ending::Moot,
            (_, Cause::Withdrawn) => Ending::Cancelled,
            (Reach::Unconnected | Reach::PartlyWritten, _) => Ending::Unconnected,
            (_, Cause::TimeUp) => Ending::TimedOut,
            (_, Cause::Answer(_)) => Ending::Error,
            _ => Ending::Broken,
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
mod tests {
    use super::*;
    use meadowrill_core::door::contained;

    #[test]
    fn panics_are_values() {
        assert_eq!(contained(|| 7), Ok(7));
        assert_eq!(
            contained(|| [1][std::hint::black_box(1)]).unwrap_err().split(':').next(),
            Some("index out of bounds")
        );
    }

    #[test]
    fn only_what_never_left_whole_proves_that_nothing_ran() {
        let ending = |reach, cause| Fault { reach, cause }.ending();
        assert_eq!(ending(Reach::Unsent, Cause::NoDescriptor), Ending::Moot);
        assert_eq!(ending(Reach::Unconnected, Cause::TimeUp), Ending::Unconnected);
        assert_eq!(ending(Reach::PartlyWritten, Cause::Closed), Ending::Unconnected);
        assert_eq!(ending(Reach::Written, Cause::Closed), Ending::Broken);
        assert_eq!(ending(Reach::Written, Cause::TimeUp), Ending::TimedOut);
        assert_eq!(ending(Reach::Answering, Cause::Answer(http::Fault::NoLength)), Ending::Error);
        assert_eq!(ending(Reach::Written, Cause::Withdrawn), Ending::Cancelled);
    }
}
