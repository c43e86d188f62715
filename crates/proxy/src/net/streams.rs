//! Streams between members of the fleet, for messages that are too long for a datagram. A length precedes each message.
//!
//! A stream is opened when a message has to be sent, and closed when none was sent for a while. Sending never blocks: a
//! message for which there is no room is dropped, and its sender is notified.

use super::buffered_stream::BufferLimits;
use super::{BufferedStream, Key, Poll};
use calloop::Readiness;
use meadowrill_membership::wire::MAX_CHUNK_LENGTH as MAX_MESSAGE;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener};

/// Maximum number of open streams that this member has opened.
const MAX_OPENED: usize = 8;
/// Maximum number of open streams that others have opened to this member.
const MAX_ACCEPTED: usize = 32;
/// Buffer size of one direction of a stream. A message that does not fit, because the receiver is slow, is dropped.
const BUFFER_BYTES: usize = 4 * MAX_MESSAGE;
const LIMITS: BufferLimits = BufferLimits {
    inbound: BUFFER_BYTES,
    outbound: BUFFER_BYTES,
};
/// Size of the length that precedes a message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// How long it may take to establish a stream.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// How long a stream may make no progress with its queued output.
const STALL_TIMEOUT: Micros = 3_000_000;
/// How long a stream is kept without queued output.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// The idle timeout on the side that accepted the stream. The other side closes the streams that it opened; if it has
/// disappeared silently, this side closes them.
const ACCEPTED_IDLE_TIMEOUT: Micros = 2 * IDLE_TIMEOUT;

struct Stream {
    stream: BufferedStream,
    /// The address that the stream was opened to; none if it was accepted.
    to: Option<SocketAddr>,
    connected: bool,
    /// When the stream last made progress.
    progress_at: Micros,
    /// Number of bytes written by then.
    written: u64,
}

pub(crate) struct Streams {
    listener: TcpListener,
    local: IpAddr,
    open_streams: BTreeMap<u64, Stream>,
    /// Number of streams opened to others.
    pub opened: u64,
    /// Number of streams opened to others that failed to connect or ended with unsent output.
    pub lost: u64,
    /// Number of messages and streams for which there was no room.
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
            open_streams: BTreeMap::new(),
            opened: 0,
            lost: 0,
            full: 0,
        })
    }

    pub(crate) fn accept(&mut self, now: Micros, poll: &mut Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self
                .open_streams
                .values()
                .filter(|s| s.to.is_none())
                .count()
                >= MAX_ACCEPTED
            {
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
                self.open_streams.insert(number, stream);
            }
        }
    }

    /// Queues a message. Returns false if it was dropped, because no stream could be opened, the buffer is full or the
    /// stream is broken.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: &[u8],
        now: Micros,
        poll: &mut Poll,
    ) -> bool {
        let open = self.open_streams.iter().find(|(_, s)| s.to == Some(to));
        let number = match open.map(|(number, _)| *number) {
            Some(number) => number,
            None => match self.connect(to, now, poll) {
                Some(number) => number,
                None => return false,
            },
        };
        let Some(stream) = self.open_streams.get_mut(&number) else {
            return false;
        };
        if stream.stream.outbound.remaining() < LENGTH_PREFIX_BYTES + message.len() {
            self.full += 1;
            return false;
        }
        stream.send(message, now)
    }

    fn connect(&mut self, to: SocketAddr, now: Micros, poll: &mut Poll) -> Option<u64> {
        if self
            .open_streams
            .values()
            .filter(|s| s.to.is_some())
            .count()
            >= MAX_OPENED
        {
            self.close_least_recently_used(poll)?;
        }
        let number = poll.next_number();
        // The stream comes from the address that the others know, so that a network in between can identify this
        // member.
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
        self.open_streams.insert(number, stream);
        Some(number)
    }

    /// Closes the least recently used idle stream to make room for a new one; none if all opened streams are in use. In
    /// a large fleet each member keeps changing the members that it communicates with.
    fn close_least_recently_used(&mut self, poll: &Poll) -> Option<()> {
        let opened = self.open_streams.iter().filter(|(_, s)| s.to.is_some());
        let idle = opened.filter(|(_, s)| s.is_idle());
        let least_recent = idle.min_by_key(|(_, s)| s.progress_at);
        let Some(number) = least_recent.map(|(number, _)| *number) else {
            self.full += 1;
            return None;
        };
        self.close(number, poll);
        Some(())
    }

    /// Handles a stream that became readable or writable; `received` gets each complete message. If the stream has
    /// ended with unsent output, returns the address that it was opened to.
    pub(crate) fn handle_ready(
        &mut self,
        number: u64,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        received: impl FnMut(&[u8]),
    ) -> Option<SocketAddr> {
        let stream = self.open_streams.get_mut(&number)?;
        match stream.exchange(ready, now, received) {
            Ok(false) => None,
            Ok(true) | Err(_) => self.close(number, poll),
        }
    }

    /// Closes a stream. If there was unsent output, returns the address that the stream was opened to.
    pub(crate) fn close(&mut self, number: u64, poll: &Poll) -> Option<SocketAddr> {
        let stream = self.open_streams.remove(&number)?;
        let unsent = !stream.connected || !stream.stream.outbound.is_empty();
        self.lost += u64::from(unsent && stream.to.is_some());
        let to = stream.to.filter(|_| unsent);
        stream.stream.close(poll);
        to
    }

    /// Closes streams that were not established in time, are stalled or are idle. Returns the addresses with unsent
    /// output.
    pub(crate) fn close_stale(&mut self, now: Micros, poll: &Poll) -> Vec<SocketAddr> {
        let stale: Vec<u64> = self
            .open_streams
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
        self.connected && self.stream.outbound.is_empty() && self.stream.has_no_pending_input()
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

    /// Queues a message for which there is room, and writes as much as possible. Returns false if the stream is broken.
    fn send(&mut self, message: &[u8], now: Micros) -> bool {
        if self.stream.outbound.is_empty() {
            self.progress_at = now;
            self.written = self.stream.written;
        }
        let head = (message.len() as u32).to_le_bytes();
        let queued = self.stream.queue(&head, message).is_ok();
        queued && (!self.connected || self.stream.flush().is_ok())
    }

    /// Writes and reads as much as possible. Returns true once the other side has closed the stream.
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
            let mut received_any = false;
            while let Some(length) = self.message_length()? {
                received(
                    &self.stream.inbound.bytes()[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length],
                );
                self.stream.inbound.consume(LENGTH_PREFIX_BYTES + length);
                self.progress_at = now;
                received_any = true;
            }
            if ended || !received_any || !self.stream.readable {
                return Ok(ended);
            }
        }
    }

    /// Length of the next message, if it was received completely.
    fn message_length(&self) -> io::Result<Option<usize>> {
        let bytes = self.stream.inbound.bytes();
        let Some(head) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_MESSAGE {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok((bytes.len() >= LENGTH_PREFIX_BYTES + length).then_some(length))
    }
}
