//! How the records of each kind are encoded and ranked. The rank is the kind's rule for copies that differ.

use crate::record::{Entry, Key};
use crate::Micros;
use prost::Message;

pub use crate::kind::{Kind, Tree};

// Purges: the latest stamp stands. A purge is never taken back.

/// The record of a purge of one object, or of a whole group where there is none; `stamp` is Unix time in microseconds.
pub fn purge(object: Option<u64>, group: u32, stamp: Micros, keep: Micros) -> (Key, Entry) {
    let name = match object {
        Some(object) => [&[b'o'][..], &object.to_be_bytes()].concat(),
        None => [&[b'g'][..], &group.to_be_bytes()].concat(),
    };
    let entry = Entry {
        rank: (stamp.max(0) as u64, 0),
        value: Vec::new(),
        until: stamp + keep,
    };
    (Key::new(Kind::Purge, name), entry)
}

/// Reads a purge: the object or the group, and the stamp.
pub fn read_purge(key: &Key, entry: &Entry) -> Option<(Option<u64>, u32, Micros)> {
    let (letter, rest) = key.name.split_first()?;
    let stamp = entry.rank.0 as Micros;
    match letter {
        b'o' => Some((Some(u64::from_be_bytes(rest.try_into().ok()?)), 0, stamp)),
        b'g' => Some((None, u32::from_be_bytes(rest.try_into().ok()?), stamp)),
        _ => None,
    }
}

// Machines (caches): within one start the phase only advances; a later start stands over all earlier ones.

/// What is known of a cache beside its phase.
#[derive(Clone, PartialEq, Message)]
pub struct Machine {
    /// Where it listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its locality.
    #[prost(string, tag = "2")]
    pub locality: String,
    /// Its flavor.
    #[prost(string, tag = "3")]
    pub flavor: String,
    /// Its cell.
    #[prost(uint32, tag = "4")]
    pub cell: u32,
    /// Its size.
    #[prost(double, tag = "5")]
    pub size: f64,
}

/// The record of a machine's phase: 0 ready, 1 draining, 2 gone. `start` is when its process started, in Unix time, as
/// the journal service has it.
pub fn machine(
    id: &str,
    start: Micros,
    phase: u8,
    machine: &Machine,
    until: Micros,
) -> (Key, Entry) {
    let rank = (start.max(0) as u64, u64::from(phase));
    (
        Key::new(Kind::Machine, id),
        Entry {
            rank,
            value: machine.encode_to_vec(),
            until,
        },
    )
}

/// Reads a machine: id, start, phase and what else is known of it.
pub fn read_machine(key: &Key, entry: &Entry) -> Option<(String, Micros, u8, Machine)> {
    let id = String::from_utf8(key.name.clone()).ok()?;
    let machine = Machine::decode(entry.value.as_slice()).ok()?;
    Some((
        id,
        entry.rank.0 as Micros,
        entry.rank.1.min(2) as u8,
        machine,
    ))
}

// Effects: each claim has one writer, and its state only advances. `ledger` decides what a key's claims say together.

/// The state of one claim. A later state stands over an earlier one; the numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ran {
    /// Requested. Nothing is sent before a quorum has granted it, but other fronts can't tell when that happens.
    Asked = 0,
    /// A send may be out, or was and nobody knows how it ended.
    May = 1,
    /// The claim ended with proof that no send of it ran.
    Not = 2,
    /// Ended without proof: it may have run, and no outcome is known.
    Lost = 3,
    /// It ran with this outcome.
    Done = 4,
}

impl Ran {
    /// All states, by their numbers.
    pub const ALL: [Ran; 5] = [Ran::Asked, Ran::May, Ran::Not, Ran::Lost, Ran::Done];

    /// The state with this number on the wire.
    pub fn of(number: u64) -> Option<Ran> {
        Ran::ALL.get(number as usize).copied()
    }

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Ran::Asked => "asked",
            Ran::May => "may have run",
            Ran::Not => "surely not run",
            Ran::Lost => "may have run, ended",
            Ran::Done => "ran",
        }
    }

    /// Whether the claim has not ended, so that it may conflict with another.
    pub fn open(self) -> bool {
        self <= Ran::May
    }
}

