//! The connection to the discovery service: the endpoint list and invalidations.
//!
//! The service numbers its events without gaps and sends a line each second. Invariants: an event is delivered at most
//! once and in order. An event that is missing or unreadable is requested again, and is skipped after [`MAX_REPOLLS`]
//! requests without success. The receiver of the events is notified of skipped events ([`Notice::Missed`]) before the
//! events that follow them. Events that the service may have held back since its last line count as lag until a line
//! reports that there are no more events. An outage is reported once, however often the connection is retried.
//!
//! A service may take longer to answer than any timeout here. A connection that has not delivered a line is therefore
//! kept while others are opened beside it ([`MAX_CONNECTIONS`]); the first that delivers a line is used, and the others
//! are closed.

pub(super) mod codec;
mod connection;
mod error;
mod missed_events;

pub(crate) use self::codec::{EndpointRecord, Update};
pub(crate) use self::error::{log_event, ConnectionEvent, Loss};
pub(crate) use self::missed_events::MissedEvents;

use self::codec::{parse_line, Line};
use self::connection::Connection;
use self::error::LineError;
use super::{Key, Poll};
use calloop::Readiness;
use meadowrill_routing::interface::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// The longest line: a list of some thousands of endpoints.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of connections that wait for their first line.
const MAX_CONNECTIONS: usize = 4;
/// Minimum time between two connection attempts.
const RECONNECT_INTERVAL: Micros = 250_000;
/// How often a missing event is requested again before it is skipped.
const MAX_REPOLLS: u32 = 3;
/// A time that is earlier than any other.
const DISTANT_PAST: Micros = Micros::MIN / 2;

/// A result of a step with the discovery service. The notices of a step are in order.
#[derive(Debug)]
pub(crate) enum Notice {
    /// A change to be applied.
    Update(Update),
    /// Events that will not be received any more.
    Missed(MissedEvents),
    /// A change of the connection or an unreadable line, to be logged.
    Event(ConnectionEvent),
}

/// Parses an event that the configuration lists, from before the start. Returns no notice for an event without a
/// change.
pub(crate) fn parse_configured_event(value: &Value) -> Vec<Notice> {
    match codec::parse_entry(value) {
        Ok(line) => line.update.map(Notice::Update).into_iter().collect(),
        Err(error) => vec![
            Notice::Event(ConnectionEvent::UnreadableLine(error)),
            Notice::Missed(MissedEvents::UnreadableEntry),
        ],
    }
}

pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    /// The connections in the order in which they were opened: either one that delivers lines, or those that wait for
    /// their first line.
    connections: Vec<Connection>,
    /// Position of the last event that was delivered.
    last_position: u64,
    /// How often in a row the event after it was missing.
    repolls: u32,
    /// The lowest position below `last_position` that the service has reported, until it reaches `last_position` again.
    regressed_to: Option<u64>,
    /// When the last line was received; before the first line, when the first connection was opened.
    received_at: Option<Micros>,
    connect_started_at: Micros,
    /// Whether an outage was reported and has not ended.
    unreachable: bool,
    /// Since when events may be outstanding.
    lag_since: Option<Micros>,
}

impl DiscoveryClient {
    /// Creates a client that has received all events up to `last_position`.
    pub(crate) fn new(address: SocketAddr, last_position: u64) -> DiscoveryClient {
        DiscoveryClient {
            address,
            connections: Vec::new(),
            last_position,
            repolls: 0,
            regressed_to: None,
            received_at: None,
            connect_started_at: DISTANT_PAST,
            unreachable: false,
            lag_since: None,
        }
    }

    /// Creates a client that lags from the start, until the service reports that there are no more events.
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

