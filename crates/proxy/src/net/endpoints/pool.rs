//! Idle connections: which is used again, when a new one is opened, and which are closed.

use super::connection::EndpointConnection;
use super::EndpointConnections;
use crate::http;
use crate::net::buffered_stream::BufferLimits;
use crate::net::{AttemptError, Cause, Key, Poll, Progress};
use meadowrill_routing::interface::{EndpointIndex, Micros};
use std::io;
use std::net::SocketAddr;

/// A response with its head; a request with the largest body.
const LIMITS: BufferLimits = BufferLimits {
    inbound: http::MAX_HEAD + http::MAX_BODY,
    outbound: 65_536,
};
/// How long a connection rests before it is used again. Bytes that come late behind a response must not be taken for the
/// next response: those that came within the rest were read before any client was.
const REST: Micros = 10_000;

impl EndpointConnections {
    /// An idle connection to this endpoint and address, the last used first.
    pub(super) fn reuse(
        &mut self,
        endpoint: EndpointIndex,
        address: SocketAddr,
        now: Micros,
        poll: &Poll,
    ) -> Option<u64> {
        let rested = now - REST;
        while let Some(&(_, since, number)) = self
            .idle
            .last_up_to(&(endpoint, rested, u64::MAX))
            .filter(|idle| idle.0 == endpoint)
        {
            // The address of an endpoint may have passed to another.
            let usable = |c: &EndpointConnection| c.address == address && c.stream.is_quiet();
            if self.connections.get(&number).is_some_and(usable) {
                self.remove_idle(endpoint, since, number);
                return Some(number);
            }
            self.close(number, poll);
        }
        None
    }

    /// Opens a connection; at the ceiling the one that has been idle for longest gives way.
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

    /// Closes a connection at once.
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

    /// Closes the idle connections to an endpoint that is not to be used again.
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

/// Out of descriptors or ports says nothing of the endpoint; a refusal does.
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
