//! Closing of client connections: gracefully where possible, and immediately if they are broken or stalled.
//!
//! [`Clients::finish_step`] starts each graceful close: no more frames are handled, all output is written, the sending
//! direction is shut down, and further input is discarded until the peer closes its side or [`DRAIN_TIMEOUT`] has
//! passed. [`Clients::disconnect`] closes connections that are broken, stalled, or have finished draining.

use super::connection::EvictionOrder;
use super::{ClientEvent, Clients};
use crate::net::Poll;
use calloop::Readiness;
use meadowrill_routing::interface::Micros;
use std::io;

/// How long a client may take to send its first frame, or to complete a frame that it has begun.
const INCOMPLETE_TIMEOUT: Micros = 2_000_000;
/// How long a connection without open requests is kept. Clients normally close their connections earlier, but some
/// never do.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// How long input is read and discarded after the sending direction was shut down, unless the peer closes its side
/// earlier. Closing a socket with unread input resets the connection, and the peer may lose responses sent before.
pub(crate) const DRAIN_TIMEOUT: Micros = 1_000_000;

/// The readiness that the poll reports when input has arrived.
const READABLE: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

impl Clients {
    /// Whether another connection may be accepted. At the limit the first connection in [`EvictionOrder`] is closed, so
    /// that clients that send nothing, or that keep a connection after a single request, do not block all others.
    pub(crate) fn evict_if_full(&mut self, now: Micros, poll: &mut Poll) -> bool {
        while self.connections.len() - self.draining.len() >= self.max_connections {
            let closable = self.connections.iter().filter_map(|(number, client)| {
                client.eviction_order(now).map(|order| (order, *number))
            });
            let Some((_, number)): Option<(EvictionOrder, u64)> = closable.min() else {
                return false;
            };
            self.close_idle(number, now, poll);
        }
        // The first of the draining connections has been draining for longest.
        while self.connections.len() >= self.max_connections + self.max_draining {
            let Some((_, first)) = self.draining.first().copied() else {
                return false;
            };
            self.disconnect(first, poll);
        }
        true
    }

    /// Closes a connection without open requests, unless unread input has arrived on it.
    fn close_idle(&mut self, number: u64, now: Micros, poll: &mut Poll) {
        let Some(client) = self.connections.get(&number) else {
            return;
        };
        let before = (client.used_at, client.stream.inbound.len());
        // Input that has arrived by now counts, and so does the end of the peer's side, even if the poll has not
        // reported it.
        self.handle_ready(number, READABLE, now, poll);
        let Some(client) = self
            .connections
            .get_mut(&number)
            .filter(|client| client.draining_until.is_none())
        else {
            return;
        };
        if !client.is_idle() || (client.used_at, client.stream.inbound.len()) != before {
            client.used_at = now;
            client.incomplete_since = client.incomplete_since.map(|_| now);
            return;
        }
        client.discards_input = true;
        let result = client.queue_going_away();
        self.finish_step(number, result, now, poll);
    }

    /// Must be called after each step with a connection. Flushes the output, starts the graceful close once input is
    /// discarded and nothing is open or queued, and records whether the connection is stalled.
    pub(super) fn finish_step(
        &mut self,
        number: u64,
        result: io::Result<()>,
        now: Micros,
        poll: &Poll,
    ) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if result.and_then(|()| client.flush()).is_err() {
            return self.disconnect(number, poll);
        }
        if client.stream.outbound.is_empty() && std::mem::take(&mut client.awaits_output) {
            self.unread.insert(number);
        }
        if (client.discards_input || self.closing) && client.is_idle() {
            return self.drain(number, now, poll);
        }
        client.stalled = match client.stalled {
            _ if client.stream.outbound.is_empty() => None,
            None => Some((now, client.stream.written)),
            stalled => stalled,
        };
    }

    /// Shuts down the sending direction, and closes the connection once the peer has closed its side.
    fn drain(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if client.draining_until.is_none() {
            client.discards_input = true;
            client.incomplete_since = None;
            client.stream.inbound.clear();
            client.stream.shut_down_output();
            client.draining_until = Some(now + DRAIN_TIMEOUT);
            self.draining.insert((now + DRAIN_TIMEOUT, number));
        }
        if client.input_ended {
            self.disconnect(number, poll);
        }
    }

    /// Closes a connection immediately and cancels its open requests.
    pub(crate) fn disconnect(&mut self, number: u64, poll: &Poll) {
        let Some(client) = self.connections.remove(&number) else {
            return;
        };
        if let Some(until) = client.draining_until {
            self.draining.remove(&(until, number));
        }
        let open = client.open_requests.iter();
        self.events
            .extend(open.map(|(_, id)| ClientEvent::Cancelled { id: *id }));
        client.stream.close(poll);
    }

    /// Closes connections whose timeout has passed: those that are draining, stalled, within a frame, or idle. Must be
    /// called regularly.
    pub(crate) fn close_stale(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            self.close_if_stale(number, now, poll);
        }
        self.reclaim_input_memory(now, poll);
    }

    fn close_if_stale(&mut self, number: u64, now: Micros, poll: &mut Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        let has_passed = |since: Micros, timeout: Micros| since + timeout <= now;
        let stalled = client.stalled;
        if client.draining_until.is_some_and(|until| until <= now) {
            self.disconnect(number, poll);
        } else if let Some((_, before)) = stalled.filter(|s| has_passed(s.0, self.stall_timeout)) {
            // A client that reads this slowly no longer benefits from its responses, and other clients need the memory.
            let written = client.stream.written;
            client.stalled = Some((now, written));
            if before == written {
                self.disconnect(number, poll);
            }
        } else if client.discards_input {
            // No more requests are read from it, and its open requests still get their responses.
        } else if client
            .incomplete_since
            .is_some_and(|since| has_passed(since, INCOMPLETE_TIMEOUT))
        {
            self.stop_incomplete(number, now, poll);
        } else if client.is_idle() && has_passed(client.used_at, IDLE_TIMEOUT) {
            self.close_idle(number, now, poll);
        }
    }

    /// Begins the shutdown: handles the input received so far, rejects new requests, and closes connections without
    /// open requests. Each of the others is closed after its last response.
    pub(crate) fn shut_down(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for &number in &numbers {
            // A request that was sent before the going-away notice gets its response, even if the poll has not reported
            // it yet.
            self.handle_ready(number, READABLE, now, poll);
        }
        self.closing = true;
        for number in numbers {
            let Some(client) = self.connections.get_mut(&number) else {
                continue;
            };
            let result = if client.discards_input {
                Ok(())
            } else {
                client.queue_going_away()
            };
            self.finish_step(number, result, now, poll);
        }
    }
}
