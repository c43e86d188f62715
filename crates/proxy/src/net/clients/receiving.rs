//! Frames of a client: requests, cancellations, readiness queries, and what is done about faulty ones.

use super::connection::ClientConnection;
use super::event::{ClientEvent, RequestPool};
use super::MAX_OPEN_REQUESTS;
use crate::frame::{self, Field, Frame, FrameError, IdentityFields, Request};
use meadowrill_routing::interface::Micros;
use std::io;

/// Frames of one connection that are handled in a round: whoever floods waits for the others.
const MAX_FRAMES_PER_ROUND: usize = 64;

/// What this proxy answers to a readiness query.
#[derive(Clone, Copy)]
pub(super) struct Readiness {
    pub(super) ready: bool,
    /// Where state is shared: whether it had been received when this proxy became ready.
    pub(super) caught_up: Option<bool>,
}

/// A frame as it was read, before anything is done about it.
enum Message {
    /// A request on a connection that takes none any more.
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
    /// A faulty frame. The fault is answered on its stream, or on stream 0 where that had or will have its response.
    Faulty {
        reply_to: u32,
        error: FrameError,
    },
}

/// What a connection is read with.
pub(super) struct Receiving<'a> {
    /// Number of the connection.
    pub(super) number: u64,
    pub(super) now: Micros,
    pub(super) readiness: Readiness,
    pub(super) identity: &'a IdentityFields,
    pub(super) last_request: &'a mut u32,
    pub(super) pool: &'a mut RequestPool,
    pub(super) events: &'a mut Vec<ClientEvent>,
}

impl Receiving<'_> {
    /// Reads what has come and handles a round's share of it; true where there is more.
    pub(super) fn receive(&mut self, client: &mut ClientConnection) -> io::Result<bool> {
        // Behind the end of its stream a reset shows in no read.
        if client.half_closed && !client.stream.is_connected()? {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let ended = if client.muted {
            client.stream.discard()?
        } else {
            client.stream.fill()?
        };
        if ended && !client.half_closed {
            self.half_close(client)?;
        }
        if client.muted {
            return Ok(client.stream.readable && !client.half_closed);
        }
        for _ in 0..MAX_FRAMES_PER_ROUND {
            match self.read_message(client) {
                Ok(Some((message, length))) => {
                    self.handle_message(client, message, length)?;
                    if client.muted {
                        return Ok(client.stream.readable);
                    }
                }
                Ok(None) => {
                    self.wait_for_more(client);
                    return Ok(client.stream.readable && !client.half_closed);
                }
                Err(error) => {
                    let client_number = self.number;
                    self.events.push(ClientEvent::BadFrame {
                        client: client_number,
                        error,
                    });
                    client.stop_reading()?;
                    return Ok(client.stream.readable);
                }
            }
        }
        Ok(true)
    }

    /// The peer has ended its side. Whoever has closed completely is gone, and whoever only ended its side still reads;
    /// both look the same until something is written. A peer that has closed answers the notice with a reset, and the
    /// attempts of its requests end with it.
    fn half_close(&mut self, client: &mut ClientConnection) -> io::Result<()> {
        client.half_closed = true;
        let open = client.open.iter();
        self.events
            .extend(open.map(|(_, id)| ClientEvent::HalfClosed { id: *id }));
        if client.open.is_empty() {
            return Ok(());
        }
        client.queue_going_away()
    }

    /// All complete frames are handled.
    fn wait_for_more(&self, client: &mut ClientConnection) {
        let incomplete = !client.has_sent_frame || !client.stream.inbound.is_empty();
        client.incomplete_since = if incomplete {
            client.incomplete_since.or(Some(self.now))
        } else {
            None
        };
        client.muted |= client.half_closed;
    }

    /// The next complete frame and its length; an error where no frame can be found any more.
    fn read_message(
        &mut self,
        client: &ClientConnection,
    ) -> Result<Option<(Message, usize)>, FrameError> {
        let Some(Frame {
            frame_type,
            stream,
            payload,
        }) = frame::parse_frame(client.stream.inbound.bytes())?
        else {
            return Ok(None);
        };
        let message = match frame_type {
            frame::REQUEST => self.read_request(client, stream, payload),
            frame::CANCEL => Message::Cancel { stream },
            frame::READINESS_QUERY => Message::ReadinessQuery { stream },
            _ => Message::Faulty {
                reply_to: 0,
                error: FrameError::UnreadableField("type"),
            },
        };
        Ok(Some((message, frame::HEAD + payload.len())))
    }

    fn read_request(&mut self, client: &ClientConnection, stream: u32, payload: &[u8]) -> Message {
        let is_new = stream > client.last_stream;
        let error = if is_new && client.rejects_requests() {
            return Message::LateRequest { stream };
        } else if is_new && client.open.len() < MAX_OPEN_REQUESTS {
            match frame::parse_request(payload, self.identity) {
                Ok(request) => {
                    let request = self.pool.place(request);
                    return Message::Request { stream, request };
                }
                Err(error) => error,
            }
        } else {
            FrameError::UnreadableField("stream")
        };
        Message::Faulty {
            reply_to: if is_new { stream } else { 0 },
            error,
        }
    }

    fn handle_message(
        &mut self,
        client: &mut ClientConnection,
        message: Message,
        length: usize,
    ) -> io::Result<()> {
        client.stream.inbound.consume(length);
        client.has_sent_frame = true;
        client.incomplete_since = None;
        client.used_at = self.now;
        match message {
            Message::LateRequest { stream } => {
                client.last_stream = stream;
                client.queue_response(stream, frame::REJECTED)
            }
            Message::Request { stream, request } => {
                client.last_stream = stream;
                self.open_request(client, stream, request);
                Ok(())
            }
            Message::Cancel { stream } => {
                let cancelled = client.close_request(stream);
                self.events
                    .extend(cancelled.map(|id| ClientEvent::Cancelled { id }));
                Ok(())
            }
            Message::ReadinessQuery { stream } => self.answer_readiness(client, stream),
            Message::Faulty { reply_to, error } => {
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
        // 0 stands for no request.
        *self.last_request = self.last_request.wrapping_add(1).max(1);
        let id = *self.last_request;
        client.open.push((stream, id));
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
        client.stream.queue(&head, &[])
    }
}
