//! One front's copy of the shared state, as a state machine: messages, local events and time go in, actions for the
//! host come out.
//!
//! Updates to urgent records (purges, machines, claims to effects) are disseminated as rumors when they happen. All
//! kinds are compared with one other front each period, by digests of buckets, then hashes, then what is missing. A
//! front that starts copies everything from the two nearest, urgent kinds first.

mod actions;
mod anti_entropy;
mod budget;
mod catch_up;
mod claims;
mod counts;
mod donor;
mod learned;
mod machines;
mod peers;
mod persistence;
mod purges;
mod receive;
mod rumors;
mod send;
mod subject;
mod usage;
mod vouching;

pub use actions::{Act, Told};
pub use counts::Counts;
pub use peers::Peer;
pub use subject::{sight_of_machine, sight_of_object, thing, Thing};

use crate::ledger::{Electors, Ledger};
use crate::map::{Map, Room, Took};
use crate::plan::Plan;
use crate::record::{Entry, Key};
use crate::Micros;
use budget::TokenBucket;
use catch_up::CatchUpState;
use donor::Donor;
use learned::Observations;
use machines::JournalReports;
use peers::PeerState;
use rumors::RumorQueue;
use std::collections::BTreeMap;
use usage::UsageMeter;
use vouching::Vouching;

/// What waits for others to go with it, or for budget, is looked at again after this long.
const GATHER: Micros = 10_000;
/// An exchange that brought nothing for this long is begun anew, with another front where there is one.
const STALLED: Micros = 400_000;

/// One front's copy of the shared state.
pub struct Replica {
    plan: Plan,
    name: String,
    start: u64,
    now: Micros,
    next_period: Micros,
    rng: fastrand::Rng,
    map: Map,
    peers: BTreeMap<String, PeerState>,
    electors: Electors,
    ledger: Option<Ledger>,
    vouching: Vouching,
    rumors: RumorQueue,
    catch_up: Option<CatchUpState>,
    donor: Donor,
    /// Whether it had caught up when it became ready; none until then.
    ready: Option<bool>,
    budget: TokenBucket,
    /// Encoded messages are built here.
    buffer: Vec<u8>,
    journal_reports: JournalReports,
    observations: Observations,
    usage: UsageMeter,
    /// Counters for metrics.
    pub counts: Counts,
}

impl Replica {
    /// An empty copy for the front `name`, whose process started at `start`.
    pub fn new(plan: Plan, name: &str, start: u64, now: Micros, seed: u64) -> Replica {
        let mut rng = fastrand::Rng::with_seed(seed ^ start);
        let ledger = plan
            .ledger
            .clone()
            .map(|plan| Ledger::new(plan, name, start, rng.u64(..)));
        let next_period = now + rng.i64(0..plan.period);
        Replica {
            name: name.into(),
            start,
            now,
            next_period,
            rng,
            map: Map::new(Room {
                entries: plan.entries,
                bytes: plan.bytes,
            }),
            peers: BTreeMap::new(),
            electors: Electors {
                all: [(name.to_string(), Some(start))].into(),
                ..Electors::default()
            },
            ledger,
            vouching: Vouching::new(now),
            rumors: RumorQueue::default(),
            catch_up: Some(CatchUpState::new(now)),
            donor: Donor::new(plan.catch_up_bytes_per_s, now),
            ready: None,
            budget: TokenBucket::for_messages(plan.bytes_per_s, now),
            buffer: Vec::new(),
            journal_reports: JournalReports::default(),
            observations: Observations::default(),
            usage: UsageMeter::default(),
            counts: Counts::default(),
            plan,
        }
    }

    /// The records that are held.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// The ledger of effects, where the installation has one.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Whether this front vouches for effects: it has compared its claims with all others that decide on them.
    pub fn vouches(&self) -> bool {
        self.vouching.vouches
    }

    /// The fronts that decide on effects.
    pub fn electors(&self) -> &Electors {
        &self.electors
    }

    /// None until this front may report that it is ready; then whether it had caught up by that time.
    pub fn ready(&self) -> Option<bool> {
        self.ready
    }

    /// Whether catching up is complete.
    pub fn caught_up(&self) -> bool {
        self.catch_up.is_none()
    }

    /// How many updates wait to be disseminated.
    pub fn waiting_news(&self) -> usize {
        self.rumors.len()
    }

    /// When [`Replica::tick`] is due next.
    pub fn next(&self) -> Micros {
        let mut next = self.next_period;
        next = self.rumors.due().into_iter().fold(next, Micros::min);
        next = self
            .ledger
            .as_ref()
            .and_then(Ledger::next)
            .into_iter()
            .fold(next, Micros::min);
        if self.donor.has_requests() {
            next = next.min(self.now + GATHER);
        }
        if self.catch_up.is_some() {
            next = next.min(self.now + STALLED / 4);
        }
        next
    }

    /// Time has passed: does what is due.
    pub fn tick(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.advance(now);
        self.refill_budgets();
        self.with_ledger(acts, |ledger, input, out| ledger.tick(input, out));
        self.send_due_rumors(now, acts);
        self.serve_catch_up_requests(acts);
        self.continue_catch_up(acts);
        if now >= self.next_period {
            self.next_period = now + self.plan.period;
            self.start_period(now, acts);
        }
    }

    fn start_period(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.map.sweep(now);
        self.update_electors();
        self.update_vouching(acts);
        self.publish_observations();
        self.publish_usage();
        self.start_comparison(acts);
    }

    /// This process was stopped or starved for a while, so what it holds may be stale.
    pub fn was_away(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.advance(now);
        // It has forgotten no claim that it granted, so it goes on vouching; all else is compared at once.
        self.next_period = now;
        for peer in self.sample_peers(2) {
            self.send_roots(&peer, acts);
        }
    }

    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn refill_budgets(&mut self) {
        self.budget.refill(self.now);
        self.donor.refill(self.now);
    }

    /// Merges a record of this front's own and disseminates it; false if it was known.
    fn put(&mut self, now: Micros, key: Key, entry: Entry) -> bool {
        self.advance(now);
        let new = matches!(self.map.merge(key.clone(), entry, now), Took::New(_));
        if new {
            self.queue_rumor(key);
        }
        new
    }
}
