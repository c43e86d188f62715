//! How client connections end: in good order where they can, and at once where they are broken or stalled.
//!
//! [`Clients::settle`] is the one way in good order: nothing more is read, all is written, our side is shut, and what
//! still comes is dropped up to the peer's end or [`DRAIN_TIMEOUT`]. [`Clients::disconnect`] is for what is broken,
//! stalled, or at the end of that way.

use super::connection::Use;
use super::{ClientEvent, Clients};
use crate::frame::FrameError;
use crate::net::Poll;
use calloop::Readiness;
use meadowrill_routing::interface::Micros;
use std::io;

/// How long a connection may be silent before its first complete frame, or within one.
const INCOMPLETE_TIMEOUT: Micros = 2_000_000;
/// How long a connection with nothing open is kept. Clients close theirs earlier; some never do.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// How long bytes behind the shutdown of our side are read and dropped, if the peer does not end its own before: a close
/// with unread bytes is a reset, in which the responses before it may be lost.
pub(crate) const DRAIN_TIMEOUT: Micros = 1_000_000;

/// As if the poll had reported that something has come.
const READABLE: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

impl Clients {
    /// Whether another connection may be accepted. At the ceiling the connection of least use is closed, so that clients
    /// that say nothing, or have sent one request and hold on, do not keep all others out.
    pub(crate) fn make_room(&mut self, now: Micros, poll: &mut Poll) -> bool {
        while self.connections.len() - self.draining.len() >= self.max_connections {
            let closable = self.connections.iter().filter_map(|(number, client)| {
                client.closable_use(now).map(|least| (least, *number))
            });
            let Some((_, number)): Option<(Use, u64)> = closable.min() else {
                return false;
            };
            self.close_idle(number, now, poll);
        }
        // Of those that drain the first has had the most time.
        while self.connections.len() >= self.max_connections + self.max_draining {
            let Some((_, first)) = self.draining.first().copied() else {
                return false;
            };
            self.disconnect(first, poll);
        }
        true
    }

    /// Closes a connection with nothing open, unless something has come on it that was not read yet.
    fn close_idle(&mut self, number: u64, now: Micros, poll: &mut Poll) {
        let Some(client) = self.connections.get(&number) else {
            return;
        };
        let before = (client.used_at, client.stream.inbound.len());
        // What has come by now counts, the peer's end too, even if the poll has not reported it yet.
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
        client.muted = true;
        let done = client.queue_going_away();
        self.settle(number, done, now, poll);
    }

    /// To be called after each step with a connection: ends it in good order once it is muted and all is written, and
    /// takes note of whether it is stalled.
    pub(super) fn settle(&mut self, number: u64, done: io::Result<()>, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if done.and_then(|()| client.stream.flush()).is_err() {
            return self.disconnect(number, poll);
        }
        if (client.muted || self.closing) && client.is_idle() {
            return self.drain(number, now, poll);
        }
        client.stalled = match client.stalled {
            _ if client.stream.outbound.is_empty() => None,
            None => Some((now, client.stream.written)),
            stalled => stalled,
        };
    }

    /// Shuts our side, and closes the connection once the peer has ended its own.
    fn drain(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if client.draining_until.is_none() {
            client.muted = true;
            client.incomplete_since = None;
            client.stream.inbound.clear();
            client.stream.shut_down_output();
            client.draining_until = Some(now + DRAIN_TIMEOUT);
            self.draining.insert((now + DRAIN_TIMEOUT, number));
        }
        if client.half_closed {
            self.disconnect(number, poll);
        }
    }

    /// Closes a connection at once; its open requests are cancelled.
    pub(crate) fn disconnect(&mut self, number: u64, poll: &Poll) {
        let Some(client) = self.connections.remove(&number) else {
            return;
        };
        if let Some(until) = client.draining_until {
            self.draining.remove(&(until, number));
        }
        let open = client.open.iter();
        self.events
            .extend(open.map(|(_, id)| ClientEvent::Cancelled { id: *id }));
        client.stream.close(poll);
    }

    /// Closes connections whose time is up: draining, stalled, within a frame, or idle. To be called regularly.
    pub(crate) fn close_stale(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            self.close_if_stale(number, now, poll);
        }
    }

    fn close_if_stale(&mut self, number: u64, now: Micros, poll: &mut Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        let is_over = |since: Micros, timeout: Micros| since + timeout <= now;
        let stalled = client.stalled;
        if client.draining_until.is_some_and(|until| until <= now) {
            self.disconnect(number, poll);
        } else if let Some((_, before)) = stalled.filter(|s| is_over(s.0, self.stall_timeout)) {
            // A client that reads so slowly has lost its responses, and others need the memory that they fill.
            let written = client.stream.written;
            client.stalled = Some((now, written));
            if before == written {
                self.disconnect(number, poll);
            }
        } else if client.muted {
            // Nothing is read from it any more, and its responses are on their way.
        } else if client
            .incomplete_since
            .is_some_and(|since| is_over(since, INCOMPLETE_TIMEOUT))
        {
            let error = FrameError::Incomplete;
            self.events.push(ClientEvent::BadFrame {
                client: number,
                error,
            });
            let done = client.stop_reading();
            self.settle(number, done, now, poll);
        } else if client.is_idle() && is_over(client.used_at, IDLE_TIMEOUT) {
            self.close_idle(number, now, poll);
        }
    }

    /// Begins the shutdown: handles what has come so far, takes nothing more, and ends connections with nothing open; the
    /// others end with their last response.
    pub(crate) fn shut_down(&mut self, now: Micros, poll: &mut Poll) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for &number in &numbers {
            // Sent before the notice that nothing more is taken: it gets its response, even if the poll has not reported
            // it yet.
            self.handle_ready(number, READABLE, now, poll);
        }
        self.closing = true;
        for number in numbers {
            let Some(client) = self.connections.get_mut(&number) else {
                continue;
            };
            let done = if client.muted {
                Ok(())
            } else {
                client.queue_going_away()
            };
            self.settle(number, done, now, poll);
        }
    }
}
