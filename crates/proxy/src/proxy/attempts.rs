//! Starts attempts: encodes the request for the endpoint, writes it or holds it until the connection is established,
//! and sets its deadlines.

use super::request_table::{AttemptHandle, ProxiedRequest};
use super::timers::Timer;
use super::Proxy;
use crate::http;
use crate::net::endpoints::{AttemptRef, EndedAttempt, EndpointConnections};
use crate::net::{AttemptError, Cause, Key, Progress};
use meadowrill_routing::interface::{EndpointIndex, Fill, Micros};
use slog::{debug, Level};
use std::collections::BTreeSet;

/// Connections to endpoints, and the attempts on them.
pub(super) struct Upstream {
    pub(super) connections: EndpointConnections,
    /// Connections that are not read until the buffers have room again. Their responses stay in the kernel.
    pub(super) paused_reads: BTreeSet<Key>,
    /// Serial number of the most recent attempt.
    last_serial: u64,
    /// Reusable buffers: ended attempts, attempts whose connection has been established, and the bytes of a request.
    pub(super) ended: Vec<EndedAttempt>,
    pub(super) connected: Vec<AttemptRef>,
    request_bytes: Vec<u8>,
}

impl Upstream {
    pub(super) fn new(connections: EndpointConnections) -> Upstream {
        Upstream {
            connections,
            paused_reads: BTreeSet::new(),
            last_serial: 0,
            ended: Vec::new(),
            connected: Vec::new(),
            request_bytes: Vec::new(),
        }
    }
}

impl Proxy {
    /// Starts the next attempt of a request. An attempt that cannot be sent ends immediately as not started.
    pub(super) fn start_attempt(
        &mut self,
        id: u32,
        endpoint: EndpointIndex,
        timeout: Micros,
        fill: Option<Fill>,
        now: Micros,
    ) {
        let shares_state = self.fleet.shares_state();
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if shares_state {
            let source = fill.map_or(endpoint, |fill| fill.source);
            request.sources.push(source);
        }
        let upstream = &mut self.upstream;
        upstream.last_serial += 1;
        let attempt = AttemptRef {
            request: id,
            attempt: request.attempts.len() as u8,
            started_at: now,
            serial: upstream.last_serial,
        };
        let remaining = request.deadline - now;
        let timeout = if timeout == 0 {
            remaining
        } else {
            timeout.min(remaining)
        };
        let can_start = request.awaits_response && timeout > 0;
        let address = self.endpoints.address(endpoint).filter(|_| can_start);
        let Some(address) = address else {
            request.attempts.push(None);
            let error = AttemptError {
                progress: Progress::NotStarted,
                cause: Cause::TimedOut,
            };
            return upstream
                .connections
                .fail_unstarted(attempt, endpoint, error);
        };
        let parent = fill.filter(|fill| fill.source != endpoint);
        let parent = parent.map(|fill| self.endpoints.id(fill.source));
        upstream.request_bytes.clear();
        upstream_request(request, &address.host, parent, fill, timeout)
            .write(&mut upstream.request_bytes);
        let connection = upstream.connections.start_attempt(
            endpoint,
            address.socket,
            &upstream.request_bytes,
            attempt,
            &mut self.poll,
        );
        let handle = connection.map(|connection| AttemptHandle {
            connection,
            serial: attempt.serial,
        });
        request.attempts.push(handle);
        if let Some(handle) = handle {
            self.set_attempt_deadlines(handle, timeout, now);
            self.log_written(id, handle);
        }
    }

    /// Writes an attempt whose connection has been established.
    pub(super) fn write_attempt(&mut self, id: u32, attempt: u8) {
        let Some(handle) = self.requests.attempt(id, attempt) else {
            return;
        };
        self.upstream
            .connections
            .write_attempt(handle.connection, handle.serial, &self.poll);
        self.log_written(id, handle);
    }

    /// Logs that an attempt was written, unless it still waits for its connection or has failed.
    fn log_written(&self, id: u32, attempt: AttemptHandle) {
        // There is one line for each attempt, so nothing is formatted unless the log level shows it.
        if !self.config.log_level.shows(Level::Debug) {
            return;
        }
        let connections = &self.upstream.connections;
        if connections.is_unwritten(attempt.connection, attempt.serial) {
            return;
        }
        if let Some(request) = self.requests.get(id) {
            debug!(self.log, "attempt written"; "written_at_us" => self.clock.now(),
                "request" => request.message.request_id.as_str());
        }
    }

    fn set_attempt_deadlines(&mut self, attempt: AttemptHandle, timeout: Micros, now: Micros) {
        self.timers
            .set(now + timeout, Timer::AttemptTimeout(attempt));
        let connections = &self.upstream.connections;
        if connections.is_connecting(attempt.connection, attempt.serial) {
            let at = now + self.config.connect_timeout;
            self.timers.set(at, Timer::ConnectTimeout(attempt));
        }
    }

    /// Ends an attempt, if it is still in flight.
    pub(super) fn fail_attempt(&mut self, attempt: AttemptHandle, cause: Cause) {
        let (connection, serial) = (attempt.connection, attempt.serial);
        self.upstream
            .connections
            .fail_attempt(connection, serial, cause, &self.poll);
    }

    /// Fails an attempt whose time has ended. One that still waits for its connection shows nothing about the endpoint,
    /// because its connect timeout has not passed.
    pub(super) fn handle_attempt_timeout(&mut self, attempt: AttemptHandle) {
        let connections = &self.upstream.connections;
        let cause = if connections.is_unwritten(attempt.connection, attempt.serial) {
            Cause::Expired
        } else {
            Cause::TimedOut
        };
        self.fail_attempt(attempt, cause);
    }

    /// Fails an attempt whose connection has not been established within the connect timeout.
    pub(super) fn handle_connect_timeout(&mut self, attempt: AttemptHandle) {
        let connections = &self.upstream.connections;
        if connections.is_connecting(attempt.connection, attempt.serial) {
            self.fail_attempt(attempt, Cause::TimedOut);
        }
    }
}

/// The request to send to an endpoint. `parent` is the id of the source if the source is another endpoint.
fn upstream_request<'a>(
    request: &'a ProxiedRequest,
    host: &'a str,
    parent: Option<&'a str>,
    fill: Option<Fill>,
    timeout: Micros,
) -> http::Request<'a> {
    let message = &request.message;
    // Rounded down, because the limit excludes copies from before a purge. Not below 1 ms, because 0 means no limit.
    let max_age_ms = fill
        .filter(|fill| fill.max_age > 0)
        .map_or(0, |fill| (fill.max_age / 1000).max(1));
    http::Request {
        host,
        class: &message.class,
        object_id: &message.object_id,
        part: message.part,
        request_id: &message.request_id,
        timeout_ms: (timeout / 1000).max(1),
        idempotency_key: message.idempotency_key.as_deref(),
        source: parent,
        retention: fill.map_or(0, |fill| fill.retention),
        max_age_ms,
        join_fill: fill.is_some_and(|fill| fill.join),
        cached_only: fill.is_some_and(|fill| fill.cached_only),
        revalidate: fill.is_some_and(|fill| fill.revalidate),
        known_version: message.known_version.as_deref(),
        body: &message.body,
    }
}
