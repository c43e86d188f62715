//! Streams between members of the fleet, for messages too long for a datagram, each behind its length.
//!
//! A stream is opened when something is to be sent, and ends when nothing was for a while. Nothing waits on one: a message
//! for which there is no room is dropped, and whoever sent it learns so.

use super::buffered_stream::BufferLimits;
use super::{BufferedStream, Key, Poll};
use calloop::Readiness;
use meadowrill_membership::wire::MAX_CHUNK_LENGTH as MAX_MESSAGE;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener};

/// Streams that this member has opened at one time.
const MAX_OPENED: usize = 8;
/// Streams that others have opened to this member at one time.
const MAX_ACCEPTED: usize = 32;
/// Bytes that one direction of a stream holds; the next message for a slow one is dropped.
const BUFFER: usize = 4 * MAX_MESSAGE;
const LIMITS: BufferLimits = BufferLimits {
    inbound: BUFFER,
    outbound: BUFFER,
};
/// Bytes of the length before a message.
const HEAD: usize = 4;
/// How long a stream may take to come up.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// How long a stream may take nothing of what is queued.
const STALL_TIMEOUT: Micros = 3_000_000;
/// How long a stream is kept with nothing queued.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// The same at the side that accepted it. The other side ends its own streams; where it is gone silently, this side does.
const ACCEPTED_IDLE_TIMEOUT: Micros = 2 * IDLE_TIMEOUT;

struct Stream {
    stream: BufferedStream,
    /// Whom it was opened to; none where it was accepted.
    to: Option<SocketAddr>,
    connected: bool,
    /// When it made progress last, and how much had been written by then.
    progress_at: Micros,
    written: u64,
}

pub(crate) struct Streams {
    listener: TcpListener,
    local: IpAddr,
    open: BTreeMap<u64, Stream>,
    /// Streams opened to others.
    pub opened: u64,
    /// Streams that ended with something unsent.
    pub lost: u64,
    /// Messages and streams for which there was no room.
    pub full: u64,
}

impl Streams {
    pub(crate) fn listen(address: SocketAddr, poll: &Poll) -> io::Result<Streams> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        poll.watch(listener.try_clone()?, Key::StreamListener)?;
        Ok(Streams {
            listener,
            local: address.ip(),
            open: BTreeMap::new(),
            opened: 0,
            lost: 0,
            full: 0,
        })
    }

    pub(crate) fn accept(&mut self, now: Micros, poll: &mut Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.open.values().filter(|s| s.to.is_none()).count() >= MAX_ACCEPTED {
                self.full += 1;
                continue;
            }
            let number = poll.next_number();
            if let Ok(stream) = poll.register(stream, Key::Stream(number), LIMITS) {
                let stream = Stream {
                    stream,
                    to: None,
                    connected: true,
                    progress_at: now,
                    written: 0,
                };
                self.open.insert(number, stream);
            }
        }
    }

    /// Queues a message; false where it was dropped, as no stream could be opened or its buffer is full.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: &[u8],
        now: Micros,
        poll: &mut Poll,
    ) -> bool {
        let open = self.open.iter().find(|(_, s)| s.to == Some(to));
        let number = match open.map(|(number, _)| *number) {
            Some(number) => number,
            None => match self.connect(to, now, poll) {
                Some(number) => number,
                None => return false,
            },
        };
        let Some(stream) = self.open.get_mut(&number) else {
            return false;
        };
        if stream.stream.outbound.remaining() < HEAD + message.len() {
            self.full += 1;
            return false;
        }
        stream.send(message, now)
    }

    fn connect(&mut self, to: SocketAddr, now: Micros, poll: &mut Poll) -> Option<u64> {
        if self.open.values().filter(|s| s.to.is_some()).count() >= MAX_OPENED {
            self.close_least_used(poll)?;
        }
        let number = poll.next_number();
        // From the address that the others know, so that a network in between can tell who it is.
        let stream = poll
            .connect_from(Some(self.local), to, Key::Stream(number), LIMITS)
            .ok()?;
        self.opened += 1;
        let stream = Stream {
            stream,
            to: Some(to),
            connected: false,
            progress_at: now,
            written: 0,
        };
        self.open.insert(number, stream);
        Some(number)
    }

    /// Makes room for a new stream; none where all opened ones are in use. In a large fleet each member talks to another
    /// one all the time.
    fn close_least_used(&mut self, poll: &Poll) -> Option<()> {
        let opened = self.open.iter().filter(|(_, s)| s.to.is_some());
        let idle = opened.filter(|(_, s)| s.is_idle());
        let least = idle.min_by_key(|(_, s)| s.progress_at);
        let Some(number) = least.map(|(number, _)| *number) else {
            self.full += 1;
            return None;
        };
        self.close(number, poll);
        Some(())
    }

    /// A stream became readable or writable; `received` gets each complete message. Returns whom it was opened to if it
    /// has ended with something unsent.
    pub(crate) fn handle_ready(
        &mut self,
        number: u64,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        received: impl FnMut(&[u8]),
    ) -> Option<SocketAddr> {
        let stream = self.open.get_mut(&number)?;
        match stream.exchange(ready, now, received) {
            Ok(false) => None,
            Ok(true) | Err(_) => self.close(number, poll),
        }
    }

    /// Closes a stream. Returns whom it was opened to where something for it was left.
    pub(crate) fn close(&mut self, number: u64, poll: &Poll) -> Option<SocketAddr> {
        let stream = self.open.remove(&number)?;
        let unsent = !stream.connected || !stream.stream.outbound.is_empty();
        self.lost += u64::from(unsent && stream.to.is_some());
        let to = stream.to.filter(|_| unsent);
        stream.stream.close(poll);
        to
    }

    /// Closes streams that do not come up, are stalled or idle. Returns whom something was left for.
    pub(crate) fn close_stale(&mut self, now: Micros, poll: &Poll) -> Vec<SocketAddr> {
        let stale: Vec<u64> = self
            .open
            .iter_mut()
            .filter_map(|(number, stream)| stream.is_stale(now).then_some(*number))
            .collect();
        stale
            .into_iter()
            .filter_map(|number| self.close(number, poll))
            .collect()
    }
}

