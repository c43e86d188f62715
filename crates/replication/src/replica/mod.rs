//! One proxy's replica of the shared state, as a state machine: messages, local events and time go in, actions for the
//! host come out.
//!
//! Updates to urgent records (purges, endpoints, claims to effects) are disseminated as rumors when they happen. All
//! records are compared with one other proxy each period (anti-entropy), by digests of buckets, then hashes, then what is
//! missing. A proxy that starts copies everything from the two nearest, urgent records first.
//!
//! Invariants: time never goes back, whatever the host passes; records change by merging alone, so that replicas which
//! exchanged their records store the same; every message sent is taken from a budget, and those that may wait are not
//! sent while it is in debt.

mod action;
mod anti_entropy;
mod budget;
mod catch_up;
mod counters;
mod donor;
mod effects;
mod endpoints;
mod observations;
mod peers;
mod purges;
mod receive;
mod restart;
mod rumors;
mod send;
mod subject;
mod usage;
mod voting;

pub use action::{Action, LogEvent};
pub use counters::ReplicaCounters;
pub use peers::Peer;
pub use subject::{endpoint_subject, object_subject, Subject};

use crate::ledger::{Ledger, Voters};
use crate::map::{Map, MapLimits, MergeOutcome};
use crate::record::{Entry, Key};
use crate::settings::ReplicationSettings;
use crate::Micros;
use budget::TokenBucket;
use catch_up::CatchUp;
use donor::Donor;
use endpoints::DiscoveryReports;
use observations::Observations;
use peers::PeerState;
use rumors::RumorQueue;
use std::collections::BTreeMap;
use usage::UsageMeter;
use voting::Voting;

/// Messages wait this long for others to go with them, and for budget.
const BATCH_DELAY: Micros = 10_000;
/// An exchange that brought nothing for this long is begun anew, with another proxy where there is one.
const STALL_TIMEOUT: Micros = 400_000;
/// Catching up is checked for stalls this often.
const STALL_CHECK_INTERVAL: Micros = STALL_TIMEOUT / 4;
/// Proxies that a process which was suspended compares with at once.
const PEERS_AFTER_PAUSE: usize = 2;

/// One proxy's replica of the shared state.
pub struct Replica {
    settings: ReplicationSettings,
    name: String,
    incarnation: u64,
    now: Micros,
    next_period: Micros,
    rng: fastrand::Rng,
    map: Map,
    peers: BTreeMap<String, PeerState>,
    voters: Voters,
    ledger: Option<Ledger>,
    voting: Voting,
    rumors: RumorQueue,
    /// None once catching up is complete.
    catch_up: Option<CatchUp>,
    donor: Donor,
    /// Whether it had caught up when it became ready; none until then.
    ready: Option<bool>,
    budget: TokenBucket,
    /// Encoded messages are built here.
    buffer: Vec<u8>,
    discovery_reports: DiscoveryReports,
    observations: Observations,
    usage: UsageMeter,
    /// Counters for metrics.
    pub counts: ReplicaCounters,
}

impl Replica {
    /// An empty replica of the proxy `name` in this incarnation.
    pub fn new(
        settings: ReplicationSettings,
        name: &str,
        incarnation: u64,
        now: Micros,
        seed: u64,
    ) -> Replica {
        let mut rng = fastrand::Rng::with_seed(seed ^ incarnation);
        let ledger = settings
            .ledger
            .clone()
            .map(|settings| Ledger::new(settings, name, incarnation, rng.u64(..)));
        let next_period = now + rng.i64(0..settings.period);
        let limits = MapLimits {
            entries: settings.max_entries,
            bytes: settings.max_bytes,
        };
        let voters = Voters {
            members: [(name.to_string(), Some(incarnation))].into(),
            ..Voters::default()
        };
        Replica {
            name: name.into(),
            incarnation,
            now,
            next_period,
            rng,
            map: Map::new(limits),
            peers: BTreeMap::new(),
            voters,
            ledger,
            voting: Voting::new(now),
            rumors: RumorQueue::default(),
            catch_up: Some(CatchUp::new(now)),
            donor: Donor::new(settings.catch_up_bytes_per_second, now),
            ready: None,
            budget: TokenBucket::for_messages(settings.bytes_per_second, now),
            buffer: Vec::new(),
            discovery_reports: DiscoveryReports::default(),
            observations: Observations::default(),
            usage: UsageMeter::default(),
            counts: ReplicaCounters::default(),
            settings,
        }
    }

    /// The records that are stored.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// The ledger of effects, where the installation has one.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Whether this proxy votes on claims: it has compared its claims with all other voters.
    pub fn can_vote(&self) -> bool {
        self.voting.can_vote()
    }

    /// The proxies that vote on claims.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// None until this proxy may report that it is ready; then whether it had caught up by that time.
    pub fn ready(&self) -> Option<bool> {
        self.ready
    }

    /// Whether catching up is complete.
    pub fn caught_up(&self) -> bool {
        self.catch_up.is_none()
    }

    /// How many updates wait to be disseminated.
    pub fn queued_rumors(&self) -> usize {
        self.rumors.len()
    }

    /// When [`Replica::tick`] is due next.
    pub fn next_wake(&self) -> Micros {
        let rumors = self.rumors.next_round_at();
        let ledger = self.ledger.as_ref().and_then(Ledger::next_wake);
        let donor = self.donor.has_requests().then_some(self.now + BATCH_DELAY);
        let catch_up = self
            .catch_up
            .is_some()
            .then_some(self.now + STALL_CHECK_INTERVAL);
        [rumors, ledger, donor, catch_up]
            .into_iter()
            .flatten()
            .fold(self.next_period, Micros::min)
    }

    /// Time has passed: does what is due.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.advance(now);
        self.refill_budgets();
        self.with_ledger(actions, |ledger, input, out| ledger.tick(input, out));
        self.send_due_rumors(now, actions);
        self.serve_catch_up_requests(actions);
        self.continue_catch_up(actions);
        if now >= self.next_period {
            self.next_period = now + self.settings.period;
            self.start_period(now, actions);
        }
    }

    fn start_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.map.remove_expired(now);
        self.update_voters();
        self.update_voting(actions);
        self.publish_observations();
        self.publish_usage();
        self.start_comparison(actions);
    }

    /// This process was suspended or starved for a while, so what it stores may be stale.
    pub fn resume_after_pause(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.advance(now);
        // It has forgotten no claim that it granted, so it goes on voting; all else is compared at once.
        self.next_period = now;
        for peer in self.sample_peers(PEERS_AFTER_PAUSE) {
            self.send_roots(&peer, actions);
        }
    }

    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn refill_budgets(&mut self) {
        self.budget.refill(self.now);
        self.donor.refill(self.now);
    }

    /// Merges a record of this proxy's own and disseminates it; false if it was known.
    fn publish(&mut self, now: Micros, key: Key, entry: Entry) -> bool {
        self.advance(now);
        let outcome = self.map.merge(key.clone(), entry, now);
        let merged = matches!(outcome, MergeOutcome::Merged { .. });
        if merged {
            self.queue_rumor(key);
        }
        merged
    }
}
