//! A keyed request from its arrival to its end.
//!
//! ```text
//! Waiting ──▶ Requesting ──▶ Admitted
//!    ▲  ◀───────┘ │  ▲
//!    │            ▼  │
//!    └────── Conflicted
//! ```
//!
//! Invariants: `claim_key` is set exactly while this proxy's own claim for the request is open; in `Requesting` it is set,
//! and a vote that was `Granted` stays so. Nothing of the request is sent before `Admitted`.

use super::claim_set::{key_status, KeyStatus};
use super::{RequestTerms, StepInput, Vote};
use crate::record::{Entry, Key};
use crate::records::{self, Claim, ClaimState};
use crate::Micros;
use std::collections::BTreeMap;

/// A request's response goes out so long before its client stops waiting.
const RESPONSE_MARGIN: Micros = 20_000;

/// A request that the ledger has yet to decide on, or that it admitted and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) token: u64,
    /// The beginning of the names of all claims of its key.
    pub(super) prefix: Vec<u8>,
    /// Its claim's id: the holder's hash, and the number there.
    pub(super) claim_id: (u64, u64),
    /// The key of its claim while that is open.
    pub(super) claim_key: Option<Key>,
    pub(super) claim: Claim,
    pub(super) owners: Vec<String>,
    pub(super) terms: RequestTerms,
    /// How long it may take until its claim is granted.
    pub(super) quorum_budget: Micros,
    /// When that is over: counted from its arrival, or from when it had waited for another's outcome.
    pub(super) quorum_deadline: Micros,
    pub(super) phase: Phase,
    /// Its claim takes over from one whose holder is gone, the first attempt of which may have been sent at this time.
    pub(super) takes_over: Option<Micros>,
}

/// How far a request has come.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Owners are requested to grant its claim.
    Requesting {
        /// Votes so far, by owner.
        votes: BTreeMap<String, Vote>,
        /// When it is given up.
        deadline: Micros,
        /// When those that have not granted it are requested again.
        retry_at: Micros,
    },
    /// Its claim was withdrawn because another was made at the same time; it is claimed again then.
    Conflicted { retry_at: Micros },
    /// Waits for another's outcome.
    Waiting,
    /// It was admitted.
    Admitted,
}

impl PendingRequest {
    pub(super) fn new(
        token: u64,
        key: &[u8],
        terms: RequestTerms,
        quorum_budget: Micros,
    ) -> PendingRequest {
        PendingRequest {
            token,
            prefix: records::claim_prefix(key),
            claim_id: (0, 0),
            claim_key: None,
            claim: Claim::default(),
            owners: Vec::new(),
            terms,
            quorum_budget,
            quorum_deadline: 0,
            phase: Phase::Waiting,
            takes_over: None,
        }
    }

    pub(super) fn is_admitted(&self) -> bool {
        matches!(self.phase, Phase::Admitted)
    }

    /// Its response has to go out by then.
    pub(super) fn respond_by(&self) -> Micros {
        self.terms.deadline - RESPONSE_MARGIN
    }

    /// When something is due.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        match &self.phase {
            Phase::Requesting {
                deadline, retry_at, ..
            } => Some(*deadline.min(retry_at)),
            Phase::Conflicted { retry_at } => Some(*retry_at),
            Phase::Waiting => Some(self.respond_by()),
            Phase::Admitted => None,
        }
    }

    /// What the claims of its key but its own say.
    pub(super) fn key_status(&self, input: &StepInput) -> KeyStatus {
        key_status(
            input.map,
            &self.prefix,
            self.claim_key.as_ref(),
            input.voters,
            input.now,
        )
    }

    /// The record of its claim.
    pub(super) fn claim_record(&self, state: ClaimState, expires_at: Micros) -> (Key, Entry) {
        let key = &self.prefix[1..];
        records::claim_record(key, self.claim_id, state, &self.claim, expires_at)
    }

    /// How many owners have voted so.
    pub(super) fn vote_count(&self, vote: Vote) -> usize {
        let Phase::Requesting { votes, .. } = &self.phase else {
            return 0;
        };
        votes.values().filter(|cast| **cast == vote).count()
    }
}
