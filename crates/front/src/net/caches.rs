//! Caches, parents and the origin: one request at a time on a connection, and kept connections.

use super::calls::add;
use super::{Cause, Fault, Key, Link, Poll, Reach};
use crate::http;
use calloop::Readiness;
use meadowrill_core::interface::{Ending, Micros, PeerIx};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;

/// Bounds of the rings: an answer with its head, a request with the largest body.
const MOST: (usize, usize) = (http::HEAD + http::BODY, 65_536);
/// A kept connection is dropped so long before the peer would, at most a quarter of its time: a request that
/// crosses such a close would prove nothing.
const BEFORE_IDLE: Micros = 2_000_000;
/// How long a kept connection rests before it is used again.
const REST: Micros = 10_000;

/// Which send of which lookup, and when it went out. The serial tells a connection's uses apart.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    pub lookup: u32,
    pub send: u8,
    pub at: Micros,
    pub serial: u64,
}

pub struct Answered {
    pub head: http::Answer,
    pub body: Vec<u8>,
}

impl Answered {
    pub fn ending(&self) -> Ending {
        match (self.head.status, self.head.not_run) {
            (200 | 304, _) => Ending::Satisfied,
            (404, _) => Ending::Miss,
            (503, true) => Ending::TurnedAway,
            (504, true) => Ending::Moot,
            // Whatever else a peer may say proves nothing.
            _ => Ending::Error,
        }
    }
}

/// The one end of a send.
pub struct Ended {
    pub out: Out,
    pub peer: PeerIx,
    pub result: Result<Answered, Fault>,
}

struct Conn {
    link: Link,
    peer: PeerIx,
    address: SocketAddr,
    up: bool,
    out: Option<Out>,
    head: Option<http::Answer>,
    interim: u32,
    idle_since: Micros,
}

impl Conn {
    fn reach(&self) -> Reach {
        if !self.up {
            Reach::Unconnected
        } else if !self.link.outbound.is_empty() {
            Reach::PartlyWritten
        } else if self.link.inbound.is_empty() {
            Reach::Written
        } else {
            Reach::Answering
        }
    }

    /// True once the answer is there as a whole.
    fn read(&mut self, ended: bool) -> Result<bool, Cause> {
        while self.head.is_none() {
            let Some(head) = http::answer(self.link.inbound.whole()).map_err(Cause::Answer)? else { break };
            if !head.interim() {
                self.head = Some(head);
                break;
            }
            // Each on its own is short; without a bound they could come for ever.
            self.interim += 1;
            if self.interim > http::INTERIM {
                return Err(Cause::Answer(http::Fault::Interim));
            }
            self.link.inbound.drop_front(head.head);
        }
        let whole = self.head.as_ref().is_some_and(|h| self.link.inbound.len() >= h.head + h.body);
        if ended && !whole {
            return Err(Cause::Closed);
        }
        Ok(whole)
    }
}

pub struct Caches {
    conns: HashMap<u64, Conn>,
    /// Kept connections by machine, the last used last, and by age.
    kept: BTreeSet<(PeerIx, Micros, u64)>,
    oldest: BTreeSet<(Micros, u64, PeerIx)>,
    most: usize,
    life: Micros,
    ended: Vec<Ended>,
}

impl Caches {
    pub fn new(most: usize, idle: Micros) -> Caches {
        Caches {
            conns: HashMap::new(),
            kept: BTreeSet::new(),
            oldest: BTreeSet::new(),
            most,
            life: idle - BEFORE_IDLE.min(idle / 4),
            ended: Vec::new(),
        }
    }

    /// The ends of sends since the last call.
    pub fn ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Ends a send that was never made.
    pub fn refuse(&mut self, out: Out, peer: PeerIx, fault: Fault) {
        self.ended.push(Ended { out, peer, result: Err(fault) });
    }

