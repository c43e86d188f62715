//! The crate's own publisher, relays and subscribers, explored completely to a depth: one publisher, two relays, two
//! subscribers and coarse time. Between two steps of time a purge is published, or one member crashes, is paused or
//! partitioned (once each), or what is sent to one in a step is lost or delayed (once each).

use meadowrill_event_distribution::event::{Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits, MILLISECOND, SECOND,
};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::Micros;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

const FLEET: u64 = 7;
const START: Micros = 1_700_000_000 * SECOND;
const STEP: Micros = 200 * MILLISECOND;
const RELAYS: usize = 3;
const NODES: usize = 5;
const MAX_PURGES: usize = 2;
/// Members that stand for their kind: publisher, relay, subscriber.
const OF_EACH_KIND: [usize; 3] = [0, 1, 3];
/// Steps until all hold leases.
const STEPS_TO_SETTLE: usize = 40;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Member {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Subscriber(Box<Subscriber>),
}

impl Member {
    fn new(node: usize, now: Micros, seed: u64) -> Member {
        let (name, zone) = (format!("member-{node}"), format!("zone-{}", node % 2));
        let me = Identity {
            name,
            incarnation: now as u64,
            address: address(node),
            region: String::new(),
            zone,
        };
        match node {
            0 => Member::Publisher(Box::new(Publisher::new(
                settings(),
                RelayLimits::default(),
                me,
                now,
                seed,
            ))),
            1 | 2 => Member::Relay(Box::new(Relay::new(
                settings(),
                RelayLimits::default(),
                me,
                now,
                seed,
            ))),
            _ => Member::Subscriber(Box::new(Subscriber::new(settings(), me, now, seed))),
        }
    }

    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.receive(now, bytes, out),
            Member::Relay(relay) => relay.receive(now, bytes, out),
            Member::Subscriber(subscriber) => subscriber.receive(now, bytes, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.tick(now, out),
            Member::Relay(relay) => relay.tick(now, out),
            Member::Subscriber(subscriber) => subscriber.tick(now, out),
        }
    }

    fn subscriber(&self) -> Option<&Subscriber> {
        match self {
            Member::Subscriber(subscriber) => Some(subscriber),
            _ => None,
        }
    }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node as u8], 7100))
}

fn node_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => NODES,
    }
}

