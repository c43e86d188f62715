//! A publisher, relays and subscribers in one process, with random faults that a seed determines. All their outputs are
//! written to a trace in text form, which `tests/recorded.rs` compares with a recording.

pub(crate) mod text;

use meadowrill_event_distribution::event::{Event, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits, MILLISECOND, SECOND,
};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::Micros;
use meadowrill_recorded_traces::Random;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use text::Digest;

pub(crate) const FLEET: u64 = 0x0123_4567_89ab_cdef;
/// Start of the clocks of all nodes, as Unix time.
pub(crate) const START: Micros = 1_700_000_000 * SECOND;
const STEP: Micros = 10 * MILLISECOND;
/// Time at the start without faults.
const FAULT_FREE_TIME: Micros = 4 * SECOND;
/// Number of objects from which random purges choose.
const OBJECTS: u64 = 600;
/// Number of groups from which random purges choose.
const GROUPS: u64 = 20;
const STATUS_INTERVAL: Micros = SECOND;

/// The parameters of one recording.
pub(crate) struct Deployment {
    pub seed: u64,
    pub relays: usize,
    pub subscribers: usize,
    pub span: Micros,
    /// Number of purges at the start, each of another object.
    pub initial_purges: u64,
    /// Lost datagrams per thousand.
    pub loss_per_mille: u64,
    /// Duplicated datagrams per thousand.
    pub duplicates_per_mille: u64,
    pub max_delay: Micros,
    /// Faults per thousand steps.
    pub faults_per_mille: u64,
    /// The publisher's clock steps back by this at each restart.
    pub clock_back: Micros,
    pub max_purges: usize,
    pub max_copy_age: Micros,
    pub limits: RelayLimits,
}

impl Deployment {
    pub(crate) fn new(seed: u64) -> Deployment {
        Deployment {
            seed,
            relays: 3,
            subscribers: 4,
            span: 30 * SECOND,
            initial_purges: 20,
            loss_per_mille: 20,
            duplicates_per_mille: 10,
            max_delay: 30 * MILLISECOND,
            faults_per_mille: 8,
            clock_back: 0,
            max_purges: 200_000,
            max_copy_age: 2 * SECOND,
            limits: RelayLimits::default(),
        }
    }

    fn settings(&self) -> DistributionSettings {
        let listed = (0..self.relays).map(|node| RelayAddress {
            name: format!("relay-{node}"),
            address: address(node),
            region: format!("region-{}", node % 2),
            zone: format!("zone-{node}"),
            publishes: node == 0,
        });
        DistributionSettings {
            max_purges: self.max_purges,
            max_copy_age: self.max_copy_age,
            ..DistributionSettings::new(FLEET, listed.collect())
        }
    }

    /// Runs the deployment and returns its trace.
    pub(crate) fn run(self) -> String {
        let mut simulation = Simulation::new(self);
        while simulation.now < START + simulation.deployment.span {
            simulation.step();
        }
        simulation.trace
    }
}

enum Node {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Subscriber(Box<Subscriber>),
}

impl Node {
    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match self {
            Node::Publisher(publisher) => publisher.receive(now, bytes, out),
            Node::Relay(relay) => relay.receive(now, bytes, out),
            Node::Subscriber(subscriber) => subscriber.receive(now, bytes, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self {
            Node::Publisher(publisher) => publisher.tick(now, out),
            Node::Relay(relay) => relay.tick(now, out),
            Node::Subscriber(subscriber) => subscriber.tick(now, out),
        }
    }

    fn next_wake(&self) -> Micros {
        match self {
            Node::Publisher(publisher) => publisher.next_wake(),
            Node::Relay(relay) => relay.next_wake(),
            Node::Subscriber(subscriber) => subscriber.next_wake(),
        }
    }

    fn status(&self, now: Micros) -> String {
        let status = match self {
            Node::Publisher(publisher) => {
                let published = text::position(Some(publisher.published()));
                let distributor_status = text::distributor_status(&publisher.status(now));
                format!("published {published} {distributor_status}")
            }
            Node::Relay(relay) => {
                let upstream = text::subscriber_status(&relay.upstream(now));
                format!(
                    "{} {upstream}",
                    text::distributor_status(&relay.status(now))
                )
            }
            Node::Subscriber(subscriber) => {
                let copies = text::freshness_bound(subscriber.freshness_bound(now));
                format!(
                    "{} {copies}",
                    text::subscriber_status(&subscriber.status(now))
                )
            }
        };
        format!("{status} wake {}", self.next_wake() - START)
    }
}

/// A fault that lasts until a given time.
enum Fault {
    Killed(usize),
    Paused(usize),
    Partitioned(usize),
    EventSourceUnavailable,
}

struct Simulation {
    deployment: Deployment,
    settings: DistributionSettings,
    now: Micros,
    random: Random,
    nodes: Vec<Option<Node>>,
    /// Datagrams that arrived at each node while it was paused; `None` if it is running.
    waiting: Vec<Option<VecDeque<Vec<u8>>>>,
    is_partitioned: Vec<bool>,
    is_event_source_unavailable: bool,
    in_flight: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    sent: u64,
    faults: Vec<(Micros, Fault)>,
    purges: Vec<Purge>,
    clock_offset: Micros,
    trace: String,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8], 7100))
}

