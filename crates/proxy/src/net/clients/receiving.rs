//! Frames received from a client: requests, cancellations and readiness queries, and the handling of faulty frames.

use super::connection::ClientConnection;
use super::event::{ClientEvent, RequestPool};
use super::MAX_OPEN_REQUESTS;
use crate::frame::{self, Field, Frame, FrameError, IdentityFields, Request};
use meadowrill_routing::interface::Micros;
use std::io;

/// Maximum number of frames of one connection that are handled in a round, so that a client that floods does not delay
/// the others.
const MAX_FRAMES_PER_ROUND: usize = 64;

/// The answer of this proxy to a readiness query.
#[derive(Clone, Copy)]
pub(super) struct Readiness {
    pub(super) ready: bool,
    /// Whether the shared state had been received when this proxy became ready; none if no state is shared.
    pub(super) caught_up: Option<bool>,
}

/// Input of a connection in one round, in bytes, from which on it is read until the kernel has no more.
const BULK_BYTES: usize = frame::MAX_CLIENT_FRAME / 2;

/// What remains to be read of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// Nothing that has arrived.
    All,
    /// More input than one round handles.
    MoreInput,
    /// More input than may be handled until the client has read the responses that are queued.
    NeedsOutput,
    /// More input than the buffer may hold until the buffers of the clients have room again.
    NeedsMemory,
}

/// A parsed frame that has not been handled yet.
enum ParsedFrame {
    /// A request on a connection that rejects new requests.
    LateRequest {
        stream: u32,
    },
    Request {
        stream: u32,
        request: Box<Request>,
    },
    Cancel {
        stream: u32,
    },
    ReadinessQuery {
        stream: u32,
    },
    /// A faulty frame. The failure response goes to the stream of the frame, or to stream 0 if that stream already has
    /// or will get a response, or if the frame type is unknown.
    Faulty {
        reply_to: u32,
        error: FrameError,
    },
}

/// The state that is needed to receive frames on one connection.
pub(super) struct FrameReceiver<'a> {
    /// Number of the connection.
    pub(super) number: u64,
    pub(super) now: Micros,
    /// Input that was read in this round, in bytes.
    pub(super) received_bytes: usize,
    /// Whether the input buffer may use more memory.
    pub(super) may_grow: bool,
    pub(super) readiness: Readiness,
    pub(super) identity: &'a IdentityFields,
    pub(super) last_request_id: &'a mut u32,
    pub(super) pool: &'a mut RequestPool,
    pub(super) events: &'a mut Vec<ClientEvent>,
}

