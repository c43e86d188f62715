//! What goes into the ledger and comes out of it: the terms and the end of a lookup, decisions, requests and verdicts.

use crate::wire::ClaimRequest;
use crate::Micros;

/// The terms of a keyed lookup.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// When its client stops waiting.
    pub expires: Micros,
    /// Its latency budget.
    pub budget: Micros,
    /// How long the origin drops repeats of its key; 0 where it does not.
    pub window: Micros,
}

/// The ledger's decision on a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It may be sent.
    Go {
        /// The lookup.
        token: u64,
        /// It may be sent until then.
        until: Micros,
        /// An earlier claim may have run, so it would be untrue to refuse the lookup.
        again: bool,
    },
    /// It has run before: this was the answer.
    Answer {
        /// The lookup.
        token: u64,
        /// Whether the answer was current.
        current: bool,
        /// The answer.
        body: Vec<u8>,
    },
    /// It may have run before, and no outcome will be known.
    Fail {
        /// The lookup.
        token: u64,
    },
    /// Nothing of it ran, here or by a claim that is known.
    Refuse {
        /// The lookup.
        token: u64,
        /// How long the client is told to stay away.
        come_back: Micros,
    },
}

/// How a lookup that was let through ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Surely not run.
    NotRun,
    /// It may have run; the outcome is not known.
    MayHaveRun,
    /// It ran.
    Ran {
        /// Whether the answer was current.
        current: bool,
        /// The answer.
        body: Vec<u8>,
    },
}

/// A request to an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRequest {
    /// The owner.
    pub to: String,
    /// The request.
    pub request: ClaimRequest,
}

/// An owner's verdict on a claim. The numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It holds the claim.
    Granted,
    /// Another claim conflicts.
    Held,
    /// It takes other fronts to own this key.
    Differs,
    /// It does not know enough yet to vouch.
    NotYet,
    /// It has no room.
    Full,
}

impl Verdict {
    const ALL: [Verdict; 5] = [
        Verdict::Granted,
        Verdict::Held,
        Verdict::Differs,
        Verdict::NotYet,
        Verdict::Full,
    ];

    /// The verdict with this number on the wire.
    pub(super) fn of(number: u32) -> Option<Verdict> {
        Verdict::ALL.get(number as usize).copied()
    }
}
