//! A network of one publisher, relays and subscribers in one process, with loss, delay and faults drawn by a seed, and the
//! checks that hold at every moment.

#![allow(
    dead_code,
    reason = "each test target that includes this module uses a part of it"
)]

pub(crate) mod checks;
pub(crate) mod node;
pub(crate) mod schedule;

use checks::History;
use meadowrill_event_distribution::event::{Event, Purge, PurgeKey};
use meadowrill_event_distribution::output::{Notice, Output};
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits, MILLISECOND, SECOND,
};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{self, Body};
use meadowrill_event_distribution::Micros;
use node::{Member, Node};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub(crate) const FLEET: u64 = 7;
/// The simulated clock begins here, as Unix time.
pub(crate) const START: Micros = 1_700_000_000 * SECOND;
pub(crate) const STEP: Micros = 5 * MILLISECOND;
/// A datagram that comes once more does so within this.
const MAX_REPLAY_DELAY: Micros = 6 * SECOND;
/// A datagram takes at least this.
const MIN_DELAY: Micros = 200;
/// A publisher that starts needs so long to recover, at the most.
const RECOVERY: Micros = 2 * SECOND;
/// One purge in so many is of an object that was purged before.
const REPEATED_ONE_IN: usize = 8;

/// When it comes, a number that keeps the order, to whom, and what.
type Datagram = (Micros, u64, usize, Vec<u8>);

/// What is the same for all of a run.
pub(crate) struct Setup {
    pub relays: usize,
    pub subscribers: usize,
    pub seed: u64,
    pub max_purges: usize,
    pub max_copy_age: Micros,
    pub limits: RelayLimits,
}

impl Setup {
    pub(crate) fn new(relays: usize, subscribers: usize, seed: u64) -> Setup {
        let DistributionSettings {
            max_purges,
            max_copy_age,
            ..
        } = DistributionSettings::new(FLEET, Vec::new());
        Setup {
            relays,
            subscribers,
            seed,
            max_purges,
            max_copy_age,
            limits: RelayLimits::default(),
        }
    }
}

pub(crate) struct Network {
    pub settings: DistributionSettings,
    pub limits: RelayLimits,
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub relays: usize,
    /// Share of datagrams that are lost, in thousandths, and the longest delay.
    pub loss_per_mille: u64,
    /// Share of datagrams that come once more, within [`REPLAY_MOST`].
    pub replay_per_mille: u64,
    /// Batches with events do not come to these.
    pub without_events: BTreeSet<usize>,
    pub max_delay: Micros,
    /// Nodes that cannot reach each other: those of different groups.
    pub groups: BTreeMap<usize, usize>,
    pub history: History,
    under_way: BinaryHeap<Reverse<Datagram>>,
    sent: u64,
    pub rng: fastrand::Rng,
    /// A publisher that starts is out of touch with the service for so long.
    pub service_delay: Micros,
    /// When the service has delivered everything to the publisher again.
    service_back_at: Option<Micros>,
    /// Purges published from here on are timed.
    timed_from: Micros,
    /// When a relay, or a subscriber, last failed, was partitioned or changed its relay.
    relay_failed_at: Micros,
    subscriber_failed_at: Micros,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (node >> 8) as u8, node as u8], 7100))
}

