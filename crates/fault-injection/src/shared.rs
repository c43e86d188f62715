//! Shared state in one process: real replicas, a network that loses and is cut, fronts that die, pause and start again,
//! an origin that drops repeats for a while, and clients that come again elsewhere; by seed, on a clock of its own. The
//! view of the fleet is played by what each could reach lately.

use crate::proxy_name;
use meadowrill_replication::ledger::{Decision, RequestOutcome, RequestTerms};
use meadowrill_replication::map::Map;
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::replica::{Action, Peer, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::{Micros, SEC};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const BEGIN: Micros = 1_700_000_000 * SEC;
/// One that was not reached for so long is held to be dead; each looks this often.
const DEAD: Micros = 800_000;
const LOOK: Micros = 100_000;
/// On the way, at least and at most more.
const DELAY: Micros = 500;
const JITTER: Micros = 3000;
/// The origin: how long a run takes, and how long it drops repeats of a key.
const RUN: Micros = 4000;
pub const WINDOW: Micros = 3 * SEC;
/// Clients: how long they wait, and the latency budget.
pub const PATIENCE: Micros = 2 * SEC;
pub const BUDGET: Micros = 500_000;

struct Node {
    replica: Option<Replica>,
    start: u64,
    paused: Micros,
    kept: Vec<Vec<u8>>,
    armed: Micros,
    /// When each other was reached last.
    reached: BTreeMap<usize, Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Tick(usize, u64),
    Arrive(usize, Vec<u8>),
    Look(usize, u64),
    Resume(usize),
    /// A send has come to the origin.
    Run(usize, u64, u64),
    /// Its answer has come back, or its time is up.
    Ended(usize, u64, u64, bool),
    /// A client asks.
    Ask(usize, u64),
}

/// A lookup at one front: its key, and whether its client still waits.
#[derive(Clone, Debug)]
struct Open {
    start: u64,
    key: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Of keys: how often each ran at the origin.
    pub runs: BTreeMap<u64, u32>,
    /// Lookups that got two words.
    pub twice: u64,
}

impl Seen {
    pub fn ran_twice(&self) -> usize {
        self.runs.values().filter(|n| **n > 1).count()
    }
}

pub struct Shared {
    pub now: Micros,
    pub plan: ReplicationSettings,
    pub loss: f64,
    pub seen: Seen,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    serial: u64,
    rng: fastrand::Rng,
    sides: Option<Vec<u8>>,
    open: BTreeMap<u64, Open>,
    tokens: u64,
    /// When the origin ran each key last.
    ran_at: BTreeMap<u64, Micros>,
    /// Share of answers that are lost on the way from the origin.
    pub answers_lost: f64,
    seed: u64,
}

impl Shared {
    pub fn new(many: usize, plan: ReplicationSettings, seed: u64) -> Shared {
        let node = |_| Node {
            replica: None,
            start: 0,
            paused: 0,
            kept: Vec::new(),
            armed: 0,
            reached: BTreeMap::new(),
        };
        Shared {
            now: BEGIN,
            plan,
            loss: 0.0,
            seen: Seen::default(),
            nodes: (0..many).map(node).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            sides: None,
            open: BTreeMap::new(),
            tokens: 0,
            ran_at: BTreeMap::new(),
            answers_lost: 0.0,
            seed,
        }
    }

    pub fn many(&self) -> usize {
        self.nodes.len()
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, next)));
    }

    pub fn start(&mut self, n: usize) {
        let start = self.now as u64;
        let replica = Replica::new(
            self.plan.clone(),
            &proxy_name(n),
            start,
            self.now,
            self.seed ^ n as u64,
        );
        let reached = BTreeMap::new();
        self.nodes[n] = Node {
            replica: Some(replica),
            start,
            paused: 0,
            kept: Vec::new(),
            armed: 0,
            reached,
        };
        self.at(self.now, Next::Look(n, start));
        self.arm(n);
    }

    pub fn start_all(&mut self) {
        (0..self.many()).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].replica = None;
    }

    pub fn runs(&self, n: usize) -> bool {
        self.nodes[n].replica.is_some()
    }

    pub fn pause(&mut self, n: usize, span: Micros) {
        self.nodes[n].paused = self.now + span;
        self.at(self.now + span, Next::Resume(n));
    }

    pub fn split(&mut self, side: impl Fn(usize) -> u8) {
        self.sides = Some((0..self.many()).map(side).collect());
    }

    pub fn heal(&mut self) {
        self.sides = None;
    }

    pub fn replica(&self, n: usize) -> Option<&Replica> {
        self.nodes[n].replica.as_ref()
    }

    /// Something that a front itself says.
    pub fn say<T>(&mut self, n: usize, step: impl FnOnce(&mut Replica, Micros) -> T) -> Option<T> {
        let now = self.now;
        let said = self.nodes[n]
            .replica
            .as_mut()
            .map(|replica| step(replica, now));
        self.arm(n);
        said
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.sides.as_ref().is_none_or(|s| s[from] == s[to])
    }

    fn arm(&mut self, n: usize) {
        let Some(replica) = &self.nodes[n].replica else {
            return;
        };
        let at = replica.next_wake().max(self.now + 1);
        if self.nodes[n].armed != at {
            self.nodes[n].armed = at;
            let start = self.nodes[n].start;
            self.at(at, Next::Tick(n, start));
        }
    }

    fn step(&mut self, n: usize, step: impl FnOnce(&mut Replica, Micros, &mut Vec<Action>)) {
        let now = self.now;
        let mut acts = Vec::new();
        if let Some(replica) = &mut self.nodes[n].replica {
            step(replica, now, &mut acts);
        }
        for act in acts {
            match act {
                Action::SendDatagram { to, bytes } => self.post(n, &to, bytes, self.loss),
                Action::SendStream { to, bytes } => self.post(n, &to, bytes, 0.0),
                Action::Decision(word) => self.word(n, word),
                _ => {}
            }
        }
        self.arm(n);
    }

    fn post(&mut self, from: usize, to: &str, bytes: Vec<u8>, loss: f64) {
        let Some(to) = to
            .strip_prefix("front-")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            return;
        };
        if to < self.many() && self.reaches(from, to) && self.rng.f64() >= loss {
            let at = self.now + DELAY + self.rng.i64(0..JITTER);
            self.at(at, Next::Arrive(to, bytes));
        }
    }

    /// A client asks at a front; true if that runs.
    pub fn ask(&mut self, n: usize, key: u64) {
        self.at(self.now, Next::Ask(n, key));
    }

    fn asks(&mut self, n: usize, key: u64) {
        if !self.runs(n) || self.now < self.nodes[n].paused {
            return;
        }
        self.seen.asked += 1;
        self.tokens += 1;
        let (token, start) = (self.tokens, self.nodes[n].start);
        self.open.insert(token, Open { start, key });
        let terms = RequestTerms {
            deadline: self.now + PATIENCE,
            latency_budget: BUDGET,
            dedup_window: WINDOW,
        };
        let name = key.to_be_bytes();
        let has = self.plan.ledger.is_some();
        if has {
            self.step(n, |replica, now, acts| {
                replica.begin_request(now, token, &name, terms, acts);
            });
        } else {
            self.word(
                n,
                Decision::Admit {
                    token,
                    send_until: terms.deadline,
                    earlier_may_have_run: false,
                },
            );
        }
    }

    fn word(&mut self, n: usize, word: Decision) {
        match word {
            Decision::Admit { token, .. } => {
                let Some(open) = self.open.get(&token) else {
                    return self.seen.twice += 1;
                };
                let start = open.start;
                let at = self.now + DELAY + self.rng.i64(0..JITTER);
                self.at(at, Next::Run(n, start, token));
            }
            Decision::Replay { token, .. } => self.final_word(token, |seen| &mut seen.served),
            Decision::Fail { token } => self.final_word(token, |seen| &mut seen.failed),
            Decision::Reject { token, .. } => self.final_word(token, |seen| &mut seen.refused),
        }
    }

    fn final_word(&mut self, token: u64, count: impl FnOnce(&mut Seen) -> &mut u64) {
        match self.open.remove(&token) {
            Some(_) => *count(&mut self.seen) += 1,
            None => self.seen.twice += 1,
        }
    }

    /// The send is at the origin, whatever became of the front since.
    fn run_at_origin(&mut self, n: usize, start: u64, token: u64) {
        let Some(key) = self.open.get(&token).map(|open| open.key) else {
            return;
        };
        let fresh = self
            .ran_at
            .get(&key)
            .is_none_or(|at| self.now > at + WINDOW);
        if fresh {
            self.ran_at.insert(key, self.now);
            *self.seen.runs.entry(key).or_default() += 1;
        }
        let lost = self.rng.f64() < self.answers_lost;
        let at = self.now
            + if lost {
                PATIENCE - 100_000
            } else {
                RUN + DELAY
            };
        self.at(at, Next::Ended(n, start, token, !lost));
    }

    fn ended(&mut self, n: usize, start: u64, token: u64, good: bool) {
        if !self.runs(n) || self.nodes[n].start != start {
            self.open.remove(&token);
            return;
        }
        if self.now < self.nodes[n].paused {
            let at = self.nodes[n].paused + 1;
            return self.at(at, Next::Ended(n, start, token, good));
        }
        let end = if good {
            RequestOutcome::Ran {
                current: false,
                body: vec![7; 20],
            }
        } else {
            RequestOutcome::MayHaveRun
        };
        self.step(n, |replica, now, acts| {
            replica.finish_request(now, token, end, acts)
        });
        self.final_word(token, |seen| {
            if good {
                &mut seen.served
            } else {
                &mut seen.failed
            }
        });
    }

    /// What the view of the fleet would say.
    fn look(&mut self, n: usize) {
        let now = self.now;
        for m in (0..self.many()).filter(|m| *m != n) {
            if self.reaches(n, m) && self.runs(m) && now >= self.nodes[m].paused {
                self.nodes[n].reached.insert(m, now);
            }
        }
        let peer = |(m, at): (&usize, &Micros)| Peer {
            name: proxy_name(*m),
            incarnation: self.nodes[*m].start,
            alive: now < *at + DEAD,
            left: false,
            zone: format!("zone-{}", m % 2),
            round_trip: Some(1000.0),
            replicates: true,
            votes: self.plan.ledger.is_some(),
        };
        let peers: Vec<Peer> = self.nodes[n].reached.iter().map(peer).collect();
        let joined = !peers.is_empty() || self.many() == 1;
        self.step(n, |replica, now, acts| {
            replica.update_membership(now, joined, peers, acts)
        });
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(self.now + span, |_| false);
    }

    /// Runs so long, or until that holds; looked at every 20 ms.
    pub fn run_until(&mut self, end: Micros, done: impl Fn(&Shared) -> bool) -> Option<Micros> {
        let mut look = self.now;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            let at = *at;
            if at > end {
                break;
            }
            while look <= at {
                if done(self) {
                    return Some(self.now);
                }
                look += 20_000;
            }
            let Some(Reverse((_, _, next))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.take(at, next);
        }
        self.now = end;
        done(self).then_some(end)
    }

    fn take(&mut self, at: Micros, next: Next) {
        match next {
            Next::Arrive(n, bytes) => {
                if self.now < self.nodes[n].paused {
                    return self.nodes[n].kept.push(bytes);
                }
                self.step(n, |replica, now, acts| {
                    replica.receive_message(now, &bytes, acts)
                });
            }
            Next::Look(n, start) => {
                if self.nodes[n].start == start && self.runs(n) {
                    if self.now >= self.nodes[n].paused {
                        self.look(n);
                    }
                    self.at(self.now + LOOK, Next::Look(n, start));
                }
            }
            Next::Resume(n) => {
                self.step(n, |replica, now, acts| {
                    replica.resume_after_pause(now, acts)
                });
                self.nodes[n].armed = 0;
                self.step(n, |replica, now, acts| replica.tick(now, acts));
                let kept = std::mem::take(&mut self.nodes[n].kept);
                for bytes in kept {
                    self.step(n, |replica, now, acts| {
                        replica.receive_message(now, &bytes, acts)
                    });
                }
            }
            Next::Tick(n, start) => {
                let node = &mut self.nodes[n];
                if node.start == start && node.armed == at && at >= node.paused {
                    node.armed = 0;
                    self.step(n, |replica, now, acts| replica.tick(now, acts));
                }
            }
            Next::Run(n, start, token) => self.run_at_origin(n, start, token),
            Next::Ended(n, start, token, good) => self.ended(n, start, token, good),
            Next::Ask(n, key) => self.asks(n, key),
        }
    }

    /// Whether all that run hold the same.
    pub fn equal(&self) -> bool {
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

    /// Whether all that run have caught up and vouch.
    pub fn vouching(&self) -> bool {
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

/// What the state says has to hold in one process, for broken builds: the first thing that does not.
pub fn first_wrong(seeds: u64) -> Option<String> {
    let plan = ReplicationSettings {
        ledger: Some(meadowrill_replication::settings::LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    for seed in 0..seeds {
        let mut shared = Shared::new(12, ReplicationSettings::default(), seed);
        shared.start_all();
        shared.run(5 * SEC);
        let stamp = shared.now;
        shared.say(3, |replica, now| {
            replica.publish_purge(now, Some(seed), 0, stamp)
        });
        // The same object again, from another that has not heard yet: the latest stands at all.
        shared.say(7, |replica, now| {
            replica.publish_purge(now, Some(seed), 0, stamp - 5 * SEC)
        });
        shared.run(SEC / 2);
        let latest = |m: &Map| {
            m.of_type(RecordType::Purge)
                .all(|(_, e)| e.rank.0 == stamp as u64)
        };
        if !shared
            .maps()
            .all(|map| map.of_type(RecordType::Purge).count() == 1 && latest(map))
        {
            return Some(format!(
                "seed {seed}: a purge is not known to all after half a second"
            ));
        }
        let faults = Faults {
            many: 8,
            seconds: 30,
            keys_per_s: 50,
            kills: true,
            splits: true,
            pauses: true,
        };
        let mut run = effects(faults, plan.clone(), seed);
        if run.seen.ran_twice() > 0 {
            return Some(format!(
                "seed {seed}: {} marks ran twice",
                run.seen.ran_twice()
            ));
        }
        if run.run_until(run.now + 5 * SEC, Shared::equal).is_none() {
            return Some(format!("seed {seed}: not equal 5 s after the last lookup"));
        }
    }
    None
}

/// What a run of random faults is made of.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub many: usize,
    pub seconds: u32,
    pub keys_per_s: u32,
    pub kills: bool,
    pub splits: bool,
    pub pauses: bool,
}

/// Keyed lookups whose clients come again at another front at once, after 1 s and after 6 s, while faults are drawn.
pub fn effects(faults: Faults, plan: ReplicationSettings, seed: u64) -> Shared {
    let mut shared = Shared::new(faults.many, plan, seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    shared.start_all();
    shared.run_until(shared.now + 10 * SEC, Shared::vouching);
    (shared.loss, shared.answers_lost) = (0.05, 0.1);
    let mut down: Vec<(usize, Micros)> = Vec::new();
    for _ in 0..faults.seconds * 10 {
        for _ in 0..faults.keys_per_s / 10 {
            let key = rng.u64(..);
            let mut at = shared.now + rng.i64(0..100_000);
            for wait in [0, rng.i64(0..200_000), SEC, 6 * SEC] {
                at += wait;
                let n = rng.usize(0..faults.many);
                shared.at(at, Next::Ask(n, key));
            }
        }
        // At most one is down at a time: a claim that two of three hold outlives that.
        let now = shared.now;
        if let Some(at) = down.iter().position(|(_, until)| now >= *until) {
            let (n, _) = down.remove(at);
            shared.start(n);
        }
        let settled = down.is_empty() && shared.vouching();
        match rng.usize(0..40) {
            0 if faults.kills && settled => {
                let n = rng.usize(0..faults.many);
                shared.kill(n);
                down.push((n, now + rng.i64(100_000..4 * SEC)));
            }
            1 if faults.splits && shared.sides.is_none() => {
                let cut = rng.usize(1..faults.many);
                shared.split(|n| u8::from(n >= cut));
            }
            2 | 3 => shared.heal(),
            4 if faults.pauses => {
                let span = rng.i64(50_000..3 * SEC);
                shared.pause(rng.usize(0..faults.many), span);
            }
            _ => {}
        }
        shared.run(SEC / 10);
    }
    shared.heal();
    for (n, _) in down {
        shared.start(n);
    }
    (shared.loss, shared.answers_lost) = (0.0, 0.0);
    shared.run(8 * SEC);
    shared
}
