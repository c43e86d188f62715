//! The input and output types of the ledger: the terms and the outcome of a request, decisions, vote requests to
//! owners, and votes.

use crate::wire::ClaimRequest;
use crate::Micros;

/// The terms of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTerms {
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The latency budget of the request, a duration.
    pub latency_budget: Micros,
    /// How long the origin drops repeats of the idempotency key; 0 if it does not.
    pub dedup_window: Micros,
}

/// The ledger's decision on a request. `token` is the number that the caller has assigned to the request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may be sent.
    Admit {
        /// The request.
        token: u64,
        /// From this time on no attempt may be sent.
        send_until: Micros,
        /// An attempt under an earlier claim may have run. A rejection, which promises that nothing ran, could be
        /// false.
        earlier_may_have_run: bool,
    },
    /// The request has run before; the client gets the stored response.
    Replay {
        /// The request.
        token: u64,
        /// Whether the response was current.
        current: bool,
        /// The response.
        body: Vec<u8>,
    },
    /// The request ran or may have run before, and its response is not known.
    Fail {
        /// The request.
        token: u64,
    },
    /// No attempt of the request was sent here. A request that would take over from a claim that may have run gets
    /// [`Decision::Fail`] instead.
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
    /// There is proof that the request did not run.
    NotRun,
    /// The request may have run; its outcome is not known.
    MayHaveRun,
    /// The request ran.
    Ran {
        /// Whether the response was current.
        current: bool,
        /// The response.
        body: Vec<u8>,
    },
}

/// A vote request to an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRequest {
    /// The name of the owner.
    pub to: String,
    /// The vote request.
    pub request: ClaimRequest,
}

/// An owner's vote on a claim. The numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Vote {
    /// The owner has stored the claim.
    Granted = 0,
    /// The owner stores a claim that conflicts.
    Conflict = 1,
    /// The owner computes other owners for this key than the requester, or cannot decode the claim.
    OwnersDiffer = 2,
    /// The owner cannot vote yet: it has not compared its claims with all other owners since its start, or has not
    /// agreed on the membership.
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
