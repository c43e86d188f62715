//! A fleet in one process by seed: a network that loses, doubles and delays, and faults that are drawn.

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
/// So many datagrams are written out.
const DATAGRAMS_IN_FULL: usize = 40;
/// How often the sums of what was sent are written down.
const SUM_INTERVAL: i64 = SECOND;
const CONTACTS: usize = 2;

pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) duration: i64,
    pub(crate) period: i64,
    pub(crate) bytes_per_second: u64,
    pub(crate) retention: i64,
    pub(crate) local_health: bool,
    pub(crate) streams: bool,
    pub(crate) loss_per_mille: u64,
    pub(crate) fault_gap: i64,
}

struct Node {
    view: Option<View>,
    /// Its position in the fleet, from which its name and address follow; two nodes may share a name.
    name: usize,
    starts: u64,
    paused_until: i64,
    /// Nodes of different sides do not reach each other.
    side: u8,
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
    Sum,
}

pub(crate) struct Simulation {
    schedule: Schedule,
    random: Random,
    now: i64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(i64, u64, Event)>>,
    last_event: u64,
    written_out: usize,
    trace: String,
}

fn address(node: usize) -> SocketAddr {
    format!("127.0.1.{}:7000", node + 1)
        .parse()
        .expect("an address")
}

impl Simulation {
    pub(crate) fn new(schedule: Schedule) -> Simulation {
        let node = |name| Node {
            view: None,
            name,
            starts: 0,
            paused_until: 0,
            side: 0,
            messages: 0,
            bytes: 0,
            hash: HASH_START,
        };
        // The last node has the name of the one before it.
        let mut nodes: Vec<Node> = (0..schedule.nodes).map(node).collect();
        nodes.push(node(schedule.nodes - 1));
        let mut simulation = Simulation {
            random: Random::new(schedule.seed),
            now: 1_000 * SECOND,
            nodes,
            events: BinaryHeap::new(),
            last_event: 0,
            written_out: 0,
            trace: String::new(),
            schedule,
        };
        for node in 0..simulation.schedule.nodes {
            let delay = simulation.random.below(2 * SECOND as u64) as i64;
            simulation.after(delay, Event::Start { node });
        }
        let twin = simulation.schedule.nodes;
        let half = simulation.schedule.duration / 2;
        simulation.after(half, Event::Start { node: twin });
        simulation.after(4 * SECOND, Event::Fault);
        simulation.after(SUM_INTERVAL, Event::Sum);
        simulation
    }

