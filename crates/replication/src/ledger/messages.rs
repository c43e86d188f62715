//! What goes into the ledger and comes out of it: the terms and the outcome of a request, decisions, requests to owners
//! and votes.

use crate::wire::ClaimRequest;
use crate::Micros;

/// The terms of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTerms {
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Its latency budget, a duration.
    pub latency_budget: Micros,
    /// How long the origin drops repeats of its idempotency key; 0 where it does not.
    pub dedup_window: Micros,
}

/// The ledger's decision on a request. `token` is the host's number for the request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may be sent.
    Admit {
        /// The request.
        token: u64,
        /// No attempt may be sent from then on.
        send_until: Micros,
        /// An earlier claim may have run, so it would be untrue to reject the request.
        earlier_may_have_run: bool,
    },
    /// It has run before: this was the response.
    Replay {
        /// The request.
        token: u64,
        /// Whether the response was current.
        current: bool,
        /// The response.
        body: Vec<u8>,
    },
    /// It may have run before, and no outcome will be known.
    Fail {
        /// The request.
        token: u64,
    },
    /// Nothing of it ran, here or by a claim that is known.
    Reject {
        /// The request.
        token: u64,
        /// Retry-After for the client, a duration.
        retry_after: Micros,
    },
}

/// How a request that was admitted ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// There is proof that it did not run.
    NotRun,
    /// It may have run; the outcome is not known.
    MayHaveRun,
    /// It ran.
    Ran {
        /// Whether the response was current.
        current: bool,
        /// The response.
        body: Vec<u8>,
    },
}

/// A request for the vote of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRequest {
    /// The owner.
    pub to: String,
    /// The request.
    pub request: ClaimRequest,
}

/// An owner's vote on a claim. The numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Vote {
    /// The owner stores the claim.
    Granted = 0,
    /// Another claim conflicts.
    Conflict = 1,
    /// The owner takes other proxies for the owners of this key.
    OwnersDiffer = 2,
    /// The owner does not know enough yet to vote.
    NotReady = 3,
    /// The owner has no capacity for the claim.
    Full = 4,
}

impl Vote {
    const ALL: [Vote; 5] = [
        Vote::Granted,
        Vote::Conflict,
        Vote::OwnersDiffer,
        Vote::NotReady,
        Vote::Full,
    ];

    /// The vote with this number on the wire.
    pub(super) fn from_wire(number: u32) -> Option<Vote> {
        Vote::ALL.get(number as usize).copied()
    }
}
