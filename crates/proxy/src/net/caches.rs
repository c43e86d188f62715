//! Caches, parents and the origin: one request at a time on a connection, and kept connections.

use super::{Cause, Fault, Key, Link, Poll, Reach};
use crate::http;
use crate::sorted::Sorted;
use calloop::Readiness;
use compact_str::CompactString;
use meadowrill_routing::interface::{AttemptOutcome, EndpointIndex, Micros};
use std::collections::HashMap;
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
pub(crate) struct Out {
    pub lookup: u32,
    pub send: u8,
    pub at: Micros,
    pub serial: u64,
}

/// What an answer stands for, to a request that told of the copy with this tag.
pub(crate) fn ending(head: &http::Answer, known: Option<&str>) -> AttemptOutcome {
    match (head.status, head.not_run) {
        (200, _) => AttemptOutcome::Success,
        // Without the copy named it may be another lookup's, come late: nobody said that this client's copy stands.
        (304, _) if known.is_some_and(|tag| head.names(tag)) => AttemptOutcome::Success,
        (404, _) => AttemptOutcome::Miss,
        (503, true) => AttemptOutcome::Rejected,
        (504, true) => AttemptOutcome::Superseded,
        // Whatever else a peer may say proves nothing.
        _ => AttemptOutcome::Error,
    }
}

/// The one end of a send. The body of an answer stays with its connection until that is released.
pub(crate) struct Ended {
    pub out: Out,
    pub peer: EndpointIndex,
    pub conn: u64,
    pub result: Result<http::Answer, Fault>,
}

impl Ended {
    /// Whether the machine took the request; one that says that it is full did not.
    pub(crate) fn taken(&self, ending: AttemptOutcome) -> bool {
        match &self.result {
            Ok(_) => ending != AttemptOutcome::Rejected,
            Err(fault) => fault.reach.taken(),
        }
    }
}

struct Conn {
    link: Link,
    peer: EndpointIndex,
    address: SocketAddr,
    up: bool,
    /// Its request may be written: it was decided upon just now, or again once the connection was up.
    cleared: bool,
    out: Option<Out>,
    head: Option<http::Answer>,
    interim: u32,
    /// An answer is there and was not released yet: its bytes, and whether the connection may be used again.
    answered: Option<(usize, bool)>,
    idle_since: Micros,
}

impl Conn {
    fn reach(&self) -> Reach {
        if !self.up || !self.cleared {
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
            let Some(head) = http::answer(self.link.inbound.whole()).map_err(Cause::Answer)? else {
                break;
            };
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
        let missing = self
            .head
            .as_ref()
            .map(|h| (h.head + h.body).saturating_sub(self.link.inbound.len()));
        self.link.expect(missing.unwrap_or(0));
        let whole = missing == Some(0);
        if ended && !whole {
            return Err(Cause::Closed);
        }
        Ok(whole)
    }
}

pub(crate) struct Caches {
    conns: HashMap<u64, Conn>,
    /// Kept connections by machine, the last used last, and by age.
    kept: Sorted<(EndpointIndex, Micros, u64)>,
    oldest: Sorted<(Micros, u64, EndpointIndex)>,
    most: usize,
    life: Micros,
    ended: Vec<Ended>,
    /// Sends whose connections have come up.
    connected: Vec<Out>,
}

impl Caches {
    pub(crate) fn new(most: usize, idle: Micros) -> Caches {
        Caches {
            conns: HashMap::new(),
            kept: Sorted::default(),
            oldest: Sorted::default(),
            most,
            life: idle - BEFORE_IDLE.min(idle / 4),
            ended: Vec::new(),
            connected: Vec::new(),
        }
    }

    /// Sends whose connections have come up since the last call: nothing of them is written before
    /// [`Caches::write`], as what they were decided upon may have changed meanwhile.
    pub(crate) fn connected(&mut self, into: &mut Vec<Out>) {
        into.append(&mut self.connected);
    }

    /// Writes a request whose connection has come up.
    pub(crate) fn write(&mut self, number: u64, serial: u64, poll: &Poll) {
        if !self.out(number, serial) {
            return;
        }
        let Some(conn) = self.conns.get_mut(&number) else {
            return;
        };
        conn.cleared = true;
        if let Err(e) = conn.link.flush() {
            self.fail(number, serial, Cause::Io(e), poll);
        }
    }

    /// The ends of sends since the last call.
    pub(crate) fn ended(&mut self, into: &mut Vec<Ended>) {
        into.append(&mut self.ended);
    }

