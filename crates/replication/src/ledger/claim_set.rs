//! All claims to a key, and the status of the key that results from them.

use super::{Ledger, Voters};
use crate::map::Map;
use crate::record::Key;
use crate::record_type::RecordType;
use crate::records::{self, Claim, ClaimState};
use crate::wire_time;
use crate::Micros;

/// If a claim's first attempt is further in the future than this, the time at which it was sent is unknown, because its
/// holder's clock is wrong.
const MAX_CLOCK_SKEW: Micros = 500_000;
/// An open claim is waited for until this long after its holder's client has stopped waiting.
const DEADLINE_GRACE: Micros = 100_000;

/// The status of a key that results from its claims. The strongest claim determines it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// Nothing conflicts with a new claim.
    Unclaimed,
    /// A claim is open whose outcome can still become known.
    InProgress {
        /// When the first attempt may have been sent.
        first_sent_at: Micros,
    },
    /// An attempt may have run, and its outcome will not become known.
    OutcomeLost {
        /// When the first attempt may have been sent.
        first_sent_at: Micros,
    },
    /// An attempt ran.
    Completed {
        /// Whether the response was current.
        current: bool,
        /// The response; none if it was too long to store.
        body: Option<Vec<u8>>,
    },
}

impl KeyStatus {
    /// The status that results from one claim; none for a claim that did not run.
    fn of_claim(
        state: ClaimState,
        claim: Claim,
        abandoned: bool,
        now: Micros,
    ) -> Option<KeyStatus> {
        let first_sent_at = first_sent_at(&claim, now);
        match state {
            ClaimState::NotRun => None,
            ClaimState::Completed => Some(KeyStatus::Completed {
                current: claim.current,
                body: claim.body,
            }),
            ClaimState::Requested | ClaimState::MayHaveRun if !abandoned => {
                Some(KeyStatus::InProgress { first_sent_at })
            }
            ClaimState::Requested | ClaimState::MayHaveRun | ClaimState::OutcomeLost => {
                Some(KeyStatus::OutcomeLost { first_sent_at })
            }
        }
    }

    /// Combines the statuses that result from two claims. The earliest attempt counts for the origin's deduplication
    /// window, and a claim in progress takes precedence over one with a lost outcome.
    fn combine(self, next: KeyStatus) -> KeyStatus {
        use KeyStatus::{Completed, InProgress, OutcomeLost, Unclaimed};
        match (self, next) {
            (Unclaimed, next) => next,
            (
                InProgress { first_sent_at: a },
                InProgress { first_sent_at: b } | OutcomeLost { first_sent_at: b },
            )
            | (OutcomeLost { first_sent_at: a }, InProgress { first_sent_at: b }) => InProgress {
                first_sent_at: a.min(b),
            },
            (OutcomeLost { first_sent_at: a }, OutcomeLost { first_sent_at: b }) => OutcomeLost {
                first_sent_at: a.min(b),
            },
            (former @ Completed { .. }, _) | (former, Completed { .. } | Unclaimed) => former,
        }
    }
}

/// The status of a key according to all its claims other than `except`.
pub fn key_status(
    map: &Map,
    prefix: &[u8],
    except: Option<&Key>,
    voters: &Voters,
    now: Micros,
) -> KeyStatus {
    let mut status = KeyStatus::Unclaimed;
    for (_, state, claim) in claims_of_key(map, prefix, except) {
        let abandoned = is_abandoned(&claim, voters, now);
        match KeyStatus::of_claim(state, claim, abandoned, now) {
            Some(completed @ KeyStatus::Completed { .. }) => return completed,
            Some(next) => status = status.combine(next),
            None => {}
        }
    }
    status
}

/// All claims of a key other than `except`.
pub(super) fn claims_of_key<'a>(
    map: &'a Map,
    prefix: &'a [u8],
    except: Option<&'a Key>,
) -> impl Iterator<Item = (&'a Key, ClaimState, Claim)> {
    map.with_prefix(RecordType::Claim, prefix)
        .filter(move |(key, _)| Some(*key) != except)
        .filter_map(|(key, entry)| {
            let (state, claim) = records::decode_claim(entry)?;
            Some((key, state, claim))
        })
}

/// The prefix of a claim's name that all claims to the same key share.
pub(super) fn shared_prefix(claim: &Key) -> &[u8] {
    let length = claim
        .name
        .first()
        .map_or(0, |length| usize::from(*length) + 1);
    &claim.name[..length.min(claim.name.len())]
}

/// When the first attempt for a claim's key may have been sent. If the claim's time is implausible this is 0, long
/// ago, so that no proxy relies on the origin's deduplication window.
fn first_sent_at(claim: &Claim, now: Micros) -> Micros {
    let sent_at = wire_time::from_wire(claim.first_sent_at);
    if sent_at > now + MAX_CLOCK_SKEW {
        return 0;
    }
    sent_at
}

/// Whether a claim is not expected to be ended any more: its holder is not alive, or its deadline and the grace
/// period after it have passed.
pub(super) fn is_abandoned(claim: &Claim, voters: &Voters, now: Micros) -> bool {
    !voters.is_holder_alive(claim) || now > wire_time::from_wire(claim.deadline) + DEADLINE_GRACE
}

impl Ledger {
    /// The claims to one key with their states, ordered by the time of their first attempt.
    pub fn claim_history(map: &Map, key: &[u8]) -> Vec<(ClaimState, Claim)> {
        let prefix = records::claim_prefix(key);
        let mut history: Vec<_> = claims_of_key(map, &prefix, None)
            .map(|(_, state, claim)| (state, claim))
            .collect();
        history.sort_by_key(|(_, claim)| claim.first_sent_at);
        history
    }
}
