//! A simulated fleet that is determined by a seed: the network loses, duplicates and delays messages, and random faults
//! occur.

use crate::trace;
use meadowrill_membership::settings::FleetSettings;
use meadowrill_membership::view::{Action, MemberIdentity, View};
use meadowrill_membership::wire::{decode, encode, encode_chunk, Value};
use meadowrill_recorded_traces::Random;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::net::SocketAddr;

const SECOND: i64 = 1_000_000;
/// Offset basis of FNV-1a.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
/// Number of datagrams that are written to the trace in full.
const RECORDED_DATAGRAMS: usize = 40;
/// Interval at which the totals of the sent messages are written to the trace.
const TOTALS_INTERVAL: i64 = SECOND;
const CONTACTS: usize = 2;

pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) duration: i64,
    pub(crate) period: i64,
    pub(crate) bytes_per_second: u64,
    pub(crate) retention: i64,
    pub(crate) local_health: bool,
    pub(crate) streams: bool,
    pub(crate) loss_per_mille: u64,
    pub(crate) fault_interval: i64,
}

struct Node {
    view: Option<View>,
    /// Number in the name of the node. Two nodes may have the same name.
    name: usize,
    starts: u64,
    paused_until: i64,
    /// Partition of the network. Nodes in different partitions cannot reach each other.
    partition: u8,
    messages: u64,
    bytes: u64,
    hash: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { to: usize, bytes: Vec<u8> },
    StreamFailed { at: usize, to: usize },
    Fault,
    Start { node: usize },
    Heal,
    WriteTotals,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    random: Random,
    now: i64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(i64, u64, Event)>>,
    last_event: u64,
    recorded_datagrams: usize,
    trace: String,
}

