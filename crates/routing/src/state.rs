//! What the decision module keeps, grouped by how long it lives: no decision and no value of its own.

use crate::host::micros;
use crate::interface::{EndpointEntry, EndpointIndex, Fill, Micros, Request};
use crate::room::{Rate, Rules, Smooth};
use smallvec::SmallVec;

// For one send.

/// How far a send may go for what it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    /// All the way.
    Plain,
    /// No further than the cache; the same for a copy past its fresh time.
    Look,
    Stale,
    /// Known to miss at the cache: to what the parent holds, or all the way.
    Held,
    Fetch,
}

/// A send on its way through the guards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bid {
    pub lk: u32,
    pub cache: EndpointIndex,
    pub fill: Fill,
    pub ask: Ask,
    pub share: f64,
    pub fetch: f64,
    /// Room in its latency budget, against a usual lookup.
    pub ease: f64,
    pub timeout: Micros,
    /// Work that it brings to the cache, and its likely part for the source.
    pub work: f64,
    pub fill_work: f64,
    /// What a peer of the cache's and the source's tier carries for this front, in work a second.
    pub norm: f64,
    pub fill_norm: f64,
    /// The latest purge or other bound on the age of a copy.
    pub purged: Option<Micros>,
}

/// What the host allows of copies, beside what purges and kinds say.
#[derive(Clone, Copy, Default)]
pub(crate) struct CopyBound {
    pub not_before: Option<Micros>,
    pub age: Option<Micros>,
    /// When this was told.
    pub told: Micros,
}

impl CopyBound {
    /// Copies from before this moment are refused.
    pub(crate) fn refused_before(&self, now: Micros) -> Option<Micros> {
        self.not_before.max(self.age.map(|age| now - age))
    }

    /// What has been decided before this moment did not know of the bound.
    pub(crate) fn binds_from(&self) -> Option<Micros> {
        self.not_before.max(self.age.map(|_| self.told))
    }
}

pub(crate) struct Sent {
    pub peer: EndpointIndex,
    pub source: Option<EndpointIndex>,
    pub at: Micros,
    pub out: bool,
    pub may_have_run: bool,
    pub cache_failed: bool,
    pub source_failed: bool,
    /// How much of a fill it is held to be, and of a fetch from the origin: none for one that only looks, all
    /// for a known miss.
    pub fill: f64,
    pub fetch: f64,
    pub ask: Ask,
    /// What it found was waited upon: it says nothing of what is there now.
    pub waited: bool,
    /// The latest purge or other bound that it knew of.
    pub purged: Option<Micros>,
    /// Called back before it was written, as what it was decided upon had changed.
    pub recalled: bool,
}

impl Sent {
    /// One that has just gone out: until its end is heard it may have run.
    pub(crate) fn new(bid: &Bid, now: Micros) -> Sent {
        Sent {
            peer: bid.cache,
            source: Some(bid.fill.source).filter(|s| *s != bid.cache),
            at: now,
            out: true,
            may_have_run: true,
            cache_failed: false,
            source_failed: false,
            fill: bid.share,
            fetch: bid.fetch,
            ask: bid.ask,
            waited: false,
            purged: bid.purged,
            recalled: false,
        }
    }
}

/// Peers in the order of a choice: in place, as each lookup makes some.
pub(crate) type Peers = SmallVec<[EndpointIndex; 16]>;

// For one lookup.

/// A lookup while the front owes its answer, and until the last of its sends is heard of.
pub(crate) struct Held {
    pub lk: Request,
    pub keep: u8,
    pub ended: bool,
    pub began: bool,
    pub sends: SmallVec<[Sent; 1]>,
    /// Peers that turned a bid away before it was sent.
    pub turned: Vec<EndpointIndex>,
    pub asked_at: Micros,
    /// This front was asked for the same lately.
    pub again: bool,
    /// No send is out, but a ring is due.
    pub waiting: bool,
    /// The client has ended its side: no further send begins.
    pub half_closed: bool,
}

impl Held {
    pub(crate) fn new(lk: Request) -> Held {
        Held {
            lk,
            keep: 0,
            ended: false,
            began: false,
            sends: SmallVec::new(),
            turned: Vec::new(),
            asked_at: 0,
            again: false,
            waiting: false,
            half_closed: false,
        }
    }
}

// For one cache, parent or origin.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
    Foreign,
}

/// What an outcome says of a peer: a failure or none, if anything.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    pub sure: Option<bool>,
    pub doubt: Option<bool>,
}

