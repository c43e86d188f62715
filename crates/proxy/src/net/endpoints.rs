//! Connections to caches, parents and the origin, and the attempts in flight on them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `attempt` | an attempt, its result, and the outcome of a response |
//! | `connection` | one connection: writes its request and reads its response |
//! | `pool` | idle connections: reuse, reuse delay, expiry |
//!
//! Invariants: a connection carries one attempt at a time; each attempt ends exactly once ([`EndedAttempt`]); the
//! response of an attempt stays in its connection's buffer until [`EndpointConnections::release`]; a connection is idle
//! exactly while it carries neither an attempt nor an unreleased response.

mod attempt;
mod connection;
mod pool;

pub(crate) use self::attempt::{load_report, response_outcome, AttemptRef, EndedAttempt};

use self::connection::{EndpointConnection, UnreleasedResponse};
use super::{AttemptError, Cause, Poll};
use crate::http;
use crate::sorted_vec::SortedVec;
use calloop::Readiness;
use meadowrill_routing::interface::{EndpointIndex, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Endpoints close idle connections after a configured time. This proxy closes them earlier by this margin, or by a
/// quarter of that time if that is less: if a request is written while the endpoint closes the connection, it is
/// unknown whether the request has run.
const IDLE_MARGIN: Micros = 2_000_000;

/// All connections to endpoints.
pub(crate) struct EndpointConnections {
    connections: HashMap<u64, EndpointConnection>,
    /// Idle connections by endpoint, the most recently used last.
    idle: SortedVec<(EndpointIndex, Micros, u64)>,
    /// Idle connections by age.
    idle_by_age: SortedVec<(Micros, u64, EndpointIndex)>,
    max_connections: usize,
    max_idle: Micros,
    ended: Vec<EndedAttempt>,
    /// Attempts whose connections have been established.
    connected: Vec<AttemptRef>,
}

impl EndpointConnections {
    /// `idle_timeout` is the time after which endpoints close an idle connection.
    pub(crate) fn new(max_connections: usize, idle_timeout: Micros) -> EndpointConnections {
        EndpointConnections {
            connections: HashMap::new(),
            idle: SortedVec::default(),
            idle_by_age: SortedVec::default(),
            max_connections,
            max_idle: idle_timeout - IDLE_MARGIN.min(idle_timeout / 4),
            ended: Vec::new(),
            connected: Vec::new(),
        }
    }

    /// Moves the attempts whose connections were established since the last call to `into`. Nothing of them is written
    /// before [`EndpointConnections::write_attempt`], because the state that the router decided on may have changed.
    pub(crate) fn take_connected(&mut self, into: &mut Vec<AttemptRef>) {
        into.append(&mut self.connected);
    }

    /// Moves the attempts that have ended since the last call to `into`.
    pub(crate) fn take_ended(&mut self, into: &mut Vec<EndedAttempt>) {
        into.append(&mut self.ended);
    }

    /// Starts an attempt. Returns the number of its connection if the attempt is in flight. In every case
    /// [`EndpointConnections::take_ended`] reports the end of the attempt.
    pub(crate) fn start_attempt(
        &mut self,
        endpoint: EndpointIndex,
        address: SocketAddr,
        request: &[u8],
        attempt: AttemptRef,
        poll: &mut Poll,
    ) -> Option<u64> {
        self.close_expired(attempt.started_at, poll);
        let number = match self.reuse(endpoint, address, attempt.started_at, poll) {
            Some(number) => number,
            None => match self.open(endpoint, address, poll) {
                Ok(number) => number,
                Err(error) => {
                    self.fail_unstarted(attempt, endpoint, error);
                    return None;
                }
            },
        };
        let connection = self.connections.get_mut(&number)?;
        if let Err(e) = connection.begin(attempt, request) {
            self.fail_attempt(number, attempt.serial, Cause::Io(e), poll);
            return None;
        }
        Some(number)
    }

    /// Records the failure of an attempt that was never started.
    pub(crate) fn fail_unstarted(
        &mut self,
        attempt: AttemptRef,
        endpoint: EndpointIndex,
        error: AttemptError,
    ) {
        self.ended.push(EndedAttempt {
            attempt,
            endpoint,
            connection: 0,
            result: Err(error),
        });
    }

    /// Writes a request whose connection has been established.
    pub(crate) fn write_attempt(&mut self, number: u64, serial: u64, poll: &Poll) {
        if !self.is_in_flight(number, serial) {
            return;
        }
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.may_write = true;
        if let Err(e) = connection.stream.flush() {
            self.fail_attempt(number, serial, Cause::Io(e), poll);
        }
    }

    /// Fails an attempt and closes its connection, if the attempt is still in flight.
    pub(crate) fn fail_attempt(&mut self, number: u64, serial: u64, cause: Cause, poll: &Poll) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        let Some(attempt) = connection.attempt.filter(|a| a.serial == serial) else {
            return;
        };
        let progress = connection.progress();
        self.ended.push(EndedAttempt {
            attempt,
            endpoint: connection.endpoint,
            connection: number,
            result: Err(AttemptError { progress, cause }),
        });
        self.close(number, poll);
    }

    /// Closes a connection whose handling panicked, and fails its attempt.
    pub(crate) fn fail_panicked(&mut self, number: u64, poll: &Poll) {
        match self.connections.get(&number).and_then(|c| c.attempt) {
            Some(attempt) => self.fail_attempt(number, attempt.serial, Cause::Panicked, poll),
            None => self.close(number, poll),
        }
    }

    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        let connections = self.connections.values();
        connections.filter(|c| c.attempt.is_some()).count()
    }

    /// Whether an attempt is still in flight.
    pub(crate) fn is_in_flight(&self, number: u64, serial: u64) -> bool {
        self.connections
            .get(&number)
            .and_then(|c| c.attempt)
            .is_some_and(|attempt| attempt.serial == serial)
    }

    /// Whether an attempt still waits for its connection to be established.
    pub(crate) fn is_connecting(&self, number: u64, serial: u64) -> bool {
        self.is_in_flight(number, serial)
            && self.connections.get(&number).is_some_and(|c| !c.connected)
    }

    /// Whether an attempt is in flight and nothing of it may be written yet.
    pub(crate) fn is_unwritten(&self, number: u64, serial: u64) -> bool {
        self.is_in_flight(number, serial)
            && self.connections.get(&number).is_some_and(|c| !c.may_write)
    }

    /// Whether an endpoint has accepted an attempt that was started at `since` or later and has not been answered yet.
    pub(crate) fn any_accepted_since(&self, since: Micros) -> bool {
        self.connections.values().any(|connection| {
            connection.attempt.is_some_and(|a| a.started_at >= since)
                && connection.progress().is_accepted()
        })
    }

    /// Handles a connection that became readable or writable. Without `may_read` a response stays in the kernel's
    /// buffer.
    pub(crate) fn handle_ready(
        &mut self,
        number: u64,
        ready: Readiness,
        may_read: bool,
        poll: &mut Poll,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.stream.set_ready(ready);
        let serial = connection.attempt.map(|attempt| attempt.serial);
        let was_connected = connection.connected;
        let exchanged = connection.exchange(may_read);
        if connection.connected && !was_connected {
            self.connected.extend(connection.attempt);
        }
        match exchanged {
            Ok(None) => {}
            Ok(Some(response)) => self.complete_attempt(number, response),
            Err(cause) => match serial {
                Some(serial) => self.fail_attempt(number, serial, cause, poll),
                None => self.close(number, poll),
            },
        }
    }

    fn complete_attempt(&mut self, number: u64, response: http::Response) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.unreleased = Some(UnreleasedResponse {
            length: response.length(),
            reusable: connection.is_reusable_after(&response),
        });
        if let Some(attempt) = connection.attempt.take() {
            self.ended.push(EndedAttempt {
                attempt,
                endpoint: connection.endpoint,
                connection: number,
                result: Ok(response),
            });
        }
    }

    /// The body of a response that has not been released.
    pub(crate) fn response_body(&self, number: u64, response: &http::Response) -> &[u8] {
        let bytes = self
            .connections
            .get(&number)
            .filter(|c| c.unreleased.is_some())
            .map(|c| c.stream.inbound.bytes());
        bytes
            .and_then(|bytes| bytes.get(response.head_length..response.length()))
            .unwrap_or_default()
    }

    /// Releases a response that is no longer needed: its connection becomes idle or is closed.
    pub(crate) fn release(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(UnreleasedResponse { length, reusable }) = connection.unreleased.take() else {
            return;
        };
        connection.stream.inbound.consume(length);
        connection.interim_responses = 0;
        connection.idle_since = now;
        let endpoint = connection.endpoint;
        self.idle.insert((endpoint, now, number));
        self.idle_by_age.insert((now, number, endpoint));
        if !reusable {
            self.close(number, poll);
        }
    }
}