fn address(node: usize) -> SocketAddr {
    format!("127.0.1.{}:7000", node + 1)
        .parse()
        .expect("a valid address")
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Simulation {
        let node = |name| Node {
            view: None,
            name,
            starts: 0,
            paused_until: 0,
            partition: 0,
            messages: 0,
            bytes: 0,
            hash: HASH_START,
        };
        // The last node has the same name as the node before it.
        let mut nodes: Vec<Node> = (0..scenario.nodes).map(node).collect();
        nodes.push(node(scenario.nodes - 1));
        let mut simulation = Simulation {
            random: Random::new(scenario.seed),
            now: 1_000 * SECOND,
            nodes,
            events: BinaryHeap::new(),
            last_event: 0,
            recorded_datagrams: 0,
            trace: String::new(),
            scenario,
        };
        for node in 0..simulation.scenario.nodes {
            let delay = simulation.random.below(2 * SECOND as u64) as i64;
            simulation.schedule_after(delay, Event::Start { node });
        }
        let same_name_node = simulation.scenario.nodes;
        let half = simulation.scenario.duration / 2;
        simulation.schedule_after(
            half,
            Event::Start {
                node: same_name_node,
            },
        );
        simulation.schedule_after(4 * SECOND, Event::Fault);
        simulation.schedule_after(TOTALS_INTERVAL, Event::WriteTotals);
        simulation
    }

    pub(crate) fn run(mut self) -> String {
        let end = self.now + self.scenario.duration;
        loop {
            let event_at = self.events.peek().map(|Reverse((at, ..))| *at);
            let timer = self.next_timer();
            let event_first = event_at.is_some_and(|at| timer.is_none_or(|(due, _)| at <= due));
            let next = if event_first {
                event_at
            } else {
                timer.map(|(due, _)| due)
            };
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if event_first {
                if let Some(Reverse((_, _, event))) = self.events.pop() {
                    self.handle(event);
                }
            } else if let Some((_, node)) = timer {
                self.handle_timeout_of(node);
            }
        }
        for node in &self.nodes {
            if let Some(view) = &node.view {
                writeln!(self.trace, "{} E {}", node.name, trace::final_state(view))
                    .expect("writing to a string does not fail");
            }
        }
        self.trace
    }

    fn schedule_after(&mut self, delay: i64, event: Event) {
        self.last_event += 1;
        self.events
            .push(Reverse((self.now + delay, self.last_event, event)));
    }

    fn next_timer(&self) -> Option<(i64, usize)> {
        let timers = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let due = node.view.as_ref()?.next_timeout();
            Some((due.max(node.paused_until), index))
        });
        timers.min()
    }

    fn handle_timeout_of(&mut self, node: usize) {
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[node].view {
            view.handle_timeout(self.now, &mut actions);
        }
        self.execute(node, actions);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { to, bytes } => self.arrive(to, bytes),
            Event::StreamFailed { at, to } => {
                if let Some(view) = &mut self.nodes[at].view {
                    view.stream_failed(self.now, address(to));
                }
            }
            Event::Fault => self.inject_random_fault(),
            Event::Start { node } => self.start(node),
            Event::Heal => self.nodes.iter_mut().for_each(|node| node.partition = 0),
            Event::WriteTotals => self.write_totals(),
        }
    }

    fn arrive(&mut self, to: usize, bytes: Vec<u8>) {
        if self.nodes[to].paused_until > self.now {
            let wait = self.nodes[to].paused_until - self.now;
            return self.schedule_after(wait, Event::Arrival { to, bytes });
        }
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[to].view {
            view.receive(self.now, &bytes, &mut actions);
        }
        self.execute(to, actions);
    }

    fn start(&mut self, node: usize) {
        let mut settings = FleetSettings::new(address(node));
        settings.contacts = (0..CONTACTS).map(address).collect();
        settings.zone = ["east", "west"][node % 2].into();
        settings.probe_period = self.scenario.period;
        settings.bytes_per_second = self.scenario.bytes_per_second;
        settings.departed_retention = self.scenario.retention;
        settings.local_health = self.scenario.local_health;
        settings.use_streams = self.scenario.streams;
        settings.validate().expect("valid settings");
        let entry = &mut self.nodes[node];
        entry.starts += 1;
        let identity = MemberIdentity {
            name: format!("front-{}", entry.name),
            version: "0.1.0".into(),
            start: 100 * entry.starts + node as u64,
        };
        entry.view = Some(View::new(
            settings,
            identity,
            self.now,
            self.scenario.seed + entry.starts,
        ));
        let name = entry.name;
        writeln!(self.trace, "{} {name} start", self.now)
            .expect("writing to a string does not fail");
    }

    fn inject_random_fault(&mut self) {
        self.schedule_after(self.scenario.fault_interval, Event::Fault);
        let node = self.random.below(self.scenario.nodes as u64) as usize;
        match self.random.below(8) {
            0 | 1 => self.crash(node),
            2 => self.pause(node),
            3 => self.partition_network(),
            4 => self.leave(node),
            5 => self.deliver_corrupted(node),
            _ => self.put_value(node),
        }
    }

    /// The process ends without announcing its departure, and starts again after a few seconds.
    fn crash(&mut self, node: usize) {
        self.nodes[node].view = None;
        let delay = (1 + self.random.below(12) as i64) * SECOND;
        self.schedule_after(delay, Event::Start { node });
    }

    fn pause(&mut self, node: usize) {
        let length = self.random.below(8 * self.scenario.period as u64) as i64;
        self.nodes[node].paused_until = self.now + length;
    }

    fn partition_network(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].partition = u8::from(self.random.per_mille(350));
        }
        let delay = self.random.below(14 * self.scenario.period as u64) as i64;
        self.schedule_after(delay, Event::Heal);
    }

    fn leave(&mut self, node: usize) {
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[node].view {
            view.leave(self.now, &mut actions);
        }
        self.execute(node, actions);
        self.schedule_after(15 * SECOND, Event::Start { node });
    }

    /// Delivers a datagram with one flipped bit.
    fn deliver_corrupted(&mut self, to: usize) {
        let arrival = self
            .events
            .iter()
            .find_map(|Reverse((_, _, event))| match event {
                Event::Arrival { bytes, .. } => Some(bytes.clone()),
                _ => None,
            });
        let Some(mut bytes) = arrival else { return };
        let at = self.random.below(bytes.len() as u64) as usize;
        bytes[at] ^= 1 << self.random.below(8);
        self.arrive(to, bytes);
    }

    fn put_value(&mut self, node: usize) {
        let value = Value {
            kind: self.random.below(3) as u32,
            version: self.random.below(100),
            bytes: vec![7; self.random.below(250) as usize],
        };
        if let Some(view) = &mut self.nodes[node].view {
            let accepted = view.put_value(self.now, value);
            writeln!(self.trace, "{} {node} value {accepted}", self.now)
                .expect("writing to a string does not fail");
        }
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => self.send(from, to, bytes, false),
                Action::SendStream { to, bytes } => self.send(from, to, bytes, true),
                Action::Notify(change) => {
                    let (now, name) = (self.now, self.nodes[from].name);
                    let change = trace::change(&change);
                    writeln!(self.trace, "{now} {name} C {change}")
                        .expect("writing to a string does not fail");
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>, stream: bool) {
        self.record(from, to, &bytes, stream);
        let Some(target) = (0..self.nodes.len()).find(|node| address(*node) == to) else {
            return;
        };
        let is_reachable = self.nodes[from].partition == self.nodes[target].partition;
        if stream && (!is_reachable || self.random.per_mille(50)) {
            return self.schedule_after(
                SECOND / 5,
                Event::StreamFailed {
                    at: from,
                    to: target,
                },
            );
        }
        let lost = !stream && self.random.per_mille(self.scenario.loss_per_mille);
        if lost || !is_reachable {
            return;
        }
        let copies = 1 + u32::from(!stream && self.random.per_mille(10));
        for _ in 0..copies {
            let delay = 300 + self.random.below(4_000) as i64;
            let bytes = bytes.clone();
            self.schedule_after(delay, Event::Arrival { to: target, bytes });
        }
    }

    fn record(&mut self, from: usize, to: SocketAddr, bytes: &[u8], stream: bool) {
        let fleet = FleetSettings::new(to).fleet_id();
        let packet = decode(bytes, fleet).expect("the view sends decodable messages");
        let mut reencoded = Vec::new();
        if stream {
            encode_chunk(&packet, &mut reencoded);
        } else {
            encode(&packet, &mut reencoded);
        }
        assert_eq!(
            reencoded, bytes,
            "a decoded message is encoded to the same bytes"
        );
        if self.recorded_datagrams < RECORDED_DATAGRAMS {
            self.recorded_datagrams += 1;
            let (now, name) = (self.now, self.nodes[from].name);
            let bytes = trace::hex(bytes);
            writeln!(self.trace, "{now} {name} D {to} {bytes}")
                .expect("writing to a string does not fail");
        }
        let node = &mut self.nodes[from];
        node.messages += 1;
        node.bytes += bytes.len() as u64;
        node.hash = trace::hash(node.hash, &[u8::from(stream)]);
        node.hash = trace::hash(node.hash, to.to_string().as_bytes());
        node.hash = trace::hash(node.hash, bytes);
    }

    fn write_totals(&mut self) {
        self.schedule_after(TOTALS_INTERVAL, Event::WriteTotals);
        for (index, node) in self.nodes.iter().enumerate() {
            let (now, messages, bytes, hash) = (self.now, node.messages, node.bytes, node.hash);
            writeln!(self.trace, "{now} {index} S {messages} {bytes} {hash:016x}")
                .expect("writing to a string does not fail");
        }
    }
}