impl FrameReceiver<'_> {
    /// Reads available input and handles at most [`MAX_FRAMES_PER_ROUND`] frames.
    ///
    /// Input is read to its end before any of the requests is begun, because the client may have cancelled them, or may
    /// have closed its side, behind them.
    pub(super) fn receive(&mut self, client: &mut ClientConnection) -> io::Result<Received> {
        // Nobody may wait any more for the responses to requests that were not read before the close.
        if client.stream.is_end_reported() {
            self.half_close(client)?;
        }
        // After the end of the peer's stream a read does not report a reset.
        if client.half_closed && !client.stream.is_connected()? {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if client.has_output_backlog() && !client.discards_input {
            client.flush()?;
        }
        self.read(client)?;
        for _ in 0..MAX_FRAMES_PER_ROUND {
            if client.discards_input {
                return Ok(self.remaining_input(client));
            }
            if client.has_output_backlog() {
                return Ok(Received::NeedsOutput);
            }
            if !self.handle_next_frame(client)? {
                return Ok(self.remaining_input(client));
            }
        }
        Ok(Received::MoreInput)
    }

    /// Handles the next frame, and reads again for it as long as there is input. Returns false if no frame is complete,
    /// or if reading was stopped.
    fn handle_next_frame(&mut self, client: &mut ClientConnection) -> io::Result<bool> {
        loop {
            match self.parse_next(client) {
                Ok(Some((parsed, length))) => {
                    self.handle_frame(client, parsed, length)?;
                    return Ok(true);
                }
                Ok(None) if self.read(client)? => {}
                Ok(None) => {
                    self.update_incomplete(client);
                    return Ok(false);
                }
                Err(error) => {
                    let client_number = self.number;
                    self.events.push(ClientEvent::BadFrame {
                        client: client_number,
                        error,
                    });
                    client.stop_reading()?;
                    return Ok(false);
                }
            }
        }
    }

    /// Reads available input. Returns whether there was any.
    fn read(&mut self, client: &mut ClientConnection) -> io::Result<bool> {
        if client.input_ended {
            return Ok(false);
        }
        let before = client.stream.inbound.len();
        client.input_ended = if client.discards_input {
            client.stream.discard()?
        } else if self.may_grow {
            client.stream.fill()?
        } else {
            client.stream.fill_without_growth()?
        };
        if client.input_ended {
            self.half_close(client)?;
        }
        let received = client.stream.inbound.len().saturating_sub(before);
        if received > 0 {
            client.received_at = self.now;
        }
        self.received_bytes += received;
        // After this much input the peer may have been blocked until now, so that a read that has emptied the kernel's
        // buffer is not the end of what it has sent.
        client.stream.readable |= received > 0 && self.received_bytes >= BULK_BYTES;
        Ok(received > 0)
    }

    /// What remains to be read once all complete frames in the buffer are handled.
    fn remaining_input(&self, client: &ClientConnection) -> Received {
        let stream = &client.stream;
        if !stream.readable || client.input_ended {
            Received::All
        } else if client.discards_input
            || self.may_grow
            || stream.inbound.remaining_without_growth() > 0
        {
            Received::MoreInput
        } else {
            Received::NeedsMemory
        }
    }

    /// Handles the end of the peer's stream. A peer that has closed its socket reads nothing more, and a peer that has
    /// only shut down its sending direction still reads. Both look the same until something is written. A closed peer
    /// answers the going-away notice with a reset, which ends the attempts of its requests.
    fn half_close(&mut self, client: &mut ClientConnection) -> io::Result<()> {
        if std::mem::replace(&mut client.half_closed, true) {
            return Ok(());
        }
        let open = client.open_requests.iter();
        self.events
            .extend(open.map(|(_, id)| ClientEvent::HalfClosed { id: *id }));
        if client.open_requests.is_empty() {
            return Ok(());
        }
        client.queue_going_away()
    }

    /// Updates the state of a connection once all its complete frames are handled.
    fn update_incomplete(&self, client: &mut ClientConnection) {
        let incomplete = !client.has_sent_frame || !client.stream.inbound.is_empty();
        client.incomplete_since = if incomplete {
            client.incomplete_since.or(Some(self.now))
        } else {
            None
        };
        client.discards_input |= client.input_ended;
    }

    /// Returns the next complete frame and its length.
    ///
    /// Returns an error if the frame boundary cannot be determined.
    fn parse_next(
        &mut self,
        client: &ClientConnection,
    ) -> Result<Option<(ParsedFrame, usize)>, FrameError> {
        let Some(Frame {
            frame_type,
            stream,
            payload,
        }) = frame::parse_frame(client.stream.inbound.bytes())?
        else {
            return Ok(None);
        };
        let parsed = match frame_type {
            frame::REQUEST => self.parse_request_frame(client, stream, payload),
            frame::CANCEL => ParsedFrame::Cancel { stream },
            frame::READINESS_QUERY => ParsedFrame::ReadinessQuery { stream },
            _ => ParsedFrame::Faulty {
                reply_to: 0,
                error: FrameError::UnreadableField("type"),
            },
        };
        Ok(Some((parsed, frame::HEAD_LENGTH + payload.len())))
    }

    fn parse_request_frame(
        &mut self,
        client: &ClientConnection,
        stream: u32,
        payload: &[u8],
    ) -> ParsedFrame {
        let is_new = stream > client.last_stream;
        let error = if is_new && client.rejects_requests() {
            return ParsedFrame::LateRequest { stream };
        } else if is_new && client.open_requests.len() < MAX_OPEN_REQUESTS {
            match frame::parse_request(payload, self.identity) {
                Ok(request) => {
                    let request = self.pool.allocate(request);
                    return ParsedFrame::Request { stream, request };
                }
                Err(error) => error,
            }
        } else {
            FrameError::UnreadableField("stream")
        };
        ParsedFrame::Faulty {
            reply_to: if is_new { stream } else { 0 },
            error,
        }
    }

    fn handle_frame(
        &mut self,
        client: &mut ClientConnection,
        parsed: ParsedFrame,
        length: usize,
    ) -> io::Result<()> {
        client.stream.inbound.consume(length);
        client.has_sent_frame = true;
        client.incomplete_since = None;
        client.used_at = self.now;
        match parsed {
            ParsedFrame::LateRequest { stream } => {
                client.last_stream = stream;
                client.queue_response(stream, frame::REJECTED)
            }
            ParsedFrame::Request { stream, request } => {
                client.last_stream = stream;
                self.open_request(client, stream, request);
                Ok(())
            }
            ParsedFrame::Cancel { stream } => {
                let cancelled = client.close_request(stream);
                self.events
                    .extend(cancelled.map(|id| ClientEvent::Cancelled { id }));
                Ok(())
            }
            ParsedFrame::ReadinessQuery { stream } => self.answer_readiness(client, stream),
            ParsedFrame::Faulty { reply_to, error } => {
                client.last_stream = client.last_stream.max(reply_to);
                let client_number = self.number;
                self.events.push(ClientEvent::BadFrame {
                    client: client_number,
                    error,
                });
                client.queue_response(reply_to, frame::FAILED)?;
                client.record_fault()
            }
        }
    }

    fn open_request(&mut self, client: &mut ClientConnection, stream: u32, request: Box<Request>) {
        // The id 0 means no request.
        *self.last_request_id = self.last_request_id.wrapping_add(1).max(1);
        let id = *self.last_request_id;
        client.open_requests.push((stream, id));
        self.events.push(ClientEvent::RequestReceived {
            id,
            client: self.number,
            address: client.address,
            stream,
            request,
        });
    }

    fn answer_readiness(&self, client: &mut ClientConnection, stream: u32) -> io::Result<()> {
        let Readiness { ready, caught_up } = self.readiness;
        let code = if ready {
            frame::READY
        } else {
            frame::NOT_READY
        };
        let fields: &[Field<'_>] = match caught_up {
            Some(true) => &[frame::CAUGHT_UP],
            Some(false) => &[frame::NOT_CAUGHT_UP],
            None => &[],
        };
        let head = frame::encode_head(frame::READINESS, stream, Some(code), Some(fields), 0);
        client.count_response();
        client.stream.queue(&head, &[])
    }
}
