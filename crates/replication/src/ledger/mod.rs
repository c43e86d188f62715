//! The ledger of side effects: decides which proxy may send a keyed request, and how a retry with the same idempotency
//! key is answered.
//!
//! The proxy that receives a keyed request claims its key before it sends any attempt. The claim is sent to the
//! owners of the key: a few proxies that rendezvous hashing selects from all known proxies, including those
//! considered dead. The claim is granted if a quorum, more than half of the owners, grants it; an owner does so only
//! while no other claim conflicts.
//!
//! Invariants:
//! - Two open claims of one key never both have a quorum, even during a network split: any two quorums share an
//!   owner, and an owner grants no claim that conflicts with a claim it stores.
//! - Only its holder ends a claim: as not run, as completed with an outcome, or as lost. A claim that was not ended may
//!   have run.
//! - An owner loses its granted claims when it restarts. It does not vote on a key until it has compared its claims
//!   with all other owners of the key, alive or not (see [`crate::replica`]).
//! - An owner grants a claim only if it computes the same owners of the key as the requester. So no quorum is based
//!   on a stale view of the membership.
//!
//! `pending_request` defines the phases of a request; `request` contains its start, decision and end, `quorum` the
//! holder's side of a claim, and `owner` the owner's side.

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
    /// Keyed requests that were received.
    pub requests: u64,
    /// Requests admitted because a quorum granted their claim, or without a quorum where the settings allow that.
    pub granted: u64,
    /// Claims that no quorum granted in time.
    pub without_quorum: u64,
    /// Times that a request which had already claimed its key started to wait for the outcome of another claim.
    pub waited: u64,
    /// Requests answered with the stored response of an earlier claim.
    pub replayed: u64,
    /// Requests that failed because an earlier claim ran or may have run, and its response is not known.
    pub failed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Admitted requests whose claim took over from a claim with a lost outcome.
    pub takeovers: u64,
    /// Claims withdrawn because another claim to the key was made at the same time.
    pub conflicts: u64,
}

/// One proxy's ledger: its own keyed requests, and its votes as an owner.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    name: String,
    incarnation: u64,
    /// Hash of name and incarnation: the first part of the ids of this proxy's claims.
    holder_id: u64,
    /// Number of this proxy's last claim: the second part of the claim's id.
    last_claim_number: u64,
    /// Requests that have not ended, by token.
    pending: BTreeMap<u64, PendingRequest>,
    /// Tokens of requests, by the number of the request's claim.
    tokens_by_claim: BTreeMap<u64, u64>,
    rng: fastrand::Rng,
    /// Counters for metrics.
    pub counts: LedgerCounters,
}

/// The input of a step of the ledger.
pub struct StepInput<'a> {
    /// The current time.
    pub now: Micros,
    /// The stored records.
    pub map: &'a mut Map,
    /// The proxies that vote on claims.
    pub voters: &'a Voters,
}

impl StepInput<'_> {
    /// Merges a record and adds its key to the changed keys. Returns false if the record was not merged.
    fn merge(&mut self, key: &Key, entry: Entry, out: &mut StepOutput) -> bool {
        let outcome = self.map.merge(key.clone(), entry, self.now);
        let merged = matches!(outcome, MergeOutcome::Merged { .. });
        if merged {
            out.changed_keys.push(key.clone());
        }
        merged
    }
}

/// The output of a step of the ledger.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Decisions on requests.
    pub decisions: Vec<Decision>,
    /// Vote requests to owners.
    pub requests: Vec<OwnerRequest>,
    /// Keys of records that changed and have to be disseminated.
    pub changed_keys: Vec<Key>,
}

impl Ledger {
    /// Creates an empty ledger for the proxy `name` in this incarnation.
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

    /// Number of requests that have not ended.
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

    /// Advances all undecided requests. To be called when time has passed, or when the voters or the claims of other
    /// proxies have changed.
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
                self.evaluate_request(token, input, out);
            }
            Phase::Waiting => self.evaluate_request(token, input, out),
            Phase::Requesting { .. } | Phase::Conflicted { .. } | Phase::Admitted => {}
        }
    }

    /// Stores a new state of this proxy's own claim for a request.
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
