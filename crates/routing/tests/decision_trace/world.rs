//! A small deployment that answers the decision module: endpoints that are slow, fail, drain, start anew and vanish by
//! a drawn schedule, and clients that ask, leave and half-close. All times are whole microseconds.

use crate::random::Random;
use crate::trace::write_action;
use meadowrill_routing::control::Front;
use meadowrill_routing::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const MILLIS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const CACHES: usize = 8;
const FOREIGN: usize = 2;
const PARENTS: usize = 4;
const ORIGIN: PeerIx = CACHES + FOREIGN + PARENTS;

/// What differs between the deployments that are recorded.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub seed: u64,
    pub settings: Settings,
    /// Mean time between requests.
    pub request_gap: Micros,
    pub requests: u32,
    /// Whether requests tell their size.
    pub sizes_known: bool,
    /// Whether attempts wait for a connection that the host tells of.
    pub connections: bool,
    /// So many of a thousand requests are for a class that the settings do not name.
    pub unknown_class_per_mille: u64,
    /// Chance, in a thousand each 100 ms, of a change in the deployment.
    pub changes_per_mille: u64,
    /// Time that the parents and the origin take at the least.
    pub origin_time: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    Slow,
    Failing,
    Rejecting,
    Hanging,
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    Change,
    Connected { id: u32, attempt: u8 },
    Started { id: u32 },
    Ended { id: u32, attempt: u8 },
    Timer { id: u32 },
    Left { id: u32 },
    HalfClosed { id: u32 },
}

struct Attempt {
    endpoint: PeerIx,
    at: Micros,
    timeout: Micros,
    fill: Option<Fill>,
    open: bool,
    cancelled: bool,
    written: bool,
    outcome: Option<Outcome>,
}

pub struct World {
    deployment: Deployment,
    random: Random,
    now: Micros,
    front: Front,
    entries: Vec<Entry>,
    health: Vec<Health>,
    cached: BTreeSet<(PeerIx, u64, u32)>,
    due: BTreeMap<(Micros, u64), Due>,
    serial: u64,
    asked: u32,
    attempts: BTreeMap<u32, Vec<Attempt>>,
    answered: BTreeSet<u32>,
    latest_part: BTreeMap<u64, u32>,
    pub trace: String,
}

impl World {
    pub fn new(deployment: Deployment) -> World {
        let mut actions = Vec::new();
        let start = 1_000 * SECOND;
        let front = Front::start(deployment.seed, deployment.settings.clone(), start, &mut actions);
        let mut world = World {
            random: Random::new(deployment.seed),
            deployment,
            now: start,
            front,
            entries: (0..=ORIGIN).map(entry).collect(),
            health: vec![Health::Good; ORIGIN + 1],
            cached: BTreeSet::new(),
            due: BTreeMap::new(),
            serial: 0,
            asked: 0,
            attempts: BTreeMap::new(),
            answered: BTreeSet::new(),
            latest_part: BTreeMap::new(),
            trace: String::new(),
        };
        world.carry_out(actions);
        let all = world.entries.clone();
        world.hear(Event::Listed(Listing::Full(all)));
        world.plan(start, Due::Request);
        world.plan(start, Due::Change);
        world
    }

