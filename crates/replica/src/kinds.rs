//! What is replicated: each kind with how its records are ranked, which is its rule for copies that differ.

use crate::map::{Entry, Key};
use crate::Micros;
use prost::Message;

/// Numbers are those of the wire. A build that does not know one merges by rank, passes on and drops when over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Purge = 1,
    Machine = 2,
    Effect = 3,
    Learned = 16,
    Usage = 17,
}

impl Kind {
    pub const ALL: [Kind; 5] = [Kind::Purge, Kind::Machine, Kind::Effect, Kind::Learned, Kind::Usage];

    pub fn of(number: u32) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| *kind as u32 == number)
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Purge => "purge",
            Kind::Machine => "machine",
            Kind::Effect => "effect",
            Kind::Learned => "learned",
            Kind::Usage => "usage",
        }
    }
}

/// Kinds that are compared together: by how much it matters that they are the same soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tree {
    Urgent = 0,
    Effects = 1,
    Rest = 2,
}

pub const TREES: usize = 3;
/// Kinds below this one are urgent, whoever knows them.
const URGENT_BELOW: u32 = 16;

impl Tree {
    pub const ALL: [Tree; TREES] = [Tree::Urgent, Tree::Effects, Tree::Rest];

    pub fn of(kind: u32) -> Tree {
        match kind {
            _ if kind == Kind::Effect as u32 => Tree::Effects,
            _ if kind < URGENT_BELOW => Tree::Urgent,
            _ => Tree::Rest,
        }
    }

    pub fn number(number: u32) -> Option<Tree> {
        Tree::ALL.get(number as usize).copied()
    }

    /// Numbers of its kinds, from and to before.
    pub fn kinds(self) -> &'static [(u32, u32)] {
        const EFFECT: u32 = Kind::Effect as u32;
        match self {
            Tree::Urgent => &[(0, EFFECT), (EFFECT + 1, URGENT_BELOW)],
            Tree::Effects => &[(EFFECT, EFFECT + 1)],
            Tree::Rest => &[(URGENT_BELOW, u32::MAX)],
        }
    }

    /// News of it is pushed on at once.
    pub fn pushed(self) -> bool {
        self != Tree::Rest
    }
}

// Purges: the latest stamp stands. What was told is never untold.

/// `object` or a whole group; stamps are Unix time in microseconds.
pub fn purge(object: Option<u64>, group: u32, stamp: Micros, keep: Micros) -> (Key, Entry) {
    let name = match object {
        Some(object) => [&[b'o'][..], &object.to_be_bytes()].concat(),
        None => [&[b'g'][..], &group.to_be_bytes()].concat(),
    };
    let entry = Entry { rank: (stamp.max(0) as u64, 0), value: Vec::new(), until: stamp + keep };
    (Key::new(Kind::Purge, name), entry)
}

/// Object or group, and stamp.
pub fn read_purge(key: &Key, entry: &Entry) -> Option<(Option<u64>, u32, Micros)> {
    let (letter, rest) = key.name.split_first()?;
    let stamp = entry.rank.0 as Micros;
    match letter {
        b'o' => Some((Some(u64::from_be_bytes(rest.try_into().ok()?)), 0, stamp)),
        b'g' => Some((None, u32::from_be_bytes(rest.try_into().ok()?), stamp)),
        _ => None,
    }
}

// The list of caches: of one start the phase only moves on, a later start stands over all of the former.

#[derive(Clone, PartialEq, Message)]
pub struct Machine {
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(string, tag = "2")]
    pub locality: String,
    #[prost(string, tag = "3")]
    pub flavor: String,
    #[prost(uint32, tag = "4")]
    pub cell: u32,
    #[prost(double, tag = "5")]
    pub size: f64,
}

/// How far a machine has come: 0 ready, 1 draining, 2 gone. `start` is that of its process by the list, Unix time.
pub fn machine(id: &str, start: Micros, phase: u8, machine: &Machine, until: Micros) -> (Key, Entry) {
    let rank = (start.max(0) as u64, u64::from(phase));
    (Key::new(Kind::Machine, id), Entry { rank, value: machine.encode_to_vec(), until })
}

/// Id, start, phase and what else is known of it.
pub fn read_machine(key: &Key, entry: &Entry) -> Option<(String, Micros, u8, Machine)> {
    let id = String::from_utf8(key.name.clone()).ok()?;
    let machine = Machine::decode(entry.value.as_slice()).ok()?;
    Some((id, entry.rank.0 as Micros, entry.rank.1.min(2) as u8, machine))
}