    /// Sends a request; how it ended is told by [`Caches::ended`], and the connection's number is returned as
    /// long as it is out.
    pub fn send(
        &mut self,
        peer: PeerIx,
        address: SocketAddr,
        request: &[u8],
        out: Out,
        poll: &mut Poll,
    ) -> Option<u64> {
        self.sweep(out.at, poll);
        let number = match self.reuse(peer, address, out.at, poll) {
            Some(number) => number,
            None => match self.open(peer, address, poll) {
                Ok(number) => number,
                Err(fault) => {
                    self.refuse(out, peer, fault);
                    return None;
                }
            },
        };
        let conn = self.conns.get_mut(&number)?;
        conn.out = Some(out);
        if conn.link.outbound.put(request).is_err() {
            self.fail(number, out.serial, Cause::Io(io::ErrorKind::OutOfMemory.into()), poll);
            return None;
        }
        if conn.up {
            if let Err(e) = conn.link.flush() {
                self.fail(number, out.serial, Cause::Io(e), poll);
                return None;
            }
        }
        Some(number)
    }

    fn reuse(&mut self, peer: PeerIx, address: SocketAddr, now: Micros, poll: &mut Poll) -> Option<u64> {
        // What comes behind an answer, late, must not become the answer of the next lookup: a connection rests
        // a little, and is looked at before it is used again.
        let rested = now - REST;
        while let Some(&(_, since, number)) =
            self.kept.range((peer, 0, 0)..=(peer, rested, u64::MAX)).next_back()
        {
            // A machine's address may have passed to another.
            let quiet = |c: &mut Conn| {
                c.address == address
                    && matches!(poll.look(&mut c.link), Ok(false))
                    && c.link.inbound.is_empty()
            };
            if self.conns.get_mut(&number).is_some_and(quiet) {
                self.unkeep(peer, since, number);
                return Some(number);
            }
            self.drop(number, poll);
        }
        None
    }

    fn open(&mut self, peer: PeerIx, address: SocketAddr, poll: &mut Poll) -> Result<u64, Fault> {
        if self.conns.len() >= self.most {
            let Some(&(_, number, _)) = self.oldest.first() else {
                return Err(Fault { reach: Reach::Unsent, cause: Cause::NoDescriptor });
            };
            self.drop(number, poll);
        }
        let number = poll.key();
        let link = poll.connect(address, Key::Cache(number), MOST).map_err(|e| {
            // Out of descriptors or ports says nothing of the machine.
            let refused = e.kind() == io::ErrorKind::ConnectionRefused;
            let reach = if refused { Reach::Unconnected } else { Reach::Unsent };
            Fault { reach, cause: Cause::Io(e) }
        })?;
        let conn = Conn { link, peer, address, up: false, out: None, head: None, interim: 0, idle_since: 0 };
        self.conns.insert(number, conn);
        Ok(number)
    }

    fn unkeep(&mut self, peer: PeerIx, since: Micros, number: u64) {
        self.kept.remove(&(peer, since, number));
        self.oldest.remove(&(since, number, peer));
    }

    fn drop(&mut self, number: u64, poll: &Poll) {
        if let Some(conn) = self.conns.remove(&number) {
            if conn.out.is_none() {
                self.unkeep(conn.peer, conn.idle_since, number);
            }
            conn.link.close(poll);
        }
    }

