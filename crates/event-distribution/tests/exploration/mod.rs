//! A model checker that explores all states of one publisher, two relays and two subscribers, built from the code of
//! this crate, up to a depth and with coarse time steps. Between two time steps, purges may be published, and a member
//! may crash, be paused or be partitioned (each at most once). In a time step, the datagrams to one member may be lost
//! or delayed (each at most once).

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
/// The publisher, one relay and one subscriber: faults of members occur only at these.
const ONE_OF_EACH_KIND: [usize; 3] = [0, 1, 3];
/// Number of time steps until all subscribers hold leases.
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
        let identity = Identity {
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
                identity,
                now,
                seed,
            ))),
            1 | 2 => Member::Relay(Box::new(Relay::new(
                settings(),
                RelayLimits::default(),
                identity,
                now,
                seed,
            ))),
            _ => Member::Subscriber(Box::new(Subscriber::new(settings(), identity, now, seed))),
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

/// All durations are a few time steps, and a purge set stores one purge.
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
    /// Datagrams that arrived while the member was paused.
    waiting: Vec<Vec<u8>>,
}

/// The faults that have occurred, each at most once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct UsedFaults {
    crash: bool,
    pause: bool,
    partition: bool,
    loss: bool,
    delay: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SystemState {
    now: Micros,
    nodes: Vec<Node>,
    /// The purges that were published, and whether each was announced as in force.
    published: Vec<(Purge, bool)>,
    delayed: Vec<(usize, Vec<u8>)>,
    used: UsedFaults,
    /// [`Action::rank`] of the last action. Actions between two time steps are explored only by increasing rank,
    /// because their order makes no difference.
    rank: usize,
    has_position_regressed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    All,
    LoseTo(usize),
    DelayTo(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Step(StepDelivery),
    Publish,
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize),
    Heal,
    /// The delayed datagrams arrive.
    DeliverDelayed,
}

impl Action {
    /// The order of actions between two time steps.
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

/// How the network handles the datagrams of one time step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StepDelivery(Delivery);

impl UsedFaults {
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

impl SystemState {
    fn settled() -> SystemState {
        let node = |node| Node {
            member: Some(Member::new(node, START, node as u64)),
            is_paused: false,
            is_partitioned: false,
            applied: BTreeSet::new(),
            position: None,
            waiting: Vec::new(),
        };
        let mut state = SystemState {
            now: START,
            nodes: (0..NODES).map(node).collect(),
            published: Vec::new(),
            delayed: Vec::new(),
            used: UsedFaults::default(),
            rank: 0,
            has_position_regressed: false,
        };
        (0..STEPS_TO_SETTLE).for_each(|_| state.step(Delivery::All));
        assert!(
            state
                .subscribers()
                .all(|(_, subscriber)| subscriber.has_lease(state.now)),
            "no leases after the start"
        );
        state
    }

    /// The subscribers that are running.
    fn subscribers(&self) -> impl Iterator<Item = (&Node, &Subscriber)> {
        let running = self.nodes.iter().filter(|node| !node.is_paused);
        running.filter_map(|node| Some((node, node.member.as_ref()?.subscriber()?)))
    }

    fn step(&mut self, delivery: Delivery) {
        self.now += STEP;
        let mut in_flight = VecDeque::new();
        for node in 0..NODES {
            if !self.nodes[node].is_paused {
                let mut out = Vec::new();
                if let Some(member) = &mut self.nodes[node].member {
                    member.tick(self.now, &mut out);
                }
                self.execute(node, out, &mut in_flight);
            }
        }
        self.deliver_all(in_flight, delivery);
    }