    /// Plays until all requests have come and nothing is due any more.
    pub fn play(mut self) -> String {
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = at;
            self.happen(due);
        }
        self.trace
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.serial += 1;
        self.due.insert((at.max(self.now), self.serial), due);
    }

    fn hear(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.front.hear(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Request => self.request(),
            Due::Change => self.change(),
            Due::Connected { id, attempt } => self.connected(id, attempt),
            Due::Started { id } => {
                if self.attempts.get(&id).is_some_and(|all| all.iter().any(|a| a.open)) {
                    self.hear(Event::Began { id });
                }
            }
            Due::Ended { id, attempt } => self.ended(id, attempt),
            Due::Timer { id } => self.hear(Event::Rang { token: id }),
            Due::Left { id } => {
                if self.answered.insert(id) {
                    self.hear(Event::Left { id });
                }
            }
            Due::HalfClosed { id } => {
                if !self.answered.contains(&id) {
                    self.hear(Event::HalfClosed { id });
                }
            }
        }
    }

    fn request(&mut self) {
        self.asked += 1;
        let id = self.asked;
        // A few objects are asked for much more than the rest, part after part.
        let object =
            if self.random.per_mille(500) { self.random.below(20) } else { 100 + self.random.below(3000) };
        let latest = self.latest_part.get(&object).copied();
        let next = latest.map_or(0, |part| (part + 1) % 24);
        let part = if self.random.per_mille(700) { next } else { self.random.below(24) as u32 };
        self.latest_part.insert(object, part);
        let class = if self.random.per_mille(self.deployment.unknown_class_per_mille) {
            9
        } else {
            [0, 0, 0, 0, 0, 1, 1, 2, 2, 3][self.random.below(10) as usize]
        };
        let size = 4 + self.random.below(60) * if self.random.per_mille(100) { 10 } else { 1 };
        let patience = 50 * MILLIS + self.random.below(1500) as Micros * MILLIS;
        let request = Lookup {
            id,
            object,
            part,
            size_kb: if self.deployment.sizes_known { size as f64 } else { 0.0 },
            group: (object % 16) as u32,
            kind: class,
            expires: self.now + patience,
        };
        if self.random.per_mille(20) {
            let at = self.now + self.random.below(400) as Micros * MILLIS;
            self.plan(at, Due::HalfClosed { id });
        }
        self.plan(self.now + patience, Due::Left { id });
        self.hear(Event::Asked(request));
        if self.asked < self.deployment.requests {
            let gap = self.random.below(2 * self.deployment.request_gap as u64) as Micros;
            self.plan(self.now + gap, Due::Request);
        }
    }

    fn change(&mut self) {
        if self.random.per_mille(self.deployment.changes_per_mille) {
            self.change_something();
        }
        if self.asked < self.deployment.requests {
            self.plan(self.now + 100 * MILLIS, Due::Change);
        }
    }

    fn change_something(&mut self) {
        let endpoint = self.random.below(ORIGIN as u64 + 1) as PeerIx;
        match self.random.below(16) {
            0 => self.set_standing(endpoint, Standing::Draining),
            1 => self.set_standing(endpoint, Standing::Gone),
            2 | 3 => self.restart(endpoint),
            4..=6 => self.heal(),
            7..=9 => self.worsen(endpoint),
            10 => {
                let object = self.random.per_mille(700).then(|| self.random.below(20));
                let group = self.random.below(16) as u32;
                let ago = self.random.below(300) as Micros * MILLIS;
                self.cached.retain(|(_, other, _)| Some(*other) != object);
                self.hear(Event::Purged { object, group, ago });
            }
            11 => {
                let since = self.random.per_mille(500).then_some(self.now - 8 * SECOND);
                self.hear(Event::OutOfTouch { since });
            }
            12 => {
                let not_before = self.random.per_mille(300).then_some(self.now - SECOND);
                let age = self.random.per_mille(300).then_some(5 * SECOND);
                self.hear(Event::CopiesBounded { not_before, age });
            }
            13 => {
                let highest = self.random.below(40) as u32;
                let object = self.random.below(40);
                self.hear(Event::Recalled { object, highest });
            }
            14 => {
                let failing = self.random.below(100) as f64 / 100.0;
                let first_byte =
                    self.random.per_mille(500).then(|| self.random.below(300) as Micros * MILLIS);
                self.hear(Event::Thought { peer: endpoint, failing, first_byte });
            }
            _ => self.list_anew(),
        }
    }

    fn set_standing(&mut self, endpoint: PeerIx, standing: Standing) {
        if endpoint == ORIGIN {
            return;
        }
        self.entries[endpoint].standing = standing;
        let entry = self.entries[endpoint];
        self.hear(Event::Listed(Listing::Delta(vec![entry])));
    }

    /// A process that starts anew has nothing cached, and is told of as warming up.
    fn restart(&mut self, endpoint: PeerIx) {
        self.cached.retain(|(cache, ..)| *cache != endpoint);
        self.health[endpoint] = Health::Good;
        self.entries[endpoint].since = self.now - self.random.below(2000) as Micros * MILLIS;
        self.set_standing(endpoint, Standing::Ready);
    }

    fn heal(&mut self) {
        if let Some(sick) = self.health.iter_mut().find(|health| **health != Health::Good) {
            *sick = Health::Good;
        }
    }

    fn worsen(&mut self, endpoint: PeerIx) {
        let all = [Health::Slow, Health::Failing, Health::Rejecting, Health::Hanging, Health::Unreachable];
        self.health[endpoint] = all[self.random.below(5) as usize];
    }

    fn list_anew(&mut self) {
        if self.random.per_mille(300) {
            return self.hear(Event::Listed(Listing::Failed));
        }
        let left_out = self.random.below(ORIGIN as u64) as PeerIx;
        let listed = self.entries.iter().copied().filter(|e| e.standing != Standing::Gone);
        let listed = listed.filter(|e| e.peer != left_out).collect();
        self.hear(Event::Listed(Listing::Full(listed)));
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            write_action(&mut self.trace, &action);
            match action {
                Action::Send { id, peer, time_out, fill } => self.begin(id, peer, time_out, fill),
                Action::Nack { id, .. } | Action::Fail { id } => {
                    self.answered.insert(id);
                }
                Action::Cancel { id, send } => self.cancel(id, send),
                Action::Write { id, send } => {
                    let attempt = &mut self.attempts.get_mut(&id).expect("known")[usize::from(send)];
                    attempt.written = true;
                    let at = self.now + 20 * MILLIS;
                    self.settle(id, send, at);
                }
                Action::Ring { at, token } => self.plan(at, Due::Timer { id: token }),
                Action::Subscribe => {
                    if self.random.per_mille(800) {
                        let all = self.entries.clone();
                        self.hear(Event::Listed(Listing::Full(all)));
                    } else {
                        self.hear(Event::Listed(Listing::Failed));
                    }
                }
                Action::Forget { .. } | Action::Log(_) => {}
            }
        }
    }

    fn begin(&mut self, id: u32, endpoint: PeerIx, timeout: Micros, fill: Option<Fill>) {
        let waits = self.deployment.connections && self.random.per_mille(300);
        let attempt = Attempt {
            endpoint,
            at: self.now,
            timeout,
            fill,
            open: true,
            cancelled: false,
            written: !waits,
            outcome: None,
        };
        let all = self.attempts.entry(id).or_default();
        all.push(attempt);
        let number = all.len() as u8 - 1;
        if waits {
            let at = self.now + self.random.below(120) as Micros * MILLIS;
            self.plan(at, Due::Connected { id, attempt: number });
        } else {
            self.settle(id, number, self.now);
        }
    }

    fn connected(&mut self, id: u32, attempt: u8) {
        if self.attempts[&id][usize::from(attempt)].open {
            self.hear(Event::Connected { id, send: attempt });
        }
    }

    fn cancel(&mut self, id: u32, number: u8) {
        let attempt = &mut self.attempts.get_mut(&id).expect("known")[usize::from(number)];
        attempt.cancelled = true;
        if attempt.written {
            return self.plan(self.now, Due::Ended { id, attempt: number });
        }
        // Never written, so it never ran.
        let took = self.now - attempt.at;
        attempt.outcome = Some(outcome(id, number, attempt.endpoint, Ending::Moot, took));
        self.plan(self.now, Due::Ended { id, attempt: number });
    }

    /// Draws how an attempt will end, and when.
    fn settle(&mut self, id: u32, number: u8, from: Micros) {
        let attempt = &self.attempts[&id][usize::from(number)];
        let (endpoint, timeout, fill) = (attempt.endpoint, attempt.timeout, attempt.fill);
        let drawn = self.draw_outcome(id, number, endpoint, fill);
        let (mut drawn, started) = match drawn {
            Some(drawn) if drawn.took < timeout => {
                let started = drawn.ending == Ending::Satisfied && self.random.per_mille(100);
                (drawn, started)
            }
            _ => (outcome(id, number, endpoint, Ending::TimedOut, timeout), false),
        };
        if started {
            self.plan(from + drawn.took / 2, Due::Started { id });
        }
        if drawn.ending == Ending::Satisfied && self.random.per_mille(30) {
            drawn.size_kb = 4.0 + self.random.below(100) as f64;
        }
        drawn.report = vec![self.random.below(200) as f64 / 100.0];
        let at = from + drawn.took;
        self.attempts.get_mut(&id).expect("known")[usize::from(number)].outcome = Some(drawn);
        self.plan(at, Due::Ended { id, attempt: number });
    }

    /// None where nothing ever comes.
    fn draw_outcome(&mut self, id: u32, number: u8, endpoint: PeerIx, fill: Option<Fill>) -> Option<Outcome> {
        let source = fill.map(|f| f.source).filter(|source| *source != endpoint);
        let quick = (2 + self.random.below(30)) as Micros * MILLIS;
        let ended = |ending, took| Some(outcome(id, number, endpoint, ending, took));
        match self.health[endpoint] {
            Health::Unreachable if self.random.per_mille(700) => {
                return ended(Ending::Unconnected, MILLIS);
            }
            Health::Unreachable => return None,
            Health::Hanging if self.random.per_mille(500) => return None,
            Health::Failing if self.random.per_mille(600) => {
                let ending = if self.random.per_mille(300) { Ending::Broken } else { Ending::Error };
                return ended(ending, quick);
            }
            Health::Rejecting if self.random.per_mille(600) => return ended(Ending::TurnedAway, quick),
            _ => {}
        }
        let slow = if self.health[endpoint] == Health::Slow { 12 } else { 1 };
        let key = self.attempted(id, endpoint);
        if endpoint < CACHES && self.cached.contains(&key) {
            let mut hit = outcome(id, number, endpoint, Ending::Satisfied, quick * slow);
            hit.remark = if self.random.per_mille(30) { Remark::Old } else { Remark::Hit };
            hit.first_byte = Some(hit.took / 2);
            return Some(hit);
        }
        let Some(source) = source else {
            let mut missed = outcome(id, number, endpoint, Ending::Miss, 2 * MILLIS);
            missed.remark = if self.random.per_mille(50) { Remark::Joined } else { Remark::None };
            let own_source = endpoint >= CACHES + FOREIGN && self.random.per_mille(600);
            return if own_source { ended(Ending::Satisfied, quick) } else { Some(missed) };
        };
        self.draw_filled(id, number, endpoint, source, fill.is_some_and(|f| f.held_only))
    }

    fn draw_filled(
        &mut self,
        id: u32,
        number: u8,
        endpoint: PeerIx,
        source: PeerIx,
        held_only: bool,
    ) -> Option<Outcome> {
        let base = 20 + self.random.below(150) as Micros;
        let slow = if self.health[source] == Health::Slow { 8 } else { 1 };
        let mut took = base * MILLIS * slow;
        let (ending, remark) = match self.health[source] {
            Health::Unreachable => (Ending::Error, Remark::SourceLost),
            Health::Rejecting if self.random.per_mille(600) => (Ending::TurnedAway, Remark::SourceRefused),
            Health::Failing if self.random.per_mille(600) => (Ending::Error, Remark::OriginFailed),
            Health::Hanging if self.random.per_mille(500) => return None,
            _ if held_only && self.random.per_mille(400) => (Ending::Miss, Remark::SourceLacks),
            _ if self.random.per_mille(15) => (Ending::TurnedAway, Remark::NoPlace),
            _ if source == ORIGIN || self.random.per_mille(300) => {
                took += self.deployment.origin_time;
                (Ending::Satisfied, Remark::FilledFromOrigin)
            }
            _ if self.random.per_mille(50) => (Ending::Satisfied, Remark::Joined),
            _ => (Ending::Satisfied, Remark::Filled),
        };
        let mut filled = outcome(id, number, endpoint, ending, took);
        filled.remark = remark;
        filled.first_byte = (ending == Ending::Satisfied).then_some(took / 3);
        if ending == Ending::Satisfied {
            let key = self.attempted(id, endpoint);
            self.cached.insert(key);
        }
        Some(filled)
    }

    /// What a cache holds is by object and part; the request's own are drawn again from its id.
    fn attempted(&self, id: u32, endpoint: PeerIx) -> (PeerIx, u64, u32) {
        let drawn = Random::new(u64::from(id)).below(400);
        (endpoint, drawn, id % 3)
    }

    fn ended(&mut self, id: u32, number: u8) {
        let attempt = &mut self.attempts.get_mut(&id).expect("known")[usize::from(number)];
        if !attempt.open {
            return;
        }
        attempt.open = false;
        let mut ended = attempt.outcome.clone().expect("settled");
        if attempt.cancelled && ended.ending != Ending::Moot {
            ended = outcome(id, number, attempt.endpoint, Ending::Cancelled, self.now - attempt.at);
        }
        let satisfied = ended.ending == Ending::Satisfied;
        ended.finished = satisfied || self.answered.contains(&id);
        if satisfied {
            self.answered.insert(id);
        }
        self.hear(Event::Ended(ended));
    }
}

fn outcome(id: u32, attempt: u8, endpoint: PeerIx, ending: Ending, took: Micros) -> Outcome {
    Outcome {
        id,
        send: attempt,
        peer: endpoint,
        ending,
        took,
        finished: false,
        remark: Remark::None,
        first_byte: None,
        size_kb: 0.0,
        report: Vec::new(),
    }
}

fn entry(endpoint: PeerIx) -> Entry {
    let (machine, zone) = match endpoint {
        0..CACHES => (0, 0),
        CACHES..10 => (0, 1),
        ORIGIN => (2, 0),
        _ => (1, 0),
    };
    Entry {
        peer: endpoint,
        stable: Random::new(endpoint as u64 + 77).next_u64() >> 16,
        machine,
        since: 0,
        zone,
        cell: 0,
        weight: 1.0 + (endpoint % 3) as f64,
        standing: Standing::Ready,
    }
}