    /// The body of an answer that was told and not released yet.
    pub(crate) fn body(&self, number: u64, head: &http::Answer) -> &[u8] {
        let whole = self
            .conns
            .get(&number)
            .filter(|c| c.answered.is_some())
            .map(|c| c.link.inbound.whole());
        whole
            .and_then(|bytes| bytes.get(head.head..head.head + head.body))
            .unwrap_or_default()
    }

    /// An answer has been passed on: its connection may be used again, or ends.
    pub(crate) fn release(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&number) else {
            return;
        };
        let Some((bytes, clean)) = conn.answered.take() else {
            return;
        };
        conn.link.inbound.drop_front(bytes);
        (conn.idle_since, conn.interim) = (now, 0);
        let peer = conn.peer;
        self.kept.insert((peer, now, number));
        self.oldest.insert((now, number, peer));
        if !clean {
            self.drop(number, poll);
        }
    }

    /// Ends a send that was never made.
    pub(crate) fn refuse(&mut self, out: Out, peer: EndpointIndex, fault: Fault) {
        self.ended.push(Ended {
            out,
            peer,
            conn: 0,
            result: Err(fault),
        });
    }

    /// Sends a request; how it ended is told by [`Caches::ended`], and the connection's number is returned as
    /// long as it is out.
    pub(crate) fn send(
        &mut self,
        peer: EndpointIndex,
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
        conn.cleared = conn.up;
        if conn.link.outbound.put(request).is_err() {
            self.fail(
                number,
                out.serial,
                Cause::Io(io::ErrorKind::OutOfMemory.into()),
                poll,
            );
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

    fn reuse(
        &mut self,
        peer: EndpointIndex,
        address: SocketAddr,
        now: Micros,
        poll: &Poll,
    ) -> Option<u64> {
        // What comes behind an answer, late, must not become the answer of the next lookup: a connection rests
        // a little, and what came on it by this round's wait was dealt with before any client was read. A read here
        // would see what came since, within a millisecond; what comes after it would still be taken for an answer.
        let rested = now - REST;
        while let Some(&(_, since, number)) = self
            .kept
            .upto(&(peer, rested, u64::MAX))
            .filter(|k| k.0 == peer)
        {
            // A machine's address may have passed to another.
            let quiet = |c: &Conn| c.address == address && c.link.quiet();
            if self.conns.get(&number).is_some_and(quiet) {
                self.unkeep(peer, since, number);
                return Some(number);
            }
            self.drop(number, poll);
        }
        None
    }

    fn open(
        &mut self,
        peer: EndpointIndex,
        address: SocketAddr,
        poll: &mut Poll,
    ) -> Result<u64, Fault> {
        if self.conns.len() >= self.most {
            let Some(&(_, number, _)) = self.oldest.first() else {
                return Err(Fault {
                    reach: Reach::Unsent,
                    cause: Cause::NoDescriptor,
                });
            };
            self.drop(number, poll);
        }
        let number = poll.key();
        let link = poll
            .connect(address, Key::Cache(number), MOST)
            .map_err(|e| {
                // Out of descriptors or ports says nothing of the machine.
                let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                let reach = if refused {
                    Reach::Unconnected
                } else {
                    Reach::Unsent
                };
                Fault {
                    reach,
                    cause: Cause::Io(e),
                }
            })?;
        let (out, head, answered) = (None, None, None);
        let conn = Conn {
            link,
            peer,
            address,
            up: false,
            cleared: false,
            out,
            head,
            interim: 0,
            answered,
            idle_since: 0,
        };
        self.conns.insert(number, conn);
        Ok(number)
    }

    fn unkeep(&mut self, peer: EndpointIndex, since: Micros, number: u64) {
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
    pub(crate) fn sweep(&mut self, now: Micros, poll: &Poll) {
        while let Some(&(_, number, _)) = self.oldest.first().filter(|o| o.0 + self.life <= now) {
            self.drop(number, poll);
        }
    }

    /// Closes the kept connections of a machine that is not to be used again.
    pub(crate) fn forget(&mut self, peer: EndpointIndex, poll: &Poll) {
        let kept: Vec<u64> = self
            .kept
            .iter()
            .filter(|k| k.0 == peer)
            .map(|(_, _, number)| *number)
            .collect();
        for number in kept {
            self.drop(number, poll);
        }
    }

    /// Whether a send is still out there.
    pub(crate) fn out(&self, number: u64, serial: u64) -> bool {
        self.conns
            .get(&number)
            .and_then(|c| c.out)
            .is_some_and(|out| out.serial == serial)
    }

    /// Whether a connection that a send began on is still not up.
    pub(crate) fn connecting(&self, number: u64, serial: u64) -> bool {
        self.out(number, serial) && self.conns.get(&number).is_some_and(|c| !c.up)
    }

    /// Whether nothing of a send may have been written yet.
    pub(crate) fn unwritten(&self, number: u64, serial: u64) -> bool {
        self.out(number, serial) && self.conns.get(&number).is_some_and(|c| !c.cleared)
    }

    /// Whether a machine has taken a request that was sent since then, and has not answered it yet.
    pub(crate) fn any_taken(&self, since: Micros) -> bool {
        self.conns
            .values()
            .any(|conn| conn.out.is_some_and(|out| out.at >= since) && conn.reach().taken())
    }

    /// Ends a send and its connection, if it is still out there.
    pub(crate) fn fail(&mut self, number: u64, serial: u64, cause: Cause, poll: &Poll) {
        let Some(conn) = self.conns.get(&number) else {
            return;
        };
        let Some(out) = conn.out.filter(|out| out.serial == serial) else {
            return;
        };
        let fault = Fault {
            reach: conn.reach(),
            cause,
        };
        self.ended.push(Ended {
            out,
            peer: conn.peer,
            conn: number,
            result: Err(fault),
        });
        self.drop(number, poll);
    }

    /// What became readable or writable; read only where there is room.
    pub(crate) fn handle(&mut self, number: u64, ready: Readiness, room: bool, poll: &mut Poll) {
        let Some(conn) = self.conns.get_mut(&number) else {
            return;
        };
        conn.link.heard(ready);
        let serial = conn.out.map(|out| out.serial);
        let was_up = conn.up;
        let step = Caches::exchange(conn, room, poll);
        if conn.up && !was_up {
            self.connected.extend(conn.out);
        }
        match step {
            Ok(None) => {}
            Ok(Some(head)) => {
                let bytes = head.head + head.body;
                let clean =
                    !head.last && conn.link.inbound.len() == bytes && conn.link.outbound.is_empty();
                conn.answered = Some((bytes, clean));
                if let Some(out) = conn.out.take() {
                    self.ended.push(Ended {
                        out,
                        peer: conn.peer,
                        conn: number,
                        result: Ok(head),
                    });
                }
            }
            Err(cause) => match serial {
                Some(serial) => self.fail(number, serial, cause, poll),
                None => self.drop(number, poll),
            },
        }
    }

    fn exchange(
        conn: &mut Conn,
        room: bool,
        poll: &mut Poll,
    ) -> Result<Option<http::Answer>, Cause> {
        if !conn.up {
            conn.up = conn.link.arrived().map_err(Cause::Io)?;
            if !conn.up {
                return Ok(None);
            }
        }
        // A peer may answer before it has read all, and close: what it said counts.
        let flushed = if conn.cleared {
            conn.link.flush()
        } else {
            Ok(())
        };
        if !room {
            return flushed.map(|()| None).map_err(Cause::Io);
        }
        let (mut ended, mut broken) = (false, None);
        if conn.answered.is_some() {
            return Ok(None);
        }
        // Until the head is whole nobody knows how much there is to read.
        while !ended && conn.link.readable && conn.link.inbound.room() > 0 {
            (ended, broken) = match poll.fill_some(&mut conn.link) {
                Ok(ended) => (ended, None),
                Err(e) => (true, Some(e)),
            };
            if conn.out.is_none() || ended || !matches!(conn.read(false), Ok(false)) {
                break;
            }
        }
        if conn.out.is_none() {
            // Nothing was asked, so whatever came means that it is not clean.
            let quiet = conn.link.inbound.is_empty() && !ended;
            return if quiet { Ok(None) } else { Err(Cause::Closed) };
        }
        match conn.read(ended) {
            Ok(false) => flushed.map(|()| None).map_err(Cause::Io),
            Ok(true) => {
                let Some(mut head) = conn.head.take() else {
                    return Ok(None);
                };
                head.last |= ended;
                Ok(Some(head))
            }
            Err(Cause::Closed) => Err(broken.map_or(Cause::Closed, Cause::Io)),
            Err(cause) => Err(cause),
        }
    }

    /// Ends a connection whose handling panicked.
    pub(crate) fn panicked(&mut self, number: u64, poll: &Poll) {
        match self.conns.get(&number).and_then(|c| c.out) {
            Some(out) => self.fail(number, out.serial, Cause::Panicked, poll),
            None => self.drop(number, poll),
        }
    }
}

/// A load report in the order of the settings; none where none came.
pub(crate) fn report(load: &[(CompactString, f64)], fields: &[String]) -> Vec<f64> {
    if load.is_empty() {
        return Vec::new();
    }
    let value = |field: &String| {
        load.iter()
            .find(|(name, _)| name == field)
            .map_or(0.0, |l| l.1)
    };
    fields.iter().map(value).collect()
}