    /// Reconnects at another address and continues after the last event received.
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
            self.connect_started_at = DISTANT_PAST;
            self.maintain(now, poll, notices);
        }
    }

    /// Since when events may be outstanding; none without a lag.
    pub(crate) fn lag_since(&self) -> Option<Micros> {
        self.lag_since
    }

    /// Drops connections that have fallen silent, and opens a connection if there is none or if the last one is overdue.
    /// Must be called regularly.
    pub(crate) fn maintain(&mut self, now: Micros, poll: &mut Poll, notices: &mut Vec<Notice>) {
        while let Some(at) = self.connections.iter().position(|c| c.has_expired(now)) {
            self.connections.remove(at).close(poll);
            self.report_outage(Loss::Silent, notices);
        }
        let is_overdue = self.connections.last().map(|c| c.is_overdue(now));
        if is_overdue == Some(true) {
            self.report_outage(Loss::Silent, notices);
        }
        if is_overdue != Some(false) && now >= self.connect_started_at + RECONNECT_INTERVAL {
            self.connect(now, poll, notices);
        }
    }

    /// Opens a connection. If there are too many, it replaces the last one: the longer a connection has waited, the
    /// sooner a slow service answers it.
    fn connect(&mut self, now: Micros, poll: &mut Poll, notices: &mut Vec<Notice>) {
        self.connect_started_at = now;
        self.received_at.get_or_insert(now);
        if self.connections.len() >= MAX_CONNECTIONS {
            let last = self.connections.pop();
            last.into_iter().for_each(|c| c.close(poll));
        }
        match Connection::open(self.address, self.last_position, now, poll) {
            Ok(connection) => self.connections.push(connection),
            Err(e) => self.report_outage(Loss::Io(e), notices),
        }
    }

    /// Drops all connections, and reports the outage unless it was reported before.
    pub(crate) fn disconnect(&mut self, loss: Loss, poll: &Poll, notices: &mut Vec<Notice>) {
        self.connections.drain(..).for_each(|c| c.close(poll));
        self.report_outage(loss, notices);
    }

    /// Starts the lag, and reports the outage unless it was reported before.
    fn report_outage(&mut self, loss: Loss, notices: &mut Vec<Notice>) {
        // The lag starts at the last line and not when the loss is noticed, because a silent service may have held back
        // all events since its last line.
        self.lag_since = self.lag_since.or(self.received_at);
        if !std::mem::replace(&mut self.unreachable, true) {
            notices.push(Notice::Event(ConnectionEvent::Lost(loss)));
        }
    }

    /// Handles a connection that became readable or writable.
    pub(crate) fn handle_ready(
        &mut self,
        key: Key,
        ready: Readiness,
        now: Micros,
        poll: &mut Poll,
        notices: &mut Vec<Notice>,
    ) {
        let Some(at) = self.connections.iter().position(|c| c.key == key) else {
            return;
        };
        let mut connection = self.connections.remove(at);
        connection.stream.set_ready(ready);
        let received = self.receive(&mut connection, now, notices);
        let delivers = connection.delivers;
        if delivers {
            self.connections.drain(..).for_each(|c| c.close(poll));
        }
        match received {
            Err(loss) => {
                connection.close(poll);
                self.report_outage(loss, notices);
                self.maintain(now, poll, notices);
            }
            Ok(()) => {
                let at = at.min(self.connections.len());
                self.connections.insert(at, connection);
                if delivers && std::mem::replace(&mut self.unreachable, false) {
                    notices.push(Notice::Event(ConnectionEvent::Restored));
                }
            }
        }
    }

    fn receive(
        &mut self,
        connection: &mut Connection,
        now: Micros,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        if !connection.establish(now)? {
            return Ok(());
        }
        connection.stream.flush()?;
        loop {
            let ended = connection.stream.fill()?;
            self.handle_lines(connection, now, notices)?;
            if ended {
                return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
            }
            if connection.stream.inbound.remaining() == 0 {
                return Err(Loss::LineTooLong);
            }
            if !connection.stream.readable {
                return Ok(());
            }
        }
    }

    fn handle_lines(
        &mut self,
        connection: &mut Connection,
        now: Micros,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        let stream = &mut connection.stream;
        while let Some(end) = stream.inbound.bytes().iter().position(|b| *b == b'\n') {
            let text = &stream.inbound.bytes()[..end];
            let line = (!text.trim_ascii().is_empty()).then(|| parse_line(text));
            stream.inbound.consume(end + 1);
            if let Some(line) = line {
                self.handle_line(line, notices)?;
            }
            self.received_at = Some(now);
            connection.delivers = true;
            connection.progress_at = now;
        }
        Ok(())
    }

    /// Handles one line. A position that is not the next one shows that an event was missed or could not be read. It is
    /// requested again, because skipping it may lose an invalidation permanently. An event that stays missing or
    /// unreadable is finally skipped, so that the events after it are received at all, and the skip is reported.
    fn handle_line(
        &mut self,
        line: Result<Line, LineError>,
        notices: &mut Vec<Notice>,
    ) -> Result<(), Loss> {
        let Line { position, update } = match line {
            Ok(line) => line,
            Err(error) => {
                notices.push(Notice::Event(ConnectionEvent::UnreadableLine(error)));
                return Ok(());
            }
        };
        let next = self.last_position + u64::from(update.is_some());
        let has_gap = position.is_some_and(|position| position > next);
        if has_gap && self.repolls < MAX_REPOLLS {
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
        // An event that was received before is ignored, because it could restore an older endpoint list.
        if position.is_none_or(|position| position > self.last_position) {
            if has_gap {
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

    /// Checks whether the service may have renumbered its events. A service that reports no more events at a position
    /// below the last one received either holds events back or has renumbered them. Once it reaches the last position
    /// again, other events may have had the positions in between.
    fn check_renumbered(&mut self, position: u64, is_event: bool, notices: &mut Vec<Notice>) {
        if position >= self.last_position {
            let until = self.last_position;
            let renumbered = self.regressed_to.take();
            notices.extend(
                renumbered.map(|from| Notice::Missed(MissedEvents::Renumbered { from, until })),
            );
        } else if !is_event {
            self.lag_since = self.lag_since.or(self.received_at);
            let lowest = self.regressed_to.unwrap_or(position).min(position);
            self.regressed_to = Some(lowest);
        }
    }
}

#[cfg(test)]
mod tests;
