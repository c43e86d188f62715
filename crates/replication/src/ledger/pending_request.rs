//! The state of a keyed request from its arrival to its end.
//!
//! ```text
//! Waiting ──▶ Requesting ──▶ Admitted
//!    ▲  ◀───────┘ │  ▲
//!    │            ▼  │
//!    └────── Conflicted
//! ```
//!
//! Invariants: `claim_key` is set exactly while this proxy's own claim for the request is open, and therefore in
//! `Requesting`. A `Granted` vote is never replaced by another. No attempt is sent before `Admitted`.

use super::claim_set::{key_status, KeyStatus};
use super::{RequestTerms, StepInput, Vote};
use crate::record::{Entry, Key};
use crate::records::{self, Claim, ClaimState};
use crate::Micros;
use std::collections::BTreeMap;

/// The response to a request is sent at least this long before its client stops waiting.
const RESPONSE_MARGIN: Micros = 20_000;

/// A request that is undecided, or that was admitted and has not ended.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) token: u64,
    /// The prefix of the names of all claims to the request's key.
    pub(super) prefix: Vec<u8>,
    /// The id of the request's claim: the holder's hash and the holder's claim number.
    pub(super) claim_id: (u64, u64),
    /// The key of the claim's record while the claim is open.
    pub(super) claim_key: Option<Key>,
    pub(super) claim: Claim,
    pub(super) owners: Vec<String>,
    pub(super) terms: RequestTerms,
    /// How long a quorum may take to grant the claim.
    pub(super) quorum_budget: Micros,
    /// When `quorum_budget` is used up. It starts with the request's arrival, or once the request has waited for the
    /// outcome of another claim.
    pub(super) quorum_deadline: Micros,
    pub(super) phase: Phase,
    /// If the claim takes over from a claim with a lost outcome: when the first attempt of that claim may have been
    /// sent.
    pub(super) takeover_first_sent_at: Option<Micros>,
}

/// The phase of a request.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The owners have been requested to vote on its claim.
    Requesting {
        /// Votes received so far, by owner.
        votes: BTreeMap<String, Vote>,
        /// When the proxy stops requesting votes.
        deadline: Micros,
        /// When the owners that have not granted the claim are requested again.
        retry_at: Micros,
    },
    /// Its claim was withdrawn because another claim was made at the same time. The key is claimed again at `retry_at`.
    Conflicted { retry_at: Micros },
    /// It waits for the outcome of another claim.
    Waiting,
    /// It was admitted and has not ended.
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
            takeover_first_sent_at: None,
        }
    }

    pub(super) fn is_admitted(&self) -> bool {
        matches!(self.phase, Phase::Admitted)
    }

    /// The latest time to send the response.
    pub(super) fn respond_by(&self) -> Micros {
        self.terms.deadline - RESPONSE_MARGIN
    }

    /// When the request has to be evaluated next.
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

    /// The status of the request's key according to all claims other than the request's own.
    pub(super) fn key_status(&self, input: &StepInput) -> KeyStatus {
        key_status(
            input.map,
            &self.prefix,
            self.claim_key.as_ref(),
            input.voters,
            input.now,
        )
    }

    /// The record of the request's claim.
    pub(super) fn claim_record(&self, state: ClaimState, expires_at: Micros) -> (Key, Entry) {
        let key = &self.prefix[1..];
        records::claim_record(key, self.claim_id, state, &self.claim, expires_at)
    }

    /// Number of owners that have cast this vote.
    pub(super) fn vote_count(&self, vote: Vote) -> usize {
        let Phase::Requesting { votes, .. } = &self.phase else {
            return 0;
        };
        votes.values().filter(|cast| **cast == vote).count()
    }
}
