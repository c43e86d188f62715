//! Size fairness: requests with the least slack in their latency objective are rejected first, and this bias against
//! large requests must be bounded.
//!
//! The model is one proxy whose fills share one link. Of the largest tenth of the requests, and of the next fifth, the
//! answered share must be at least two thirds of the overall one at normal load, and half of it in an overload.

mod common;

use common::{settings, EventQueue, Random};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
const CACHES: usize = 4;
const PARENTS: usize = 2;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// Mean time of a transfer at full speed, in seconds.
const MEAN_TRANSFER_SECONDS: f64 = 0.3;
/// Number of concurrent transfers that the link carries at full speed.
const LINK_TRANSFERS: f64 = 12.0;
const MEASURED_FROM: Micros = 10 * SECOND;
const END: Micros = 70 * SECOND;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Request,
    AttemptEnd(End),
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

struct Simulation {
    random: Random,
    now: Micros,
    router: Router,
    queue: EventQueue<Scheduled>,
    in_flight: f64,
    attempts: BTreeMap<u32, u8>,
    work: BTreeMap<u32, f64>,
    /// Work of each request, and whether it was answered.
    answers: BTreeMap<u32, (f64, bool)>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut router = Router::new(seed, &settings(&[]), &mut Vec::new());
        let entries = (0..=ORIGIN).map(|endpoint| EndpointEntry {
            address: 0,
            endpoint,
            stable_id: (endpoint as u64 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            endpoint_kind: if endpoint < CACHES {
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
        let (random, queue) = (Random::new(seed), EventQueue::new());
        let (attempts, work, answers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Simulation {
            random,
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
                    // Nothing is cached, so each request needs a fill over the shared link. An attempt without a source
                    // is answered with a miss at once.
                    if fill.is_none_or(|f| f.source == endpoint) {
                        let elapsed = 5_000;
                        let end = End {
                            id,
                            attempt,
                            endpoint,
                            elapsed,
                            missed: true,
                        };
                        self.queue
                            .push(self.now + elapsed, Scheduled::AttemptEnd(end));
                        continue;
                    }
                    self.in_flight += 1.0;
                    let elapsed = (self.work[&id]
                        * (self.in_flight / LINK_TRANSFERS).max(1.0)
                        * SECOND as f64) as Micros;
                    let elapsed = elapsed.min(timeout);
                    let end = End {
                        id,
                        attempt,
                        endpoint,
                        elapsed,
                        missed: false,
                    };
                    self.queue
                        .push(self.now + elapsed, Scheduled::AttemptEnd(end));
                }
                Action::SetTimer { at, timer } => self.queue.push(at, Scheduled::Timer(timer)),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answers.insert(id, (self.work[&id], false));
                }
                _ => {}
            }
        }
    }

    /// Runs with `load` relative to the link's capacity. Returns the answered shares of all requests, of the largest
    /// tenth and of the next fifth.
    fn run(mut self, load: f64) -> [f64; 3] {
        let gap = MEAN_TRANSFER_SECONDS / LINK_TRANSFERS / load;
        self.queue.push(0, Scheduled::Request);
        let mut id = 0;
        while let Some((at, event)) = self.queue.pop_before(Micros::MAX) {
            self.now = at;
            match event {
                Scheduled::Request if at < END => {
                    id += 1;
                    self.send_request(id);
                    let wait = -self.positive_fraction().ln() * gap;
                    self.queue.push(
                        self.now + (wait * SECOND as f64) as Micros,
                        Scheduled::Request,
                    );
                }
                Scheduled::Request => {}
                Scheduled::AttemptEnd(end) => self.handle_end(end),
                Scheduled::Timer(timer) => self.handle(Event::TimerFired { timer }),
            }
        }
        self.answered_shares(id)
    }

    /// Sends a request for an object whose size is lognormally distributed with mean [`MEAN_TRANSFER_SECONDS`].
    fn send_request(&mut self, id: u32) {
        let (u, v) = (self.positive_fraction(), self.positive_fraction());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let work = MEAN_TRANSFER_SECONDS * (normal - 0.5).exp();
        self.work.insert(id, work);
        let request = Request {
            id,
            object: u64::from(id),
            part: 0,
            size_kb: work * 1000.0,
            group: 0,
            class: 0,
            deadline: self.now + 6 * SECOND,
            effect: 0,
        };
        self.handle(Event::RequestArrived(request));
    }

    fn positive_fraction(&mut self) -> f64 {
        self.random.fraction().max(f64::MIN_POSITIVE)
    }

    fn handle_end(&mut self, end: End) {
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

    /// The answered shares of all requests, of the largest tenth and of the next fifth, after the warm-up seconds.
    fn answered_shares(&self, requests: u32) -> [f64; 3] {
        let from = (requests as f64 * MEASURED_FROM as f64 / END as f64) as u32;
        let mut all: Vec<(f64, bool)> = self
            .answers
            .range(from..)
            .map(|(_, answer)| *answer)
            .collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        let share = |answers: &[(f64, bool)]| {
            answers.iter().filter(|answer| answer.1).count() as f64 / answers.len() as f64
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
            let [all, tenth, fifth] = Simulation::new(seed).run(load);
            println!(
                "load {load}: answered {all:.2}, largest tenth {tenth:.2}, next fifth {fifth:.2}"
            );
            assert!(
                tenth >= least * all && fifth >= least * all,
                "load {load}, seed {seed}: answered {all}, largest tenth {tenth}, next fifth {fifth}"
            );
        }
    }
}
