//! Size fairness: what has least slack in its latency objective is rejected first, and that bias is bounded. One proxy
//! before a link that all its fills share; of the largest tenth of the requests, and of the next fifth, two thirds of
//! the usual share are answered on a quiet day, half in an overload.

mod common;

use common::{settings, Draws, Queue};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::BTreeMap;

const SEC: Micros = 1_000_000;
const CACHES: usize = 4;
const PARENTS: usize = 2;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// Mean time of a transfer at full pace, and transfers that the link bears at that pace.
const MEAN: f64 = 0.3;
const LINK: f64 = 12.0;
const FROM: Micros = 10 * SEC;
const TO: Micros = 70 * SEC;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Request,
    End(End),
    Timer(u32),
}

/// The end of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    id: u32,
    attempt: u8,
    endpoint: EndpointIndex,
    elapsed: Micros,
    missed: bool,
}

struct Day {
    draws: Draws,
    now: Micros,
    router: Router,
    queue: Queue<Next>,
    in_flight: f64,
    attempts: BTreeMap<u32, u8>,
    work: BTreeMap<u32, f64>,
    /// Of each request: its work, and whether it was answered.
    answers: BTreeMap<u32, (f64, bool)>,
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut router = Router::new(seed, &settings(&[]), &mut Vec::new());
        let entries = (0..=ORIGIN).map(|endpoint| EndpointEntry {
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
        });
        router.handle_event(
            0,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.collect())),
            &mut Vec::new(),
        );
        let (draws, queue) = (Draws::new(seed), Queue::new());
        let (attempts, work, answers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Day {
            draws,
            now: 0,
            router,
            queue,
            in_flight: 0.0,
            attempts,
            work,
            answers,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt {
                    id,
                    endpoint,
                    fill,
                    timeout,
                } => {
                    let attempts = self.attempts.entry(id).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    // Nothing is cached: each is filled, over a link that all share; a cache that is not to fill
                    // says so at once.
                    if fill.is_none_or(|f| f.source == endpoint) {
                        let elapsed = 5_000;
                        let end = End {
                            id,
                            attempt,
                            endpoint,
                            elapsed,
                            missed: true,
                        };
                        self.queue.put(self.now + elapsed, Next::End(end));
                        continue;
                    }
                    self.in_flight += 1.0;
                    let elapsed =
                        (self.work[&id] * (self.in_flight / LINK).max(1.0) * SEC as f64) as Micros;
                    let elapsed = elapsed.min(timeout);
                    let end = End {
                        id,
                        attempt,
                        endpoint,
                        elapsed,
                        missed: false,
                    };
                    self.queue.put(self.now + elapsed, Next::End(end));
                }
                Action::SetTimer { at, timer } => self.queue.put(at, Next::Timer(timer)),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answers.insert(id, (self.work[&id], false));
                }
                _ => {}
            }
        }
    }

    /// Load against what the link bears; the shares answered of all, of the largest tenth and of the next fifth.
    fn play(mut self, load: f64) -> [f64; 3] {
        let gap = MEAN / LINK / load;
        self.queue.put(0, Next::Request);
        let mut id = 0;
        while let Some((at, next)) = self.queue.take(Micros::MAX) {
            self.now = at;
            match next {
                Next::Request if at < TO => {
                    id += 1;
                    self.request(id);
                    let wait = -self.positive_draw().ln() * gap;
                    self.queue
                        .put(self.now + (wait * SEC as f64) as Micros, Next::Request);
                }
                Next::Request => {}
                Next::End(end) => self.end(end),
                Next::Timer(timer) => self.handle(Event::TimerFired { timer }),
            }
        }
        self.shares(id)
    }

    /// A request for an object whose size is lognormal, with the mean that is named above.
    fn request(&mut self, id: u32) {
        let (u, v) = (self.positive_draw(), self.positive_draw());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let work = MEAN * (normal - 0.5).exp();
        self.work.insert(id, work);
        let request = Request {
            id,
            object: u64::from(id),
            part: 0,
            size_kb: work * 1000.0,
            group: 0,
            class: 0,
            deadline: self.now + 6 * SEC,
        };
        self.handle(Event::RequestArrived(request));
    }

    fn positive_draw(&mut self) -> f64 {
        self.draws.next().max(f64::MIN_POSITIVE)
    }

    fn end(&mut self, end: End) {
        let End {
            id,
            attempt,
            endpoint,
            elapsed,
            missed,
        } = end;
        self.in_flight -= f64::from(u8::from(!missed));
        if !missed {
            self.answers.entry(id).or_insert((self.work[&id], true));
        }
        let (outcome, cache_status) = if missed {
            (AttemptOutcome::Miss, CacheStatus::Unknown)
        } else {
            (AttemptOutcome::Success, CacheStatus::FilledFromParent)
        };
        let end = AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished: !missed,
            cache_status,
            first_byte: (!missed).then_some(50_000),
            size_kb: self.work[&id] * 1000.0,
            load_report: Vec::new(),
        };
        self.handle(Event::AttemptEnded(end));
    }

    /// The shares answered of all, of the largest tenth and of the next fifth, after the first seconds.
    fn shares(&self, requests: u32) -> [f64; 3] {
        let from = (requests as f64 * FROM as f64 / TO as f64) as u32;
        let mut all: Vec<(f64, bool)> = self
            .answers
            .range(from..)
            .map(|(_, answer)| *answer)
            .collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        let share = |of: &[(f64, bool)]| {
            of.iter().filter(|answer| answer.1).count() as f64 / of.len() as f64
        };
        [
            share(&all),
            share(&all[..all.len() / 10]),
            share(&all[all.len() / 10..all.len() * 3 / 10]),
        ]
    }
}

#[test]
fn the_bias_against_large_requests_is_bounded() {
    for (load, least) in [(0.4, 2.0 / 3.0), (0.9, 2.0 / 3.0), (1.3, 0.5), (2.0, 0.5)] {
        for seed in 1..=5 {
            let [all, tenth, fifth] = Day::new(seed).play(load);
            println!("load {load}: {all:.2}, largest tenth {tenth:.2}, next fifth {fifth:.2}");
            assert!(
                tenth >= least * all && fifth >= least * all,
                "load {load}, seed {seed}: {all} {tenth} {fifth}"
            );
        }
    }
}
