//! What a cold machine gets from the sum of a whole fleet: the decisions of 3 to 300 fronts in one process, of unequal
//! traffic, on one cache or parent that starts anew. The stand-in counts what reaches it, from all, in every window
//! that the settings name; beyond its budget of N calls only chance is allowed, 2 x root of N + 2. Nor is it starved:
//! a front's part of the budget may be less than one call in a window.

mod common;

use common::{settings, Draws, Queue};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, VecDeque};

const SEC: Micros = 1_000_000;
const CACHES: usize = 6;
const PARENTS: usize = 3;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
const COLD: EndpointIndex = 0;
/// Lookups a second at all fronts together, and how long each takes at a client's full pace.
const RATE: f64 = 150.0;
const WORK: Micros = 100_000;
/// A usual cache or parent is this full: its budget goes by what it could do, a front only sees what it does.
const FULL: f64 = 0.6;
const WARM: Micros = 10 * SEC;
const WINDOW: Micros = 2 * SEC;
const FACTOR: f64 = 2.0;
const QUIET: Micros = 20 * SEC;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ask(usize),
    /// Of a send: the front, the lookup, its number, where, how long, and whether it missed.
    End(usize, u32, u8, EndpointIndex, Micros, bool),
    Ring(usize, u32),
    Restart(usize),
    ColdStart,
    /// All fronts have a lookup that belongs to the cold machine, in one instant.
    Burst,
}

struct Fleet {
    draws: Draws,
    now: Micros,
    fronts: Vec<Router>,
    /// Parts of the whole traffic.
    shares: Vec<f64>,
    tier: EndpointIndex,
    queue: Queue<Next>,
    sends: BTreeMap<(usize, u32), u8>,
    ids: u32,
    started: Option<Micros>,
    /// When calls reached the machine that started anew; and how many would have gone there, were it warm.
    calls: Vec<Micros>,
    entries: Vec<EndpointEntry>,
}

fn fleet_settings(fronts: usize) -> Settings {
    settings(&[
        ("balancers", fronts.to_string()),
        ("specifics.zone_balancers", fronts.to_string()),
        ("guarantees.warm_after_s", "10".into()),
        ("specifics.parent_warms_in_s", "10".into()),
        ("guarantees.overload_for_s", "2".into()),
        ("guarantees.overload_factor", FACTOR.to_string()),
        ("specifics.parent_fall_multiple", FACTOR.to_string()),
    ])
}

fn cold_from(tier: EndpointIndex) -> f64 {
    if tier == COLD {
        0.2
    } else {
        0.1
    }
}

impl Fleet {
    fn new(seed: u64, fronts: usize, tier: EndpointIndex) -> Fleet {
        let entry = |endpoint: EndpointIndex| EndpointEntry {
            endpoint,
            stable_id: (endpoint as u64 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            machine_kind: if endpoint < CACHES {
                0
            } else {
                1 + u8::from(endpoint == ORIGIN)
            },
            started_at: 0,
            zone: 0,
            cell: 0,
            weight: 4.0,
            status: EndpointStatus::Ready,
        };
        let mut fleet = Fleet {
            draws: Draws::new(seed),
            now: 0,
            fronts: Vec::new(),
            shares: Vec::new(),
            tier,
            queue: Queue::new(),
            sends: BTreeMap::new(),
            ids: 0,
            started: None,
            calls: Vec::new(),
            entries: (0..=ORIGIN).map(entry).collect(),
        };
        // Some see several times as much as others.
        let weights: Vec<f64> = (0..fronts)
            .map(|_| 0.3 + 3.0 * fleet.draws.next().powi(3))
            .collect();
        let all: f64 = weights.iter().sum();
        fleet.shares = weights.iter().map(|weight| weight / all).collect();
        for number in 0..fronts {
            fleet.fronts.push(fleet.begun(number));
            fleet.next_ask(number);
        }
        fleet
    }

    fn begun(&self, number: usize) -> Router {
        let seed = self.draws.seed * 1000 + number as u64 + self.draws.drawn;
        let mut front = Router::new(seed, &fleet_settings(self.shares.len()), &mut Vec::new());
        front.handle_event(
            self.now,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot(self.entries.clone())),
            &mut Vec::new(),
        );
        front
    }

    fn next_ask(&mut self, front: usize) {
        let gap = -(1.0 - self.draws.next()).ln() / (RATE * self.shares[front]);
        self.queue
            .put(self.now + (gap * SEC as f64) as Micros, Next::Ask(front));
    }

    fn hear(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.fronts[number].handle_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::StartAttempt {
                    id, endpoint, fill, ..
                } => {
                    let sends = self.sends.entry((number, id)).or_default();
                    let attempt = *sends;
                    *sends += 1;
                    // A third is a miss, and filled from the source that was named.
                    let miss = self.draws.next() < 0.34 || self.tier != COLD;
                    let filled = fill
                        .filter(|f| f.source != endpoint && miss)
                        .map(|f| f.source);
                    let reached = if self.tier == COLD {
                        endpoint == COLD
                    } else {
                        filled == Some(self.tier)
                    };
                    if self.started.is_some() && reached {
                        self.calls.push(self.now);
                    }
                    let elapsed = (WORK as f64 * (0.5 + self.draws.next())) as Micros;
                    let alone = fill.is_some_and(|f| f.source == endpoint) && miss;
                    self.queue.put(
                        self.now + elapsed,
                        Next::End(number, id, attempt, endpoint, elapsed, alone),
                    );
                }
                Action::SetTimer { at, timer } => self.queue.put(at, Next::Ring(number, timer)),
                Action::Reject { .. }
                | Action::Fail { .. }
                | Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. } => {}
                Action::PollDiscovery | Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn ask(&mut self, number: usize) {
        self.ids += 1;
        let object = (self.draws.next() * 2000.0) as u64;
        let lookup = Request {
            id: self.ids,
            object,
            part: 0,
            size_kb: WORK as f64 / 1e3,
            group: 0,
            class: 0,
            deadline: self.now + 4 * SEC,
        };
        self.hear(number, Event::RequestArrived(lookup));
    }

