//! A keyed lookup from when it came to its end.

use super::claims::{stand, Stand};
use super::{StepInput, Terms, Verdict};
use crate::kinds::{self, Claim, Ran};
use crate::record::{Entry, Key};
use crate::Micros;
use std::collections::BTreeMap;

/// A lookup's answer goes out so long before its client stops waiting.
const ANSWER_MARGIN: Micros = 20_000;

/// A lookup that the ledger has yet to decide on, or that it let through and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct PendingLookup {
    pub(super) token: u64,
    /// The beginning of the names of all claims of its key.
    pub(super) prefix: Vec<u8>,
    /// Its claim's id: the holder's hash, and the number there.
    pub(super) claim_id: (u64, u64),
    /// The key of its claim while that is open.
    pub(super) claim_key: Option<Key>,
    pub(super) claim: Claim,
    pub(super) owners: Vec<String>,
    pub(super) terms: Terms,
    /// How long it may take to have its claim granted.
    pub(super) write_time: Micros,
    /// Until when that is: counted from when it came, or had waited for another's outcome.
    pub(super) write_until: Micros,
    pub(super) phase: Phase,
    /// Its claim takes over from one whose holder is gone, the first send of which may have left at this time.
    pub(super) takes_over: Option<Micros>,
}

/// How far a lookup has come.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Owners are asked to grant its claim.
    Requesting {
        /// Verdicts so far, by owner.
        verdicts: BTreeMap<String, Verdict>,
        /// When it is given up.
        until: Micros,
        /// When those that have not granted it are asked again.
        retry_at: Micros,
    },
    /// Its claim was withdrawn because another was made at the same time; it is claimed again then.
    Conflicted { retry_at: Micros },
    /// Waits for another's outcome.
    Waiting,
    /// It was let through.
    Admitted,
}

impl PendingLookup {
    pub(super) fn new(token: u64, key: &[u8], terms: Terms, write_time: Micros) -> PendingLookup {
        PendingLookup {
            token,
            prefix: kinds::effect_prefix(key),
            claim_id: (0, 0),
            claim_key: None,
            claim: Claim::default(),
            owners: Vec::new(),
            terms,
            write_time,
            write_until: 0,
            phase: Phase::Waiting,
            takes_over: None,
        }
    }

    pub(super) fn is_admitted(&self) -> bool {
        matches!(self.phase, Phase::Admitted)
    }

    /// Its answer has to go out by then.
    pub(super) fn answer_by(&self) -> Micros {
        self.terms.expires - ANSWER_MARGIN
    }

    /// When something is due.
    pub(super) fn due(&self) -> Option<Micros> {
        match &self.phase {
            Phase::Requesting {
                until, retry_at, ..
            } => Some(*until.min(retry_at)),
            Phase::Conflicted { retry_at } => Some(*retry_at),
            Phase::Waiting => Some(self.answer_by()),
            Phase::Admitted => None,
        }
    }

    /// What the claims of its key but its own say.
    pub(super) fn stand(&self, input: &StepInput) -> Stand {
        stand(
            input.map,
            &self.prefix,
            self.claim_key.as_ref(),
            input.electors,
            input.now,
        )
    }

    /// The record of its claim.
    pub(super) fn record(&self, state: Ran, until: Micros) -> (Key, Entry) {
        kinds::effect(&self.prefix[1..], self.claim_id, state, &self.claim, until)
    }

    /// How many owners have given this verdict.
    pub(super) fn verdict_count(&self, verdict: Verdict) -> usize {
        let Phase::Requesting { verdicts, .. } = &self.phase else {
            return 0;
        };
        verdicts.values().filter(|given| **given == verdict).count()
    }
}
