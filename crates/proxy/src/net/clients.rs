//! Client connections: receives requests and sends exactly one response on each stream.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connection` | the state of one connection and the frames that are queued on it |
//! | `receiving` | received frames: requests, cancellations, readiness queries, faulty frames |
//! | `closing` | closing of connections, also of idle, slow and surplus ones |
//! | `input_memory` | the memory for the input of all clients: who waits for it, and whose input is discarded |
//! | `event` | events for the event loop, and reuse of request allocations |
//!
//! Invariants: a stream has at most one open request and gets one response; a connection that discards input handles no
//! more frames; the responses of a round that are queued for the same client are flushed together.

mod closing;
mod connection;
mod event;
mod input_memory;
mod receiving;

pub(crate) use self::closing::DRAIN_TIMEOUT;
pub(crate) use self::event::ClientEvent;
pub(crate) use self::input_memory::InputMemory;

use self::connection::ClientConnection;
use self::event::RequestPool;
use self::receiving::{FrameReceiver, Readiness, Received};
use super::buffered_stream::BufferLimits;
use super::syscalls::increment;
use super::{Key, Poll};
use crate::frame::{self, Field, IdentityFields, Request};
use calloop::Readiness as SocketReadiness;
use meadowrill_routing::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, TcpStream};

/// Maximum number of open requests on a connection, and so the number of responses that its buffer may have to hold.
const MAX_OPEN_REQUESTS: usize = 32;
const LIMITS: BufferLimits = BufferLimits {
    inbound: frame::MAX_CLIENT_FRAME,
    outbound: (MAX_OPEN_REQUESTS + 1) * frame::MAX_FRAME,
};
/// Bodies of at least this many bytes are written immediately without a copy. Smaller ones are copied into the buffer
/// and written together.
const LARGE_BODY_BYTES: usize = 16_384;

/// All client connections.
pub(crate) struct Clients {
    connections: BTreeMap<u64, ClientConnection>,
    /// Connections with more input than one round handles.
    unread: BTreeSet<u64>,
    input_memory: InputMemory,
    /// Draining connections, ordered by the time at which draining ends.
    draining: BTreeSet<(Micros, u64)>,
    /// Maximum number of connections that are served.
    max_connections: usize,
    /// Maximum number of draining connections, in addition to those that are served.
    max_draining: usize,
    /// A connection that accepts no output for this long is closed.
    stall_timeout: Micros,
    last_request_id: u32,
    /// Whether this proxy reports that it is ready, provided that it is also available.
    pub ready: bool,
    /// Whether any endpoint accepts its requests.
    pub available: bool,
    /// Whether the shared state had been received when this proxy became ready; none if no state is shared.
    pub caught_up: Option<bool>,
    /// This proxy is shutting down and accepts no new requests.
    closing: bool,
    /// Names of the request fields that identify the tenant and the client.
    pub identity_fields: IdentityFields,
    events: Vec<ClientEvent>,
    /// Connections with responses that are queued and not yet flushed.
    unflushed: Vec<u64>,
    pool: RequestPool,
}

impl Clients {
    pub(crate) fn new(
        max_connections: usize,
        max_draining: usize,
        stall_timeout: Micros,
        input_memory: InputMemory,
    ) -> Clients {
        Clients {
            connections: BTreeMap::new(),
            unread: BTreeSet::new(),
            input_memory,
            draining: BTreeSet::new(),
            max_connections,
            max_draining,
            stall_timeout,
            last_request_id: 0,
            ready: true,
            available: true,
            caught_up: None,
            closing: false,
            identity_fields: IdentityFields::default(),
            events: Vec::new(),
            unflushed: Vec::new(),
            pool: RequestPool::default(),
        }
    }

    /// Moves the events since the last call to `into`.
    pub(crate) fn take_events(&mut self, into: &mut Vec<ClientEvent>) {
        into.append(&mut self.events);
    }

    /// Returns the allocation of a finished request to the pool.
    pub(crate) fn recycle(&mut self, request: Box<Request>) {
        self.pool.put(request);
    }

    /// Writes the responses that were queued in this round.
    pub(crate) fn flush(&mut self, now: Micros, poll: &Poll) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        // All responses to a client are flushed together.
        unflushed.sort_unstable();
        unflushed.dedup();
        for number in unflushed.drain(..) {
            self.finish_step(number, Ok(()), now, poll);
        }
        self.unflushed = unflushed;
    }

    /// Takes the connections that must be read again even if the poll reports no new input.
    pub(crate) fn take_unread(&mut self) -> BTreeSet<u64> {
        let mut unread = std::mem::take(&mut self.unread);
        unread.append(&mut self.input_memory.take_resumable());
        unread
    }

    pub(crate) fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.input_memory.has_resumable()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Registers an accepted connection.
    pub(crate) fn accept(
        &mut self,
        stream: TcpStream,
        address: IpAddr,
        now: Micros,
        poll: &mut Poll,
    ) -> io::Result<()> {
        let number = poll.next_number();
        let stream = poll.register(stream, Key::Client(number), LIMITS)?;
        let connection = ClientConnection::new(stream, address, now);
        self.connections.insert(number, connection);
        Ok(())
    }

    /// Handles a connection that became readable or writable, or that has unread input.
    pub(crate) fn handle_ready(
        &mut self,
        number: u64,
        ready: SocketReadiness,
        now: Micros,
        poll: &mut Poll,
    ) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        client.stream.set_ready(ready);
        let mut receiver = FrameReceiver {
            number,
            now,
            received_bytes: 0,
            may_grow: self.input_memory.has_room(),
            readiness: Readiness {
                ready: self.ready && self.available,
                caught_up: self.caught_up,
            },
            identity: &self.identity_fields,
            last_request_id: &mut self.last_request_id,
            pool: &mut self.pool,
            events: &mut self.events,
        };
        let received = receiver.receive(client);
        match received {
            Ok(Received::MoreInput) => drop(self.unread.insert(number)),
            Ok(Received::NeedsOutput) => client.awaits_output = true,
            Ok(Received::NeedsMemory) => self.input_memory.wait(number),
            Ok(Received::All) | Err(_) => {}
        }
        self.finish_step(number, received.map(|_| ()), now, poll);
        self.reclaim_input_memory(now, poll);
    }

    /// Sends the response to a request, unless the request is no longer open or its connection is closed.
    pub(crate) fn send_response(
        &mut self,
        (number, stream, request): (u64, u32, u32),
        (code, fields, body): (u8, &[Field<'_>], &[u8]),
        now: Micros,
        poll: &Poll,
    ) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if !client.has_open(stream, request) {
            return;
        }
        client.close_request(stream);
        client.used_at = now;
        client.count_response();
        let head = frame::encode_head(
            frame::RESPONSE,
            stream,
            Some(code),
            Some(fields),
            body.len(),
        );
        if body.len() < LARGE_BODY_BYTES {
            increment(&poll.syscalls.copied, body.len() as u64);
            if client.stream.queue(&head, body).is_ok() {
                self.unflushed.push(number);
                return;
            }
        }
        let sent = client.stream.send(&head, body);
        self.finish_step(number, sent, now, poll);
    }

    /// Counts a request that violates the settings as a fault of its connection.
    pub(crate) fn record_fault(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        let result = client.record_fault();
        self.finish_step(number, result, now, poll);
    }
}
