//! A simulated network of one publisher, relays and subscribers in one process, with random loss, delay and faults that
//! a seed determines, and the invariants that are checked after every step.

#![allow(
    dead_code,
    reason = "each test target that includes this module uses only a part of it"
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
/// Start of the simulated clock, as Unix time.
pub(crate) const START: Micros = 1_700_000_000 * SECOND;
pub(crate) const STEP: Micros = 5 * MILLISECOND;
/// Maximum delay of a duplicate datagram.
const MAX_REPLAY_DELAY: Micros = 6 * SECOND;
/// Minimum delay of a datagram.
const MIN_DELAY: Micros = 200;
/// Purges are timed only after a starting publisher has had this time to recover.
const RECOVERY_ALLOWANCE: Micros = 2 * SECOND;
/// On average, one of this many purges is of an object that was purged before.
const PURGES_PER_REPETITION: usize = 8;

/// Arrival time, number that determines the order, receiving node, and content of a datagram in flight.
type Datagram = (Micros, u64, usize, Vec<u8>);

/// The parameters of a run that do not change during the run.
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
    /// Share of lost datagrams, in thousandths.
    pub loss_per_mille: u64,
    /// Share of duplicated datagrams, in thousandths. Duplicates arrive within [`MAX_REPLAY_DELAY`].
    pub replay_per_mille: u64,
    /// Nodes that receive no batches with events.
    pub events_withheld_from: BTreeSet<usize>,
    /// Maximum delay of a datagram, in addition to [`MIN_DELAY`].
    pub max_delay: Micros,
    /// Partition of each node. Nodes reach each other only within a partition; those not listed are in partition 0.
    pub partitions: BTreeMap<usize, usize>,
    pub history: History,
    in_flight: BinaryHeap<Reverse<Datagram>>,
    sent: u64,
    pub rng: fastrand::Rng,
    /// How long the event source delivers nothing to a publisher that starts.
    pub event_source_delay: Micros,
    /// When the event source delivers everything to the publisher again.
    event_source_back_at: Option<Micros>,
    /// Purges that are published from now on are timed.
    timed_from: Micros,
    /// When a relay, or the publisher, last failed, was partitioned or changed its relay.
    relay_failed_at: Micros,
    /// The same for a subscriber.
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
    /// Node 0 is the publisher, the other relays follow, then the subscribers.
    pub(crate) fn new(relays: usize, subscribers: usize, seed: u64) -> Network {
        Network::with_setup(Setup::new(relays, subscribers, seed))
    }

    pub(crate) fn with_setup(setup: Setup) -> Network {
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
        settings.validate().expect("valid settings");
        limits.validate().expect("valid limits");
        let mut network = Network {
            settings,
            limits,
            now: START,
            nodes: (0..relays + subscribers).map(|_| Node::default()).collect(),
            relays,
            loss_per_mille: 0,
            replay_per_mille: 0,
            events_withheld_from: BTreeSet::new(),
            max_delay: 20 * MILLISECOND,
            partitions: BTreeMap::new(),
            history: History::default(),
            in_flight: BinaryHeap::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(seed),
            event_source_delay: 0,
            event_source_back_at: None,
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

    /// The time by the node's own clock.
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
        let identity = Identity {
            name,
            incarnation: now as u64,
            address: address(node),
            region: format!("region-{}", node % 2),
            zone: format!("zone-{}", node % self.relays),
        };
        let (settings, limits, seed) =
            (self.settings.clone(), self.limits.clone(), self.rng.u64(..));
        let member = if node == 0 {
            Member::Publisher(Box::new(Publisher::new(
                settings, limits, identity, now, seed,
            )))
        } else if node < self.relays {
            Member::Relay(Box::new(Relay::new(settings, limits, identity, now, seed)))
        } else {
            Member::Subscriber(Box::new(Subscriber::new(settings, identity, now, seed)))
        };
        let state = &mut self.nodes[node];
        state.clear();
        (state.member, state.is_paused) = (Some(member), false);
        if node == 0 {
            self.connect_event_source();
        } else if node >= self.relays {
            let in_force = self
                .history
                .published
                .iter()
                .enumerate()
                .filter(|(_, published)| published.in_force_at.is_some());
            self.nodes[node].known.missing = in_force.map(|(index, _)| index).collect();
        }
    }

    /// The event source delivers all former events again, at once or after a delay.
    fn connect_event_source(&mut self) {
        self.timed_from = self.now + RECOVERY_ALLOWANCE.max(self.event_source_delay);
        self.event_source_back_at = Some(self.now + self.event_source_delay);
        if self.event_source_delay == 0 {
            return self.redeliver_all();
        }
        let now = self.clock(0);
        if let Some(publisher) = self.publisher_mut() {
            publisher.set_behind_since(Some(now));
        }
    }

    fn redeliver_all(&mut self) {
        let now = self.clock(0);
        let purges: Vec<Purge> = self
            .history
            .published
            .iter()
            .map(|published| published.purge)
            .collect();
        self.event_source_back_at = None;
        let Some(publisher) = self.publisher_mut() else {
            return;
        };
        purges
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
        self.nodes[node].is_paused = true;
        if node == 0 {
            self.history.stop_timing();
            self.timed_from = Micros::MAX;
        }
    }

    /// Partitions the network: these nodes reach each other, but no other nodes.
    pub(crate) fn partition(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|node| self.record_failure(*node));
        self.partitions.extend(nodes.iter().map(|node| (*node, 1)));
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
        self.nodes[node].is_paused = false;
        if node == 0 {
            self.timed_from = self.now;
        }
        while let Some(bytes) = self.nodes[node].waiting.pop_front() {
            self.deliver(node, &bytes);
        }
    }

    /// Publishes a purge. It is delivered if the publisher is running and the event source is available.
    pub(crate) fn publish(&mut self, purge: Purge) {
        let is_timed = self.nodes[0].member.is_some() && self.now >= self.timed_from;
        self.history.push(purge, self.now, is_timed);
        if self.event_source_back_at.is_some() {
            return;
        }
        let now = self.clock(0);
        if let Some(publisher) = self.publisher_mut() {
            publisher.publish(now, Event::Purge(purge));
        }
    }

    /// Publishes a purge, mostly of a new object. The timestamp is in microseconds and not rounded to milliseconds.
    pub(crate) fn publish_next(&mut self) {
        let published = self.history.published.len();
        let is_repetition = published > 0 && self.rng.usize(0..PURGES_PER_REPETITION) == 0;
        let object = if is_repetition {
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

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let partition_of = |node: usize| self.partitions.get(&node).copied().unwrap_or(0);
        partition_of(from) == partition_of(to)
    }

    fn execute(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(from, node_of(to), bytes),
                Output::Apply(Event::Purge(purge)) => {
                    for index in self.history.covered_by(purge) {
                        self.nodes[from].known.insert(index);
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
            // All subscribers have to enter the epoch, which may take a snapshot, and leases of earlier starts of the
            // publisher have to expire.
            self.history.stop_timing();
            self.timed_from = self.timed_from.max(self.now + RECOVERY_ALLOWANCE);
        }
        self.nodes[from].notices.push(notice);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let is_lost = self.rng.u64(0..1000) < self.loss_per_mille;
        if to >= self.nodes.len()
            || is_lost
            || !self.can_reach(from, to)
            || self.withholds(to, &bytes)
        {
            return;
        }
        if self.rng.u64(0..1000) < self.replay_per_mille {
            let at = self.now + self.rng.i64(0..=MAX_REPLAY_DELAY);
            self.sent += 1;
            self.in_flight
                .push(Reverse((at, self.sent, to, bytes.clone())));
        }
        let at = self.now + MIN_DELAY + self.rng.i64(0..=self.max_delay);
        self.sent += 1;
        self.in_flight.push(Reverse((at, self.sent, to, bytes)));
    }

    fn withholds(&self, to: usize, bytes: &[u8]) -> bool {
        let has_events = |body| matches!(body, Body::Batch(batch) if !batch.events.is_empty());
        self.events_withheld_from.contains(&to) && wire::decode(FLEET, bytes).is_ok_and(has_events)
    }

    pub(crate) fn deliver(&mut self, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        let mut out = Vec::new();
        if let Some(member) = &mut self.nodes[to].member {
            member.receive(now, bytes, &mut out);
        }
        self.execute(to, out);
    }

    /// Advances the time by one step: delivers the datagrams that are due, and wakes the members that are due.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        if self.event_source_back_at.is_some_and(|at| at <= self.now) {
            self.redeliver_all();
        }
        while self
            .in_flight
            .peek()
            .is_some_and(|due| due.0 .0 <= self.now)
        {
            let Some(Reverse((_, _, to, bytes))) = self.in_flight.pop() else {
                break;
            };
            let node = &mut self.nodes[to];
            if node.is_paused || node.max_reads.is_some() {
                node.enqueue(bytes);
            } else {
                self.deliver(to, &bytes);
            }
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_paused {
                self.read_waiting(node);
                self.wake(node);
            }
        }
    }

    fn read_waiting(&mut self, node: usize) {
        let max_reads = self.nodes[node].max_reads.unwrap_or(usize::MAX);
        for _ in 0..max_reads {
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
            .filter(|member| member.next_wake() <= now)
        {
            member.tick(now, &mut out);
        }
        self.execute(node, out);
    }

    pub(crate) fn run(&mut self, span: Micros) -> Result<(), String> {
        let until = self.now + span;
        while self.now < until {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// Records that the publisher has announced a purge as in force everywhere.
    fn record_in_force(&mut self, purge: Purge) {
        for index in self.history.mark_in_force(purge, self.now) {
            for node in self.subscribers() {
                let Node { member, known, .. } = &mut self.nodes[node];
                if member.is_some() && !known.contains(index) {
                    known.missing.push(index);
                }
            }
        }
    }

    pub(crate) fn check(&mut self) -> Result<(), String> {
        self.check_deadline()?;
        self.subscribers()
            .try_for_each(|node| self.check_subscriber(node))
    }

    /// The maximum time until a purge that was published at this time is in force everywhere. It includes the delays of
    /// the datagrams in both directions, and lost datagrams. If a relay fails that waited for a failed subscriber, the
    /// lease of the relay expires after that of the subscriber and adds its duration.
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
        let subscriber_failed =
            self.subscriber_failed_at >= published_at - lease || self.loss_per_mille > 0;
        one_failed
            + if relay_failed && subscriber_failed {
                lease
            } else {
                0
            }
    }

    /// Checks that no failed or lagging member delays a purge beyond the bound.
    fn check_deadline(&mut self) -> Result<(), String> {
        let now = self.now;
        let Some((purge, published_at)) = self
            .history
            .first_open_purge()
            .map(|published| (published.purge, published.published_at))
        else {
            return Ok(());
        };
        if published_at + self.in_force_within(published_at) >= now {
            return Ok(());
        }
        let clock = self.clock(0);
        let status = self
            .publisher_mut()
            .map(|publisher| publisher.status(clock));
        Err(format!(
            "{purge:?}, published at {} ms, is not in force at {} ms: {status:?}",
            (published_at - START) / MILLISECOND,
            (now - START) / MILLISECOND,
        ))
    }

    /// Checks that a subscriber either knows each purge that was announced as in force, or refuses the copies that the
    /// purge invalidates.
    fn check_subscriber(&mut self, node: usize) -> Result<(), String> {
        self.check_position(node)?;
        let state = &self.nodes[node];
        if state.known.missing.is_empty() || state.is_paused {
            return Ok(());
        }
        let Some(subscriber) = state.subscriber() else {
            return Ok(());
        };
        let bound = subscriber.freshness_bound(self.clock(node));
        // The maximum age as the subscriber's own clock measures it.
        let age = bound
            .max_age
            .map(|age| age * 1_000_000 / (1_000_000 + state.drift_ppm));
        let refused_before = age.map(|age| self.now - age).max(bound.not_before);
        let retained_from = self.now - self.settings.purge_retention;
        let missing: Vec<usize> = state
            .known
            .missing
            .iter()
            .copied()
            .filter(|index| !state.known.contains(*index))
            .collect();
        let violation = missing
            .iter()
            .map(|index| &self.history.published[*index])
            .find(|published| {
                let timestamp = published.purge.timestamp;
                refused_before.is_none_or(|before| before < timestamp) && timestamp >= retained_from
            });
        if let Some(published) = violation {
            return Err(format!(
                "subscriber {node} at {} ms lacks {:?}, published at {} ms and in force at {} ms; lease {:?}, bound {bound:?}",
                (self.now - START) / MILLISECOND,
                published.purge,
                (published.published_at - START) / MILLISECOND,
                published
                    .in_force_at
                    .map_or(0, |in_force_at| (in_force_at - START) / MILLISECOND),
                subscriber.lease_remaining(self.clock(node)),
            ));
        }
        self.nodes[node].known.missing = missing;
        Ok(())
    }

    /// Checks that the position of a subscriber never goes back.
    fn check_position(&mut self, node: usize) -> Result<(), String> {
        let state = &mut self.nodes[node];
        let position = state.subscriber().and_then(Subscriber::position);
        if position < state.position {
            return Err(format!(
                "the position of subscriber {node} went back from {:?} to {position:?}",
                state.position
            ));
        }
        state.position = position;
        Ok(())
    }

    /// Describes the first running subscriber that holds no lease, or that lacks one of the first `purges` purges and
    /// does not refuse the copies that it invalidates.
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
            let covered =
                |known: &checks::Known, published: &checks::PublishedPurge, index: usize| {
                    known.contains(index)
                        || floor.is_some_and(|floor| floor >= published.purge.timestamp)
                };
            while known.covered_prefix < purges
                && covered(
                    known,
                    &self.history.published[known.covered_prefix],
                    known.covered_prefix,
                )
            {
                known.covered_prefix += 1;
            }
            if known.covered_prefix < purges {
                return Some(format!(
                    "subscriber {node} lacks {:?}",
                    self.history.published[known.covered_prefix].purge
                ));
            }
        }
        None
    }

    /// Checks that all running subscribers and relays hold a lease, that the subscribers lack no purge, and that all
    /// purges are in force.
    pub(crate) fn check_settled(&mut self) -> Result<(), String> {
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
            .find(|published| published.in_force_at.is_none())
        {
            Some(published) => Err(format!("{:?} is not in force everywhere", published.purge)),
            None => Ok(()),
        }
    }
}
