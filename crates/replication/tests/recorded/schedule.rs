//! A random schedule for several replicas. It has lost, duplicated and reordered messages, network splits, restarts
//! with and without a snapshot, writes of every record type, and keyed requests at several replicas and their outcomes.

use super::text;
use meadowrill_recorded_traces::Random;
use meadowrill_replication::ledger::{Decision, RequestOutcome, RequestTerms};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::records::{EndpointInfo, EndpointPhase};
use meadowrill_replication::replica::{endpoint_subject, Action, Peer, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::{Micros, SEC};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

pub(crate) const FLEET_ID: u64 = 0x5ea1;
pub(crate) const START: Micros = 1_700_000_000 * SEC;
const KEYS: u64 = 16;
const OBJECTS: u64 = 30;
const ENDPOINTS: u64 = 6;
/// Interval at which the states of the replicas are written.
const STATE_INTERVAL: Micros = 5 * SEC;
/// Interval at which the membership views are updated.
const VIEW_INTERVAL: Micros = 300_000;

pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) replicas: usize,
    pub(crate) settings: ReplicationSettings,
    pub(crate) loss_per_mille: u64,
    pub(crate) duplicates_per_mille: u64,
    /// The replica that runs a build without a ledger.
    pub(crate) replica_without_ledger: Option<usize>,
    pub(crate) seconds: i64,
}

struct Node {
    replica: Option<Replica>,
    start: u64,
    snapshot: Option<Vec<u8>>,
    left: bool,
    /// The time until which its process is suspended.
    suspended_until: Micros,
    /// Keyed requests that have not ended, by token; true once they are admitted.
    requests: BTreeMap<u64, bool>,
}

struct Message {
    arrives_at: Micros,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub(crate) struct Schedule {
    setup: Setup,
    now: Micros,
    random: Random,
    nodes: Vec<Node>,
    network: Vec<Message>,
    /// The replicas from this index on are separated from those before it.
    split: Option<usize>,
    last_token: u64,
    /// When the clients of keyed requests stop waiting.
    deadlines: BTreeMap<u64, Micros>,
    text: String,
    seen: BTreeSet<String>,
    messages: BTreeMap<String, Vec<u8>>,
}

fn name(index: usize) -> String {
    format!("replica-{index}")
}

fn key(number: u64) -> Vec<u8> {
    // Some keys are too long to be included in a record's name unchanged.
    let length = if number.is_multiple_of(5) { 120 } else { 8 };
    format!("key-{number:0length$}").into_bytes()
}

impl Schedule {
    pub(crate) fn new(setup: Setup) -> Schedule {
        let nodes = (0..setup.replicas)
            .map(|_| Node {
                replica: None,
                start: 0,
                snapshot: None,
                left: false,
                suspended_until: 0,
                requests: BTreeMap::new(),
            })
            .collect();
        Schedule {
            now: START,
            random: Random::new(setup.seed),
            nodes,
            network: Vec::new(),
            split: None,
            last_token: 0,
            deadlines: BTreeMap::new(),
            text: String::new(),
            seen: BTreeSet::new(),
            messages: BTreeMap::new(),
            setup,
        }
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The first message of each type, for datagrams and streams.
    pub(crate) fn first_messages(&self) -> &BTreeMap<String, Vec<u8>> {
        &self.messages
    }

    /// Asserts that each of these outputs occurred, because a recording without them would not check them.
    pub(crate) fn assert_covers(&self, outputs: &[&str]) {
        for output in outputs {
            assert!(
                self.seen.contains(*output),
                "the schedule has no output `{output}`"
            );
        }
    }

    /// The snapshot of the first running replica.
    pub(crate) fn snapshot(&self, now: Micros) -> Vec<u8> {
        let mut running = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        running.next().expect("a replica runs").snapshot(now)()
    }

    pub(crate) fn play(mut self) -> Schedule {
        for index in 0..self.setup.replicas {
            self.start(index);
        }
        let end = START + self.setup.seconds * SEC;
        let (mut next_state, mut next_view) = (START + STATE_INTERVAL, START);
        while self.now < end {
            let pause = if self.random.per_mille(10) {
                200_000
            } else {
                6_000
            };
            self.now += 1 + self.random.below(pause) as Micros;
            self.deliver();
            self.tick();
            if self.now >= next_view {
                next_view = self.now + VIEW_INTERVAL;
                (0..self.setup.replicas).for_each(|index| self.update_view(index));
            }
            self.random_event();
            if self.now >= next_state {
                next_state = self.now + STATE_INTERVAL;
                self.write_states();
            }
        }
        self.write_states();
        self
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].replica.is_some() && self.now >= self.nodes[index].suspended_until
    }

