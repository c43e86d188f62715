//! Streams between fronts: what is too long for a datagram, each piece framed by its length. One is opened when
//! something is to be sent and ends when nothing was for a while; what they carry is decided elsewhere.

use super::{Key, Link, Poll};
use calloop::Readiness;
use meadowrill_membership::wire::MAX_CHUNK_LENGTH;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener};

/// Streams that this front opened, and that others opened to it, at one time.
const OUT: usize = 8;
const IN: usize = 32;
/// What may lie in one direction of a stream: a slow one holds no more, and the next piece for it is dropped.
const RING: usize = 4 * MAX_CHUNK_LENGTH;
const HEAD: usize = 4;
/// How long one may take to come up, to take what waits for it, and to be of no use.
const COMING: Micros = 1_000_000;
const STUCK: Micros = 3_000_000;
const IDLE: Micros = 5_000_000;

struct Stream {
    link: Link,
    /// Whom it was opened to; none where another opened it.
    to: Option<SocketAddr>,
    up: bool,
    /// When it last got on, and how much had been written by then.
    moved: Micros,
    written: u64,
}

pub(crate) struct Streams {
    listener: TcpListener,
    from: IpAddr,
    open: BTreeMap<u64, Stream>,
    /// Opened, ended with something unsent, and pieces for which there was no room.
    pub opened: u64,
    pub lost: u64,
    pub full: u64,
}

impl Streams {
    pub(crate) fn listen(at: SocketAddr, poll: &Poll) -> io::Result<Streams> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        poll.watch(listener.try_clone()?, Key::Chunks)?;
        Ok(Streams {
            listener,
            from: at.ip(),
            open: BTreeMap::new(),
            opened: 0,
            lost: 0,
            full: 0,
        })
    }

    pub(crate) fn accept(&mut self, now: Micros, poll: &mut Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.open.values().filter(|s| s.to.is_none()).count() >= IN {
                self.full += 1;
                continue;
            }
            let number = poll.key();
            if let Ok(link) = poll.link(stream, Key::Stream(number), (RING, RING)) {
                self.open.insert(
                    number,
                    Stream {
                        link,
                        to: None,
                        up: true,
                        moved: now,
                        written: 0,
                    },
                );
            }
        }
    }

    /// Whether it goes: where no more streams may be opened, or a full one waits, the piece is dropped.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        bytes: &[u8],
        now: Micros,
        poll: &mut Poll,
    ) -> bool {
        let known = self
            .open
            .iter()
            .find(|(_, s)| s.to == Some(to))
            .map(|(number, _)| *number);
        let number = match known {
            Some(number) => number,
            None => match self.begin(to, now, poll) {
                Some(number) => number,
                None => return false,
            },
        };
        let Some(stream) = self.open.get_mut(&number) else {
            return false;
        };
        if stream.link.outbound.room() < HEAD + bytes.len() {
            self.full += 1;
            return false;
        }
        if stream.link.outbound.is_empty() {
            (stream.moved, stream.written) = (now, stream.link.written);
        }
        let head = (bytes.len() as u32).to_le_bytes();
        // There is room for both.
        stream
            .link
            .outbound
            .put(&head)
            .and_then(|()| stream.link.outbound.put(bytes))
            .is_ok()
            && (!stream.up || stream.link.flush().is_ok())
    }

    fn begin(&mut self, to: SocketAddr, now: Micros, poll: &mut Poll) -> Option<u64> {
        if self.open.values().filter(|s| s.to.is_some()).count() >= OUT {
            // The one that was of no use for longest gives way: with many fronts each talks to another all the time.
            let idle = |s: &&Stream| {
                s.to.is_some() && s.up && s.link.outbound.is_empty() && s.link.quiet()
            };
            let least = self
                .open
                .iter()
                .filter(|(_, s)| idle(s))
                .min_by_key(|(_, s)| s.moved);
            let Some(number) = least.map(|(number, _)| *number) else {
                self.full += 1;
                return None;
            };
            self.drop(number, poll);
        }
        let number = poll.key();
        // From the address that others know, so that whoever stands between can tell who it is.
        let link = poll
            .connect_from(Some(self.from), to, Key::Stream(number), (RING, RING))
            .ok()?;
        self.opened += 1;
        self.open.insert(
            number,
            Stream {
                link,
                to: Some(to),
                up: false,
                moved: now,
                written: 0,
            },
        );
        Some(number)
    }

    /// Something can be read or written: `heard` gets each whole piece. Whom it was opened to, if it failed.
    pub(crate) fn handle(
        &mut self,
        number: u64,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        heard: impl FnMut(&[u8]),
    ) -> Option<SocketAddr> {
        let stream = self.open.get_mut(&number)?;
        match stream.step(ready, now, poll, heard) {
            Ok(false) => None,
            Ok(true) | Err(_) => self.drop(number, poll),
        }
    }

    /// Ends a stream. Whom it was opened to, where something for it was left.
    pub(crate) fn drop(&mut self, number: u64, poll: &Poll) -> Option<SocketAddr> {
        let stream = self.open.remove(&number)?;
        let left = !stream.up || !stream.link.outbound.is_empty();
        self.lost += u64::from(left && stream.to.is_some());
        let to = stream.to.filter(|_| left);
        stream.link.close(poll);
        to
    }

    /// Ends those that do not come up, do not get on or are of no use; whom something was left for.
    pub(crate) fn tick(&mut self, now: Micros, poll: &Poll) -> Vec<SocketAddr> {
        let over = |s: &mut Stream| {
            if s.link.written != s.written {
                (s.moved, s.written) = (now, s.link.written);
            }
            let patience = match (s.up, s.link.outbound.is_empty()) {
                (false, _) => COMING,
                (true, false) => STUCK,
                // The other side ends its own; where it is gone without a word, this one does.
                (true, true) if s.to.is_none() => 2 * IDLE,
                (true, true) => IDLE,
            };
            now - s.moved > patience
        };
        let over: Vec<u64> = self
            .open
            .iter_mut()
            .filter_map(|(n, s)| over(s).then_some(*n))
            .collect();
        over.into_iter()
            .filter_map(|number| self.drop(number, poll))
            .collect()
    }
}

impl Stream {
    /// True once the other side has ended it.
    fn step(
        &mut self,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        mut heard: impl FnMut(&[u8]),
    ) -> io::Result<bool> {
        self.link.heard(ready);
        if !self.up {
            if !self.link.arrived()? {
                return Ok(false);
            }
            (self.up, self.moved) = (true, now);
        }
        self.link.flush()?;
        loop {
            let ended = poll.fill(&mut self.link)?;
            let mut took = false;
            while let Some(length) = self.length()? {
                heard(&self.link.inbound.whole()[HEAD..HEAD + length]);
                self.link.inbound.drop_front(HEAD + length);
                (self.moved, took) = (now, true);
            }
            if ended || !took || !self.link.readable {
                return Ok(ended);
            }
        }
    }

    /// Of the next piece, where all of it is there.
    fn length(&self) -> io::Result<Option<usize>> {
        let bytes = self.link.inbound.whole();
        let Some(head) = bytes.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_CHUNK_LENGTH {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok((bytes.len() >= HEAD + length).then_some(length))
    }
}
