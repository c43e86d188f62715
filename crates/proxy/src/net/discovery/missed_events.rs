//! Events of the discovery service that will not be received any more.

use std::fmt;

/// Why events are missing. Their content is unknown and may include invalidations or changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissedEvents {
    /// The events were requested again without success, and skipped.
    Skipped {
        /// Position of the last event that was received before them.
        after: u64,
        /// Position of the last event that was skipped.
        until: u64,
    },
    /// The service reported a position below the last one received, and has reached that one again. If it renumbered
    /// its events, other events now have the positions of those that were received.
    Renumbered {
        /// The lowest position that the service reported.
        from: u64,
        /// Position of the last event that had been received.
        until: u64,
    },
    /// An event that the configuration lists cannot be read.
    UnreadableEntry,
}

impl fmt::Display for MissedEvents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MissedEvents::Skipped { after, until } => {
                write!(
                    f,
                    "events after position {after} up to {until} were skipped"
                )
            }
            MissedEvents::Renumbered { from, until } => {
                write!(
                    f,
                    "the service went back to position {from} and reached {until} again"
                )
            }
            MissedEvents::UnreadableEntry => {
                f.write_str("an event in the configuration is unreadable")
            }
        }
    }
}
