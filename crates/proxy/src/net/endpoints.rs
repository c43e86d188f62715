//! Connections to caches, parents and the origin, and the attempts that are in flight on them.
//!
//! | module | concern |
//! | --- | --- |
//! | `attempt` | an attempt, its end, and what a response stands for |
//! | `connection` | one connection: its request out, its response in |
//! | `pool` | idle connections: reuse, rest, expiry |
//!
//! Invariants: a connection carries one attempt at a time; each attempt ends exactly once ([`EndedAttempt`]); the response of
//! an attempt stays in its connection's buffer until [`EndpointConnections::release`]; a connection is idle exactly while
//! it carries neither an attempt nor an unreleased response.

mod attempt;
mod connection;
mod pool;

pub(crate) use self::attempt::{load_report, response_outcome, AttemptRef, EndedAttempt};

use self::connection::{Answered, EndpointConnection};
use super::{AttemptError, Cause, Poll};
use crate::http;
use crate::sorted_vec::SortedVec;
use calloop::Readiness;
use meadowrill_routing::interface::{EndpointIndex, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Endpoints close idle connections after a time that the settings name; this proxy closes them so much earlier, at most a
/// quarter of that time: a request that crosses such a close would prove nothing.
const IDLE_MARGIN: Micros = 2_000_000;

/// All connections to endpoints.
pub(crate) struct EndpointConnections {
    connections: HashMap<u64, EndpointConnection>,
    /// Idle connections by endpoint, the last used last.
    idle: SortedVec<(EndpointIndex, Micros, u64)>,
    /// Idle connections by age.
    idle_by_age: SortedVec<(Micros, u64, EndpointIndex)>,
    max_connections: usize,
    max_idle: Micros,
    ended: Vec<EndedAttempt>,
    /// Attempts whose connections have come up.
    connected: Vec<AttemptRef>,
}

impl EndpointConnections {
    /// `idle_timeout` is when endpoints close an idle connection.
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

    /// Moves the attempts whose connections have come up since the last call to `into`. Nothing of them is written before
    /// [`EndpointConnections::write_attempt`], as what they were decided upon may have changed.
    pub(crate) fn take_connected(&mut self, into: &mut Vec<AttemptRef>) {
        into.append(&mut self.connected);
    }

    /// Moves the attempts that have ended since the last call to `into`.
    pub(crate) fn take_ended(&mut self, into: &mut Vec<EndedAttempt>) {
        into.append(&mut self.ended);
    }

    /// Starts an attempt. Returns the number of its connection while it is in flight; its end comes by
    /// [`EndpointConnections::take_ended`] in any case.
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

    /// Ends an attempt that was never started.
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

    /// Writes a request whose connection has come up.
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

    /// Ends an attempt and its connection, if it is still in flight.
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

    /// Ends a connection whose handling panicked.
    pub(crate) fn fail_panicked(&mut self, number: u64, poll: &Poll) {
        match self.connections.get(&number).and_then(|c| c.attempt) {
            Some(attempt) => self.fail_attempt(number, attempt.serial, Cause::Panicked, poll),
            None => self.close(number, poll),
        }
    }

    /// Attempts that are in flight now.
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

    /// Whether the connection that an attempt waits for is still not up.
    pub(crate) fn is_connecting(&self, number: u64, serial: u64) -> bool {
        self.is_in_flight(number, serial)
            && self.connections.get(&number).is_some_and(|c| !c.connected)
    }

    /// Whether nothing of an attempt may have been written yet.
    pub(crate) fn is_unwritten(&self, number: u64, serial: u64) -> bool {
        self.is_in_flight(number, serial)
            && self.connections.get(&number).is_some_and(|c| !c.may_write)
    }

    /// Whether an endpoint has accepted an attempt that was started since then, and has not answered it yet.
    pub(crate) fn any_accepted_since(&self, since: Micros) -> bool {
        self.connections.values().any(|connection| {
            connection.attempt.is_some_and(|a| a.started_at >= since)
                && connection.progress().is_accepted()
        })
    }

    /// A connection became readable or writable. Without `may_read` a response stays with the kernel.
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
            Ok(Some(response)) => self.end_answered(number, response),
            Err(cause) => match serial {
                Some(serial) => self.fail_attempt(number, serial, cause, poll),
                None => self.close(number, poll),
            },
        }
    }

    fn end_answered(&mut self, number: u64, response: http::Response) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.answered = Some(Answered {
            length: response.length(),
            reusable: connection.is_reusable_behind(&response),
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

    /// The body of a response that was not released yet.
    pub(crate) fn response_body(&self, number: u64, response: &http::Response) -> &[u8] {
        let bytes = self
            .connections
            .get(&number)
            .filter(|c| c.answered.is_some())
            .map(|c| c.stream.inbound.bytes());
        bytes
            .and_then(|bytes| bytes.get(response.head_length..response.length()))
            .unwrap_or_default()
    }

    /// A response has been passed on: its connection becomes idle, or is closed.
    pub(crate) fn release(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(Answered { length, reusable }) = connection.answered.take() else {
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
