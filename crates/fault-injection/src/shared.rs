//! Shared state in one process: real replicas, a network that loses messages and is partitioned, proxies that die,
//! pause and restart, an origin that ignores repeats of a key for a time, and clients that retry at other proxies. It
//! runs on a simulated clock and is deterministic by seed. In place of the membership view, a proxy considers another
//! one alive if it could reach it recently.

use crate::proxy_name;
use meadowrill_replication::ledger::{Decision, RequestOutcome, RequestTerms};
use meadowrill_replication::map::Map;
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::replica::{Action, Peer, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::{Micros, SEC};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const START_TIME: Micros = 1_700_000_000 * SEC;
/// Time without contact after which a proxy is considered dead, and the interval of membership updates.
const DEATH_TIMEOUT: Micros = 800_000;
const MEMBERSHIP_INTERVAL: Micros = 100_000;
/// Minimum transit time of a message, and the bound of the random time that is added to it.
const DELAY: Micros = 500;
const JITTER: Micros = 3000;
/// Time of an execution at the origin, and the time during which the origin ignores repeats of a key.
const EXECUTION_TIME: Micros = 4000;
pub const DEDUP_WINDOW: Micros = 3 * SEC;
/// How long clients wait, and their latency budget.
pub const CLIENT_TIMEOUT: Micros = 2 * SEC;
pub const LATENCY_BUDGET: Micros = 500_000;

struct Node {
    replica: Option<Replica>,
    start: u64,
    paused_until: Micros,
    queued: Vec<Vec<u8>>,
    scheduled_tick: Micros,
    /// When each other proxy was reachable last.
    last_reached: BTreeMap<usize, Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize, u64),
    Deliver(usize, Vec<u8>),
    UpdateMembership(usize, u64),
    Resume(usize),
    /// An attempt has arrived at the origin.
    Execute(usize, u64, u64),
    /// The response has arrived, or the attempt has timed out.
    RequestEnded(usize, u64, u64, bool),
    /// A client sends a request.
    SendRequest(usize, u64),
}

/// An open request at a proxy: the start number of the proxy, and the key.
#[derive(Clone, Debug)]
struct OpenRequest {
    start: u64,
    key: u64,
}

/// Counts of the requests of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounts {
    pub requests: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Number of executions at the origin by key.
    pub executions: BTreeMap<u64, u32>,
    /// Decisions on requests that had already ended.
    pub duplicate_decisions: u64,
}

impl RequestCounts {
    /// Number of keys that were executed more than once.
    pub fn executed_twice(&self) -> usize {
        self.executions.values().filter(|n| **n > 1).count()
    }
}

/// A simulated fleet of proxies that replicate the shared state.
pub struct ReplicaFleet {
    pub now: Micros,
    pub settings: ReplicationSettings,
    pub loss: f64,
    pub counts: RequestCounts,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    serial: u64,
    rng: fastrand::Rng,
    partitions: Option<Vec<u8>>,
    open_requests: BTreeMap<u64, OpenRequest>,
    last_token: u64,
    /// When the origin executed each key last.
    last_executed: BTreeMap<u64, Micros>,
    /// Share of responses of the origin that are lost.
    pub response_loss: f64,
    seed: u64,
}

impl ReplicaFleet {
    pub fn new(proxies: usize, settings: ReplicationSettings, seed: u64) -> ReplicaFleet {
        let node = |_| Node {
            replica: None,
            start: 0,
            paused_until: 0,
            queued: Vec::new(),
            scheduled_tick: 0,
            last_reached: BTreeMap::new(),
        };
        ReplicaFleet {
            now: START_TIME,
            settings,
            loss: 0.0,
            counts: RequestCounts::default(),
            nodes: (0..proxies).map(node).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            partitions: None,
            open_requests: BTreeMap::new(),
            last_token: 0,
            last_executed: BTreeMap::new(),
            response_loss: 0.0,
            seed,
        }
    }

