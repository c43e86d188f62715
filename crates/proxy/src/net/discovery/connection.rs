//! One connection to the discovery service: its progress, and the timeouts that depend on it.

use super::{codec, MAX_LINE_BYTES};
use crate::net::buffered_stream::BufferLimits;
use crate::net::{BufferedStream, Key, Poll};
use meadowrill_routing::interface::Micros;
use std::io;
use std::net::SocketAddr;

const LIMITS: BufferLimits = BufferLimits {
    inbound: MAX_LINE_BYTES,
    outbound: 64,
};
/// An established connection without a line for this long is overdue: by then two lines should have arrived.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// A connection that is not established within this time is overdue.
const CONNECT_TIMEOUT: Micros = 600_000;
/// How long a connection may wait for its first line.
const FIRST_LINE_TIMEOUT: Micros = 60_000_000;

/// A connection that asks for the events after a position.
pub(super) struct Connection {
    pub(super) key: Key,
    pub(super) stream: BufferedStream,
    opened_at: Micros,
    connected: bool,
    /// Whether a line was received.
    pub(super) delivers: bool,
    /// When the connection was opened or established, or delivered its last line.
    pub(super) progress_at: Micros,
}

impl Connection {
    /// Starts to connect. The events after `last_position` are requested once the connection is established.
    pub(super) fn open(
        address: SocketAddr,
        last_position: u64,
        now: Micros,
        poll: &mut Poll,
    ) -> io::Result<Connection> {
        let key = Key::Discovery(poll.next_number());
        let mut stream = poll.connect(address, key, LIMITS)?;
        let request = codec::poll_request(last_position);
        let queued = stream.outbound.append(request.as_bytes());
        debug_assert!(queued.is_ok());
        Ok(Connection {
            key,
            stream,
            opened_at: now,
            connected: false,
            delivers: false,
            progress_at: now,
        })
    }

    /// Records whether the connection is established, and returns it.
    pub(super) fn establish(&mut self, now: Micros) -> io::Result<bool> {
        if !self.connected && self.stream.is_connected()? {
            self.connected = true;
            self.progress_at = now;
        }
        Ok(self.connected)
    }

    /// Whether its next progress is overdue, so that another connection should be tried.
    pub(super) fn is_overdue(&self, now: Micros) -> bool {
        let timeout = if self.connected {
            SILENCE_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        };
        now >= self.progress_at + timeout
    }

    /// Whether nothing more is expected. A connection that delivered lines is expected to deliver one each second; one
    /// that waits for its first line is not given up when it is overdue, because the service may be slow to answer.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        if self.delivers {
            self.is_overdue(now)
        } else {
            now >= self.opened_at + FIRST_LINE_TIMEOUT
        }
    }

    pub(super) fn close(self, poll: &Poll) {
        self.stream.close(poll);
    }
}
