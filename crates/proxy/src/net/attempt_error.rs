//! Failed attempts: how far one had come, why it failed, and what that proves.
//!
//! Rule 2: only a request that never left completely is known not to have run.

use crate::http::ResponseError;
use meadowrill_routing::interface::AttemptOutcome;
use std::fmt;
use std::io;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// No descriptor was to be had, or the request was over.
    NotStarted,
    /// The connection was not up, or the request was not to be written yet.
    Connecting,
    /// Some of the request never left.
    PartlyWritten,
    /// All of the request left; nothing of a response came.
    Written,
    /// A part of a response came.
    ResponseStarted,
}

impl Progress {
    /// Whether the endpoint has accepted the request: its last byte was written to a connection that it accepted.
    pub(crate) fn is_accepted(self) -> bool {
        matches!(self, Progress::Written | Progress::ResponseStarted)
    }
}

/// Why an attempt failed.
#[derive(Debug)]
pub(crate) enum Cause {
    /// The connection failed, or none could be opened.
    Io(io::Error),
    /// The endpoint closed the connection.
    ClosedByEndpoint,
    /// Its timeout has passed.
    TimedOut,
    /// The decisions gave it up, or its client has gone.
    Cancelled,
    /// All descriptors for endpoint connections are in use.
    NoDescriptor,
    /// The response cannot be used.
    Response(ResponseError),
    /// This program panicked over it.
    Panicked,
}

/// Who is at fault.
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
    /// The outcome for the decisions.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        let cancelled = matches!(self.cause, Cause::Cancelled);
        match (self.progress, &self.cause) {
            (Progress::NotStarted, _) => AttemptOutcome::Superseded,
            _ if cancelled && !self.progress.is_accepted() => AttemptOutcome::Superseded,
            _ if cancelled => AttemptOutcome::Cancelled,
            (Progress::Connecting | Progress::PartlyWritten, _) => AttemptOutcome::ConnectFailed,
            (_, Cause::TimedOut) => AttemptOutcome::TimedOut,
            (_, Cause::Response(_)) => AttemptOutcome::Error,
            _ => AttemptOutcome::ConnectionReset,
        }
    }

    /// Who is at fault for it. An attempt is cancelled where its client has left, or where the router takes it back before
    /// it is written; both count as the client's.
    pub(crate) fn source(&self) -> ErrorSource {
        match (self.progress, &self.cause) {
            (_, Cause::Cancelled) => ErrorSource::Client,
            (Progress::NotStarted, _) => ErrorSource::Internal,
            (_, Cause::NoDescriptor | Cause::Panicked) => ErrorSource::Internal,
            (_, Cause::Io(_) | Cause::ClosedByEndpoint) => ErrorSource::Endpoint,
            (_, Cause::TimedOut | Cause::Response(_)) => ErrorSource::Endpoint,
        }
    }

    /// Whether another attempt is harmless whatever the class of the request: this one never ran.
    pub(crate) fn is_retry_safe(&self) -> bool {
        !self.outcome().may_have_run()
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.progress {
            Progress::NotStarted => "not sent",
            Progress::Connecting => "not connected",
            Progress::PartlyWritten => "not completely written",
            Progress::Written => "written, no response",
            Progress::ResponseStarted => "response incomplete",
        })?;
        match &self.cause {
            Cause::Io(e) => write!(f, ": {e}"),
            Cause::ClosedByEndpoint => write!(f, ": closed by the endpoint"),
            Cause::TimedOut => write!(f, ": timed out"),
            Cause::Cancelled => write!(f, ": cancelled"),
            Cause::NoDescriptor => write!(f, ": no descriptor free"),
            Cause::Response(error) => write!(f, ": {error}"),
            Cause::Panicked => write!(f, ": panic"),
        }
    }
}

impl std::error::Error for AttemptError {}

#[cfg(test)]
mod tests;
