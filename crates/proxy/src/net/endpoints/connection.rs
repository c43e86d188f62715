//! One connection to an endpoint. Once it is established, it writes the request and reads the response of each attempt,
//! and is idle in between.
//!
//! On a new connection the request is not written when the connection is established, but once the router has allowed
//! it again (`may_write`). Until then nothing of the attempt has run.

use super::AttemptRef;
use crate::http::{self, ResponseError};
use crate::net::{BufferedStream, Cause, Progress};
use meadowrill_routing::interface::{EndpointIndex, Micros};
use std::io;
use std::net::SocketAddr;

/// A complete response that has not been released.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreleasedResponse {
    /// Length of head and body in bytes.
    pub(super) length: usize,
    /// Whether another attempt may follow on the connection.
    pub(super) reusable: bool,
}

pub(super) struct EndpointConnection {
    pub(super) stream: BufferedStream,
    pub(super) endpoint: EndpointIndex,
    pub(super) address: SocketAddr,
    pub(super) connected: bool,
    /// The request may be written: the router has just decided, or has decided again after the connection was
    /// established.
    pub(super) may_write: bool,
    pub(super) attempt: Option<AttemptRef>,
    /// The head of the response, once it is complete.
    response: Option<http::Response>,
    pub(super) interim_responses: u32,
    pub(super) unreleased: Option<UnreleasedResponse>,
    pub(super) idle_since: Micros,
}

impl EndpointConnection {
    pub(super) fn new(
        stream: BufferedStream,
        endpoint: EndpointIndex,
        address: SocketAddr,
    ) -> EndpointConnection {
        EndpointConnection {
            stream,
            endpoint,
            address,
            connected: false,
            may_write: false,
            attempt: None,
            response: None,
            interim_responses: 0,
            unreleased: None,
            idle_since: 0,
        }
    }

    /// Queues the request of an attempt, and writes it if the connection is established.
    pub(super) fn begin(&mut self, attempt: AttemptRef, request: &[u8]) -> io::Result<()> {
        self.attempt = Some(attempt);
        self.may_write = self.connected;
        self.stream
            .outbound
            .append(request)
            .map_err(|_| io::Error::from(io::ErrorKind::OutOfMemory))?;
        if self.connected {
            self.stream.flush()?;
        }
        Ok(())
    }

    /// How far the current attempt has progressed.
    pub(super) fn progress(&self) -> Progress {
        if !self.connected || !self.may_write {
            Progress::Connecting
        } else if !self.stream.outbound.is_empty() {
            Progress::PartlyWritten
        } else if self.stream.inbound.is_empty() {
            Progress::Written
        } else {
            Progress::ResponseStarted
        }
    }

    /// Whether another attempt may follow: the endpoint keeps the connection open, no bytes follow the response, and
    /// the request was written completely.
    pub(super) fn is_reusable_after(&self, response: &http::Response) -> bool {
        !response.closes
            && self.stream.inbound.len() == response.length()
            && self.stream.outbound.is_empty()
    }

    /// Writes and reads as much as possible. Returns the response once it is complete.
    pub(super) fn exchange(&mut self, may_read: bool) -> Result<Option<http::Response>, Cause> {
        if !self.connected {
            self.connected = self.stream.is_connected().map_err(Cause::Io)?;
            if !self.connected {
                return Ok(None);
            }
        }
        // An endpoint may respond and close the connection before it has read the complete request. Its response is
        // used even if the write fails.
        let flushed = if self.may_write {
            self.stream.flush()
        } else {
            Ok(())
        };
        if !may_read {
            return flushed.map(|()| None).map_err(Cause::Io);
        }
        if self.unreleased.is_some() {
            return Ok(None);
        }
        let end = self.read_response();
        if self.attempt.is_none() {
            // No request is open, so any input or the end of the stream means that the connection cannot be reused.
            let has_no_input = self.stream.inbound.is_empty() && end.is_none();
            return if has_no_input {
                Ok(None)
            } else {
                Err(Cause::ClosedByEndpoint)
            };
        }
        match self.parse(end.is_some()) {
            Ok(false) => flushed.map(|()| None).map_err(Cause::Io),
            Ok(true) => Ok(self.response.take().map(|mut response| {
                response.closes |= end.is_some();
                response
            })),
            Err(Cause::ClosedByEndpoint) => Err(end
                .and_then(Result::err)
                .map_or(Cause::ClosedByEndpoint, Cause::Io)),
            Err(cause) => Err(cause),
        }
    }

    /// Reads until the response is complete or there is no more input. Returns how the endpoint's stream has ended, if
    /// it has.
    fn read_response(&mut self) -> Option<io::Result<()>> {
        // The length of the response is unknown until its head is complete.
        while self.stream.readable && self.stream.inbound.remaining() > 0 {
            match self.stream.fill_once() {
                Ok(false) => {}
                Ok(true) => return Some(Ok(())),
                Err(e) => return Some(Err(e)),
            }
            if self.attempt.is_none() || !matches!(self.parse(false), Ok(false)) {
                break;
            }
        }
        None
    }

    /// Parses the input read so far. Returns true once the response is complete.
    fn parse(&mut self, ended: bool) -> Result<bool, Cause> {
        while self.response.is_none() {
            let bytes = self.stream.inbound.bytes();
            let Some(head) = http::parse_response(bytes).map_err(Cause::Response)? else {
                break;
            };
            if !head.is_interim() {
                self.response = Some(head);
                break;
            }
            // Each interim response is short, but without a limit their number would be unbounded.
            self.interim_responses += 1;
            if self.interim_responses > http::MAX_INTERIM {
                return Err(Cause::Response(ResponseError::TooManyInterim));
            }
            self.stream.inbound.consume(head.head_length);
        }
        let missing = self
            .response
            .as_ref()
            .map(|response| response.length().saturating_sub(self.stream.inbound.len()));
        self.stream.expect_bytes(missing.unwrap_or(0));
        let complete = missing == Some(0);
        if ended && !complete {
            return Err(Cause::ClosedByEndpoint);
        }
        Ok(complete)
    }
}
