//! Client connections: requests in, and exactly one response on each stream.
//!
//! | module | concern |
//! | --- | --- |
//! | `connection` | one connection: its state, and what is queued on it |
//! | `receiving` | frames in: requests, cancellations, readiness queries, faults |
//! | `closing` | the one way in which connections end; idle, slow and surplus ones |
//! | `event` | what the loop learns of clients, and reuse of requests |
//!
//! Invariants: a stream has at most one open request and gets one response; a connection that is muted reads nothing
//! more; responses of a round leave with one write for each client.

mod closing;
mod connection;
mod event;
mod receiving;

pub(crate) use self::closing::DRAIN_TIMEOUT;
pub(crate) use self::event::ClientEvent;

use self::connection::ClientConnection;
use self::event::RequestPool;
use self::receiving::{Readiness, Receiving};
use super::buffered_stream::BufferLimits;
use super::syscalls::increment;
use super::{Key, Poll};
use crate::frame::{self, Field, IdentityFields, Request};
use calloop::Readiness as SocketReadiness;
use meadowrill_routing::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, TcpStream};

/// Requests that a connection may have open, and so how many responses its buffer may have to hold.
const MAX_OPEN_REQUESTS: usize = 32;
const LIMITS: BufferLimits = BufferLimits {
    inbound: frame::MAX_CLIENT_FRAME,
    outbound: (MAX_OPEN_REQUESTS + 1) * frame::MAX_FRAME,
};
/// Bodies from this size on are written at once from where they are, in bytes; smaller ones are copied, to be written
/// together.
const LARGE_BODY: usize = 16_384;

/// All client connections.
pub(crate) struct Clients {
    connections: BTreeMap<u64, ClientConnection>,
    /// Connections with more to read than a round takes.
    unread: BTreeSet<u64>,
    /// Draining connections, by when that ends.
    draining: BTreeSet<(Micros, u64)>,
    /// The most connections that are served, and that drain beside them.
    max_connections: usize,
    max_draining: usize,
    /// A connection that takes nothing of what is written for so long is lost.
    stall_timeout: Micros,
    last_request: u32,
    /// Whether this proxy says that it is ready, unless no endpoint accepts its requests.
    pub ready: bool,
    pub available: bool,
    /// Where state is shared: whether it had been received when this proxy became ready.
    pub caught_up: Option<bool>,
    /// This proxy is shutting down: nothing new is taken.
    closing: bool,
    /// Fields that identify tenant and client.
    pub identity_fields: IdentityFields,
    events: Vec<ClientEvent>,
    /// Connections with responses that were queued and not written yet.
    unwritten: Vec<u64>,
    pool: RequestPool,
}

impl Clients {
    pub(crate) fn new(
        max_connections: usize,
        max_draining: usize,
        stall_timeout: Micros,
    ) -> Clients {
        Clients {
            connections: BTreeMap::new(),
            unread: BTreeSet::new(),
            draining: BTreeSet::new(),
            max_connections,
            max_draining,
            stall_timeout,
            last_request: 0,
            ready: true,
            available: true,
            caught_up: None,
            closing: false,
            identity_fields: IdentityFields::default(),
            events: Vec::new(),
            unwritten: Vec::new(),
            pool: RequestPool::default(),
        }
    }

    /// Moves the events since the last call to `into`.
    pub(crate) fn take_events(&mut self, into: &mut Vec<ClientEvent>) {
        into.append(&mut self.events);
    }

    /// Gives the allocation of a request back that is over.
    pub(crate) fn recycle(&mut self, request: Box<Request>) {
        self.pool.give(request);
    }

    /// Writes the responses that were queued in this round.
    pub(crate) fn flush(&mut self, now: Micros, poll: &Poll) {
        let mut unwritten = std::mem::take(&mut self.unwritten);
        // One write for all responses of a client.
        unwritten.sort_unstable();
        unwritten.dedup();
        for number in unwritten.drain(..) {
            self.settle(number, Ok(()), now, poll);
        }
        self.unwritten = unwritten;
    }

    /// Connections that are to be read again although nothing new has come.
    pub(crate) fn take_unread(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.unread)
    }

    pub(crate) fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Takes an accepted connection in.
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

    /// A connection became readable or writable, or has more to read.
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
        let mut receiving = Receiving {
            number,
            now,
            readiness: Readiness {
                ready: self.ready && self.available,
                caught_up: self.caught_up,
            },
            identity: &self.identity_fields,
            last_request: &mut self.last_request,
            pool: &mut self.pool,
            events: &mut self.events,
        };
        let received = receiving.receive(client);
        if matches!(received, Ok(true)) {
            self.unread.insert(number);
        }
        self.settle(number, received.map(|_| ()), now, poll);
    }

    /// Sends the one response of a request, unless its stream has had it or is gone.
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
        let head = frame::encode_head(
            frame::RESPONSE,
            stream,
            Some(code),
            Some(fields),
            body.len(),
        );
        if body.len() < LARGE_BODY {
            increment(&poll.syscalls.copied, body.len() as u64);
            if client.stream.queue(&head, body).is_ok() {
                self.unwritten.push(number);
                return;
            }
        }
        let sent = client.stream.send(&head, body);
        self.settle(number, sent, now, poll);
    }

    /// Counts a request that the settings do not allow against its connection.
    pub(crate) fn record_fault(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        let done = client.record_fault();
        self.settle(number, done, now, poll);
    }
}
