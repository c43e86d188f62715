//! What goes wrong with the discovery service, and its log lines. Discovery is at fault in each case but a panic of this
//! program; all of it is retried.

use slog::{warn, Logger};
use std::fmt;
use std::io;

/// Why a line cannot be used. The texts name the fields of the wire, for whoever looks at the service.
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

/// Why the connection was given up.
#[derive(Debug)]
pub(crate) enum Loss {
    Io(io::Error),
    /// No line came in time, or the connection did not come up.
    Silent,
    /// The configuration names another address.
    AddressChanged,
    /// The event behind this one did not come, or could not be read.
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
            Loss::Silent => f.write_str("silent"),
            Loss::AddressChanged => f.write_str("address changed"),
            Loss::MissingEvent { after } => write!(f, "event after {after} is missing"),
            Loss::LineTooLong => f.write_str("line too long"),
            Loss::Panicked => f.write_str("panic"),
        }
    }
}

impl std::error::Error for Loss {}

/// What an operator should know of the connection.
#[derive(Debug)]
pub(crate) enum ContactEvent {
    /// The service cannot be reached, or is not to be relied on.
    Lost(Loss),
    /// The service can be reached again.
    Restored,
    UnreadableLine(LineError),
}

/// A line of the log.
pub(crate) fn log_event(log: &Logger, event: &ContactEvent) {
    match event {
        ContactEvent::Lost(loss) => warn!(log, "discovery service lost"; "reason" => %loss),
        ContactEvent::Restored => warn!(log, "discovery service reached again"),
        ContactEvent::UnreadableLine(error) => {
            warn!(log, "unreadable line from the discovery service"; "reason" => %error)
        }
    }
}
