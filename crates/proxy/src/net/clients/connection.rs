//! One client connection: its state, and what this proxy queues on it.
//!
//! A connection is open, then muted (what still comes is dropped), then draining (our side is shut, and the peer's end
//! is waited for), then closed. Each step is taken once and none back.

use crate::frame;
use crate::net::BufferedStream;
use meadowrill_routing::interface::Micros;
use std::io;
use std::net::IpAddr;

/// Faulty frames after which nothing more is read from a connection.
const MAX_FAULTS: u32 = 16;
/// A younger connection is not closed to make room: its first bytes may still be on their way.
const MIN_AGE: Micros = 100_000;

/// How much is lost with a connection, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Use {
    /// It has never sent a complete frame.
    Unused { since: Micros },
    /// It is within a frame.
    WithinFrame { since: Micros },
    /// It is idle.
    Idle { since: Micros },
}

pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) address: IpAddr,
    pub(super) last_stream: u32,
    /// Streams with the request that is open on each, in order; few.
    pub(super) open: Vec<(u32, u32)>,
    /// What still comes is dropped: the peer has ended its side, no frame can be found any more, or our side is shut.
    pub(super) muted: bool,
    /// The peer has ended its side.
    pub(super) half_closed: bool,
    /// The peer has been notified that nothing new is taken.
    going_away: bool,
    /// Our side is shut; the connection is closed at the peer's end, or at this moment.
    pub(super) draining_until: Option<Micros>,
    /// A complete frame has come.
    pub(super) has_sent_frame: bool,
    /// Since when a frame, or the first, is incomplete.
    pub(super) incomplete_since: Option<Micros>,
    /// When a frame was read or a response sent last.
    pub(super) used_at: Micros,
    faults: u32,
    /// Since when the peer takes nothing of what is queued, and how much was written by then.
    pub(super) stalled: Option<(Micros, u64)>,
}

impl ClientConnection {
    pub(super) fn new(stream: BufferedStream, address: IpAddr, now: Micros) -> ClientConnection {
        ClientConnection {
            stream,
            address,
            last_stream: 0,
            open: Vec::new(),
            muted: false,
            half_closed: false,
            going_away: false,
            draining_until: None,
            has_sent_frame: false,
            incomplete_since: Some(now),
            used_at: now,
            faults: 0,
            stalled: None,
        }
    }

    /// Whether new requests are rejected: the peer has gone, or was notified that none is taken.
    pub(super) fn rejects_requests(&self) -> bool {
        self.half_closed || self.going_away
    }

    /// Queues a response without fields and body.
    pub(super) fn queue_response(&mut self, stream: u32, code: u8) -> io::Result<()> {
        let head = frame::encode_head(frame::RESPONSE, stream, Some(code), Some(&[]), 0);
        self.stream.queue(&head, &[])
    }

    /// Queues, once, that nothing new is taken.
    pub(super) fn queue_going_away(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.going_away, true) {
            return Ok(());
        }
        let head = frame::encode_head(frame::GOING_AWAY, 0, None, None, 0);
        self.stream.queue(&head, &[])
    }

    /// Reports a fault of the connection and reads nothing more: the client has to send what is left to another proxy.
    pub(super) fn stop_reading(&mut self) -> io::Result<()> {
        self.muted = true;
        self.incomplete_since = None;
        self.stream.inbound.clear();
        self.queue_response(0, frame::FAILED)?;
        self.queue_going_away()
    }

    /// Counts a faulty frame.
    pub(super) fn record_fault(&mut self) -> io::Result<()> {
        self.faults += 1;
        if self.faults < MAX_FAULTS || self.muted {
            return Ok(());
        }
        self.stop_reading()
    }

    pub(super) fn has_open(&self, stream: u32, request: u32) -> bool {
        self.open.contains(&(stream, request))
    }

    /// Removes the open request of a stream.
    pub(super) fn close_request(&mut self, stream: u32) -> Option<u32> {
        let at = self.open.iter().position(|open| open.0 == stream)?;
        Some(self.open.remove(at).1)
    }

    /// Nothing is open, and all is written.
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty() && self.stream.outbound.is_empty()
    }

    /// What would be lost by closing it to make room; none where it must stay, as it has something open or may have soon.
    pub(super) fn closable_use(&self, now: Micros) -> Option<Use> {
        if !self.is_idle() || self.draining_until.is_some() {
            return None;
        }
        let (since, least) = match self.incomplete_since {
            Some(since) if self.has_sent_frame => (since, Use::WithinFrame { since }),
            Some(since) => (since, Use::Unused { since }),
            None => {
                let since = self.used_at;
                (since, Use::Idle { since })
            }
        };
        (since + MIN_AGE <= now).then_some(least)
    }
}
