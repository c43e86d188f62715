//! One client connection: its state, and the frames that this proxy queues on it.
//!
//! A connection is open, then discards input, then drains (the sending direction is shut down until the peer closes its
//! side), and then is closed. Each transition happens at most once, and none is reversed.

use crate::frame;
use crate::net::BufferedStream;
use meadowrill_routing::interface::Micros;
use std::io;
use std::net::IpAddr;

/// Number of faulty frames after which no more requests are read from a connection.
const MAX_FAULTS: u32 = 16;
/// Maximum number of responses that are queued without the client having read all earlier ones. Beyond it no more frames
/// are handled, because each may cause another response.
const MAX_UNREAD_RESPONSES: u32 = 256;
/// A connection is not closed to make room within this time after it was accepted, after its last frame or response, or
/// after a frame began: its next bytes may still be in transit.
const MIN_EVICTION_AGE: Micros = 100_000;

/// The order in which connections are closed to make room: those whose loss costs the client least come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionOrder {
    /// The client has never sent a complete frame.
    Unused { since: Micros },
    /// A frame has been received in part.
    WithinFrame { since: Micros },
    /// No request is open, and no frame has been received in part.
    Idle { since: Micros },
}

pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) address: IpAddr,
    pub(super) last_stream: u32,
    /// The few streams with an open request, in the order of opening, each with the id of its request.
    pub(super) open_requests: Vec<(u32, u32)>,
    /// Further input is discarded: the peer has closed its side, reading was stopped after faults or a timeout, or the
    /// connection is being closed.
    pub(super) discards_input: bool,
    /// The peer has closed its side. There may be unread input from before.
    pub(super) half_closed: bool,
    /// All input was read up to the end of the peer's stream.
    pub(super) input_ended: bool,
    /// The peer has been notified that new requests are rejected.
    going_away: bool,
    /// The sending direction is shut down, and the connection is closed when the peer closes its side or at this time.
    pub(super) draining_until: Option<Micros>,
    /// A complete frame was received.
    pub(super) has_sent_frame: bool,
    /// Since when a frame, or the first frame, has been incomplete.
    pub(super) incomplete_since: Option<Micros>,
    /// When bytes were last read into the buffer.
    pub(super) received_at: Micros,
    /// When the last frame was read or the last response sent.
    pub(super) used_at: Micros,
    faults: u32,
    /// Responses that were queued since the output was last written completely.
    unread_responses: u32,
    /// Frames that have arrived are handled once all output is written.
    pub(super) awaits_output: bool,
    /// Set while output is queued: the start of the current stall check, and the number of bytes written by then.
    pub(super) stalled: Option<(Micros, u64)>,
}

impl ClientConnection {
    pub(super) fn new(stream: BufferedStream, address: IpAddr, now: Micros) -> ClientConnection {
        ClientConnection {
            stream,
            address,
            last_stream: 0,
            open_requests: Vec::new(),
            discards_input: false,
            half_closed: false,
            input_ended: false,
            going_away: false,
            draining_until: None,
            has_sent_frame: false,
            incomplete_since: Some(now),
            received_at: now,
            used_at: now,
            faults: 0,
            unread_responses: 0,
            awaits_output: false,
            stalled: None,
        }
    }

    /// Whether new requests are rejected: the peer has closed its side, or was notified that they are rejected.
    pub(super) fn rejects_requests(&self) -> bool {
        self.half_closed || self.going_away
    }

    /// Writes as much of the queued output as the kernel accepts now.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()?;
        if self.stream.outbound.is_empty() {
            self.unread_responses = 0;
        }
        Ok(())
    }

    /// Counts a response that is about to be queued.
    pub(super) fn count_response(&mut self) {
        self.unread_responses += 1;
    }

    /// Whether too many responses are queued to handle another frame.
    pub(super) fn has_output_backlog(&self) -> bool {
        self.unread_responses >= MAX_UNREAD_RESPONSES && !self.stream.outbound.is_empty()
    }

    /// Queues a response without fields and without a body.
    pub(super) fn queue_response(&mut self, stream: u32, code: u8) -> io::Result<()> {
        let head = frame::encode_head(frame::RESPONSE, stream, Some(code), Some(&[]), 0);
        self.count_response();
        self.stream.queue(&head, &[])
    }

    /// Queues the notice that new requests are rejected, unless it was queued before.
    pub(super) fn queue_going_away(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.going_away, true) {
            return Ok(());
        }
        let head = frame::encode_head(frame::GOING_AWAY, 0, None, None, 0);
        self.stream.queue(&head, &[])
    }

    /// Reports a fault of the connection and handles no more frames. The client has to send its remaining requests to
    /// another proxy.
    pub(super) fn stop_reading(&mut self) -> io::Result<()> {
        self.discards_input = true;
        self.incomplete_since = None;
        self.stream.inbound.clear();
        self.queue_response(0, frame::FAILED)?;
        self.queue_going_away()
    }

    /// Counts a faulty frame and stops reading when there were too many.
    pub(super) fn record_fault(&mut self) -> io::Result<()> {
        self.faults += 1;
        if self.faults < MAX_FAULTS || self.discards_input {
            return Ok(());
        }
        self.stop_reading()
    }

    pub(super) fn has_open(&self, stream: u32, request: u32) -> bool {
        self.open_requests.contains(&(stream, request))
    }

    /// Removes the open request of a stream and returns its id.
    pub(super) fn close_request(&mut self, stream: u32) -> Option<u32> {
        let at = self
            .open_requests
            .iter()
            .position(|request| request.0 == stream)?;
        Some(self.open_requests.remove(at).1)
    }

    /// Whether no request is open and all output is written.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.stream.outbound.is_empty()
    }

    /// Since when its incomplete frame has made no progress, if that frame holds more memory than an idle connection and
    /// its next bytes are unlikely to be in transit.
    pub(super) fn stalled_frame_since(&self, now: Micros) -> Option<Micros> {
        let holds_frame = self.incomplete_since.is_some() && self.stream.inbound.has_grown();
        let since = self.received_at;
        let stalled = holds_frame && !self.stream.readable && since + MIN_EVICTION_AGE <= now;
        stalled.then_some(since)
    }

    /// The place of this connection in the eviction order. None if it must not be closed, because it has an open
    /// request or unwritten output, is draining already, or was used too recently.
    pub(super) fn eviction_order(&self, now: Micros) -> Option<EvictionOrder> {
        if !self.is_idle() || self.draining_until.is_some() {
            return None;
        }
        let (since, order) = match self.incomplete_since {
            Some(since) if self.has_sent_frame => (since, EvictionOrder::WithinFrame { since }),
            Some(since) => (since, EvictionOrder::Unused { since }),
            None => {
                let since = self.used_at;
                (since, EvictionOrder::Idle { since })
            }
        };
        (since + MIN_EVICTION_AGE <= now).then_some(order)
    }
}