/// All spans are a few steps of time, and a purge set holds one purge.
fn settings() -> DistributionSettings {
    let listed = (0..RELAYS).map(|node| RelayAddress {
        name: format!("member-{node}"),
        address: address(node),
        region: String::new(),
        zone: format!("zone-{}", node % 2),
        publishes: node == 0,
    });
    DistributionSettings {
        batch_interval: STEP,
        heartbeat_interval: 2 * STEP,
        retry_interval: STEP,
        lease_duration: 4 * STEP,
        max_lag: 2 * STEP,
        max_copy_age: STEP / 2,
        max_purges: 1,
        ..DistributionSettings::new(FLEET, listed.collect())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    member: Option<Member>,
    is_paused: bool,
    is_partitioned: bool,
    applied: BTreeSet<u64>,
    position: Option<LogPosition>,
    /// What came while it was stopped.
    waiting: Vec<Vec<u8>>,
}

/// Faults that have come up, each once at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Used {
    crash: bool,
    pause: bool,
    partition: bool,
    loss: bool,
    delay: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    now: Micros,
    nodes: Vec<Node>,
    /// Each purge published, and whether it was announced as in force.
    published: Vec<(Purge, bool)>,
    delayed: Vec<(usize, Vec<u8>)>,
    used: Used,
    /// What came between the last step of time and now, as [`Action::rank`]s: their order makes no difference.
    rank: usize,
    has_regressed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Network {
    Delivers,
    LosesTo(usize),
    DelaysTo(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Step(Deliveries),
    Publish,
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize),
    Heal,
    /// Delayed datagrams arrive.
    DeliverDelayed,
}

impl Action {
    /// Between two steps of time actions come by this order.
    fn rank(self) -> usize {
        match self {
            Action::Step(_) => 0,
            Action::Heal => 1,
            Action::DeliverDelayed => 2,
            Action::Resume(_) => 3,
            Action::Restart(_) => 4,
            Action::Publish => 5,
            Action::Crash(_) => 6,
            Action::Pause(_) => 7,
            Action::Partition(_) => 8,
        }
    }
}

/// What the network does in one step of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Deliveries(Network);

impl Used {
    fn count(self) -> usize {
        [
            self.crash,
            self.pause,
            self.partition,
            self.loss,
            self.delay,
        ]
        .into_iter()
        .filter(|used| *used)
        .count()
    }
}

impl World {
    fn settled() -> World {
        let node = |node| Node {
            member: Some(Member::new(node, START, node as u64)),
            is_paused: false,
            is_partitioned: false,
            applied: BTreeSet::new(),
            position: None,
            waiting: Vec::new(),
        };
        let mut world = World {
            now: START,
            nodes: (0..NODES).map(node).collect(),
            published: Vec::new(),
            delayed: Vec::new(),
            used: Used::default(),
            rank: 0,
            has_regressed: false,
        };
        (0..STEPS_TO_SETTLE).for_each(|_| world.step(Network::Delivers));
        assert!(
            world
                .subscribers()
                .all(|(_, subscriber)| subscriber.has_lease(world.now)),
            "no leases after the start"
        );
        world
    }

    /// Subscribers that run.
    fn subscribers(&self) -> impl Iterator<Item = (&Node, &Subscriber)> {
        let running = self.nodes.iter().filter(|node| !node.is_paused);
        running.filter_map(|node| Some((node, node.member.as_ref()?.subscriber()?)))
    }

    fn step(&mut self, network: Network) {
        self.now += STEP;
        let mut under_way = VecDeque::new();
        for node in 0..NODES {
            if !self.nodes[node].is_paused {
                let mut out = Vec::new();
                if let Some(member) = &mut self.nodes[node].member {
                    member.tick(self.now, &mut out);
                }
                self.carry_out(node, out, &mut under_way);
            }
        }
        self.deliver_all(under_way, network);
    }

    fn deliver_all(&mut self, mut under_way: VecDeque<(usize, Vec<u8>)>, network: Network) {
        while let Some((to, bytes)) = under_way.pop_front() {
            match network {
                Network::LosesTo(node) if node == to => continue,
                Network::DelaysTo(node) if node == to => {
                    self.delayed.push((to, bytes));
                    continue;
                }
                _ => {}
            }
            if self.nodes[to].is_paused {
                self.nodes[to].waiting.push(bytes);
                continue;
            }
            let mut out = Vec::new();
            if let Some(member) = &mut self.nodes[to].member {
                member.receive(self.now, &bytes, &mut out);
            }
            self.carry_out(to, out, &mut under_way);
        }
        self.record_positions();
    }

    fn record_positions(&mut self) {
        for node in &mut self.nodes {
            let position = node
                .member
                .as_ref()
                .and_then(Member::subscriber)
                .and_then(Subscriber::position);
            self.has_regressed |= position < node.position;
            node.position = position;
        }
    }

    fn carry_out(
        &mut self,
        from: usize,
        out: Vec<Output>,
        under_way: &mut VecDeque<(usize, Vec<u8>)>,
    ) {
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    let to = node_of(to);
                    if to < NODES
                        && self.nodes[to].is_partitioned == self.nodes[from].is_partitioned
                    {
                        under_way.push_back((to, bytes));
                    }
                }
                Output::Apply(Event::Purge(Purge {
                    key: PurgeKey::Object(object),
                    ..
                })) => {
                    self.nodes[from].applied.insert(object);
                }
                Output::InForce {
                    event: Event::Purge(purge),
                    ..
                } => {
                    for (_, is_done) in self
                        .published
                        .iter_mut()
                        .filter(|(published, _)| *published == purge)
                    {
                        *is_done = true;
                    }
                }
                Output::Apply(_) | Output::Notice(_) => {}
            }
        }
    }

    fn deliver_purge(&mut self, purge: Purge) {
        if let Some(Member::Publisher(publisher)) = &mut self.nodes[0].member {
            publisher.publish(self.now, Event::Purge(purge));
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node].member = Some(Member::new(node, self.now, (NODES + node) as u64));
        if node == 0 {
            // The service delivers again what it delivered before.
            self.published
                .clone()
                .into_iter()
                .for_each(|(purge, _)| self.deliver_purge(purge));
        }
    }

    fn crash(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        (node.member, node.position) = (None, None);
        node.applied.clear();
        node.waiting.clear();
    }

    /// No subscriber lacks what was announced as in force, unless it refuses copies from before it.
    fn upholds_in_force(&self) -> bool {
        self.subscribers().all(|(node, subscriber)| {
            let bound = subscriber.freshness_bound(self.now);
            let refused_before = bound
                .max_age
                .map(|age| self.now - age)
                .max(bound.not_before);
            self.published
                .iter()
                .filter(|(_, is_done)| *is_done)
                .all(|(purge, _)| {
                    let PurgeKey::Object(object) = purge.key else {
                        return true;
                    };
                    node.applied.contains(&object) || refused_before >= Some(purge.timestamp)
                })
        })
    }

    /// Nothing is delayed, where the publisher has neither crashed nor been paused. A relay's lease may come behind a
    /// subscriber's.
    fn is_within_deadline(&self) -> bool {
        let has_failed = |node: &Node| node.member.is_none() || node.is_paused;
        if has_failed(&self.nodes[0]) || self.used.crash || self.used.pause {
            return true;
        }
        let within = settings().in_force_within() + settings().lease_duration + 2 * STEP;
        self.published
            .iter()
            .all(|(purge, is_done)| *is_done || self.now <= purge.timestamp + within)
    }
}