    #[allow(
        clippy::too_many_lines,
        reason = "not reached yet by the pass over tests"
    )]
    fn run(mut self, restarts: bool) -> Self {
        self.queue.put(QUIET, Next::ColdStart);
        self.queue.put(QUIET + SEC / 10, Next::Burst);
        if restarts {
            for number in (0..self.fronts.len()).step_by(3) {
                let at = QUIET + (self.draws.next() * 3.0 * SEC as f64) as Micros;
                self.queue.put(at, Next::Restart(number));
            }
        }
        while let Some((at, next)) = self.queue.take(QUIET + WARM) {
            self.now = at;
            match next {
                Next::Ask(number) => {
                    self.ask(number);
                    self.next_ask(number);
                }
                Next::End(number, id, attempt, endpoint, elapsed, missed) => {
                    if !self.sends.contains_key(&(number, id)) {
                        continue;
                    }
                    let outcome = if missed {
                        AttemptOutcome::Miss
                    } else {
                        AttemptOutcome::Success
                    };
                    let cache_status = match (outcome, self.tier == COLD) {
                        (AttemptOutcome::Success, true) => CacheStatus::Hit,
                        (AttemptOutcome::Success, false) => CacheStatus::FilledFromParent,
                        _ => CacheStatus::Unknown,
                    };
                    let finished = outcome == AttemptOutcome::Success;
                    let outcome = AttemptEnd {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        elapsed,
                        finished,
                        cache_status,
                        first_byte: finished.then_some(elapsed / 4),
                        size_kb: WORK as f64 / 1e3,
                        load_report: Vec::new(),
                    };
                    self.hear(number, Event::AttemptEnded(outcome));
                }
                Next::Ring(number, timer) => self.hear(number, Event::TimerFired { timer }),
                Next::Restart(number) => {
                    self.sends.retain(|(front, _), _| *front != number);
                    self.fronts[number] = self.begun(number);
                }
                Next::ColdStart => {
                    self.started = Some(self.now);
                    let tier = self.tier;
                    self.entries[tier] = EndpointEntry {
                        stable_id: self.entries[tier].stable_id,
                        started_at: self.now,
                        ..self.entries[tier]
                    };
                    let entry = self.entries[tier];
                    for number in 0..self.fronts.len() {
                        self.hear(
                            number,
                            Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])),
                        );
                    }
                }
                Next::Burst => {
                    for number in 0..self.fronts.len() {
                        (0..6).for_each(|_| self.ask(number));
                    }
                }
            }
        }
        self
    }

    /// What the machine may get in a window that ends then, in calls.
    fn budget(&self, end: Micros) -> f64 {
        let started = self.started.expect("started");
        let usual = RATE
            / if self.tier == COLD {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        let from = cold_from(self.tier);
        let up = (end - started) as f64 / WARM as f64;
        let share = (from + (1.0 - from) * up).min(1.0);
        FACTOR * share * usual / FULL * WINDOW as f64 / SEC as f64
    }

    /// The worst window: calls in it beyond the budget, in parts of what chance is allowed.
    fn worst(&self) -> (f64, usize, f64) {
        let mut window = VecDeque::new();
        let mut worst = (f64::NEG_INFINITY, 0, 0.0);
        for &call in &self.calls {
            window.push_back(call);
            while window.front().is_some_and(|first| *first <= call - WINDOW) {
                window.pop_front();
            }
            let n = self.budget(call);
            let beyond = (window.len() as f64 - n) / (2.0 * n.sqrt() + 2.0);
            if beyond > worst.0 {
                worst = (beyond, window.len(), n);
            }
        }
        worst
    }
}

/// Plays some fleets of so many fronts; the share of what a warm machine would have got that this one was sent.
fn holds(fronts: usize, tier: EndpointIndex, restarts: bool, runs: u64) -> f64 {
    let (mut got, mut worst) = (0.0, (f64::NEG_INFINITY, 0, 0.0));
    for seed in 1..=runs {
        let fleet = Fleet::new(seed, fronts, tier).run(restarts);
        let w = fleet.worst();
        assert!(
            w.0 <= 1.0,
            "{fronts} fronts, seed {seed}: {} calls for a budget of {:.1}",
            w.1,
            w.2
        );
        worst = if w.0 > worst.0 { w } else { worst };
        let usual = RATE
            / if tier == COLD {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        got += fleet.calls.len() as f64 / (usual * WARM as f64 / SEC as f64) / runs as f64;
    }
    let (beyond, calls, n) = worst;
    println!("{fronts} fronts, restarts {restarts}: worst {calls} calls for {n:.1} ({beyond:.2}), got {got:.2} of the usual");
    got
}

#[test]
fn a_cold_cache_is_not_pushed_over_by_the_sum_of_all_fronts() {
    for (fronts, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for restarts in [false, true] {
            let got = holds(fronts, COLD, restarts, runs);
            assert!(
                got > 0.25,
                "{fronts} fronts, restarts {restarts}: {got:.2} of the usual"
            );
        }
    }
}

#[test]
fn a_cold_parent_is_not_pushed_over_by_the_fills_of_all_fronts() {
    for (fronts, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for restarts in [false, true] {
            let got = holds(fronts, CACHES, restarts, runs);
            assert!(
                got > 0.25,
                "{fronts} fronts, restarts {restarts}: {got:.2} of the usual"
            );
        }
    }
}
