//! One proxy's replica of the shared state, as a state machine. Its input is messages, local events and the time; its
//! output is actions for the host.
//!
//! Updates to urgent records (purges, endpoints) and to claims to side effects are disseminated as rumors immediately.
//! Once per period, all records are compared with those of one other proxy (anti-entropy): first the roots of the
//! trees, then digests of buckets, then hashes of records; finally the missing records are exchanged. A proxy that
//! starts copies all records from the two nearest proxies. It is ready once urgent records and claims are complete, or
//! after a time limit.
//!
//! Invariants:
//! - The replica's own time never goes back, whatever time the host passes.
//! - Records change only by merging, apart from their expiry, so replicas that have exchanged their records store the
//!   same ones.
//! - The bytes of every message are taken from a budget. Messages that can wait are not sent while their budget has no
//!   tokens.

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

/// Delay of rumors, so that several are sent in one message, and of catch-up requests that wait for budget.
const BATCH_DELAY: Micros = 10_000;
/// Time after its last request at which an unfinished catch-up transfer or comparison of claims is restarted. A
/// transfer changes to another donor if there is one.
const STALL_TIMEOUT: Micros = 400_000;
/// Interval at which catch-up transfers are checked for stalls.
const STALL_CHECK_INTERVAL: Micros = STALL_TIMEOUT / 4;
/// Number of proxies with which a process compares its records immediately after it was suspended.
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
    /// The progress of catching up; none once it is complete.
    catch_up: Option<CatchUp>,
    donor: Donor,
    /// Whether this proxy had caught up when it became ready; none until then.
    ready: Option<bool>,
    budget: TokenBucket,
    /// Reused to encode messages.
    buffer: Vec<u8>,
    discovery_reports: DiscoveryReports,
    observations: Observations,
    usage: UsageMeter,
    /// Counters for metrics.
    pub counts: ReplicaCounters,
}

impl Replica {
    /// Creates an empty replica for the proxy `name` in this incarnation.
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

    /// The stored records.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// The ledger of side effects, if the settings include one.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Whether this proxy has compared its claims with all other voters, so that it votes on the claims of all keys.
    pub fn can_vote(&self) -> bool {
        self.voting.can_vote()
    }

    /// The proxies that vote on claims.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// None until this proxy may report that it is ready. From then on, whether it had caught up by that time.
    pub fn ready(&self) -> Option<bool> {
        self.ready
    }

    /// Whether catching up is complete.
    pub fn caught_up(&self) -> bool {
        self.catch_up.is_none()
    }

    /// Number of updates that are queued for dissemination.
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

    /// Does everything that is due. To be called when time has passed.
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

    /// Compares with other proxies immediately, because this process was suspended or starved for a while and its
    /// records may be stale.
    pub fn resume_after_pause(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.advance(now);
        // The process still stores all claims that it granted, so it continues to vote. All records are compared.
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

    /// Merges a record that this proxy wrote, and disseminates it. Returns false if the record was not merged.
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