pub(crate) struct Rules {
    /// Kinds of faults that come up on one way.
    pub max_faults: usize,
}

impl Model for Rules {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::settled()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        let step = |network| Action::Step(Deliveries(network));
        let (used, may_fail) = (world.used, world.used.count() < self.max_faults);
        if !world.published.is_empty() || used.count() > 0 {
            // Before that one step is as the other.
            actions.push(step(Network::Delivers));
        }
        if world.published.len() < MAX_PURGES {
            actions.push(Action::Publish);
        }
        if may_fail && !used.loss {
            actions.extend([1, 3].map(|node| step(Network::LosesTo(node))));
        }
        if may_fail && !used.delay {
            actions.push(step(Network::DelaysTo(3)));
        }
        if !world.delayed.is_empty() {
            actions.push(Action::DeliverDelayed);
        }
        for node in OF_EACH_KIND {
            match &world.nodes[node] {
                Node { member: None, .. } => actions.push(Action::Restart(node)),
                Node {
                    is_paused: true, ..
                } => actions.push(Action::Resume(node)),
                Node { .. } if may_fail => {
                    actions.extend((!used.crash).then_some(Action::Crash(node)));
                    actions.extend((!used.pause).then_some(Action::Pause(node)));
                    actions.extend((!used.partition).then_some(Action::Partition(node)));
                }
                Node { .. } => {}
            }
        }
        if world.nodes.iter().any(|node| node.is_partitioned) {
            actions.push(Action::Heal);
        }
        actions.retain(|action| action.rank() == 0 || action.rank() > world.rank);
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        world.rank = action.rank();
        match action {
            Action::Step(Deliveries(network)) => {
                world.used.loss |= matches!(network, Network::LosesTo(_));
                world.used.delay |= matches!(network, Network::DelaysTo(_));
                world.step(network);
            }
            Action::Publish => {
                let key = PurgeKey::Object(world.published.len() as u64);
                let purge = Purge {
                    key,
                    timestamp: world.now,
                };
                world.published.push((purge, false));
                world.deliver_purge(purge);
            }
            Action::Crash(node) => {
                world.used.crash = true;
                world.crash(node);
            }
            Action::Restart(node) => world.restart(node),
            Action::Pause(node) => {
                world.used.pause = true;
                world.nodes[node].is_paused = true;
            }
            Action::Resume(node) => {
                world.nodes[node].is_paused = false;
                let waiting = std::mem::take(&mut world.nodes[node].waiting);
                let under_way = waiting.into_iter().map(|bytes| (node, bytes)).collect();
                world.deliver_all(under_way, Network::Delivers);
            }
            Action::Partition(node) => {
                world.used.partition = true;
                world.nodes[node].is_partitioned = true;
            }
            Action::Heal => world
                .nodes
                .iter_mut()
                .for_each(|node| node.is_partitioned = false),
            Action::DeliverDelayed => {
                let under_way = std::mem::take(&mut world.delayed).into();
                world.deliver_all(under_way, Network::Delivers);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        vec![
            Property::always(TRUTHFUL, |_, world: &World| world.upholds_in_force()),
            Property::always(FORWARD, |_, world: &World| !world.has_regressed),
            Property::always(IN_TIME, |_, world: &World| world.is_within_deadline()),
            Property::sometimes(DONE, |_, world: &World| {
                world.published.iter().any(|(_, is_done)| *is_done)
            }),
        ]
    }
}

const TRUTHFUL: &str = "no subscriber serves copies from before what is said to be in force";
const FORWARD: &str = "no subscriber takes back what it has applied";
const IN_TIME: &str = "nothing is held up";
const DONE: &str = "a purge is said to be in force";

/// Explores to this depth: how many states, and the first thing that does not hold, with the way to it.
pub(crate) fn explore(rules: Rules, depth: usize, threads: usize) -> (usize, Option<String>) {
    let checker = rules
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let violation = [TRUTHFUL, FORWARD, IN_TIME].into_iter().find_map(|name| {
        let path = checker.discovery(name)?;
        Some(format!("not so: {name}: {:?}", path.into_actions()))
    });
    let violation = violation.or_else(|| {
        checker
            .discovery(DONE)
            .is_none()
            .then(|| format!("never: {DONE}"))
    });
    (checker.unique_state_count(), violation)
}