    fn is_reachable(&self, one: usize, other: usize) -> bool {
        self.split
            .is_none_or(|split| (one >= split) == (other >= split))
    }

    /// Calls a replica, and writes its return value and its actions to one line.
    fn step<T: std::fmt::Debug>(
        &mut self,
        index: usize,
        input: &str,
        call: impl FnOnce(&mut Replica, Micros, &mut Vec<Action>) -> T,
    ) {
        let (now, mut actions) = (self.now, Vec::new());
        let Some(replica) = &mut self.nodes[index].replica else {
            return;
        };
        let returned = call(replica, now, &mut actions);
        let outputs: Vec<String> = actions
            .iter()
            .map(|action| text::of_action(action, FLEET_ID))
            .collect();
        let (at, returned) = (now - START, format!("{returned:?}"));
        if !outputs.is_empty() || returned != "()" {
            let outputs = outputs.join("; ");
            let _ = writeln!(self.text, "{at} {index} {input} = {returned}: {outputs}");
        }
        for action in actions {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::SendDatagram { to, bytes } => self.send(index, "datagram", &to, bytes),
            Action::SendStream { to, bytes } => self.send(index, "stream", &to, bytes),
            Action::Decision(decision) => self.record_decision(index, &decision),
            other => {
                let text = text::of_action(&other, FLEET_ID);
                for output in ["purge", "machine", "learned", "caught up"] {
                    if text.starts_with(output) {
                        self.seen.insert(output.into());
                    }
                }
            }
        }
    }

    fn record_decision(&mut self, index: usize, decision: &Decision) {
        let requests = &mut self.nodes[index].requests;
        let output = match decision {
            Decision::Admit {
                token, send_until, ..
            } => {
                requests.insert(*token, true);
                if self.deadlines.get(token) > Some(send_until) {
                    self.seen.insert("admit until the window ends".into());
                }
                "admit"
            }
            Decision::Replay { token, .. } => {
                requests.remove(token);
                "answer"
            }
            Decision::Fail { token } => {
                requests.remove(token);
                "fail"
            }
            Decision::Reject { token, .. } => {
                requests.remove(token);
                "reject"
            }
        };
        self.seen.insert(output.into());
    }

