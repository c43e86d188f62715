//! All claims of a key, and what they say together.

use super::{Ledger, Voters};
use crate::map::Map;
use crate::record::Key;
use crate::record_type::RecordType;
use crate::records::{self, Claim, ClaimState};
use crate::wire_time;
use crate::Micros;

/// An attempt of a claim that was sent later than this from now was sent nobody knows when: its holder's clock is wrong.
const MAX_CLOCK_SKEW: Micros = 500_000;
/// A claim whose holder's client has stopped waiting is waited for no longer than this.
const DEADLINE_GRACE: Micros = 100_000;

/// What the claims of a key say together. The strongest counts.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// Nothing conflicts with a new claim.
    Unclaimed,
    /// The outcome of a claim is to be waited for.
    InProgress {
        /// When the first attempt may have been sent.
        first_sent_at: Micros,
    },
    /// It may have run, and no outcome will be known.
    OutcomeLost {
        /// When the first attempt may have been sent.
        first_sent_at: Micros,
    },
    /// It ran.
    Completed {
        /// Whether the response was current.
        current: bool,
        /// The response; none where it was too long to store.
        body: Option<Vec<u8>>,
    },
}

impl KeyStatus {
    /// What one claim says; none if it says nothing.
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

    /// What two claims say together: the earliest attempt counts for the origin's window, and a claim that is still
    /// waited for counts before one that is not.
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

/// What the claims of a key but `except` say together.
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

/// All claims of a key but `except`.
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

/// The part of a claim's name that all claims of its key share.
pub(super) fn shared_prefix(claim: &Key) -> &[u8] {
    let length = claim
        .name
        .first()
        .map_or(0, |length| usize::from(*length) + 1);
    &claim.name[..length.min(claim.name.len())]
}

/// When the first attempt for a claim's key may have been sent; long ago where the claim cannot tell, so that nobody relies
/// on the origin's window.
fn first_sent_at(claim: &Claim, now: Micros) -> Micros {
    let sent_at = wire_time::from_wire(claim.first_sent_at);
    if sent_at > now + MAX_CLOCK_SKEW {
        return 0;
    }
    sent_at
}

/// Whether nobody will end a claim any more: its holder is gone or late.
pub(super) fn is_abandoned(claim: &Claim, voters: &Voters, now: Micros) -> bool {
    !voters.is_holder_alive(claim) || now > wire_time::from_wire(claim.deadline) + DEADLINE_GRACE
}

impl Ledger {
    /// The history of one key: the state of each of its claims, oldest first.
    pub fn claim_history(map: &Map, key: &[u8]) -> Vec<(ClaimState, Claim)> {
        let prefix = records::claim_prefix(key);
        let mut history: Vec<_> = claims_of_key(map, &prefix, None)
            .map(|(_, state, claim)| (state, claim))
            .collect();
        history.sort_by_key(|(_, claim)| claim.first_sent_at);
        history
    }
}