    pub fn proxies(&self) -> usize {
        self.nodes.len()
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    pub fn start(&mut self, n: usize) {
        let start = self.now as u64;
        let replica = Replica::new(
            self.settings.clone(),
            &proxy_name(n),
            start,
            self.now,
            self.seed ^ n as u64,
        );
        let last_reached = BTreeMap::new();
        self.nodes[n] = Node {
            replica: Some(replica),
            start,
            paused_until: 0,
            queued: Vec::new(),
            scheduled_tick: 0,
            last_reached,
        };
        self.schedule(self.now, Event::UpdateMembership(n, start));
        self.schedule_tick(n);
    }

    pub fn start_all(&mut self) {
        (0..self.proxies()).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].replica = None;
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].replica.is_some()
    }

    pub fn pause(&mut self, n: usize, span: Micros) {
        self.nodes[n].paused_until = self.now + span;
        self.schedule(self.now + span, Event::Resume(n));
    }

    pub fn split(&mut self, side: impl Fn(usize) -> u8) {
        self.partitions = Some((0..self.proxies()).map(side).collect());
    }

    pub fn heal(&mut self) {
        self.partitions = None;
    }

    pub fn replica(&self, n: usize) -> Option<&Replica> {
        self.nodes[n].replica.as_ref()
    }

    /// Applies `step` to the replica of a proxy, such as the publication of a record; `None` if the proxy does not run.
    pub fn update_replica<T>(
        &mut self,
        n: usize,
        step: impl FnOnce(&mut Replica, Micros) -> T,
    ) -> Option<T> {
        let now = self.now;
        let result = self.nodes[n]
            .replica
            .as_mut()
            .map(|replica| step(replica, now));
        self.schedule_tick(n);
        result
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.partitions.as_ref().is_none_or(|s| s[from] == s[to])
    }

    fn schedule_tick(&mut self, n: usize) {
        let Some(replica) = &self.nodes[n].replica else {
            return;
        };
        let at = replica.next_wake().max(self.now + 1);
        if self.nodes[n].scheduled_tick != at {
            self.nodes[n].scheduled_tick = at;
            let start = self.nodes[n].start;
            self.schedule(at, Event::Tick(n, start));
        }
    }

    fn run_replica(&mut self, n: usize, step: impl FnOnce(&mut Replica, Micros, &mut Vec<Action>)) {
        let now = self.now;
        let mut actions = Vec::new();
        if let Some(replica) = &mut self.nodes[n].replica {
            step(replica, now, &mut actions);
        }
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => self.send_message(n, &to, bytes, self.loss),
                Action::SendStream { to, bytes } => self.send_message(n, &to, bytes, 0.0),
                Action::Decision(decision) => self.apply_decision(n, decision),
                _ => {}
            }
        }
        self.schedule_tick(n);
    }

    fn send_message(&mut self, from: usize, to: &str, bytes: Vec<u8>, loss: f64) {
        let Some(to) = to
            .strip_prefix("front-")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            return;
        };
        if to < self.proxies() && self.reaches(from, to) && self.rng.f64() >= loss {
            let at = self.now + DELAY + self.rng.i64(0..JITTER);
            self.schedule(at, Event::Deliver(to, bytes));
        }
    }

    /// Schedules a request of a client at a proxy; a proxy that does not run ignores it.
    pub fn send_request(&mut self, n: usize, key: u64) {
        self.schedule(self.now, Event::SendRequest(n, key));
    }

    fn begin_request(&mut self, n: usize, key: u64) {
        if !self.is_running(n) || self.now < self.nodes[n].paused_until {
            return;
        }
        self.counts.requests += 1;
        self.last_token += 1;
        let (token, start) = (self.last_token, self.nodes[n].start);
        self.open_requests.insert(token, OpenRequest { start, key });
        let terms = RequestTerms {
            deadline: self.now + CLIENT_TIMEOUT,
            latency_budget: LATENCY_BUDGET,
            dedup_window: DEDUP_WINDOW,
        };
        let key_bytes = key.to_be_bytes();
        let has_ledger = self.settings.ledger.is_some();
        if has_ledger {
            self.run_replica(n, |replica, now, actions| {
                replica.begin_request(now, token, &key_bytes, terms, actions);
            });
        } else {
            self.apply_decision(
                n,
                Decision::Admit {
                    token,
                    send_until: terms.deadline,
                    earlier_may_have_run: false,
                },
            );
        }
    }

    fn apply_decision(&mut self, n: usize, decision: Decision) {
        match decision {
            Decision::Admit { token, .. } => {
                let Some(request) = self.open_requests.get(&token) else {
                    return self.counts.duplicate_decisions += 1;
                };
                let start = request.start;
                let at = self.now + DELAY + self.rng.i64(0..JITTER);
                self.schedule(at, Event::Execute(n, start, token));
            }
            Decision::Replay { token, .. } => self.end_request(token, |counts| &mut counts.served),
            Decision::Fail { token } => self.end_request(token, |counts| &mut counts.failed),
            Decision::Reject { token, .. } => {
                self.end_request(token, |counts| &mut counts.rejected)
            }
        }
    }

    fn end_request(&mut self, token: u64, count: impl FnOnce(&mut RequestCounts) -> &mut u64) {
        match self.open_requests.remove(&token) {
            Some(_) => *count(&mut self.counts) += 1,
            None => self.counts.duplicate_decisions += 1,
        }
    }

    /// The attempt is at the origin, whether or not the proxy still runs.
    fn execute_at_origin(&mut self, n: usize, start: u64, token: u64) {
        let Some(key) = self.open_requests.get(&token).map(|request| request.key) else {
            return;
        };
        let expired = self
            .last_executed
            .get(&key)
            .is_none_or(|at| self.now > at + DEDUP_WINDOW);
        if expired {
            self.last_executed.insert(key, self.now);
            *self.counts.executions.entry(key).or_default() += 1;
        }
        let lost = self.rng.f64() < self.response_loss;
        let at = self.now
            + if lost {
                CLIENT_TIMEOUT - 100_000
            } else {
                EXECUTION_TIME + DELAY
            };
        self.schedule(at, Event::RequestEnded(n, start, token, !lost));
    }

    fn finish_request(&mut self, n: usize, start: u64, token: u64, succeeded: bool) {
        if !self.is_running(n) || self.nodes[n].start != start {
            self.open_requests.remove(&token);
            return;
        }
        if self.now < self.nodes[n].paused_until {
            let at = self.nodes[n].paused_until + 1;
            return self.schedule(at, Event::RequestEnded(n, start, token, succeeded));
        }
        let outcome = if succeeded {
            RequestOutcome::Ran {
                current: false,
                body: vec![7; 20],
            }
        } else {
            RequestOutcome::MayHaveRun
        };
        self.run_replica(n, |replica, now, actions| {
            replica.finish_request(now, token, outcome, actions)
        });
        self.end_request(token, |counts| {
            if succeeded {
                &mut counts.served
            } else {
                &mut counts.failed
            }
        });
    }

    /// Updates the membership of a replica, in place of the membership view.
    fn update_membership(&mut self, n: usize) {
        let now = self.now;
        for m in (0..self.proxies()).filter(|m| *m != n) {
            if self.reaches(n, m) && self.is_running(m) && now >= self.nodes[m].paused_until {
                self.nodes[n].last_reached.insert(m, now);
            }
        }
        let peer = |(m, at): (&usize, &Micros)| Peer {
            name: proxy_name(*m),
            incarnation: self.nodes[*m].start,
            alive: now < *at + DEATH_TIMEOUT,
            left: false,
            zone: format!("zone-{}", m % 2),
            round_trip: Some(1000.0),
            replicates: true,
            votes: self.settings.ledger.is_some(),
        };
        let peers: Vec<Peer> = self.nodes[n].last_reached.iter().map(peer).collect();
        let joined = !peers.is_empty() || self.proxies() == 1;
        self.run_replica(n, |replica, now, actions| {
            replica.update_membership(now, joined, peers, actions)
        });
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(self.now + span, |_| false);
    }

    /// Runs until `end`, or until `done` holds, which is checked every 20 ms. Returns the time at which it held.
    pub fn run_until(
        &mut self,
        end: Micros,
        done: impl Fn(&ReplicaFleet) -> bool,
    ) -> Option<Micros> {
        let mut next_check = self.now;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            let at = *at;
            if at > end {
                break;
            }
            while next_check <= at {
                if done(self) {
                    return Some(self.now);
                }
                next_check += 20_000;
            }
            let Some(Reverse((_, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle_event(at, event);
        }
        self.now = end;
        done(self).then_some(end)
    }

    fn handle_event(&mut self, at: Micros, event: Event) {
        match event {
            Event::Deliver(n, bytes) => {
                if self.now < self.nodes[n].paused_until {
                    return self.nodes[n].queued.push(bytes);
                }
                self.run_replica(n, |replica, now, actions| {
                    replica.receive_message(now, &bytes, actions)
                });
            }
            Event::UpdateMembership(n, start) => {
                if self.nodes[n].start == start && self.is_running(n) {
                    if self.now >= self.nodes[n].paused_until {
                        self.update_membership(n);
                    }
                    self.schedule(
                        self.now + MEMBERSHIP_INTERVAL,
                        Event::UpdateMembership(n, start),
                    );
                }
            }
            Event::Resume(n) => {
                self.run_replica(n, |replica, now, actions| {
                    replica.resume_after_pause(now, actions)
                });
                self.nodes[n].scheduled_tick = 0;
                self.run_replica(n, |replica, now, actions| replica.tick(now, actions));
                let queued = std::mem::take(&mut self.nodes[n].queued);
                for bytes in queued {
                    self.run_replica(n, |replica, now, actions| {
                        replica.receive_message(now, &bytes, actions)
                    });
                }
            }
            Event::Tick(n, start) => {
                let node = &mut self.nodes[n];
                if node.start == start && node.scheduled_tick == at && at >= node.paused_until {
                    node.scheduled_tick = 0;
                    self.run_replica(n, |replica, now, actions| replica.tick(now, actions));
                }
            }
            Event::Execute(n, start, token) => self.execute_at_origin(n, start, token),
            Event::RequestEnded(n, start, token, succeeded) => {
                self.finish_request(n, start, token, succeeded)
            }
            Event::SendRequest(n, key) => self.begin_request(n, key),
        }
    }

    /// Whether all running replicas have the same digest.
    pub fn has_converged(&self) -> bool {
        let mut digests = self
            .nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .map(|r| r.map().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
    }

    pub fn sent_bytes(&self) -> u64 {
        self.nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .map(|r| r.counts.sent_bytes)
            .sum()
    }

    /// Whether all running replicas have caught up and, with a ledger, can vote.
    pub fn all_caught_up(&self) -> bool {
        self.nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .all(|r| r.caught_up() && (r.ledger().is_none() || r.can_vote()))
    }

    pub fn maps(&self) -> impl Iterator<Item = &Map> {
        self.nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .map(Replica::map)
    }
}

/// Checks the guarantees of the shared state in one process, to detect mutants; returns the first violation.
pub fn first_violation(seeds: u64) -> Option<String> {
    let settings = ReplicationSettings {
        ledger: Some(meadowrill_replication::settings::LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    for seed in 0..seeds {
        let mut fleet = ReplicaFleet::new(12, ReplicationSettings::default(), seed);
        fleet.start_all();
        fleet.run(5 * SEC);
        let stamp = fleet.now;
        fleet.update_replica(3, |replica, now| {
            replica.publish_purge(now, Some(seed), 0, stamp)
        });
        // The same object again, with an earlier time, from a proxy that has not received the purge: the latest purge
        // must remain everywhere.
        fleet.update_replica(7, |replica, now| {
            replica.publish_purge(now, Some(seed), 0, stamp - 5 * SEC)
        });
        fleet.run(SEC / 2);
        let has_latest = |m: &Map| {
            m.of_type(RecordType::Purge)
                .all(|(_, e)| e.rank.0 == stamp as u64)
        };
        if !fleet
            .maps()
            .all(|map| map.of_type(RecordType::Purge).count() == 1 && has_latest(map))
        {
            return Some(format!(
                "seed {seed}: a purge has not reached all proxies after 0.5 s"
            ));
        }
        let scenario = FaultScenario {
            proxies: 8,
            seconds: 30,
            keys_per_s: 50,
            kills: true,
            partitions: true,
            pauses: true,
        };
        let mut faulty_fleet = run_with_random_faults(scenario, settings.clone(), seed);
        if faulty_fleet.counts.executed_twice() > 0 {
            return Some(format!(
                "seed {seed}: {} idempotency keys were executed twice",
                faulty_fleet.counts.executed_twice()
            ));
        }
        if faulty_fleet
            .run_until(faulty_fleet.now + 5 * SEC, ReplicaFleet::has_converged)
            .is_none()
        {
            return Some(format!(
                "seed {seed}: the replicas have not converged 5 s after the last request"
            ));
        }
    }
    None
}

/// Parameters of a run with random faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultScenario {
    pub proxies: usize,
    pub seconds: u32,
    pub keys_per_s: u32,
    pub kills: bool,
    pub partitions: bool,
    pub pauses: bool,
}

/// Sends keyed requests during random faults: each client sends four requests at random proxies, the second one within
/// 200 ms of the first, the third 1 s later and the fourth another 6 s later.
pub fn run_with_random_faults(
    scenario: FaultScenario,
    settings: ReplicationSettings,
    seed: u64,
) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::new(scenario.proxies, settings, seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    fleet.start_all();
    fleet.run_until(fleet.now + 10 * SEC, ReplicaFleet::all_caught_up);
    (fleet.loss, fleet.response_loss) = (0.05, 0.1);
    let mut stopped: Vec<(usize, Micros)> = Vec::new();
    for _ in 0..scenario.seconds * 10 {
        for _ in 0..scenario.keys_per_s / 10 {
            let key = rng.u64(..);
            let mut at = fleet.now + rng.i64(0..100_000);
            for wait in [0, rng.i64(0..200_000), SEC, 6 * SEC] {
                at += wait;
                let n = rng.usize(0..scenario.proxies);
                fleet.schedule(at, Event::SendRequest(n, key));
            }
        }
        // At most one proxy is stopped at a time: a claim that two of three replicas hold survives that.
        let now = fleet.now;
        if let Some(at) = stopped.iter().position(|(_, until)| now >= *until) {
            let (n, _) = stopped.remove(at);
            fleet.start(n);
        }
        let all_ready = stopped.is_empty() && fleet.all_caught_up();
        match rng.usize(0..40) {
            0 if scenario.kills && all_ready => {
                let n = rng.usize(0..scenario.proxies);
                fleet.kill(n);
                stopped.push((n, now + rng.i64(100_000..4 * SEC)));
            }
            1 if scenario.partitions && fleet.partitions.is_none() => {
                let boundary = rng.usize(1..scenario.proxies);
                fleet.split(|n| u8::from(n >= boundary));
            }
            2 | 3 => fleet.heal(),
            4 if scenario.pauses => {
                let span = rng.i64(50_000..3 * SEC);
                fleet.pause(rng.usize(0..scenario.proxies), span);
            }
            _ => {}
        }
        fleet.run(SEC / 10);
    }
    fleet.heal();
    for (n, _) in stopped {
        fleet.start(n);
    }
    (fleet.loss, fleet.response_loss) = (0.0, 0.0);
    fleet.run(8 * SEC);
    fleet
}