/// What a peer posts of itself: all that the desk knows when it chooses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Card {
    pub role: Role,
    pub stable: u64,
    pub zone: usize,
    pub weight: f64,
    pub open: bool,
    /// A good part of its gate's window is out.
    pub pressed: bool,
    /// Failures that were surely its own, and those that may have been.
    pub failing: Smooth,
    pub doubt: Smooth,
    pub first_byte: Smooth,
    pub latency: Smooth,
    pub pace: Smooth,
    pub carried: Rate,
    /// Good answers since the last bad one.
    pub streak: u32,
    pub tried_at: Micros,
    /// Sends that did not reach it since anything was heard.
    pub lost: u32,
    /// Sends out since anything was heard, and since when.
    pub owed: u32,
    pub owed_since: Micros,
}

impl Card {
    /// The share of what it gets that it fails, whether surely or in doubt.
    pub(crate) fn failing(&self, now: Micros, drift: f64) -> f64 {
        self.failing
            .drifted(now, 0.0, drift)
            .max(self.doubt.drifted(now, 0.0, drift))
    }

    /// Of a peer of which nothing is known.
    pub(crate) fn new() -> Card {
        Card {
            role: Role::Foreign,
            stable: 0,
            zone: 0,
            weight: 1.0,
            open: false,
            pressed: false,
            failing: Smooth::at(0.0),
            doubt: Smooth::at(0.0),
            first_byte: Smooth::default(),
            latency: Smooth::default(),
            pace: Smooth::at(1.0),
            carried: Rate::default(),
            streak: 0,
            tried_at: 0,
            lost: 0,
            owed: 0,
            owed_since: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Note {
    Listed(EndpointEntry),
    /// What others make of it: share of failures, first-byte time.
    Thought(f64, Option<Micros>),
    Unlisted,
    Sweep,
    Lend(Bid),
    Carry(Bid),
    /// To the cache that a send went to.
    Done {
        verdict: Verdict,
        lost: bool,
        heard: bool,
        time: Option<f64>,
        pace: Option<f64>,
        work: f64,
    },
    /// To the source that it named.
    Gave {
        verdict: Verdict,
        first_byte: Option<Micros>,
        took: Option<Micros>,
        work: f64,
    },
    /// To a parent: a fill has gone out with it as the source; and how that ended, in parts of the latency budget where
    /// it tells of the parent's own link.
    Lent(f64),
    Returned {
        share: f64,
        time: Option<f64>,
    },
    /// To the desk.
    Posted(EndpointIndex, Card),
    Sent(Bid),
    Turned(Bid, EndpointIndex),
    Crowded(Bid),
}

// For the instance.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Repeat {
    Idempotent,
    Deduplicated,
    SideEffecting,
}

/// What is told of an object kind, and the mean of what its lookups bring in work.
pub(crate) struct Kind {
    pub repeat: Repeat,
    pub group: String,
    pub window: Micros,
    pub budget: Micros,
    pub stretch: f64,
    pub fresh: Micros,
    pub grace: Micros,
    pub uncacheable: bool,
    pub work: f64,
    pub recent: f64,
    pub seen: f64,
    /// What one counts for at a cold machine: from a mean over many.
    pub load: f64,
    pub mean: f64,
    pub counted: f64,
    /// Share of its lookups that were answered, and how much the largest and the next have been kept back against it.
    pub answered: Smooth,
    pub kept_back: [f64; 2],
}

impl Kind {
    /// From the settings; what is not told is taken for nothing, or for a second where nothing would not do.
    pub(crate) fn read(rules: &Rules, k: usize) -> Kind {
        let name = |what: &str| format!("classes.{k}.{what}");
        let budget = micros(rules.told(&name("goal_time_s"), 1.0));
        Kind {
            repeat: match rules.text(&name("repeat")) {
                "safe" => Repeat::Idempotent,
                "keyed" => Repeat::Deduplicated,
                _ => Repeat::SideEffecting,
            },
            group: rules.text(&name("group")).to_string(),
            window: micros(rules.told(&name("key_ttl_s"), 0.0)),
            budget,
            stretch: rules.told(&name("aim_stretch"), 0.0),
            fresh: (rules.item_num("specifics.max_age_s", k) * 1e6) as Micros,
            grace: (rules.item_num("specifics.stale_for_s", k) * 1e6) as Micros,
            uncacheable: rules.item("specifics.goes_through", k) == "true",
            // Until lookups were seen: all the time that they have, the careful side for cold machines.
            work: budget as f64,
            recent: budget as f64,
            seen: 1.0,
            load: budget as f64,
            mean: 0.0,
            counted: 0.0,
            answered: Smooth::at(1.0),
            kept_back: [0.0; 2],
        }
    }
}