    fn send(&mut self, from: usize, transport: &str, to: &str, bytes: Vec<u8>) {
        let label = text::of_message(&bytes, FLEET_ID);
        let label = label.split(' ').next().unwrap_or_default();
        self.messages
            .entry(format!("{transport} {label}"))
            .or_insert_with(|| bytes.clone());
        let Some(to) = (0..self.setup.replicas).find(|index| name(*index) == to) else {
            return;
        };
        let copies = if self.random.per_mille(self.setup.loss_per_mille) {
            0
        } else {
            1 + u64::from(self.random.per_mille(self.setup.duplicates_per_mille))
        };
        for _ in 0..copies {
            let max_delay = if self.random.per_mille(30) {
                300_000
            } else {
                4_000
            };
            let arrives_at = self.now + 200 + self.random.below(max_delay) as Micros;
            let bytes = bytes.clone();
            self.network.push(Message {
                arrives_at,
                from,
                to,
                bytes,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.arrives_at <= now);
        self.network = later;
        due.sort_by_key(|message| message.arrives_at);
        for message in due {
            if !self.is_reachable(message.from, message.to) || !self.is_running(message.to) {
                continue;
            }
            let (to, from, mut bytes) = (message.to, message.from, message.bytes);
            if self.random.per_mille(3) {
                let at = self.random.below(bytes.len() as u64) as usize;
                bytes[at] ^= 1;
            }
            let input = format!("receive {from}");
            self.step(to, &input, |replica, now, actions| {
                replica.receive_message(now, &bytes, actions)
            });
        }
    }

    fn tick(&mut self) {
        for index in 0..self.setup.replicas {
            let due = |replica: &Replica| replica.next_wake() <= self.now;
            if self.is_running(index) && self.nodes[index].replica.as_ref().is_some_and(due) {
                self.step(index, "tick", |replica, now, actions| {
                    replica.tick(now, actions)
                });
            }
        }
    }

    fn update_view(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let others = (0..self.setup.replicas).filter(|other| *other != index);
        let peers: Vec<Peer> = others
            .filter(|other| self.nodes[*other].start > 0)
            .map(|other| Peer {
                name: name(other),
                incarnation: self.nodes[other].start,
                alive: self.is_running(other) && self.is_reachable(index, other),
                left: self.nodes[other].left,
                zone: format!("zone-{}", other % 2),
                round_trip: (other % 3 > 0).then_some(other as f64 * 1000.0),
                replicates: true,
                votes: self.setup.settings.ledger.is_some()
                    && self.setup.replica_without_ledger != Some(other),
            })
            .collect();
        self.step(index, "view", |replica, now, actions| {
            replica.update_membership(now, true, peers, actions)
        });
    }

    fn start(&mut self, index: usize) {
        let mut settings = self.setup.settings.clone();
        settings.zone = format!("zone-{}", index % 2);
        if self.setup.replica_without_ledger == Some(index) {
            settings.ledger = None;
        }
        let (start, seed) = (self.now as u64, self.setup.seed * 100 + index as u64);
        let replica = Replica::new(settings, &name(index), start, self.now, seed);
        let node = &mut self.nodes[index];
        node.replica = Some(replica);
        (node.start, node.left, node.suspended_until) = (start, false, 0);
        node.requests.clear();
        if let Some(snapshot) = node.snapshot.take() {
            self.step(index, "restore", |replica, now, actions| {
                let restored = replica.restore(now, &snapshot);
                replica.replay_updates(actions);
                restored
                    .map(|restored| (restored.records, restored.age))
                    .map_err(|error| error.reason())
            });
        }
    }

    fn random_event(&mut self) {
        let index = self.random.below(self.setup.replicas as u64) as usize;
        match self.random.below(1000) {
            0..=2 => self.stop_or_start(index),
            3..=5 => self.suspend(index),
            6 => self.split = Some(1 + self.random.below(self.setup.replicas as u64 - 1) as usize),
            7..=9 => self.split = None,
            10..=19 if self.is_running(index) => {
                self.nodes[index].snapshot = self.nodes[index]
                    .replica
                    .as_ref()
                    .map(|replica| replica.snapshot(self.now)());
            }
            20..=139 if self.is_running(index) => self.write(index),
            140..=239 if self.is_running(index) => self.observe(index),
            240..=349 if self.is_running(index) => self.request(index),
            350..=549 if self.is_running(index) => self.end_request(index),
            _ => {}
        }
    }

    fn stop_or_start(&mut self, index: usize) {
        if self.nodes[index].replica.is_none() {
            return self.start(index);
        }
        let running = self.nodes.iter().filter(|node| node.replica.is_some());
        if running.count() > 2 {
            let node = &mut self.nodes[index];
            (node.replica, node.left) = (None, self.random.per_mille(300));
        }
    }

    fn suspend(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let until = self.now + self.random.below(900_000) as Micros;
        self.nodes[index].suspended_until = until;
        self.step(index, "was away", |replica, now, actions| {
            replica.resume_after_pause(now, actions)
        });
    }

    fn write(&mut self, index: usize) {
        let (object, stamp) = (
            self.random.below(OBJECTS),
            self.now - self.random.below(2_000_000) as Micros,
        );
        if self.random.per_mille(600) {
            let object = (object % 4 > 0).then_some(object);
            let input = format!("purge {object:?} {stamp}");
            return self.step(index, &input, |replica, now, _| {
                replica.publish_purge(now, object, 7, stamp)
            });
        }
        let (number, phase) = (self.random.below(ENDPOINTS), self.random.below(3));
        let endpoint = EndpointInfo {
            address: format!("10.0.0.{number}:80"),
            locality: "zone-1".into(),
            flavor: "std".into(),
            cell: number as u32,
            size: 1.5,
        };
        let start = START + (object % 2) as Micros;
        let input = format!("machine {number} {start} {phase}");
        self.step(index, &input, |replica, now, _| {
            replica.publish_endpoint(
                now,
                &format!("s-{number}"),
                start,
                EndpointPhase::from_rank(phase),
                &endpoint,
            )
        });
    }

    fn observe(&mut self, index: usize) {
        let (object, size) = (self.random.below(OBJECTS), self.random.below(9));
        let id = format!("s-{}", object % ENDPOINTS);
        match self.random.below(5) {
            0 => self.step(index, "part", |replica, now, _| {
                replica.observe_part(now, object, size as u32)
            }),
            1 | 2 => self.step(index, "attempt", |replica, _, _| {
                let first_byte = (size > 2).then_some(size as Micros * 700);
                replica.observe_attempt(&id, size % 3 == 0, first_byte)
            }),
            3 => self.step(index, "usage", |replica, _, _| {
                replica.record_usage(&format!("tenant-{}", object % 3), size as f64)
            }),
            _ => self.step(index, "observation", |replica, now, _| {
                let subject = endpoint_subject(&id);
                replica.publish_observation(
                    now,
                    RecordType::Observation,
                    &subject,
                    vec![0.5, size as f64, 1.0],
                )
            }),
        }
    }

    fn request(&mut self, index: usize) {
        self.last_token += 1;
        let (token, number) = (self.last_token, self.random.below(KEYS));
        let terms = RequestTerms {
            deadline: self.now + 300_000 + self.random.below(2_000_000) as Micros,
            latency_budget: 100_000 + self.random.below(400_000) as Micros,
            dedup_window: [0, SEC * 3 / 2, 4 * SEC][self.random.below(3) as usize],
        };
        self.deadlines.insert(token, terms.deadline);
        // Up to two other replicas receive the same request at the same time.
        let replicas = self.setup.replicas;
        let count = 1 + self.random.below(3) as usize;
        for index in (index..index + count).map(|index| index % replicas) {
            if self.is_running(index) {
                self.nodes[index].requests.insert(token, false);
                let input = format!("request {token} key {number}");
                self.step(index, &input, |replica, now, actions| {
                    replica.begin_request(now, token, &key(number), terms, actions)
                });
            }
        }
    }

    /// Ends the oldest request of a replica. If it is not admitted yet, its client may disconnect instead.
    fn end_request(&mut self, index: usize) {
        let Some((token, admitted)) = self.nodes[index].requests.pop_first() else {
            return;
        };
        let drawn = self.random.below(10);
        if !admitted && drawn < 8 {
            self.nodes[index].requests.insert(token, admitted);
            return;
        }
        if !admitted {
            let input = format!("client of {token} left");
            return self.step(index, &input, |replica, now, actions| {
                replica.cancel_request(now, token, actions)
            });
        }
        let (input, outcome) = match drawn {
            0 | 1 => ("not run", RequestOutcome::NotRun),
            2 | 3 => ("unknown", RequestOutcome::MayHaveRun),
            _ => {
                let body = vec![drawn as u8; self.random.below(700) as usize];
                let current = drawn.is_multiple_of(2);
                ("ran", RequestOutcome::Ran { current, body })
            }
        };
        let input = format!("end of {token}: {input}");
        self.step(index, &input, |replica, now, actions| {
            replica.finish_request(now, token, outcome, actions)
        });
    }

    fn write_states(&mut self) {
        let keys: Vec<Vec<u8>> = (0..KEYS).map(key).collect();
        for index in 0..self.setup.replicas {
            let Some(replica) = &mut self.nodes[index].replica else {
                continue;
            };
            let ages = std::mem::take(&mut replica.counts.record_ages);
            let state = text::of_state(replica, &keys, self.now);
            if let Some(ledger) = replica.ledger() {
                if ledger.counts.takeovers > 0 {
                    self.seen.insert("taken over".into());
                }
                if ledger.counts.conflicts > 0 {
                    self.seen.insert("conflict".into());
                }
            }
            let (at, ages) = (self.now - START, text::of_ages(&ages));
            let _ = writeln!(self.text, "{at} {index} state, ages {ages}\n{state}");
        }
    }
}
