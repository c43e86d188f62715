//! Claims to side effects. The rank is the state, which only advances. Only its holder writes a claim; `ledger` derives
//! the status of a key from all its claims.

use super::bounded_name::bounded;
use crate::record::{Entry, Key};
use crate::record_type::RecordType;
use crate::Micros;
use prost::Message;

/// The state of one claim. A later state wins over an earlier one. The numbers are part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimState {
    /// The claim was requested. No attempt is sent before a quorum grants it, but other proxies cannot know when that
    /// happens.
    Requested = 0,
    /// An attempt may be in flight, or was in flight and its outcome is unknown.
    MayHaveRun = 1,
    /// The claim ended with proof that no attempt under it ran.
    NotRun = 2,
    /// The claim ended without proof: an attempt may have run, and its outcome is not known.
    OutcomeLost = 3,
    /// An attempt ran, and the claim contains its outcome.
    Completed = 4,
}

impl ClaimState {
    /// All states, in the order of their numbers.
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

    /// Whether the claim has not ended, so that it may conflict with another claim.
    pub fn is_open(self) -> bool {
        self <= ClaimState::MayHaveRun
    }
}

/// A proxy's claim to the side effect of one idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The name of the proxy that holds the claim.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// The holder's incarnation: when its process started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// When the first attempt for this key may have been sent, under any claim. The origin drops repeats from then on.
    #[prost(uint64, tag = "3")]
    pub first_sent_at: u64,
    /// The deadline of the holder's client. By then the outcome of the claim is known or lost.
    #[prost(uint64, tag = "4")]
    pub deadline: u64,
    /// The body of the response; none if it was too long to store.
    #[prost(bytes = "vec", optional, tag = "5")]
    pub body: Option<Vec<u8>>,
    /// Whether the response was current.
    #[prost(bool, tag = "6")]
    pub current: bool,
}

/// Maximum length of a key that is included in a record's name unchanged.
pub const MAX_PLAIN_KEY_BYTES: usize = 80;

/// The prefix of the names of all claims to a key, which are adjacent in the map and ordered by holder and number.
pub fn claim_prefix(key: &[u8]) -> Vec<u8> {
    // The length prefix ensures that no encoded key is a prefix of another.
    let key = bounded(key, MAX_PLAIN_KEY_BYTES);
    [&[key.len() as u8][..], &key].concat()
}

/// The record of a claim. `id` is the holder's hash and the holder's number for the claim.
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
