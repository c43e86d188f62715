//! Events of the discovery service that will not come any more.

use std::fmt;

/// Why events are missing. What they said is unknown: invalidations may have been among them, or changes of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissedEvents {
    /// Polled for in vain, and passed over.
    Skipped {
        /// The last event that was received before them.
        after: u64,
        /// The last event that was passed over.
        until: u64,
    },
    /// The service stood behind what had been received, and has come to it again: where it gives its numbers anew, other
    /// events have the numbers of those that were received.
    Renumbered {
        /// Where the service stood.
        from: u64,
        /// The last event that had been received.
        until: u64,
    },
    /// An entry of the configuration's own list cannot be read.
    UnreadableEntry,
}

impl fmt::Display for MissedEvents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MissedEvents::Skipped { after, until } => {
                write!(f, "events after {after} up to {until} stayed missing")
            }
            MissedEvents::Renumbered { from, until } => {
                write!(
                    f,
                    "the service went back to {from} and came to {until} again"
                )
            }
            MissedEvents::UnreadableEntry => {
                f.write_str("an entry of the configuration is unreadable")
            }
        }
    }
}