impl Stream {
    fn is_idle(&self) -> bool {
        self.connected && self.stream.outbound.is_empty() && self.stream.is_quiet()
    }

    fn is_stale(&mut self, now: Micros) -> bool {
        if self.stream.written != self.written {
            self.progress_at = now;
            self.written = self.stream.written;
        }
        let timeout = match (self.connected, self.stream.outbound.is_empty()) {
            (false, _) => CONNECT_TIMEOUT,
            (true, false) => STALL_TIMEOUT,
            (true, true) if self.to.is_none() => ACCEPTED_IDLE_TIMEOUT,
            (true, true) => IDLE_TIMEOUT,
        };
        now - self.progress_at > timeout
    }

    /// Queues a message for which there is room, and writes what it can; false where the stream is broken.
    fn send(&mut self, message: &[u8], now: Micros) -> bool {
        if self.stream.outbound.is_empty() {
            self.progress_at = now;
            self.written = self.stream.written;
        }
        let head = (message.len() as u32).to_le_bytes();
        let queued = self.stream.queue(&head, message).is_ok();
        queued && (!self.connected || self.stream.flush().is_ok())
    }

    /// Writes and reads what it can; true once the other side has ended the stream.
    fn exchange(
        &mut self,
        ready: Readiness,
        now: Micros,
        mut received: impl FnMut(&[u8]),
    ) -> io::Result<bool> {
        self.stream.set_ready(ready);
        if !self.connected {
            if !self.stream.is_connected()? {
                return Ok(false);
            }
            self.connected = true;
            self.progress_at = now;
        }
        self.stream.flush()?;
        loop {
            let ended = self.stream.fill()?;
            let mut any = false;
            while let Some(length) = self.message_length()? {
                received(&self.stream.inbound.bytes()[HEAD..HEAD + length]);
                self.stream.inbound.consume(HEAD + length);
                self.progress_at = now;
                any = true;
            }
            if ended || !any || !self.stream.readable {
                return Ok(ended);
            }
        }
    }

    /// Length of the next message, where it is complete.
    fn message_length(&self) -> io::Result<Option<usize>> {
        let bytes = self.stream.inbound.bytes();
        let Some(head) = bytes.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_MESSAGE {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok((bytes.len() >= HEAD + length).then_some(length))
    }
}
