//! The crate's own publisher, relays and subscribers, explored whole to a depth: one publisher, two relays, two fronts and
//! coarse time. Between two steps of time a purge is told, or one member crashes, is stopped or cut off (once each), or
//! what is sent to one in a step is lost or held back (once each).

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
const PURGES_MOST: usize = 2;
/// Members that stand for their kind: publisher, relay, front.
const OF_EACH_KIND: [usize; 3] = [0, 1, 3];
/// Steps until all hold leases.
const STEPS_TO_SETTLE: usize = 40;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Member {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Front(Box<Subscriber>),
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
                plan(),
                RelayLimits::default(),
                me,
                now,
                seed,
            ))),
            1 | 2 => Member::Relay(Box::new(Relay::new(
                plan(),
                RelayLimits::default(),
                me,
                now,
                seed,
            ))),
            _ => Member::Front(Box::new(Subscriber::new(plan(), me, now, seed))),
        }
    }

    fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.receive(now, bytes, out),
            Member::Relay(relay) => relay.receive(now, bytes, out),
            Member::Front(front) => front.receive(now, bytes, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self {
            Member::Publisher(publisher) => publisher.tick(now, out),
            Member::Relay(relay) => relay.tick(now, out),
            Member::Front(front) => front.tick(now, out),
        }
    }

    fn front(&self) -> Option<&Subscriber> {
        match self {
            Member::Front(front) => Some(front),
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
fn plan() -> DistributionSettings {
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
    is_cut: bool,
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
    cut: bool,
    loss: bool,
    hold: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    now: Micros,
    nodes: Vec<Node>,
    /// When each purge was told, and whether it is said to be in force.
    told: Vec<(Purge, bool)>,
    held: Vec<(usize, Vec<u8>)>,
    used: Used,
    /// What came between the last step of time and now, as [`Action::rank`]s: their order makes no difference.
    rank: usize,
    went_back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Network {
    Delivers,
    LosesTo(usize),
    HoldsBackTo(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Step(Deliveries),
    Tell,
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize),
    Heal,
    /// What was held back comes.
    Release,
}

impl Action {
    /// Between two steps of time actions come by this order.
    fn rank(self) -> usize {
        match self {
            Action::Step(_) => 0,
            Action::Heal => 1,
            Action::Release => 2,
            Action::Resume(_) => 3,
            Action::Restart(_) => 4,
            Action::Tell => 5,
            Action::Crash(_) => 6,
            Action::Pause(_) => 7,
            Action::Cut(_) => 8,
        }
    }
}

/// What the network does in one step of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Deliveries(Network);

impl Used {
    fn count(self) -> usize {
        [self.crash, self.pause, self.cut, self.loss, self.hold]
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
            is_cut: false,
            applied: BTreeSet::new(),
            position: None,
            waiting: Vec::new(),
        };
        let mut world = World {
            now: START,
            nodes: (0..NODES).map(node).collect(),
            told: Vec::new(),
            held: Vec::new(),
            used: Used::default(),
            rank: 0,
            went_back: false,
        };
        (0..STEPS_TO_SETTLE).for_each(|_| world.step(Network::Delivers));
        assert!(
            world.fronts().all(|(_, front)| front.has_lease(world.now)),
            "no leases after the start"
        );
        world
    }

    /// Fronts that run.
    fn fronts(&self) -> impl Iterator<Item = (&Node, &Subscriber)> {
        let running = self.nodes.iter().filter(|node| !node.is_paused);
        running.filter_map(|node| Some((node, node.member.as_ref()?.front()?)))
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
                self.carry(node, out, &mut under_way);
            }
        }
        self.deliver_all(under_way, network);
    }

    fn deliver_all(&mut self, mut under_way: VecDeque<(usize, Vec<u8>)>, network: Network) {
        while let Some((to, bytes)) = under_way.pop_front() {
            match network {
                Network::LosesTo(node) if node == to => continue,
                Network::HoldsBackTo(node) if node == to => {
                    self.held.push((to, bytes));
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
            self.carry(to, out, &mut under_way);
        }
        self.note_positions();
    }

    fn note_positions(&mut self) {
        for node in &mut self.nodes {
            let position = node
                .member
                .as_ref()
                .and_then(Member::front)
                .and_then(Subscriber::position);
            self.went_back |= position < node.position;
            node.position = position;
        }
    }

    fn carry(&mut self, from: usize, out: Vec<Output>, under_way: &mut VecDeque<(usize, Vec<u8>)>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    let to = node_of(to);
                    if to < NODES && self.nodes[to].is_cut == self.nodes[from].is_cut {
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
                    for (_, is_done) in self.told.iter_mut().filter(|(told, _)| *told == purge) {
                        *is_done = true;
                    }
                }
                Output::Apply(_) | Output::Notice(_) => {}
            }
        }
    }

    fn tell(&mut self, purge: Purge) {
        if let Some(Member::Publisher(publisher)) = &mut self.nodes[0].member {
            publisher.publish(self.now, Event::Purge(purge));
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node].member = Some(Member::new(node, self.now, (NODES + node) as u64));
        if node == 0 {
            // The service tells again what it told before.
            self.told
                .clone()
                .into_iter()
                .for_each(|(purge, _)| self.tell(purge));
        }
    }

    fn crash(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        (node.member, node.position) = (None, None);
        node.applied.clear();
        node.waiting.clear();
    }

    /// No front lacks what is said to be in force, unless it refuses copies from before it.
    fn is_truthful(&self) -> bool {
        self.fronts().all(|(node, front)| {
            let bound = front.freshness_bound(self.now);
            let refused_before = bound
                .max_age
                .map(|age| self.now - age)
                .max(bound.not_before);
            self.told
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

    /// Nothing is held up, where the publisher has neither crashed nor been stopped. A relay's lease may come behind a
    /// front's.
    fn is_in_time(&self) -> bool {
        let has_failed = |node: &Node| node.member.is_none() || node.is_paused;
        if has_failed(&self.nodes[0]) || self.used.crash || self.used.pause {
            return true;
        }
        let within = plan().in_force_within() + plan().lease_duration + 2 * STEP;
        self.told
            .iter()
            .all(|(purge, is_done)| *is_done || self.now <= purge.timestamp + within)
    }
}

pub(crate) struct Rules {
    /// Kinds of faults that come up on one way.
    pub faults_most: usize,
}

impl Model for Rules {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::settled()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        let step = |network| Action::Step(Deliveries(network));
        let (used, may_fail) = (world.used, world.used.count() < self.faults_most);
        if !world.told.is_empty() || used.count() > 0 {
            // Before that one step is as the other.
            actions.push(step(Network::Delivers));
        }
        if world.told.len() < PURGES_MOST {
            actions.push(Action::Tell);
        }
        if may_fail && !used.loss {
            actions.extend([1, 3].map(|node| step(Network::LosesTo(node))));
        }
        if may_fail && !used.hold {
            actions.push(step(Network::HoldsBackTo(3)));
        }
        if !world.held.is_empty() {
            actions.push(Action::Release);
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
                    actions.extend((!used.cut).then_some(Action::Cut(node)));
                }
                Node { .. } => {}
            }
        }
        if world.nodes.iter().any(|node| node.is_cut) {
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
                world.used.hold |= matches!(network, Network::HoldsBackTo(_));
                world.step(network);
            }
            Action::Tell => {
                let key = PurgeKey::Object(world.told.len() as u64);
                let purge = Purge {
                    key,
                    timestamp: world.now,
                };
                world.told.push((purge, false));
                world.tell(purge);
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
            Action::Cut(node) => {
                world.used.cut = true;
                world.nodes[node].is_cut = true;
            }
            Action::Heal => world.nodes.iter_mut().for_each(|node| node.is_cut = false),
            Action::Release => {
                let under_way = std::mem::take(&mut world.held).into();
                world.deliver_all(under_way, Network::Delivers);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        vec![
            Property::always(TRUTHFUL, |_, world: &World| world.is_truthful()),
            Property::always(FORWARD, |_, world: &World| !world.went_back),
            Property::always(IN_TIME, |_, world: &World| world.is_in_time()),
            Property::sometimes(DONE, |_, world: &World| {
                world.told.iter().any(|(_, is_done)| *is_done)
            }),
        ]
    }
}

const TRUTHFUL: &str = "no front serves copies from before what is said to be in force";
const FORWARD: &str = "no front takes back what it has applied";
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
    let wrong = [TRUTHFUL, FORWARD, IN_TIME].into_iter().find_map(|name| {
        let path = checker.discovery(name)?;
        Some(format!("not so: {name}: {:?}", path.into_actions()))
    });
    let wrong = wrong.or_else(|| {
        checker
            .discovery(DONE)
            .is_none()
            .then(|| format!("never: {DONE}"))
    });
    (checker.unique_state_count(), wrong)
}