fn node_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Simulation {
    fn new(deployment: Deployment) -> Simulation {
        let nodes = deployment.relays + deployment.subscribers;
        let mut simulation = Simulation {
            settings: deployment.settings(),
            now: START,
            random: Random::new(deployment.seed),
            nodes: (0..nodes).map(|_| None).collect(),
            waiting: vec![None; nodes],
            is_partitioned: vec![false; nodes],
            is_event_source_unavailable: false,
            in_flight: BTreeMap::new(),
            sent: 0,
            faults: Vec::new(),
            purges: Vec::new(),
            clock_offset: 0,
            trace: String::new(),
            deployment,
        };
        (0..nodes).for_each(|node| simulation.start(node));
        for object in 0..simulation.deployment.initial_purges {
            let key = PurgeKey::Object(object);
            let timestamp = START - object as Micros * 1_700;
            simulation.publish(Purge { key, timestamp });
        }
        simulation
    }

    fn clock(&self, node: usize) -> Micros {
        self.now + if node == 0 { self.clock_offset } else { 0 }
    }

    fn record(&mut self, node: usize, text: &str) {
        let at = text::milliseconds(self.now - START);
        self.trace.push_str(&format!("{at} {node} {text}\n"));
    }

    fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let relays = self.deployment.relays;
        let is_subscriber = node >= relays;
        let kind = if is_subscriber { "front" } else { "relay" };
        let identity = Identity {
            name: format!("{kind}-{node}"),
            incarnation: now as u64,
            address: address(node),
            region: format!("region-{}", node % 2),
            zone: format!("zone-{}", node % relays),
        };
        let (settings, seed) = (self.settings.clone(), self.random.next_u64());
        let limits = self.deployment.limits.clone();
        let member = match node {
            0 => Node::Publisher(Box::new(Publisher::new(
                settings, limits, identity, now, seed,
            ))),
            _ if is_subscriber => {
                Node::Subscriber(Box::new(Subscriber::new(settings, identity, now, seed)))
            }
            _ => Node::Relay(Box::new(Relay::new(settings, limits, identity, now, seed))),
        };
        self.nodes[node] = Some(member);
        self.record(node, "started");
        if node == 0 {
            let purges = self.purges.clone();
            purges
                .into_iter()
                .for_each(|purge| self.deliver_purge(purge));
        }
    }

    fn publish(&mut self, purge: Purge) {
        self.purges.push(purge);
        self.deliver_purge(purge);
    }

    fn deliver_purge(&mut self, purge: Purge) {
        let now = self.clock(0);
        if let Some(Node::Publisher(publisher)) = &mut self.nodes[0] {
            publisher.publish(now, Event::Purge(purge));
        }
    }

    fn set_event_source_unavailable(&mut self, is_unavailable: bool) {
        self.is_event_source_unavailable = is_unavailable;
        let since = is_unavailable.then_some(self.clock(0));
        if let Some(Node::Publisher(publisher)) = &mut self.nodes[0] {
            publisher.set_behind_since(since);
        }
    }

    fn publish_random_purges(&mut self) {
        if self.is_event_source_unavailable || !self.random.per_mille(250) {
            return;
        }
        for _ in 0..1 + self.random.below(3) {
            let key = if self.random.per_mille(100) {
                PurgeKey::Group(self.random.below(GROUPS) as u32)
            } else {
                PurgeKey::Object(self.random.below(OBJECTS))
            };
            let timestamp = self.now - self.random.between(0, 20 * MILLISECOND);
            self.publish(Purge { key, timestamp });
        }
    }

    fn start_random_fault(&mut self) {
        let faults_per_mille = self.deployment.faults_per_mille;
        if self.now < START + FAULT_FREE_TIME || !self.random.per_mille(faults_per_mille) {
            return;
        }
        let node = self.random.below(self.nodes.len() as u64) as usize;
        let until = self.now + self.random.between(100, 5_000) * MILLISECOND;
        let is_down = self.nodes[node].is_none() || self.waiting[node].is_some();
        let fault = match self.random.below(6) {
            0..=2 if !is_down => {
                self.nodes[node] = None;
                self.record(node, "killed");
                Fault::Killed(node)
            }
            3 if !is_down => {
                self.waiting[node] = Some(VecDeque::new());
                self.record(node, "paused");
                Fault::Paused(node)
            }
            4 => {
                self.is_partitioned[node] = true;
                self.record(node, "cut off");
                Fault::Partitioned(node)
            }
            5 if !self.is_event_source_unavailable => {
                self.set_event_source_unavailable(true);
                Fault::EventSourceUnavailable
            }
            _ => return,
        };
        self.faults.push((until, fault));
    }

    fn end_due_faults(&mut self) {
        let now = self.now;
        let (ended, ongoing): (Vec<_>, Vec<_>) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.faults = ongoing;
        for (_, fault) in ended {
            match fault {
                Fault::Killed(node) => {
                    if node == 0 {
                        self.clock_offset -= self.deployment.clock_back;
                    }
                    self.start(node);
                    if node == 0 && self.is_event_source_unavailable {
                        self.set_event_source_unavailable(true);
                    }
                }
                Fault::Paused(node) => {
                    let waiting = self.waiting[node].take().unwrap_or_default();
                    self.record(node, "resumed");
                    waiting
                        .into_iter()
                        .for_each(|bytes| self.receive(node, &bytes));
                }
                Fault::Partitioned(node) => self.is_partitioned[node] = false,
                Fault::EventSourceUnavailable => self.set_event_source_unavailable(false),
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.end_due_faults();
        self.start_random_fault();
        self.publish_random_purges();
        while let Some(due) = self
            .in_flight
            .first_entry()
            .filter(|due| due.key().0 <= self.now)
        {
            let (to, bytes) = due.remove();
            match &mut self.waiting[to] {
                Some(waiting) => waiting.push_back(bytes),
                None => self.receive(to, &bytes),
            }
        }
        for node in 0..self.nodes.len() {
            if self.waiting[node].is_none() {
                self.wake(node);
            }
        }
        if (self.now - START) % STATUS_INTERVAL == 0 {
            self.record_states();
        }
    }

    fn receive(&mut self, node: usize, bytes: &[u8]) {
        let now = self.clock(node);
        let mut out = Vec::new();
        if let Some(member) = &mut self.nodes[node] {
            member.receive(now, bytes, &mut out);
        }
        self.execute(node, out);
    }

    fn wake(&mut self, node: usize) {
        let now = self.clock(node);
        let mut out = Vec::new();
        if let Some(member) = self.nodes[node]
            .as_mut()
            .filter(|member| member.next_wake() <= now)
        {
            member.tick(now, &mut out);
        }
        self.execute(node, out);
    }

    fn record_states(&mut self) {
        for node in 0..self.nodes.len() {
            let now = self.clock(node);
            if let Some(status) = self.nodes[node].as_ref().map(|member| member.status(now)) {
                self.record(node, &status);
            }
        }
    }

    /// Executes the outputs of one call. They are recorded as one line for all datagrams, one for all events applied,
    /// one for all events in force, and one for each notice.
    fn execute(&mut self, node: usize, out: Vec<Output>) {
        let (mut sent, mut length, mut datagrams) = (0, 0, Digest::new());
        let (mut applied, mut events) = (0, Digest::new());
        let (mut finished, mut in_force) = (0, Digest::new());
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    (sent, length) = (sent + 1, length + bytes.len());
                    datagrams.add(to.to_string().as_bytes());
                    datagrams.add(&bytes);
                    self.send(node, node_of(to), bytes);
                }
                Output::Apply(event) => {
                    applied += 1;
                    // The digest includes where events are applied between datagrams.
                    datagrams.add(b"applied");
                    events.add(text::event(event).as_bytes());
                }
                Output::InForce { event, took } => {
                    finished += 1;
                    in_force.add(format!("{} {took}", text::event(event)).as_bytes());
                }
                Output::Notice(notice) => self.record(node, &text::notice(&notice)),
            }
        }
        for (label, count, digest) in [
            (format!("sent {length} bytes in"), sent, datagrams),
            ("applied".into(), applied, events),
            ("in force".into(), finished, in_force),
        ] {
            if count > 0 {
                self.record(node, &format!("{label} {count} {}", digest.hex()));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let is_lost = self.random.per_mille(self.deployment.loss_per_mille);
        if to >= self.nodes.len() || is_lost || self.is_partitioned[from] != self.is_partitioned[to]
        {
            return;
        }
        if self.random.per_mille(self.deployment.duplicates_per_mille) {
            self.enqueue(to, bytes.clone());
        }
        self.enqueue(to, bytes);
    }

    fn enqueue(&mut self, to: usize, bytes: Vec<u8>) {
        let delay = self.random.between(200, self.deployment.max_delay);
        self.sent += 1;
        self.in_flight
            .insert((self.now + delay, self.sent), (to, bytes));
    }
}
