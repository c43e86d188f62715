//! Claims to effects. Rank: the state, which only advances. Each claim is written by its holder alone; `ledger` decides
//! what the claims of one key say together.

use super::bounded_name::bounded;
use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::Micros;
use prost::Message;

/// The state of one claim. A later state wins over an earlier one; the numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimState {
    /// Requested. Nothing is sent before a quorum has granted it, but other proxies can't tell when that happens.
    Requested = 0,
    /// An attempt may be in flight, or was and nobody knows how it ended.
    MayHaveRun = 1,
    /// The claim ended with proof that no attempt of it ran.
    NotRun = 2,
    /// Ended without proof: it may have run, and no outcome is known.
    OutcomeLost = 3,
    /// It ran with this outcome.
    Completed = 4,
}

impl ClaimState {
    /// All states, by their numbers.
    pub const ALL: [ClaimState; 5] = [
        ClaimState::Requested,
        ClaimState::MayHaveRun,
        ClaimState::NotRun,
        ClaimState::OutcomeLost,
        ClaimState::Completed,
    ];

    /// The state with this number in a record's rank.
    pub fn from_rank(number: u64) -> Option<ClaimState> {
        ClaimState::ALL.get(number as usize).copied()
    }

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            ClaimState::Requested => "asked",
            ClaimState::MayHaveRun => "may have run",
            ClaimState::NotRun => "surely not run",
            ClaimState::OutcomeLost => "may have run, ended",
            ClaimState::Completed => "ran",
        }
    }

    /// Whether the claim has not ended, so that it may conflict with another.
    pub fn is_open(self) -> bool {
        self <= ClaimState::MayHaveRun
    }
}

/// A proxy's claim to the effect of one idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The name of the proxy that holds it.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// The holder's incarnation: when its process started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// When the first attempt for this key may have been sent, by any claim: the origin drops repeats from then on.
    #[prost(uint64, tag = "3")]
    pub first_sent_at: u64,
    /// The deadline of its holder's client: by then its outcome is known or lost.
    #[prost(uint64, tag = "4")]
    pub deadline: u64,
    /// The body of the response; none where it was too long to store.
    #[prost(bytes = "vec", optional, tag = "5")]
    pub body: Option<Vec<u8>>,
    /// Whether the response was current.
    #[prost(bool, tag = "6")]
    pub current: bool,
}

/// Longest part of a key that goes into a record's name as it is.
pub const MAX_PLAIN_KEY_BYTES: usize = 80;

/// The beginning of the names of all claims to a key: they are adjacent in the map, ordered by holder and number.
pub fn claim_prefix(key: &[u8]) -> Vec<u8> {
    // The length in front keeps one key from being the prefix of another.
    let key = bounded(key, MAX_PLAIN_KEY_BYTES);
    [&[key.len() as u8][..], &key].concat()
}

/// The record of a claim; `id` is its holder's hash and its number there.
pub fn claim_record(
    key: &[u8],
    id: (u64, u64),
    state: ClaimState,
    claim: &Claim,
    expires_at: Micros,
) -> (Key, Entry) {
    let mut name = claim_prefix(key);
    name.extend(id.0.to_be_bytes());
    name.extend(id.1.to_be_bytes());
    let entry = Entry {
        rank: (state as u64, 0),
        value: claim.encode_to_vec(),
        expires_at,
    };
    (Key::new(RecordType::Claim, name), entry)
}

/// Decodes a claim and its state.
pub fn decode_claim(entry: &Entry) -> Option<(ClaimState, Claim)> {
    let state = ClaimState::from_rank(entry.rank.0)?;
    let claim = Claim::decode(entry.value.as_slice()).ok()?;
    Some((state, claim))
}
