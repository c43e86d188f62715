//! The ledger of effects: which front may send a keyed lookup, and what a retry of the same key is told.
//!
//! A front that is asked for a keyed lookup claims its key before any send. The claim goes to the owners of the key, a
//! few fronts chosen by rendezvous hashing over all that are known, also those held to be dead. A quorum, more than half
//! of them, has to hold it while no other claim conflicts. Two claims of one key can't both have that, on whichever
//! sides of a network split: any two quorums share an owner, and an owner holds one open claim at most. A claim ends only
//! by its holder's word: surely not run, ran with this outcome, or lost. What nobody ended may have run.
//!
//! An owner that restarted knows nothing of what it held. It does not vouch for a key until it has compared with all other
//! owners of it, whatever became of them (see `replica`). An owner that takes other fronts to own the key than the
//! requester does refuses, so that nothing is decided by a stale view.

mod admission;
mod claims;
mod decision;
mod electors;
mod lookup;
mod owner;
mod quorum;

pub use crate::record::entry;
pub use claims::{stand, Stand};
pub use decision::{End, OwnerRequest, Terms, Verdict, Word};
pub use electors::Electors;

use crate::kinds::Ran;
use crate::map::{Map, Took};
use crate::plan;
use crate::record::{Entry, Key};
use crate::Micros;
use lookup::{PendingLookup, Phase};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Counters for metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Lookups with a key.
    pub asked: u64,
    /// Claims granted by a quorum, or sent without one where the installation allows that.
    pub granted: u64,
    /// Claims that no quorum granted in time.
    pub unwritten: u64,
    /// Times that a lookup began to wait for another's outcome.
    pub waited: u64,
    /// Lookups answered with the outcome of another.
    pub answered: u64,
    /// Lookups that failed because another may have run.
    pub failed: u64,
    /// Lookups refused.
    pub refused: u64,
    /// Claims that took over from one whose holder is gone.
    pub taken_over: u64,
    /// Claims withdrawn because another was made at the same time.
    pub clashes: u64,
}

/// One front's part in deciding on effects: the lookups that it was asked for, and the claims that it holds as an owner.
#[derive(Clone, Debug)]
pub struct Ledger {
    plan: plan::Ledger,
    name: String,
    start: u64,
    /// Hash of name and start: the first part of the ids of its claims.
    holder: u64,
    /// Number of its last claim: the second part.
    last_number: u64,
    /// Lookups that have not ended, by their token.
    pending: BTreeMap<u64, PendingLookup>,
    /// Tokens by the number of the claim.
    tokens: BTreeMap<u64, u64>,
    rng: fastrand::Rng,
    /// Counters for metrics.
    pub counts: Counts,
}

/// What a step of the ledger works on.
pub struct StepInput<'a> {
    /// The time.
    pub now: Micros,
    /// The records that are held.
    pub map: &'a mut Map,
    /// The fronts that decide on effects.
    pub electors: &'a Electors,
}

impl StepInput<'_> {
    /// Merges a record; it is noted as changed if it stands.
    fn merge(&mut self, key: &Key, entry: Entry, out: &mut StepOutput) -> bool {
        let stands = matches!(self.map.merge(key.clone(), entry, self.now), Took::New(_));
        if stands {
            out.changed.push(key.clone());
        }
        stands
    }
}

/// What a step of the ledger brings about.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Decisions on lookups.
    pub decisions: Vec<Word>,
    /// Requests for owners.
    pub requests: Vec<OwnerRequest>,
    /// Keys of records that have changed and are to be disseminated.
    pub changed: Vec<Key>,
}

impl Ledger {
    /// An empty ledger of the front `name`, whose process started at `start`.
    pub fn new(plan: plan::Ledger, name: &str, start: u64, seed: u64) -> Ledger {
        Ledger {
            plan,
            name: name.into(),
            start,
            holder: xxh3_64_with_seed(name.as_bytes(), start),
            last_number: 0,
            pending: BTreeMap::new(),
            tokens: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            counts: Counts::default(),
        }
    }

    /// How many lookups have not ended.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// When [`Ledger::tick`] is due next.
    pub fn next(&self) -> Option<Micros> {
        self.pending.values().filter_map(PendingLookup::due).min()
    }

    /// Time has passed, others' claims have changed, or the fronts that decide.
    pub fn tick(&mut self, input: &mut StepInput, out: &mut StepOutput) {
        let undecided: Vec<u64> = self
            .pending
            .values()
            .filter(|lookup| !lookup.is_admitted())
            .map(|lookup| lookup.token)
            .collect();
        for token in undecided {
            self.tick_lookup(token, input, out);
        }
    }

    fn tick_lookup(&mut self, token: u64, input: &mut StepInput, out: &mut StepOutput) {
        let Some(lookup) = self.pending.get(&token) else {
            return;
        };
        match &lookup.phase {
            Phase::Requesting { until, .. } if input.now >= *until => {
                self.fail_to_write(token, input, out)
            }
            Phase::Requesting { retry_at, .. } if input.now >= *retry_at => {
                self.retry_claim(token, input, out)
            }
            Phase::Conflicted { retry_at } if input.now >= *retry_at => {
                self.consider(token, input, out)
            }
            Phase::Waiting => self.consider(token, input, out),
            _ => {}
        }
    }

    /// Records the state of this front's own claim for a lookup.
    fn mark(
        &self,
        lookup: &mut PendingLookup,
        state: Ran,
        input: &mut StepInput,
        out: &mut StepOutput,
    ) {
        let Some(key) = lookup.claim_key.clone() else {
            return;
        };
        let (_, entry) = lookup.record(state, input.now + self.plan.keep);
        input.merge(&key, entry, out);
        if !state.open() {
            lookup.claim_key = None;
        }
    }
}
