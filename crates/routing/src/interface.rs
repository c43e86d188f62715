//! What the decision module is told ([`Event`]) and what it asks for ([`Action`]).
//!
//! A host keeps one [`crate::control::Front`] for each instance, maps its own names of caches to small
//! indices at the door ([`PeerIx`]), and hands on events in the order in which they came. Times are whole
//! microseconds of the host's clock.

use std::collections::BTreeMap;

/// A moment or a span, in whole microseconds.
pub type Micros = i64;
/// Small index of a cache, parent or origin; the host gives them out from 0, and one again once it is
/// forgotten ([`Action::Forget`]).
pub type PeerIx = usize;
/// Settings as names and values; unknown names are harmless.
pub type Settings = BTreeMap<String, String>;

/// How a machine stands in the list of caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub peer: PeerIx,
    /// The same at every front and over restarts: what is hashed.
    pub stable: u64,
    pub machine: u8,
    /// When its process started last; 0 for long ago.
    pub since: Micros,
    pub zone: u8,
    pub cell: u16,
    pub weight: f64,
    pub standing: Standing,
}

/// What a list event brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// All there is: what is missing has gone.
    Full(Vec<Entry>),
    /// Only what has changed.
    Delta(Vec<Entry>),
    /// Discovery could not be asked; the former list stands.
    Failed,
}

/// A client's try, to be given exactly one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lookup {
    pub id: u32,
    pub object: u64,
    pub part: u32,
    /// 0 where it is not told.
    pub size_kb: f64,
    pub group: u32,
    pub kind: usize,
    pub expires: Micros,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Satisfied,
    Error,
    TurnedAway,
    TimedOut,
    Unconnected,
    Broken,
    Cancelled,
    Moot,
    Miss,
}

impl Ending {
    /// Whether a send that ended so may have run (the wire's page on how attempts end).
    pub fn may_have_run(self) -> bool {
        use Ending::{Broken, Cancelled, Error, Satisfied, TimedOut};
        matches!(self, Satisfied | Error | TimedOut | Broken | Cancelled)
    }
}

/// What the cache says of how it came by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remark {
    None,
    Hit,
    Filled,
    FilledFromOrigin,
    Joined,
    Old,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

/// The one outcome of a send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub id: u32,
    pub send: u8,
    pub peer: PeerIx,
    pub ending: Ending,
    pub took: Micros,
    /// The lookup has ended, by this or before.
    pub finished: bool,
    pub remark: Remark,
    pub first_byte: Option<Micros>,
    /// How large the part was, in the unit of the settings; 0 where the answer does not show it.
    pub size_kb: f64,
    /// Values in the order of the setting `feedback.fields`.
    pub report: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Listed(Listing),
    Asked(Lookup),
    /// A streamed answer has begun.
    Began {
        id: u32,
    },
    Ended(Outcome),
    /// The client left, or its time is over: nothing more is owed.
    Left {
        id: u32,
    },
    /// Since when changes of the list and purges may have been kept back; none once all has been told again.
    OutOfTouch {
        since: Option<Micros>,
    },
    /// What copies may be served beside what purges and kinds say: none issued before a moment, and none older than a
    /// span. Both none: no such bound.
    CopiesBounded {
        not_before: Option<Micros>,
        age: Option<Micros>,
    },
    /// The client has ended its side: nothing more is to begin for it, while what is out may still be of use.
    HalfClosed {
        id: u32,
    },
    /// The connection that a send waited for is up, and nothing was written on it. Hosts without connections of their
    /// own never say so: there a send is out at once.
    Connected {
        id: u32,
        send: u8,
    },
    Rang {
        token: u32,
    },
    Probed {
        peer: PeerIx,
        ending: Ending,
        took: Micros,
        report: Vec<f64>,
    },
    Heard {
        from: u16,
        bytes: Vec<u8>,
    },
    /// Other fronts saw this part of an object asked for: the highest of late.
    Recalled {
        object: u64,
        highest: u32,
    },
    /// What other fronts make of a machine: its share of failures, and its first-byte time if it is a source.
    Thought {
        peer: PeerIx,
        failing: f64,
        first_byte: Option<Micros>,
    },
    /// One object (all parts) or, with none, a group was purged so long ago.
    Purged {
        object: Option<u64>,
        group: u32,
        ago: Micros,
    },
}

/// What a cache is to do with what it lacks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    pub source: PeerIx,
    /// 0 passes through unkept; 1 to 3 are ranks.
    pub keep: u8,
    /// Oldest copy that will do; 0 is the kind's fresh time.
    pub age: Micros,
    pub join: bool,
    pub renew: bool,
    /// The source is to fetch nothing for it.
    pub held_only: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Without a fill the cache is asked only for what it holds.
    Send {
        id: u32,
        peer: PeerIx,
        time_out: Micros,
        fill: Option<Fill>,
    },
    Nack {
        id: u32,
        come_back: Micros,
    },
    Fail {
        id: u32,
    },
    Cancel {
        id: u32,
        send: u8,
    },
    /// A send that waited for its connection may be written.
    Write {
        id: u32,
        send: u8,
    },
    Ring {
        at: Micros,
        token: u32,
    },
    Subscribe,
    /// The index is free again: its machine left the list long ago, and nothing is out there.
    Forget {
        peer: PeerIx,
    },
    Log(String),
}