    /// Closes the kept connections that their peers are about to close.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        while let Some(&(_, number, _)) = self.oldest.first().filter(|o| o.0 + self.life <= now) {
            self.drop(number, poll);
        }
    }

    /// Closes the kept connections of a machine that is not to be used again.
    pub fn forget(&mut self, peer: PeerIx, poll: &Poll) {
        let kept: Vec<u64> =
            self.kept.range((peer, 0, 0)..(peer + 1, 0, 0)).map(|(_, _, number)| *number).collect();
        for number in kept {
            self.drop(number, poll);
        }
    }

    /// Whether a connection that a send began on is still not up.
    pub fn connecting(&self, number: u64, serial: u64) -> bool {
        let out = |c: &&Conn| c.out.is_some_and(|out| out.serial == serial);
        self.conns.get(&number).filter(out).is_some_and(|c| !c.up)
    }

    /// Ends a send and its connection, if it is still out there.
    pub fn fail(&mut self, number: u64, serial: u64, cause: Cause, poll: &Poll) {
        let Some(conn) = self.conns.get(&number) else { return };
        let Some(out) = conn.out.filter(|out| out.serial == serial) else { return };
        let fault = Fault { reach: conn.reach(), cause };
        self.ended.push(Ended { out, peer: conn.peer, result: Err(fault) });
        self.drop(number, poll);
    }

    /// What became readable or writable; read only where there is room. The round's clock is for how long
    /// connections have been idle.
    pub fn handle(&mut self, number: u64, ready: Readiness, room: bool, now: Micros, poll: &mut Poll) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.link.heard(ready);
        let serial = conn.out.map(|out| out.serial);
        match Caches::exchange(conn, room, poll) {
            Ok(None) => {}
            Ok(Some(answered)) => {
                let clean =
                    !answered.head.last && conn.link.inbound.is_empty() && conn.link.outbound.is_empty();
                if let Some(out) = conn.out.take() {
                    self.ended.push(Ended { out, peer: conn.peer, result: Ok(answered) });
                }
                (conn.idle_since, conn.interim) = (now, 0);
                let peer = conn.peer;
                self.kept.insert((peer, now, number));
                self.oldest.insert((now, number, peer));
                if !clean {
                    self.drop(number, poll);
                }
            }
            Err(cause) => match serial {
                Some(serial) => self.fail(number, serial, cause, poll),
                None => self.drop(number, poll),
            },
        }
    }

    fn exchange(conn: &mut Conn, room: bool, poll: &mut Poll) -> Result<Option<Answered>, Cause> {
        if !conn.up {
            conn.up = conn.link.arrived().map_err(Cause::Io)?;
            if !conn.up {
                return Ok(None);
            }
        }
        // A peer may answer before it has read all, and close: what it said counts.
        let flushed = conn.link.flush();
        if !room {
            return flushed.map(|()| None).map_err(Cause::Io);
        }
        let (ended, broken) = match poll.fill(&mut conn.link) {
            Ok(ended) => (ended, None),
            Err(e) => (true, Some(e)),
        };
        if conn.out.is_none() {
            // Nothing was asked, so whatever came means that it is not clean.
            let quiet = conn.link.inbound.is_empty() && !ended;
            return if quiet { Ok(None) } else { Err(Cause::Closed) };
        }
        match conn.read(ended) {
            Ok(false) => flushed.map(|()| None).map_err(Cause::Io),
            Ok(true) => {
                let Some(mut head) = conn.head.take() else { return Ok(None) };
                // Into the ring, out of it, and into the client's.
                add(&poll.calls.copied, 3 * head.body as u64);
                let body = conn.link.inbound.whole()[head.head..head.head + head.body].to_vec();
                conn.link.inbound.drop_front(head.head + head.body);
                head.last |= ended;
                Ok(Some(Answered { head, body }))
            }
            Err(Cause::Closed) => Err(broken.map_or(Cause::Closed, Cause::Io)),
            Err(cause) => Err(cause),
        }
    }

    /// Ends a connection whose handling panicked.
    pub fn panicked(&mut self, number: u64, poll: &Poll) {
        match self.conns.get(&number).and_then(|c| c.out) {
            Some(out) => self.fail(number, out.serial, Cause::Panicked, poll),
            None => self.drop(number, poll),
        }
    }
}

/// A load report in the order of the settings; none where none came.
pub fn report(load: &[(String, f64)], fields: &[String]) -> Vec<f64> {
    if load.is_empty() {
        return Vec::new();
    }
    let value = |field: &String| load.iter().find(|(name, _)| name == field).map_or(0.0, |l| l.1);
    fields.iter().map(value).collect()
}
