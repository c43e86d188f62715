//! All claims of a key, and what they say together.

use super::{Electors, Ledger};
use crate::kind::Kind;
use crate::kinds::{self, Claim, Ran};
use crate::map::Map;
use crate::record::Key;
use crate::Micros;

/// A claim whose holder's client has stopped waiting is waited for no longer than this.
const GRACE: Micros = 100_000;

/// What the claims of a key say together. The strongest stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stand {
    /// Nothing is in the way of a claim.
    Free,
    /// The outcome of a claim is to be waited for.
    Open {
        /// When the first send may have left.
        first: Micros,
    },
    /// It may have run, and no outcome will be known.
    Lost {
        /// When the first send may have left.
        first: Micros,
    },
    /// It ran.
    Done {
        /// Whether the answer was current.
        current: bool,
        /// The answer; none where it was too long to keep.
        body: Option<Vec<u8>>,
    },
}

impl Stand {
    /// What one claim says; none if it says nothing.
    fn of(state: Ran, claim: Claim, abandoned: bool) -> Option<Stand> {
        let first = claim.first as Micros;
        match state {
            Ran::Not => None,
            Ran::Done => Some(Stand::Done {
                current: claim.current,
                body: claim.body,
            }),
            Ran::Asked | Ran::May if !abandoned => Some(Stand::Open { first }),
            Ran::Asked | Ran::May | Ran::Lost => Some(Stand::Lost { first }),
        }
    }

    /// What two claims say together: the earliest send counts for the origin's window, and a claim that is still waited
    /// for counts before one that is not.
    fn and(self, next: Stand) -> Stand {
        match (self, next) {
            (Stand::Free, next) => next,
            (Stand::Open { first: a }, Stand::Open { first: b } | Stand::Lost { first: b }) => {
                Stand::Open { first: a.min(b) }
            }
            (Stand::Lost { first: a }, Stand::Open { first: b }) => Stand::Open { first: a.min(b) },
            (Stand::Lost { first: a }, Stand::Lost { first: b }) => Stand::Lost { first: a.min(b) },
            (former, _) => former,
        }
    }
}

/// What the claims of a key but `except` say together.
pub fn stand(
    map: &Map,
    prefix: &[u8],
    except: Option<&Key>,
    electors: &Electors,
    now: Micros,
) -> Stand {
    let mut stand = Stand::Free;
    for (_, state, claim) in claims(map, prefix, except) {
        let abandoned = is_abandoned(&claim, electors, now);
        match Stand::of(state, claim, abandoned) {
            Some(done @ Stand::Done { .. }) => return done,
            Some(next) => stand = stand.and(next),
            None => {}
        }
    }
    stand
}

/// All claims of a key but `except`.
pub(super) fn claims<'a>(
    map: &'a Map,
    prefix: &'a [u8],
    except: Option<&'a Key>,
) -> impl Iterator<Item = (&'a Key, Ran, Claim)> {
    let all = map
        .with_prefix(Kind::Effect, prefix)
        .filter(move |(key, _)| Some(*key) != except);
    all.filter_map(|(key, entry)| {
        kinds::read_effect(entry).map(|(state, claim)| (key, state, claim))
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

/// Whether nobody will end a claim any more: its holder is gone or late.
pub(super) fn is_abandoned(claim: &Claim, electors: &Electors, now: Micros) -> bool {
    !electors.is_holder_alive(claim) || now > claim.ends as Micros + GRACE
}

impl Ledger {
    /// The history of one key: the state of each of its claims, oldest first.
    pub fn story(map: &Map, key: &[u8]) -> Vec<(Ran, Claim)> {
        let prefix = kinds::effect_prefix(key);
        let mut all: Vec<_> = claims(map, &prefix, None)
            .map(|(_, state, claim)| (state, claim))
            .collect();
        all.sort_by_key(|(_, claim)| claim.first);
        all
    }
}
