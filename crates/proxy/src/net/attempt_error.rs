//! Failed attempts: how far the attempt had progressed, why it failed, and whether the request may have run.
//!
//! Rule 2 is that no effect happens twice. A request is therefore known not to have run only if it was not written
//! completely.

use crate::http::ResponseError;
use meadowrill_routing::interface::AttemptOutcome;
use std::fmt;
use std::io;

/// How far an attempt had progressed when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// No connection could be opened, or the request had already ended.
    NotStarted,
    /// The connection was not established, or the request was not yet allowed to be written.
    Connecting,
    /// Part of the request was not written.
    PartlyWritten,
    /// The complete request was written; no part of a response was received.
    Written,
    /// Part of a response was received.
    ResponseStarted,
}

impl Progress {
    /// Whether the endpoint counts as having accepted the request: it accepted the connection, and the last byte of the
    /// request was written to it.
    pub(crate) fn is_accepted(self) -> bool {
        matches!(self, Progress::Written | Progress::ResponseStarted)
    }
}

/// Why an attempt failed.
#[derive(Debug)]
pub(crate) enum Cause {
    /// The connection failed or could not be opened.
    Io(io::Error),
    /// The endpoint closed the connection.
    ClosedByEndpoint,
    /// The attempt timed out.
    TimedOut,
    /// The time for the attempt ended before its connection was due: the request has too little time left.
    Expired,
    /// The router cancelled the attempt, or its client has disconnected.
    Cancelled,
    /// All file descriptors for endpoint connections are in use.
    NoDescriptor,
    /// The response is not usable.
    Response(ResponseError),
    /// This program panicked while handling the connection.
    Panicked,
}

/// Which party is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorSource {
    Client,
    Endpoint,
    Internal,
}

impl fmt::Display for ErrorSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ErrorSource::Client => "client",
            ErrorSource::Endpoint => "endpoint",
            ErrorSource::Internal => "internal",
        })
    }
}

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct AttemptError {
    pub progress: Progress,
    pub cause: Cause,
}

impl AttemptError {
    /// The outcome that is reported to the router.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        let cancelled = matches!(self.cause, Cause::Cancelled);
        match (self.progress, &self.cause) {
            (Progress::NotStarted, _) => AttemptOutcome::Superseded,
            (Progress::Connecting, Cause::Expired) => AttemptOutcome::Superseded,
            _ if cancelled && !self.progress.is_accepted() => AttemptOutcome::Superseded,
            _ if cancelled => AttemptOutcome::Cancelled,
            (Progress::Connecting | Progress::PartlyWritten, _) => AttemptOutcome::ConnectFailed,
            (_, Cause::TimedOut | Cause::Expired) => AttemptOutcome::TimedOut,
            (_, Cause::Response(_)) => AttemptOutcome::Error,
            _ => AttemptOutcome::ConnectionReset,
        }
    }

    /// Which party is at fault. An attempt expires if its client gave the request too little time. It is cancelled when its
    /// client has disconnected, or when the router withdraws it before it is written. All count as caused by the client.
    pub(crate) fn source(&self) -> ErrorSource {
        match (self.progress, &self.cause) {
            (_, Cause::Cancelled | Cause::Expired) => ErrorSource::Client,
            (Progress::NotStarted, _) => ErrorSource::Internal,
            (_, Cause::NoDescriptor | Cause::Panicked) => ErrorSource::Internal,
            (_, Cause::Io(_) | Cause::ClosedByEndpoint) => ErrorSource::Endpoint,
            (_, Cause::TimedOut | Cause::Response(_)) => ErrorSource::Endpoint,
        }
    }

    /// Whether another attempt is safe for any request class, because this attempt did not run.
    pub(crate) fn is_retry_safe(&self) -> bool {
        !self.outcome().may_have_run()
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.progress {
            Progress::NotStarted => "not started",
            Progress::Connecting => "not connected",
            Progress::PartlyWritten => "request not completely written",
            Progress::Written => "request written, no response received",
            Progress::ResponseStarted => "incomplete response",
        })?;
        match &self.cause {
            Cause::Io(e) => write!(f, ": {e}"),
            Cause::ClosedByEndpoint => write!(f, ": closed by the endpoint"),
            Cause::TimedOut => write!(f, ": timed out"),
            Cause::Expired => write!(f, ": no time left"),
            Cause::Cancelled => write!(f, ": cancelled"),
            Cause::NoDescriptor => write!(f, ": no free file descriptor for endpoint connections"),
            Cause::Response(error) => write!(f, ": {error}"),
            Cause::Panicked => write!(f, ": panic while handling the connection"),
        }
    }
}

impl std::error::Error for AttemptError {}

#[cfg(test)]
mod tests;
