//! What a replica has its host do: messages to send, verdicts on lookups, updates to apply, events to log.

use crate::kinds::Machine;
use crate::ledger::Word;
use crate::Micros;

/// One thing that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send a datagram to a front.
    Send {
        /// The receiver's name.
        to: String,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Send a message that is too large for a datagram to a front, over a stream.
    Stream {
        /// The receiver's name.
        to: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The ledger has decided on a lookup.
    Word(Word),
    /// Another front reported a purge: it holds from now on.
    Purged {
        /// The object; none for a whole group.
        object: Option<u64>,
        /// The group, where there is no object.
        group: u32,
        /// Copies from before this time are purged, in Unix time.
        stamp: Micros,
    },
    /// Another front reported the phase of a machine.
    Machine {
        /// The machine's id.
        id: String,
        /// When its process started.
        start: Micros,
        /// 0 ready, 1 draining, 2 gone.
        phase: u8,
        /// What else is known of it.
        machine: Machine,
    },
    /// Others' observations of a subject have changed; [`super::Replica::opinion`] sums them up.
    Learned {
        /// The subject, as [`super::thing`] reads it.
        what: Vec<u8>,
    },
    /// Log an event.
    Tell(Told),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// This front may report that it is ready.
    Ready {
        /// The urgent kinds are complete; otherwise the time allowed for them is up.
        caught_up: bool,
        /// Time since the start.
        took: Micros,
    },
    /// Catching up is complete.
    CaughtUp {
        /// Records received.
        records: u64,
        /// Time since the start.
        took: Micros,
    },
    /// A donor failed or stalled, and another takes its place.
    Donor {
        /// The donor that is given up.
        former: String,
        /// The donor that is asked instead.
        next: String,
    },
    /// This front vouches for effects from now on.
    Vouches {
        /// Time since the start.
        took: Micros,
    },
}