fn node_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [.., high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Network {
    /// Node 0 publishes, then come the other relays, then subscribers.
    pub(crate) fn new(relays: usize, subscribers: usize, seed: u64) -> Network {
        Network::with(Setup::new(relays, subscribers, seed))
    }

    pub(crate) fn with(setup: Setup) -> Network {
        let Setup {
            relays,
            subscribers,
            seed,
            max_purges,
            max_copy_age,
            limits,
        } = setup;
        let listed = (0..relays).map(|node| RelayAddress {
            name: format!("relay-{node}"),
            address: address(node),
            region: format!("region-{}", node % 2),
            zone: format!("zone-{node}"),
            publishes: node == 0,
        });
        let settings = DistributionSettings {
            max_purges,
            max_copy_age,
            ..DistributionSettings::new(FLEET, listed.collect())
        };
        settings.validate().expect("settings within their bounds");
        limits.validate().expect("settings within their bounds");
        let mut network = Network {
            settings,
            limits,
            now: START,
            nodes: (0..relays + subscribers).map(|_| Node::default()).collect(),
            relays,
            loss_per_mille: 0,
            replay_per_mille: 0,
            without_events: BTreeSet::new(),
            max_delay: 20 * MILLISECOND,
            groups: BTreeMap::new(),
            history: History::default(),
            under_way: BinaryHeap::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(seed),
            service_delay: 0,
            service_back_at: None,
            timed_from: START,
            relay_failed_at: START,
            subscriber_failed_at: START,
        };
        for node in 0..relays + subscribers {
            network.start(node);
        }
        network
    }

    pub(crate) fn subscribers(&self) -> std::ops::Range<usize> {
        self.relays..self.nodes.len()
    }

    /// What a node's own clock says.
    pub(crate) fn clock(&self, node: usize) -> Micros {
        let Node {
            drift_ppm,
            clock_offset,
            ..
        } = self.nodes[node];
        self.now + (self.now - START) * drift_ppm / 1_000_000 + clock_offset
    }

    pub(crate) fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let name = if node < self.relays {
            format!("relay-{node}")
        } else {
            format!("front-{node}")
        };
        let me = Identity {
            name,
            incarnation: now as u64,
            address: address(node),
            region: format!("region-{}", node % 2),
            zone: format!("zone-{}", node % self.relays),
        };
        let (settings, relay, seed) =
            (self.settings.clone(), self.limits.clone(), self.rng.u64(..));
        let member = if node == 0 {
            Member::Publisher(Box::new(Publisher::new(settings, relay, me, now, seed)))
        } else if node < self.relays {
            Member::Relay(Box::new(Relay::new(settings, relay, me, now, seed)))
        } else {
            Member::Subscriber(Box::new(Subscriber::new(settings, me, now, seed)))
        };
        let state = &mut self.nodes[node];
        state.clear();
        (state.member, state.paused) = (Some(member), false);
        if node == 0 {
            self.connect_service();
        } else if node >= self.relays {
            let done = self
                .history
                .published
                .iter()
                .enumerate()
                .filter(|(_, published)| published.done.is_some());
            self.nodes[node].known.lacking = done.map(|(at, _)| at).collect();
        }
    }

    /// The service delivers again what it delivered before, at once or after a while.
    fn connect_service(&mut self) {
        self.timed_from = self.now + RECOVERY.max(self.service_delay);
        self.service_back_at = Some(self.now + self.service_delay);
        if self.service_delay == 0 {
            return self.redeliver_all();
        }
        let now = self.clock(0);
        if let Some(publisher) = self.publisher_mut() {
            publisher.set_behind_since(Some(now));
        }
    }

    fn redeliver_all(&mut self) {
        let now = self.clock(0);
        let again: Vec<Purge> = self
            .history
            .published
            .iter()
            .map(|published| published.purge)
            .collect();
        self.service_back_at = None;
        let Some(publisher) = self.publisher_mut() else {
            return;
        };
        again
            .into_iter()
            .for_each(|purge| publisher.publish(now, Event::Purge(purge)));
        publisher.set_behind_since(None);
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.record_failure(node);
        self.nodes[node].member = None;
        self.nodes[node].clear();
        if node == 0 {
            self.history.stop_timing();
        }
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.record_failure(node);
        self.nodes[node].paused = true;
        if node == 0 {
            self.history.stop_timing();
            self.timed_from = Micros::MAX;
        }
    }

    /// These reach each other, and none of the others.
    pub(crate) fn partition(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|node| self.record_failure(*node));
        self.groups.extend(nodes.iter().map(|node| (*node, 1)));
    }

    pub(crate) fn limit_reads(&mut self, node: usize, max_reads: Option<usize>) {
        self.record_failure(node);
        self.nodes[node].max_reads = max_reads;
    }

    pub(crate) fn record_failure(&mut self, node: usize) {
        if node < self.relays {
            self.relay_failed_at = self.now;
        } else {
            self.subscriber_failed_at = self.now;
        }
    }

    pub(crate) fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        if node == 0 {
            self.timed_from = self.now;
        }
        while let Some(bytes) = self.nodes[node].waiting.pop_front() {
            self.deliver(node, &bytes);
        }
    }

    /// A purge is published: it is delivered to the publisher, if that runs and the service does.
    pub(crate) fn publish(&mut self, purge: Purge) {
        let is_timed = self.nodes[0].member.is_some() && self.now >= self.timed_from;
        self.history.push(purge, self.now, is_timed);
        if self.service_back_at.is_some() {
            return;
        }
        let now = self.clock(0);
        if let Some(publisher) = self.publisher_mut() {
            publisher.publish(now, Event::Purge(purge));
        }
    }

    /// Mostly of a new object, with a timestamp that is no whole millisecond.
    pub(crate) fn publish_next(&mut self) {
        let published = self.history.published.len();
        let again = published > 0 && self.rng.usize(0..REPEATED_ONE_IN) == 0;
        let object = if again {
            self.rng.usize(0..published)
        } else {
            published
        };
        let timestamp = self.now - self.rng.i64(0..STEP);
        self.publish(Purge {
            key: PurgeKey::Object(object as u64),
            timestamp,
        });
    }

    fn publisher_mut(&mut self) -> Option<&mut Publisher> {
        match &mut self.nodes[0].member {
            Some(Member::Publisher(publisher)) => Some(publisher),
            _ => None,
        }
    }

    pub(crate) fn subscriber(&self, node: usize) -> Option<&Subscriber> {
        self.nodes[node].subscriber()
    }

    pub(crate) fn has_lease(&self, node: usize) -> bool {
        let now = self.clock(node);
        self.subscriber(node)
            .is_some_and(|subscriber| subscriber.has_lease(now))
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let group = |node: usize| self.groups.get(&node).copied().unwrap_or(0);
        group(from) == group(to)
    }

    fn carry_out(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(from, node_of(to), bytes),
                Output::Apply(Event::Purge(purge)) => {
                    for at in self.history.covered_by(purge) {
                        self.nodes[from].known.insert(at);
                    }
                }
                Output::InForce {
                    event: Event::Purge(purge),
                    ..
                } => self.record_in_force(purge),
                Output::Notice(notice) => self.record_notice(from, notice),
            }
        }
    }

    fn record_notice(&mut self, from: usize, notice: Notice) {
        if matches!(notice, Notice::RelayChanged { .. }) {
            self.record_failure(from);
        }
        if from == 0 && matches!(notice, Notice::EpochStarted { .. }) {
            // All have to come over by a snapshot, and leases of an earlier publisher have to run out.
            self.history.stop_timing();
            self.timed_from = self.timed_from.max(self.now + RECOVERY);
        }
        self.nodes[from].notices.push(notice);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let is_lost = self.rng.u64(0..1000) < self.loss_per_mille;
        if to >= self.nodes.len()
            || is_lost
            || !self.reachable(from, to)
            || self.withholds(to, &bytes)
        {
            return;
        }
        if self.rng.u64(0..1000) < self.replay_per_mille {
            let at = self.now + self.rng.i64(0..=MAX_REPLAY_DELAY);
            self.sent += 1;
            self.under_way
                .push(Reverse((at, self.sent, to, bytes.clone())));
        }
        let at = self.now + MIN_DELAY + self.rng.i64(0..=self.max_delay);
        self.sent += 1;
        self.under_way.push(Reverse((at, self.sent, to, bytes)));
    }

    fn withholds(&self, to: usize, bytes: &[u8]) -> bool {
        let has_events = |body| matches!(body, Body::Batch(batch) if !batch.events.is_empty());
        self.without_events.contains(&to) && wire::decode(FLEET, bytes).is_ok_and(has_events)
    }

    pub(crate) fn deliver(&mut self, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        let mut out = Vec::new();
        if let Some(member) = &mut self.nodes[to].member {
            member.receive(now, bytes, &mut out);
        }
        self.carry_out(to, out);
    }

    /// One step of time: datagrams that are due arrive, and members that are due wake.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        if self.service_back_at.is_some_and(|at| at <= self.now) {
            self.redeliver_all();
        }
        while self
            .under_way
            .peek()
            .is_some_and(|due| due.0 .0 <= self.now)
        {
            let Some(Reverse((_, _, to, bytes))) = self.under_way.pop() else {
                break;
            };
            let node = &mut self.nodes[to];
            if node.paused || node.max_reads.is_some() {
                node.put(bytes);
            } else {
                self.deliver(to, &bytes);
            }
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].paused {
                self.read_waiting(node);
                self.wake(node);
            }
        }
    }

    fn read_waiting(&mut self, node: usize) {
        let most = self.nodes[node].max_reads.unwrap_or(usize::MAX);
        for _ in 0..most {
            let Some(bytes) = self.nodes[node].waiting.pop_front() else {
                return;
            };
            self.deliver(node, &bytes);
        }
    }

    fn wake(&mut self, node: usize) {
        let now = self.clock(node);
        let mut out = Vec::new();
        if let Some(member) = self.nodes[node]
            .member
            .as_mut()
            .filter(|m| m.next_wake() <= now)
        {
            member.tick(now, &mut out);
        }
        self.carry_out(node, out);
    }

    pub(crate) fn run(&mut self, span: Micros) -> Result<(), String> {
        let until = self.now + span;
        while self.now < until {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// The publisher says that a purge is in force everywhere.
    fn record_in_force(&mut self, purge: Purge) {
        for at in self.history.finish(purge, self.now) {
            for node in self.subscribers() {
                let Node { member, known, .. } = &mut self.nodes[node];
                if member.is_some() && !known.contains(at) {
                    known.lacking.push(at);
                }
            }
        }
    }

    pub(crate) fn check(&mut self) -> Result<(), String> {
        self.check_time()?;
        self.subscribers()
            .try_for_each(|node| self.check_subscriber(node))
    }

    /// How long a purge may take that was published then, with what the network adds: each datagram of the way up and down
    /// takes its time, and some are lost. Where a relay fails that waited for a subscriber, its own lease comes behind the
    /// subscriber's.
    pub(crate) fn in_force_within(&self, published_at: Micros) -> Micros {
        let lost = if self.loss_per_mille > 0 {
            3 * self.settings.retry_interval
        } else {
            0
        };
        let one_failed =
            self.settings.with_drift(self.settings.in_force_within()) + 4 * self.max_delay + lost;
        let lease = self.settings.with_drift(self.settings.lease_duration);
        let relay_failed = self.relay_failed_at >= published_at;
        let front_failed =
            self.subscriber_failed_at >= published_at - lease || self.loss_per_mille > 0;
        one_failed
            + if relay_failed && front_failed {
                lease
            } else {
                0
            }
    }

    /// No member that is down or lags delays a purge beyond the bound.
    fn check_time(&mut self) -> Result<(), String> {
        let now = self.now;
        let Some((purge, at)) = self
            .history
            .first_open()
            .map(|published| (published.purge, published.at))
        else {
            return Ok(());
        };
        if at + self.in_force_within(at) >= now {
            return Ok(());
        }
        let clock = self.clock(0);
        let status = self
            .publisher_mut()
            .map(|publisher| publisher.status(clock));
        Err(format!(
            "{purge:?}, published at {} ms, is not in force at {} ms: {status:?}",
            (at - START) / MILLISECOND,
            (now - START) / MILLISECOND,
        ))
    }

    /// No subscriber that holds a lease lacks a purge that was announced as in force; one without serves no copy that old.
    fn check_subscriber(&mut self, node: usize) -> Result<(), String> {
        self.check_position(node)?;
        let state = &self.nodes[node];
        if state.known.lacking.is_empty() || state.paused {
            return Ok(());
        }
        let Some(subscriber) = state.subscriber() else {
            return Ok(());
        };
        let bound = subscriber.freshness_bound(self.clock(node));
        // The span as this subscriber's own clock takes it.
        let age = bound
            .max_age
            .map(|age| age * 1_000_000 / (1_000_000 + state.drift_ppm));
        let refused_before = age.map(|age| self.now - age).max(bound.not_before);
        let retained_from = self.now - self.settings.purge_retention;
        let still: Vec<usize> = state
            .known
            .lacking
            .iter()
            .copied()
            .filter(|at| !state.known.contains(*at))
            .collect();
        let violation = still
            .iter()
            .map(|at| &self.history.published[*at])
            .find(|published| {
                let timestamp = published.purge.timestamp;
                refused_before.is_none_or(|before| before < timestamp) && timestamp >= retained_from
            });
        if let Some(published) = violation {
            return Err(format!(
                "subscriber {node} at {} ms lacks {:?}, published at {} ms and in force at {} ms; lease {:?}, bound {bound:?}",
                (self.now - START) / MILLISECOND,
                published.purge,
                (published.at - START) / MILLISECOND,
                published.done.map_or(0, |done| (done - START) / MILLISECOND),
                subscriber.lease_remaining(self.clock(node)),
            ));
        }
        self.nodes[node].known.lacking = still;
        Ok(())
    }

    /// What a subscriber has applied is never taken back.
    fn check_position(&mut self, node: usize) -> Result<(), String> {
        let state = &mut self.nodes[node];
        let position = state.subscriber().and_then(Subscriber::position);
        if position < state.position {
            return Err(format!(
                "subscriber {node} went back from {:?} to {position:?}",
                state.position
            ));
        }
        state.position = position;
        Ok(())
    }

    /// The first subscriber that runs and holds no lease, or neither knows nor refuses what one of the first so many purges
    /// is about.
    pub(crate) fn first_lagging(&mut self, purges: usize) -> Option<String> {
        for node in self.subscribers() {
            let Some(subscriber) = self.subscriber(node) else {
                continue;
            };
            if !self.has_lease(node) {
                let status = subscriber.status(self.clock(node));
                return Some(format!("subscriber {node} holds no lease: {status:?}"));
            }
            let floor = subscriber.status(self.clock(node)).purge_floor;
            let Node { known, .. } = &mut self.nodes[node];
            let covered = |known: &checks::Known, published: &checks::PublishedPurge, at: usize| {
                known.contains(at) || floor.is_some_and(|floor| floor >= published.purge.timestamp)
            };
            while known.prefix < purges
                && covered(known, &self.history.published[known.prefix], known.prefix)
            {
                known.prefix += 1;
            }
            if known.prefix < purges {
                return Some(format!(
                    "subscriber {node} lacks {:?}",
                    self.history.published[known.prefix].purge
                ));
            }
        }
        None
    }

    /// All subscribers that run hold a lease and know everything, and everything is in force.
    pub(crate) fn settled(&mut self) -> Result<(), String> {
        if let Some(behind) = self.first_lagging(self.history.published.len()) {
            return Err(behind);
        }
        for node in 1..self.relays {
            let now = self.clock(node);
            if let Some(Member::Relay(relay)) = &self.nodes[node].member {
                let upstream = relay.upstream(now);
                if upstream.lease_remaining.is_none() {
                    return Err(format!("relay {node} holds no lease: {upstream:?}"));
                }
            }
        }
        match self
            .history
            .published
            .iter()
            .find(|published| published.done.is_none())
        {
            Some(published) => Err(format!("{:?} is not in force everywhere", published.purge)),
            None => Ok(()),
        }
    }
}
