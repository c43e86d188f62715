//! The pool of idle connections: reuses idle connections, opens new ones, and closes expired ones.

use super::connection::EndpointConnection;
use super::EndpointConnections;
use crate::http;
use crate::net::buffered_stream::BufferLimits;
use crate::net::{AttemptError, Cause, Key, Poll, Progress};
use meadowrill_routing::interface::{EndpointIndex, Micros};
use std::io;
use std::net::SocketAddr;

/// The input buffer holds a response with its head, and the output buffer a request with the largest body.
const LIMITS: BufferLimits = BufferLimits {
    inbound: http::MAX_HEAD + http::MAX_BODY,
    outbound: 65_536,
};
/// How long a connection is idle before it is reused. Bytes that arrive late after a response must not be parsed as the
/// next response. Those that arrive within this delay are read before any client input, and the connection is closed.
const REUSE_DELAY: Micros = 10_000;

impl EndpointConnections {
    /// Takes an idle connection to this endpoint and address out of the pool, the most recently used first.
    pub(super) fn reuse(
        &mut self,
        endpoint: EndpointIndex,
        address: SocketAddr,
        now: Micros,
        poll: &Poll,
    ) -> Option<u64> {
        let latest_idle_since = now - REUSE_DELAY;
        while let Some(&(_, since, number)) = self
            .idle
            .last_up_to(&(endpoint, latest_idle_since, u64::MAX))
            .filter(|idle| idle.0 == endpoint)
        {
            // The endpoint may have another address than when the connection was opened.
            let usable =
                |c: &EndpointConnection| c.address == address && c.stream.has_no_pending_input();
            if self.connections.get(&number).is_some_and(usable) {
                self.remove_idle(endpoint, since, number);
                return Some(number);
            }
            self.close(number, poll);
        }
        None
    }

    /// Opens a connection. At the connection limit the one that has been idle for longest is closed.
    pub(super) fn open(
        &mut self,
        endpoint: EndpointIndex,
        address: SocketAddr,
        poll: &mut Poll,
    ) -> Result<u64, AttemptError> {
        if self.connections.len() >= self.max_connections {
            let Some(&(_, number, _)) = self.idle_by_age.first() else {
                return Err(AttemptError {
                    progress: Progress::NotStarted,
                    cause: Cause::NoDescriptor,
                });
            };
            self.close(number, poll);
        }
        let number = poll.next_number();
        let stream = poll
            .connect(address, Key::Endpoint(number), LIMITS)
            .map_err(connect_error)?;
        let connection = EndpointConnection::new(stream, endpoint, address);
        self.connections.insert(number, connection);
        Ok(number)
    }

    fn remove_idle(&mut self, endpoint: EndpointIndex, since: Micros, number: u64) {
        self.idle.remove(&(endpoint, since, number));
        self.idle_by_age.remove(&(since, number, endpoint));
    }

    /// Closes a connection immediately.
    pub(super) fn close(&mut self, number: u64, poll: &Poll) {
        if let Some(connection) = self.connections.remove(&number) {
            if connection.attempt.is_none() {
                self.remove_idle(connection.endpoint, connection.idle_since, number);
            }
            connection.stream.close(poll);
        }
    }

    /// Closes the idle connections that their endpoints are about to close.
    pub(crate) fn close_expired(&mut self, now: Micros, poll: &Poll) {
        let max_idle = self.max_idle;
        let expired = |idle: &&(Micros, u64, EndpointIndex)| idle.0 + max_idle <= now;
        while let Some(&(_, number, _)) = self.idle_by_age.first().filter(expired) {
            self.close(number, poll);
        }
    }

    /// Closes the idle connections to an endpoint that will not be used again.
    pub(crate) fn close_idle(&mut self, endpoint: EndpointIndex, poll: &Poll) {
        let idle: Vec<u64> = self
            .idle
            .iter()
            .filter(|idle| idle.0 == endpoint)
            .map(|(_, _, number)| *number)
            .collect();
        for number in idle {
            self.close(number, poll);
        }
    }
}

/// A lack of descriptors or ports says nothing about the endpoint; a refused connection does.
fn connect_error(error: io::Error) -> AttemptError {
    let progress = if error.kind() == io::ErrorKind::ConnectionRefused {
        Progress::Connecting
    } else {
        Progress::NotStarted
    };
    AttemptError {
        progress,
        cause: Cause::Io(error),
    }
}
