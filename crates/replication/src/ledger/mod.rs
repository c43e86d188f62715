//! The ledger of effects: which proxy may send a keyed request, and what a retry with the same idempotency key gets.
//!
//! The proxy that receives a keyed request claims its key before any attempt. The claim goes to the owners of the key, a
//! few proxies chosen by rendezvous hashing over all that are known, also those that are held to be dead. A quorum, more
//! than half of them, has to grant it while no other claim conflicts.
//!
//! Invariants:
//! - Two open claims of one key never both have a quorum, on whichever sides of a network split: any two quorums share
//!   an owner, and an owner grants no claim that conflicts with one it stores.
//! - A claim is ended by its holder alone: not run, completed with an outcome, or lost. What nobody ended may have run.
//! - An owner that restarted has forgotten what it granted, and does not vote on a key until it has compared its claims
//!   with all other owners of the key, whatever became of them (see [`crate::replica`]).
//! - An owner votes only if it takes the same proxies for the owners as the requester, so that no quorum rests on a stale
//!   view of the membership.
//!
//! A request passes the phases of `pending_request`; `request` holds its begin, decision and end, `quorum` the holder's
//! side of a claim, and `owner` the owner's.

mod claim_set;
mod messages;
mod owner;
mod pending_request;
mod quorum;
mod request;
mod voters;

pub use claim_set::{key_status, KeyStatus};
pub use messages::{Decision, OwnerRequest, RequestOutcome, RequestTerms, Vote};
pub use voters::Voters;

use crate::map::{Map, MergeOutcome};
use crate::record::{Entry, Key};
use crate::records::ClaimState;
use crate::settings::LedgerSettings;
use crate::Micros;
use pending_request::{PendingRequest, Phase};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Counters for metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerCounters {
    /// Keyed requests.
    pub requests: u64,
    /// Claims granted by a quorum, or sent without one where the installation allows that.
    pub granted: u64,
    /// Claims that no quorum granted in time.
    pub without_quorum: u64,
    /// Times that a request began to wait for another's outcome.
    pub waited: u64,
    /// Requests answered with the outcome of another.
    pub replayed: u64,
    /// Requests that failed because another may have run.
    pub failed: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Claims that took over from one whose holder is gone.
    pub takeovers: u64,
    /// Claims withdrawn because another was made at the same time.
    pub conflicts: u64,
}

/// One proxy's part in deciding on effects: its own keyed requests, and its votes as an owner.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    name: String,
    incarnation: u64,
    /// Hash of name and incarnation: the first part of the ids of its claims.
    holder_id: u64,
    /// Number of its last claim: the second part.
    last_claim_number: u64,
    /// Requests that have not ended, by their token.
    pending: BTreeMap<u64, PendingRequest>,
    /// Tokens of requests, by the number of their claim.
    tokens_by_claim: BTreeMap<u64, u64>,
    rng: fastrand::Rng,
    /// Counters for metrics.
    pub counts: LedgerCounters,
}

/// What a step of the ledger works on.
pub struct StepInput<'a> {
    /// The time.
    pub now: Micros,
    /// The records that are stored.
    pub map: &'a mut Map,
    /// The proxies that vote on claims.
    pub voters: &'a Voters,
}

impl StepInput<'_> {
    /// Merges a record, and notes it as changed; false if it was not merged.
    fn merge(&mut self, key: &Key, entry: Entry, out: &mut StepOutput) -> bool {
        let outcome = self.map.merge(key.clone(), entry, self.now);
        let merged = matches!(outcome, MergeOutcome::Merged { .. });
        if merged {
            out.changed_keys.push(key.clone());
        }
        merged
    }
}

/// What a step of the ledger brings about.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Decisions on requests.
    pub decisions: Vec<Decision>,
    /// Requests for the votes of owners.
    pub requests: Vec<OwnerRequest>,
    /// Keys of records that have changed and are to be disseminated.
    pub changed_keys: Vec<Key>,
}

impl Ledger {
    /// An empty ledger of the proxy `name` in this incarnation.
    pub fn new(settings: LedgerSettings, name: &str, incarnation: u64, seed: u64) -> Ledger {
        Ledger {
            settings,
            name: name.into(),
            incarnation,
            holder_id: xxh3_64_with_seed(name.as_bytes(), incarnation),
            last_claim_number: 0,
            pending: BTreeMap::new(),
            tokens_by_claim: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            counts: LedgerCounters::default(),
        }
    }

    /// How many requests have not ended.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// When [`Ledger::tick`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.pending
            .values()
            .filter_map(PendingRequest::next_wake)
            .min()
    }

    /// Time has passed, or others' claims or the voters have changed.
    pub fn tick(&mut self, input: &mut StepInput, out: &mut StepOutput) {
        let undecided: Vec<u64> = self
            .pending
            .values()
            .filter(|request| !request.is_admitted())
            .map(|request| request.token)
            .collect();
        for token in undecided {
            self.tick_request(token, input, out);
        }
    }

    fn tick_request(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        match &request.phase {
            Phase::Requesting { deadline, .. } if input.now >= *deadline => {
                self.give_up_quorum(token, input, out);
            }
            Phase::Requesting { retry_at, .. } if input.now >= *retry_at => {
                self.retry_claim(token, input, out);
            }
            Phase::Conflicted { retry_at } if input.now >= *retry_at => {
                self.consider_request(token, input, out);
            }
            Phase::Waiting => self.consider_request(token, input, out),
            Phase::Requesting { .. } | Phase::Conflicted { .. } | Phase::Admitted => {}
        }
    }

    /// Records the state of this proxy's own claim for a request.
    fn update_own_claim(
        &self,
        request: &mut PendingRequest,
        state: ClaimState,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(key) = request.claim_key.clone() else {
            return;
        };
        let expires_at = input.now + self.settings.claim_retention;
        let (_, entry) = request.claim_record(state, expires_at);
        input.merge(&key, entry, out);
        if !state.is_open() {
            request.claim_key = None;
        }
    }
}
