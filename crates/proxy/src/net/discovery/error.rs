//! Errors of the connection to the discovery service, and their log lines. The service is at fault in every case except
//! a changed address and a panic of this program. Every failure is retried.

use super::MAX_LINE_BYTES;
use slog::{warn, Logger};
use std::fmt;
use std::io;

/// Why a line cannot be used. The messages name the fields on the wire, for operators who examine the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LineError {
    Json(String),
    NotAnEvent,
    ListWithoutEndpoints,
    UnknownStatus { id: String, status: String },
    InvalidId(String),
    InvalidAddress { id: String, address: String },
    InvalidationWithoutTime,
    InvalidationOfNothing,
    UnreadableObject(String),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LineError::Json(error) => f.write_str(error),
            LineError::NotAnEvent => f.write_str("neither an event nor a position"),
            LineError::ListWithoutEndpoints => f.write_str("hosts without members"),
            LineError::UnknownStatus { id, status } => write!(f, "member {id:?}: phase {status:?}"),
            LineError::InvalidId(id) => write!(f, "member with the id {id:?}"),
            LineError::InvalidAddress { id, address } => {
                write!(f, "member {id}: host_port {address}")
            }
            LineError::InvalidationWithoutTime => f.write_str("purge without a stamp"),
            LineError::InvalidationOfNothing => f.write_str("purge of nothing"),
            LineError::UnreadableObject(name) => write!(f, "purge of {name:?}"),
        }
    }
}

impl std::error::Error for LineError {}

/// Why the connection was dropped.
#[derive(Debug)]
pub(crate) enum Loss {
    Io(io::Error),
    /// No line was received in time, or the connection was not established in time.
    Silent,
    /// The configuration names another address.
    AddressChanged,
    /// The event after this position was not received or could not be read.
    MissingEvent {
        after: u64,
    },
    LineTooLong,
    Panicked,
}

impl From<io::Error> for Loss {
    fn from(error: io::Error) -> Loss {
        Loss::Io(error)
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Loss::Io(error) => write!(f, "{error}"),
            Loss::Silent => f.write_str("no line received before the timeout"),
            Loss::AddressChanged => f.write_str("address changed in the configuration"),
            Loss::MissingEvent { after } => {
                write!(f, "event after position {after} is missing or unreadable")
            }
            Loss::LineTooLong => write!(f, "no line feed within {MAX_LINE_BYTES} bytes"),
            Loss::Panicked => f.write_str("panic while handling the connection"),
        }
    }
}

impl std::error::Error for Loss {}

/// An event of the connection that operators should know of.
#[derive(Debug)]
pub(crate) enum ConnectionEvent {
    /// The service cannot be reached, or its lines cannot be relied on.
    Lost(Loss),
    /// The service can be reached again.
    Restored,
    UnreadableLine(LineError),
}

/// Logs an event of the connection.
pub(crate) fn log_event(log: &Logger, event: &ConnectionEvent) {
    match event {
        ConnectionEvent::Lost(loss) => {
            warn!(log, "connection to the discovery service lost"; "reason" => %loss)
        }
        ConnectionEvent::Restored => warn!(log, "connection to the discovery service restored"),
        ConnectionEvent::UnreadableLine(error) => {
            warn!(log, "cannot read a line from the discovery service"; "reason" => %error)
        }
    }
}
