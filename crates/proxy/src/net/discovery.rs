//! The connection to the discovery service: the endpoint list and invalidations.
//!
//! The service numbers its events without gaps and sends a line each second. Invariants: an event is passed on at most
//! once and in order; an event that is missing or unreadable is polled for again, and passed over once it was polled for
//! [`MAX_REPOLLS`] times in vain; whoever has the events is told of each that is passed over ([`Notice::Missed`]), before
//! those behind it; whatever the service may have held back since its last line counts as lag until a line says that
//! there is nothing more. An outage is reported once, however often the connection is tried.

pub(super) mod codec;
mod error;
mod missed_events;

pub(crate) use self::codec::{EndpointRecord, Update};
pub(crate) use self::error::{log_event, ContactEvent, Loss};
pub(crate) use self::missed_events::MissedEvents;

use self::codec::{parse_line, Line};
use self::error::LineError;
use super::buffered_stream::BufferLimits;
use super::{BufferedStream, Key, Poll};
use calloop::Readiness;
use meadowrill_routing::interface::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// The longest line, in bytes: a list of some thousands of endpoints.
const MAX_LINE: usize = 1 << 20;
const LIMITS: BufferLimits = BufferLimits {
    inbound: MAX_LINE,
    outbound: 64,
};
/// Without a line for so long the connection counts as lost: the service misses two.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Micros = 600_000;
/// Between two attempts to connect.
const RECONNECT_INTERVAL: Micros = 250_000;
/// How often an event that is missing is polled for again before it is passed over.
const MAX_REPOLLS: u32 = 3;
/// A moment before any other.
const LONG_AGO: Micros = Micros::MIN / 2;

/// What one step with the service brought, in order.
#[derive(Debug)]
pub(crate) enum Notice {
    /// A change to be put in force.
    Update(Update),
    /// Events will not come any more.
    Missed(MissedEvents),
    /// For the log.
    Event(ContactEvent),
}

/// What an event that the configuration brings from before the start says; nothing for one without a change.
pub(crate) fn known_entry(value: &Value) -> Vec<Notice> {
    match codec::parse_entry(value) {
        Ok(line) => line.update.map(Notice::Update).into_iter().collect(),
        Err(error) => vec![
            Notice::Event(ContactEvent::UnreadableLine(error)),
            Notice::Missed(MissedEvents::UnreadableEntry),
        ],
    }
}

pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<(Key, BufferedStream)>,
    /// Number of the last event that was passed on.
    last_position: u64,
    /// How often in a row the event behind it was missing.
    repolls: u32,
    /// The lowest number that the service stood at behind `last_position`, until it has come to that again.
    went_back_to: Option<u64>,
    /// The connection is up.
    connected: bool,
    received_at: Micros,
    connecting_at: Micros,
    /// An outage was reported and has not ended.
    unreachable: bool,
    /// Since when not all may have been received.
    lag_since: Option<Micros>,
}

impl DiscoveryClient {
    /// A client that has all events up to `last_position`.
    pub(crate) fn new(address: SocketAddr, last_position: u64) -> DiscoveryClient {
        DiscoveryClient {
            address,
            connection: None,
            last_position,
            repolls: 0,
            went_back_to: None,
            connected: false,
            received_at: 0,
            connecting_at: LONG_AGO,
            unreachable: false,
            lag_since: None,
        }
    }

    /// A client that lags from the start on, until the service has said that there is nothing more.
    pub(crate) fn new_lagging(
        address: SocketAddr,
        last_position: u64,
        since: Micros,
    ) -> DiscoveryClient {
        DiscoveryClient {
            lag_since: Some(since),
            ..DiscoveryClient::new(address, last_position)
        }
    }

    /// Goes on at another address, behind the last event received.
    pub(crate) fn change_address(
        &mut self,
        address: SocketAddr,
        now: Micros,
        poll: &mut Poll,
        notices: &mut Vec<Notice>,
    ) {
        if address != self.address {
            self.address = address;
            self.disconnect(Loss::AddressChanged, poll, notices);
            self.connecting_at = LONG_AGO;
            self.maintain(now, poll, notices);
        }
    }

    /// Since when not all events may have been received, if so.
    pub(crate) fn lag_since(&self) -> Option<Micros> {
        self.lag_since
    }

    /// Connects where there is no connection, and drops one that is silent. To be called regularly.
    pub(crate) fn maintain(&mut self, now: Micros, poll: &mut Poll, notices: &mut Vec<Notice>) {
        let timeout = if self.connected {
            SILENCE_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        };
        if self.connection.is_some() && now >= self.received_at + timeout {
            self.disconnect(Loss::Silent, poll, notices);
        }
        if self.connection.is_none() && now >= self.connecting_at + RECONNECT_INTERVAL {
            self.connect(now, poll, notices);
        }
    }