/// A front's claim to the effect of one key.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The name of the front that holds it.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// When the process that holds it started.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// When the first send of this key may have left, by any claim: the origin drops repeats from then on.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// The deadline of its holder's client: by then its outcome is known or lost.
    #[prost(uint64, tag = "4")]
    pub ends: u64,
    /// The body of the answer; none where it was too long to keep.
    #[prost(bytes = "vec", optional, tag = "5")]
    pub body: Option<Vec<u8>>,
    /// Whether the answer was current.
    #[prost(bool, tag = "6")]
    pub current: bool,
}

/// Longest part of a key that goes into a record's name as it is.
pub const EFFECT_KEY: usize = 80;
/// Bytes of the hash that stands for the end of a longer key.
const KEY_HASH: usize = 16;

/// The beginning of the names of all claims to a key: they are adjacent in the map, ordered by holder and number.
pub fn effect_prefix(key: &[u8]) -> Vec<u8> {
    // The length in front keeps one key from being the prefix of another.
    let mut name = vec![key.len().min(EFFECT_KEY) as u8];
    if key.len() <= EFFECT_KEY {
        name.extend(key);
    } else {
        // Clients use 32 digits.
        name.extend(&key[..EFFECT_KEY - KEY_HASH]);
        name.extend(xxhash_rust::xxh3::xxh3_128(key).to_be_bytes());
    }
    name
}

/// The record of a claim; `id` is its holder's hash and its number there.
pub fn effect(key: &[u8], id: (u64, u64), ran: Ran, claim: &Claim, until: Micros) -> (Key, Entry) {
    let mut name = effect_prefix(key);
    name.extend(id.0.to_be_bytes());
    name.extend(id.1.to_be_bytes());
    let entry = Entry {
        rank: (ran as u64, 0),
        value: claim.encode_to_vec(),
        until,
    };
    (Key::new(Kind::Effect, name), entry)
}

/// Reads a claim and its state.
pub fn read_effect(entry: &Entry) -> Option<(Ran, Claim)> {
    Some((
        Ran::of(entry.rank.0)?,
        Claim::decode(entry.value.as_slice()).ok()?,
    ))
}

// Observations and usage: each record has one writer; its later start, then its later version, stands.

/// Longest subject and writer in the name of an observation, and the largest length that one byte tells.
const SUBJECT_MOST: usize = EFFECT_KEY;
const WRITER_MOST: usize = 40;
const LENGTH_MOST: usize = 255;

/// What one front observed of a subject. What the numbers mean depends on the kind of subject.
#[derive(Clone, PartialEq, Message)]
pub struct Sight {
    /// The name of the front.
    #[prost(string, tag = "1")]
    pub writer: String,
    /// The zone of the front.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// What was observed.
    #[prost(double, repeated, tag = "3")]
    pub numbers: Vec<f64>,
    /// When it was seen.
    #[prost(uint64, tag = "4")]
    pub at: u64,
}

/// The record of an observation by `sight.writer`, whose process started at `start`.
pub fn sight(kind: Kind, what: &[u8], start: u64, sight: &Sight, until: Micros) -> (Key, Entry) {
    let mut name = sight_prefix(what);
    name.extend(sight.writer.bytes().take(WRITER_MOST));
    (
        Key::new(kind, name),
        Entry {
            rank: (start, sight.at),
            value: sight.encode_to_vec(),
            until,
        },
    )
}

/// The beginning of the names of all observations of one subject: they are adjacent in the map.
pub fn sight_prefix(what: &[u8]) -> Vec<u8> {
    [
        &[what.len().min(LENGTH_MOST) as u8][..],
        &what[..what.len().min(SUBJECT_MOST)],
    ]
    .concat()
}

/// Reads an observation: its subject, and what was observed.
pub fn read_sight(key: &Key, entry: &Entry) -> Option<(Vec<u8>, Sight)> {
    let (length, rest) = key.name.split_first()?;
    let what = rest.get(..usize::from(*length))?.to_vec();
    Some((what, Sight::decode(entry.value.as_slice()).ok()?))
}