    pub(crate) fn run(mut self) -> String {
        let end = self.now + self.schedule.duration;
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
                self.fire(node);
            }
        }
        for node in &self.nodes {
            if let Some(view) = &node.view {
                writeln!(self.trace, "{} E {}", node.name, trace::end(view))
                    .expect("a string takes all");
            }
        }
        self.trace
    }

    fn after(&mut self, delay: i64, event: Event) {
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

    fn fire(&mut self, node: usize) {
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[node].view {
            view.handle_timeout(self.now, &mut actions);
        }
        self.carry_out(node, actions);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { to, bytes } => self.arrive(to, bytes),
            Event::StreamFailed { at, to } => {
                if let Some(view) = &mut self.nodes[at].view {
                    view.stream_failed(self.now, address(to));
                }
            }
            Event::Fault => self.draw_fault(),
            Event::Start { node } => self.start(node),
            Event::Heal => self.nodes.iter_mut().for_each(|node| node.side = 0),
            Event::Sum => self.write_sums(),
        }
    }

    fn arrive(&mut self, to: usize, bytes: Vec<u8>) {
        if self.nodes[to].paused_until > self.now {
            let wait = self.nodes[to].paused_until - self.now;
            return self.after(wait, Event::Arrival { to, bytes });
        }
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[to].view {
            view.receive(self.now, &bytes, &mut actions);
        }
        self.carry_out(to, actions);
    }

    fn start(&mut self, node: usize) {
        let mut plan = FleetSettings::new(address(node));
        plan.contacts = (0..CONTACTS).map(address).collect();
        plan.zone = ["east", "west"][node % 2].into();
        plan.probe_period = self.schedule.period;
        plan.bytes_per_second = self.schedule.bytes_per_second;
        plan.departed_retention = self.schedule.retention;
        plan.local_health = self.schedule.local_health;
        plan.use_streams = self.schedule.streams;
        plan.validate().expect("a valid configuration");
        let entry = &mut self.nodes[node];
        entry.starts += 1;
        let identity = MemberIdentity {
            name: format!("front-{}", entry.name),
            version: "0.1.0".into(),
            start: 100 * entry.starts + node as u64,
        };
        entry.view = Some(View::new(
            plan,
            identity,
            self.now,
            self.schedule.seed + entry.starts,
        ));
        let name = entry.name;
        writeln!(self.trace, "{} {name} start", self.now).expect("a string takes all");
    }

    fn draw_fault(&mut self) {
        self.after(self.schedule.fault_gap, Event::Fault);
        let node = self.random.below(self.schedule.nodes as u64) as usize;
        match self.random.below(8) {
            0 | 1 => self.crash(node),
            2 => self.pause(node),
            3 => self.split(),
            4 => self.leave(node),
            5 => self.garble(node),
            _ => self.put_value(node),
        }
    }

    /// The process ends without a word, and starts again after some seconds.
    fn crash(&mut self, node: usize) {
        self.nodes[node].view = None;
        let delay = (1 + self.random.below(12) as i64) * SECOND;
        self.after(delay, Event::Start { node });
    }

    fn pause(&mut self, node: usize) {
        let length = self.random.below(8 * self.schedule.period as u64) as i64;
        self.nodes[node].paused_until = self.now + length;
    }

    fn split(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].side = u8::from(self.random.per_mille(350));
        }
        let delay = self.random.below(14 * self.schedule.period as u64) as i64;
        self.after(delay, Event::Heal);
    }

    fn leave(&mut self, node: usize) {
        let mut actions = Vec::new();
        if let Some(view) = &mut self.nodes[node].view {
            view.leave(self.now, &mut actions);
        }
        self.carry_out(node, actions);
        self.after(15 * SECOND, Event::Start { node });
    }

    /// A datagram with one bit turned arrives.
    fn garble(&mut self, to: usize) {
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
            let taken = view.put_value(self.now, value);
            writeln!(self.trace, "{} {node} value {taken}", self.now).expect("a string takes all");
        }
    }

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => self.send(from, to, bytes, false),
                Action::SendStream { to, bytes } => self.send(from, to, bytes, true),
                Action::Notify(change) => {
                    let (now, name) = (self.now, self.nodes[from].name);
                    let change = trace::change(&change);
                    writeln!(self.trace, "{now} {name} C {change}").expect("a string takes all");
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>, stream: bool) {
        self.record(from, to, &bytes, stream);
        let Some(target) = (0..self.nodes.len()).find(|node| address(*node) == to) else {
            return;
        };
        let reaches = self.nodes[from].side == self.nodes[target].side;
        if stream && (!reaches || self.random.per_mille(50)) {
            return self.after(
                SECOND / 5,
                Event::StreamFailed {
                    at: from,
                    to: target,
                },
            );
        }
        let lost = !stream && self.random.per_mille(self.schedule.loss_per_mille);
        if lost || !reaches {
            return;
        }
        let copies = 1 + u32::from(!stream && self.random.per_mille(10));
        for _ in 0..copies {
            let delay = 300 + self.random.below(4_000) as i64;
            let bytes = bytes.clone();
            self.after(delay, Event::Arrival { to: target, bytes });
        }
    }

    fn record(&mut self, from: usize, to: SocketAddr, bytes: &[u8], stream: bool) {
        let fleet = FleetSettings::new(to).fleet_id();
        let packet = decode(bytes, fleet).expect("what a view sends is read");
        let mut again = Vec::new();
        if stream {
            encode_chunk(&packet, &mut again);
        } else {
            encode(&packet, &mut again);
        }
        assert_eq!(again, bytes, "what was read is written alike");
        if self.written_out < DATAGRAMS_IN_FULL {
            self.written_out += 1;
            let (now, name) = (self.now, self.nodes[from].name);
            let bytes = trace::hex(bytes);
            writeln!(self.trace, "{now} {name} D {to} {bytes}").expect("a string takes all");
        }
        let node = &mut self.nodes[from];
        node.messages += 1;
        node.bytes += bytes.len() as u64;
        node.hash = trace::hash(node.hash, &[u8::from(stream)]);
        node.hash = trace::hash(node.hash, to.to_string().as_bytes());
        node.hash = trace::hash(node.hash, bytes);
    }

    fn write_sums(&mut self) {
        self.after(SUM_INTERVAL, Event::Sum);
        for (index, node) in self.nodes.iter().enumerate() {
            let (now, messages, bytes, hash) = (self.now, node.messages, node.bytes, node.hash);
            writeln!(self.trace, "{now} {index} S {messages} {bytes} {hash:016x}")
                .expect("a string takes all");
        }
    }
}