    fn connect(&mut self, now: Micros, poll: &mut Poll, notices: &mut Vec<Notice>) {
        self.connecting_at = now;
        self.received_at = now;
        self.connected = false;
        let key = Key::Discovery(poll.next_number());
        match poll.connect(self.address, key, LIMITS) {
            Ok(mut stream) => {
                let request = codec::poll_request(self.last_position);
                let queued = stream.outbound.append(request.as_bytes());
                debug_assert!(queued.is_ok());
                self.connection = Some((key, stream));
            }
            Err(e) => self.disconnect(Loss::Io(e), poll, notices),
        }
    }

    /// Drops the connection, and reports an outage that was not reported yet.
    pub(crate) fn disconnect(&mut self, loss: Loss, poll: &Poll, notices: &mut Vec<Notice>) {
        if let Some((_, stream)) = self.connection.take() {
            stream.close(poll);
        }
        // Not from when it was noticed: a service that fell silent may have held back all since its last line.
        self.lag_since = self.lag_since.or(Some(self.received_at));
        if !std::mem::replace(&mut self.unreachable, true) {
            notices.push(Notice::Event(ContactEvent::Lost(loss)));
        }
    }

    /// The connection became readable or writable.
    pub(crate) fn handle_ready(
        &mut self,
        key: Key,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        notices: &mut Vec<Notice>,
    ) {
        let Some((_, mut stream)) = self.connection.take_if(|(k, _)| *k == key) else {
            return;
        };
        stream.set_ready(ready);
        let received = self.receive(&mut stream, now, notices);
        self.connection = Some((key, stream));
        match received {
            Err(loss) => {
                self.disconnect(loss, poll, notices);
                self.maintain(now, poll, notices);
            }
            Ok(()) if self.unreachable && self.received_at > self.connecting_at => {
                self.unreachable = false;
                notices.push(Notice::Event(ContactEvent::Restored));
            }
            Ok(()) => {}
        }
    }

    fn receive(
        &mut self,
        stream: &mut BufferedStream,
        now: Micros,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        if !stream.is_connected()? {
            return Ok(());
        }
        if !std::mem::replace(&mut self.connected, true) {
            self.received_at = now;
        }
        stream.flush()?;
        loop {
            let ended = stream.fill()?;
            self.handle_lines(stream, now, notices)?;
            if ended {
                return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
            }
            if stream.inbound.remaining() == 0 {
                return Err(Loss::LineTooLong);
            }
            if !stream.readable {
                return Ok(());
            }
        }
    }

    fn handle_lines(
        &mut self,
        stream: &mut BufferedStream,
        now: Micros,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        while let Some(end) = stream.inbound.bytes().iter().position(|b| *b == b'\n') {
            let text = &stream.inbound.bytes()[..end];
            let line = (!text.trim_ascii().is_empty()).then(|| parse_line(text));
            stream.inbound.consume(end + 1);
            if let Some(line) = line {
                self.handle_line(line, notices)?;
            }
            self.received_at = now;
        }
        Ok(())
    }

    /// A number that is not the next one shows that an event was missed or could not be read, and it is polled for again:
    /// to go on would lose an invalidation for good. What stays missing or unreadable is passed over in the end, so that
    /// the events behind it are received at all, and that is told.
    fn handle_line(
        &mut self,
        line: Result<Line, LineError>,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        let Line { position, update } = match line {
            Ok(line) => line,
            Err(error) => {
                notices.push(Notice::Event(ContactEvent::UnreadableLine(error)));
                return Ok(());
            }
        };
        let next = self.last_position + u64::from(update.is_some());
        let missed = position.is_some_and(|position| position > next);
        if missed && self.repolls < MAX_REPOLLS {
            self.repolls += 1;
            return Err(Loss::MissingEvent {
                after: self.last_position,
            });
        }
        if let Some(position) = position {
            self.check_renumbered(position, update.is_some(), notices);
        }
        if update.is_none() && position == Some(self.last_position) {
            self.lag_since = None;
        }
        // An event that was received before would put an older list back.
        if position.is_none_or(|position| position > self.last_position) {
            if missed {
                let after = self.last_position;
                let until =
                    position.map_or(after, |position| position - u64::from(update.is_some()));
                notices.push(Notice::Missed(MissedEvents::Skipped { after, until }));
            }
            self.last_position = position.unwrap_or(self.last_position);
            self.repolls = 0;
            notices.extend(update.map(Notice::Update));
        }
        Ok(())
    }

    /// A service that says that all is told, and stands behind what was received, holds its events back or gives its
    /// numbers anew. Once it has come to the last position again, other events may have had the numbers in between.
    fn check_renumbered(&mut self, position: u64, is_event: bool, notices: &mut Vec<Notice>) {
        if position >= self.last_position {
            let until = self.last_position;
            let renumbered = self.went_back_to.take();
            notices.extend(
                renumbered.map(|from| Notice::Missed(MissedEvents::Renumbered { from, until })),
            );
        } else if !is_event {
            self.lag_since = self.lag_since.or(Some(self.received_at));
            let lowest = self.went_back_to.unwrap_or(position).min(position);
            self.went_back_to = Some(lowest);
        }
    }
}

#[cfg(test)]
mod tests;