    fn deliver_all(&mut self, mut in_flight: VecDeque<(usize, Vec<u8>)>, delivery: Delivery) {
        while let Some((to, bytes)) = in_flight.pop_front() {
            match delivery {
                Delivery::LoseTo(node) if node == to => continue,
                Delivery::DelayTo(node) if node == to => {
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
            self.execute(to, out, &mut in_flight);
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
            self.has_position_regressed |= position < node.position;
            node.position = position;
        }
    }

    fn execute(
        &mut self,
        from: usize,
        out: Vec<Output>,
        in_flight: &mut VecDeque<(usize, Vec<u8>)>,
    ) {
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    let to = node_of(to);
                    if to < NODES
                        && self.nodes[to].is_partitioned == self.nodes[from].is_partitioned
                    {
                        in_flight.push_back((to, bytes));
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
                    for (_, is_in_force) in self
                        .published
                        .iter_mut()
                        .filter(|(published, _)| *published == purge)
                    {
                        *is_in_force = true;
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
            // The event source delivers all former events again.
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

    /// Whether each running subscriber has applied each purge that was announced as in force, or refuses the copies
    /// that the purge invalidates.
    fn are_copies_fresh(&self) -> bool {
        self.subscribers().all(|(node, subscriber)| {
            let bound = subscriber.freshness_bound(self.now);
            let refused_before = bound
                .max_age
                .map(|age| self.now - age)
                .max(bound.not_before);
            self.published
                .iter()
                .filter(|(_, is_in_force)| *is_in_force)
                .all(|(purge, _)| {
                    let PurgeKey::Object(object) = purge.key else {
                        return true;
                    };
                    node.applied.contains(&object) || refused_before >= Some(purge.timestamp)
                })
        })
    }

    /// Whether all purges are in force within their deadline. Only checked if no member has crashed or been paused. The
    /// deadline includes the lease of a relay, which may expire after that of a subscriber.
    fn is_within_deadline(&self) -> bool {
        let has_failed = |node: &Node| node.member.is_none() || node.is_paused;
        if has_failed(&self.nodes[0]) || self.used.crash || self.used.pause {
            return true;
        }
        let within = settings().in_force_within() + settings().lease_duration + 2 * STEP;
        self.published
            .iter()
            .all(|(purge, is_in_force)| *is_in_force || self.now <= purge.timestamp + within)
    }
}

pub(crate) struct DistributionModel {
    /// Maximum number of kinds of faults on one path.
    pub max_faults: usize,
}

impl Model for DistributionModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::settled()]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        let step = |delivery| Action::Step(StepDelivery(delivery));
        let (used, may_fail) = (state.used, state.used.count() < self.max_faults);
        if !state.published.is_empty() || used.count() > 0 {
            // Before that, time steps change nothing relevant.
            actions.push(step(Delivery::All));
        }
        if state.published.len() < MAX_PURGES {
            actions.push(Action::Publish);
        }
        if may_fail && !used.loss {
            actions.extend([1, 3].map(|node| step(Delivery::LoseTo(node))));
        }
        if may_fail && !used.delay {
            actions.push(step(Delivery::DelayTo(3)));
        }
        if !state.delayed.is_empty() {
            actions.push(Action::DeliverDelayed);
        }
        for node in ONE_OF_EACH_KIND {
            match &state.nodes[node] {
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
        if state.nodes.iter().any(|node| node.is_partitioned) {
            actions.push(Action::Heal);
        }
        actions.retain(|action| action.rank() == 0 || action.rank() > state.rank);
    }

    fn next_state(&self, last: &SystemState, action: Action) -> Option<SystemState> {
        let mut state = last.clone();
        state.rank = action.rank();
        match action {
            Action::Step(StepDelivery(delivery)) => {
                state.used.loss |= matches!(delivery, Delivery::LoseTo(_));
                state.used.delay |= matches!(delivery, Delivery::DelayTo(_));
                state.step(delivery);
            }
            Action::Publish => {
                let key = PurgeKey::Object(state.published.len() as u64);
                let purge = Purge {
                    key,
                    timestamp: state.now,
                };
                state.published.push((purge, false));
                state.deliver_purge(purge);
            }
            Action::Crash(node) => {
                state.used.crash = true;
                state.crash(node);
            }
            Action::Restart(node) => state.restart(node),
            Action::Pause(node) => {
                state.used.pause = true;
                state.nodes[node].is_paused = true;
            }
            Action::Resume(node) => {
                state.nodes[node].is_paused = false;
                let waiting = std::mem::take(&mut state.nodes[node].waiting);
                let in_flight = waiting.into_iter().map(|bytes| (node, bytes)).collect();
                state.deliver_all(in_flight, Delivery::All);
            }
            Action::Partition(node) => {
                state.used.partition = true;
                state.nodes[node].is_partitioned = true;
            }
            Action::Heal => state
                .nodes
                .iter_mut()
                .for_each(|node| node.is_partitioned = false),
            Action::DeliverDelayed => {
                let in_flight = std::mem::take(&mut state.delayed).into();
                state.deliver_all(in_flight, Delivery::All);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<DistributionModel>> {
        vec![
            Property::always(COPIES_ARE_FRESH, |_, state: &SystemState| {
                state.are_copies_fresh()
            }),
            Property::always(NO_REGRESSION, |_, state: &SystemState| {
                !state.has_position_regressed
            }),
            Property::always(WITHIN_DEADLINE, |_, state: &SystemState| {
                state.is_within_deadline()
            }),
            Property::sometimes(REACHES_IN_FORCE, |_, state: &SystemState| {
                state.published.iter().any(|(_, is_in_force)| *is_in_force)
            }),
        ]
    }
}

const COPIES_ARE_FRESH: &str = "no subscriber serves copies that a purge in force invalidates";
const NO_REGRESSION: &str = "no position of a subscriber goes back";
const WITHIN_DEADLINE: &str = "purges are in force within their deadline";
const REACHES_IN_FORCE: &str = "a purge is announced as in force";

/// Explores all paths up to this depth. Returns the number of states and the first violated property with its path.
pub(crate) fn explore(
    model: DistributionModel,
    depth: usize,
    threads: usize,
) -> (usize, Option<String>) {
    let checker = model
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let violation = [COPIES_ARE_FRESH, NO_REGRESSION, WITHIN_DEADLINE]
        .into_iter()
        .find_map(|name| {
            let path = checker.discovery(name)?;
            Some(format!("violated: {name}: {:?}", path.into_actions()))
        });
    let violation = violation.or_else(|| {
        checker
            .discovery(REACHES_IN_FORCE)
            .is_none()
            .then(|| format!("never reached: {REACHES_IN_FORCE}"))
    });
    (checker.unique_state_count(), violation)
}