// Effects: each claim has one writer; its state only moves on. What a key's claims say together is in `ledger`.

/// The states of one claim, in the order in which a later stands over an earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ran {
    /// Asked for; no send was made before others agreed, but they can't know when.
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
    pub const ALL: [Ran; 5] = [Ran::Asked, Ran::May, Ran::Not, Ran::Lost, Ran::Done];

    pub fn of(number: u64) -> Option<Ran> {
        Ran::ALL.get(number as usize).copied()
    }

    pub fn name(self) -> &'static str {
        match self {
            Ran::Asked => "asked",
            Ran::May => "may have run",
            Ran::Not => "surely not run",
            Ran::Lost => "may have run, ended",
            Ran::Done => "ran",
        }
    }

    /// The claim still is, or may be, in the way of another.
    pub fn open(self) -> bool {
        self <= Ran::May
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Whose it is, by its name and start.
    #[prost(string, tag = "1")]
    pub holder: String,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// When the first send of this key may have left, by any claim: the origin drops repeats from then on.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// When its holder's client is owed an answer at the latest: by then its outcome is known or lost.
    #[prost(uint64, tag = "4")]
    pub ends: u64,
    /// The answer's body; none where it was too long to keep.
    #[prost(bytes = "vec", optional, tag = "5")]
    pub body: Option<Vec<u8>>,
    #[prost(bool, tag = "6")]
    pub current: bool,
}

/// Claims of a key stand side by side: by the key, then by holder and number.
pub fn effect_prefix(key: &[u8]) -> Vec<u8> {
    // A length in front keeps a key from being the beginning of another.
    let mut name = vec![key.len().min(EFFECT_KEY) as u8];
    if key.len() <= EFFECT_KEY {
        name.extend(key);
    } else {
        // Clients' are 32 digits; of longer ones a hash stands for the rest.
        name.extend(&key[..EFFECT_KEY - 16]);
        name.extend(xxhash_rust::xxh3::xxh3_128(key).to_be_bytes());
    }
    name
}

pub const EFFECT_KEY: usize = 80;

pub fn effect(key: &[u8], id: (u64, u64), ran: Ran, claim: &Claim, until: Micros) -> (Key, Entry) {
    let mut name = effect_prefix(key);
    name.extend(id.0.to_be_bytes());
    name.extend(id.1.to_be_bytes());
    let entry = Entry { rank: (ran as u64, 0), value: claim.encode_to_vec(), until };
    (Key::new(Kind::Effect, name), entry)
}

pub fn read_effect(entry: &Entry) -> Option<(Ran, Claim)> {
    Some((Ran::of(entry.rank.0)?, Claim::decode(entry.value.as_slice()).ok()?))
}

// What was learned and used: one writer each, by its start; a later version stands.

/// What one front says of a thing: numbers, whose meaning the thing's letter tells.
#[derive(Clone, PartialEq, Message)]
pub struct Sight {
    #[prost(string, tag = "1")]
    pub writer: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(double, repeated, tag = "3")]
    pub numbers: Vec<f64>,
    /// When it was seen.
    #[prost(uint64, tag = "4")]
    pub at: u64,
}

/// `what` begins with a letter: `l` the length of an object, `m` a machine. Sights of one thing stand side by side.
pub fn sight(kind: Kind, what: &[u8], start: u64, sight: &Sight, until: Micros) -> (Key, Entry) {
    let mut name = vec![what.len().min(255) as u8];
    name.extend(&what[..what.len().min(EFFECT_KEY)]);
    name.extend(sight.writer.bytes().take(40));
    (Key::new(kind, name), Entry { rank: (start, sight.at), value: sight.encode_to_vec(), until })
}

pub fn sight_prefix(what: &[u8]) -> Vec<u8> {
    [&[what.len().min(255) as u8][..], &what[..what.len().min(EFFECT_KEY)]].concat()
}

/// What it is about, and what was seen.
pub fn read_sight(key: &Key, entry: &Entry) -> Option<(Vec<u8>, Sight)> {
    let (length, rest) = key.name.split_first()?;
    let what = rest.get(..usize::from(*length))?.to_vec();
    Some((what, Sight::decode(entry.value.as_slice()).ok()?))
}
