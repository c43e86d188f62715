//! Slow start under a whole fleet: the decisions of 3 to 300 proxies in one process, of unequal traffic, with one cache
//! or parent that starts anew. What reaches it from all is counted in every window that the settings name; beyond its
//! budget of N requests only chance is allowed, 2 x root of N + 2. Nor is it starved: a proxy's part of the budget may
//! be less than one request in a window.

mod common;

use common::{settings, Draws, Queue};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, VecDeque};

const SEC: Micros = 1_000_000;
const CACHES: usize = 6;
const PARENTS: usize = 3;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
const WARMING_CACHE: EndpointIndex = 0;
/// Requests per second at all proxies together, and how long each takes at full pace.
const RATE: f64 = 150.0;
const WORK: Micros = 100_000;
/// Load of a usual cache or parent: its budget goes by what it could do, a proxy only sees what it does.
const USUAL_LOAD: f64 = 0.6;
const WARM_UP: Micros = 10 * SEC;
const WINDOW: Micros = 2 * SEC;
const FACTOR: f64 = 2.0;
const QUIET: Micros = 20 * SEC;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Request(usize),
    /// An attempt of a proxy ends.
    End {
        proxy: usize,
        id: u32,
        attempt: u8,
        endpoint: EndpointIndex,
        elapsed: Micros,
        missed: bool,
    },
    Timer(usize, u32),
    ProxyRestarts(usize),
    EndpointRestarts,
    /// All proxies have requests that belong to the warming endpoint, in one instant.
    Burst,
}

struct Fleet {
    draws: Draws,
    now: Micros,
    proxies: Vec<Router>,
    /// Fraction of the whole traffic of each proxy.
    shares: Vec<f64>,
    tier: EndpointIndex,
    queue: Queue<Next>,
    attempts: BTreeMap<(usize, u32), u8>,
    ids: u32,
    started: Option<Micros>,
    /// When requests reached the endpoint that started anew.
    arrivals: Vec<Micros>,
    entries: Vec<EndpointEntry>,
}

fn fleet_settings(proxies: usize) -> Settings {
    settings(&[
        ("balancers", proxies.to_string()),
        ("specifics.zone_balancers", proxies.to_string()),
        ("guarantees.warm_after_s", "10".into()),
        ("specifics.parent_warms_in_s", "10".into()),
        ("guarantees.overload_for_s", "2".into()),
        ("guarantees.overload_factor", FACTOR.to_string()),
        ("specifics.parent_fall_multiple", FACTOR.to_string()),
    ])
}

fn initial_fraction(tier: EndpointIndex) -> f64 {
    if tier == WARMING_CACHE {
        0.2
    } else {
        0.1
    }
}

impl Fleet {
    fn new(seed: u64, proxies: usize, tier: EndpointIndex) -> Fleet {
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
            proxies: Vec::new(),
            shares: Vec::new(),
            tier,
            queue: Queue::new(),
            attempts: BTreeMap::new(),
            ids: 0,
            started: None,
            arrivals: Vec::new(),
            entries: (0..=ORIGIN).map(entry).collect(),
        };
        // Some see several times as much as others.
        let weights: Vec<f64> = (0..proxies)
            .map(|_| 0.3 + 3.0 * fleet.draws.next().powi(3))
            .collect();
        let all: f64 = weights.iter().sum();
        fleet.shares = weights.iter().map(|weight| weight / all).collect();
        for number in 0..proxies {
            fleet.proxies.push(fleet.started_proxy(number));
            fleet.schedule_request(number);
        }
        fleet
    }

    fn started_proxy(&self, number: usize) -> Router {
        let seed = self.draws.seed * 1000 + number as u64 + self.draws.drawn;
        let mut proxy = Router::new(seed, &fleet_settings(self.shares.len()), &mut Vec::new());
        proxy.handle_event(
            self.now,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot(self.entries.clone())),
            &mut Vec::new(),
        );
        proxy
    }

    fn schedule_request(&mut self, proxy: usize) {
        let gap = -(1.0 - self.draws.next()).ln() / (RATE * self.shares[proxy]);
        self.queue.put(
            self.now + (gap * SEC as f64) as Micros,
            Next::Request(proxy),
        );
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.proxies[number].handle_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::StartAttempt {
                    id, endpoint, fill, ..
                } => {
                    let attempts = self.attempts.entry((number, id)).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    // A third is a miss, and filled from the source that was named.
                    let miss = self.draws.next() < 0.34 || self.tier != WARMING_CACHE;
                    let filled = fill
                        .filter(|f| f.source != endpoint && miss)
                        .map(|f| f.source);
                    let reached = if self.tier == WARMING_CACHE {
                        endpoint == WARMING_CACHE
                    } else {
                        filled == Some(self.tier)
                    };
                    if self.started.is_some() && reached {
                        self.arrivals.push(self.now);
                    }
                    let elapsed = (WORK as f64 * (0.5 + self.draws.next())) as Micros;
                    let alone = fill.is_some_and(|f| f.source == endpoint) && miss;
                    let missed = alone;
                    let end = Next::End {
                        proxy: number,
                        id,
                        attempt,
                        endpoint,
                        elapsed,
                        missed,
                    };
                    self.queue.put(self.now + elapsed, end);
                }
                Action::SetTimer { at, timer } => self.queue.put(at, Next::Timer(number, timer)),
                Action::Reject { .. }
                | Action::Fail { .. }
                | Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. } => {}
                Action::PollDiscovery | Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn send_request(&mut self, number: usize) {
        self.ids += 1;
        let object = (self.draws.next() * 2000.0) as u64;
        let request = Request {
            id: self.ids,
            object,
            part: 0,
            size_kb: WORK as f64 / 1e3,
            group: 0,
            class: 0,
            deadline: self.now + 4 * SEC,
        };
        self.handle(number, Event::RequestArrived(request));
    }

    fn run(mut self, restarts: bool) -> Self {
        self.queue.put(QUIET, Next::EndpointRestarts);
        self.queue.put(QUIET + SEC / 10, Next::Burst);
        if restarts {
            for number in (0..self.proxies.len()).step_by(3) {
                let at = QUIET + (self.draws.next() * 3.0 * SEC as f64) as Micros;
                self.queue.put(at, Next::ProxyRestarts(number));
            }
        }
        while let Some((at, next)) = self.queue.take(QUIET + WARM_UP) {
            self.now = at;
            match next {
                Next::Request(number) => {
                    self.send_request(number);
                    self.schedule_request(number);
                }
                Next::End {
                    proxy,
                    id,
                    attempt,
                    endpoint,
                    elapsed,
                    missed,
                } => {
                    if self.attempts.contains_key(&(proxy, id)) {
                        let end = self.attempt_end(id, attempt, endpoint, elapsed, missed);
                        self.handle(proxy, Event::AttemptEnded(end));
                    }
                }
                Next::Timer(number, timer) => self.handle(number, Event::TimerFired { timer }),
                Next::ProxyRestarts(number) => {
                    self.attempts.retain(|(proxy, _), _| *proxy != number);
                    self.proxies[number] = self.started_proxy(number);
                }
                Next::EndpointRestarts => self.restart_endpoint(),
                Next::Burst => {
                    for number in 0..self.proxies.len() {
                        (0..6).for_each(|_| self.send_request(number));
                    }
                }
            }
        }
        self
    }

    fn attempt_end(
        &self,
        id: u32,
        attempt: u8,
        endpoint: EndpointIndex,
        elapsed: Micros,
        missed: bool,
    ) -> AttemptEnd {
        let success_status = if self.tier == WARMING_CACHE {
            CacheStatus::Hit
        } else {
            CacheStatus::FilledFromParent
        };
        let (outcome, cache_status) = if missed {
            (AttemptOutcome::Miss, CacheStatus::Unknown)
        } else {
            (AttemptOutcome::Success, success_status)
        };
        AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished: !missed,
            cache_status,
            first_byte: (!missed).then_some(elapsed / 4),
            size_kb: WORK as f64 / 1e3,
            load_report: Vec::new(),
        }
    }

    /// The watched endpoint starts anew, and all proxies are told.
    fn restart_endpoint(&mut self) {
        self.started = Some(self.now);
        let entry = &mut self.entries[self.tier];
        entry.started_at = self.now;
        let entry = *entry;
        for number in 0..self.proxies.len() {
            let update = EndpointUpdate::Delta(vec![entry]);
            self.handle(number, Event::EndpointsUpdated(update));
        }
    }

    /// What the endpoint may get in a window that ends then, in requests.
    fn budget(&self, end: Micros) -> f64 {
        let started = self.started.expect("started");
        let usual = RATE
            / if self.tier == WARMING_CACHE {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        let from = initial_fraction(self.tier);
        let up = (end - started) as f64 / WARM_UP as f64;
        let share = (from + (1.0 - from) * up).min(1.0);
        FACTOR * share * usual / USUAL_LOAD * WINDOW as f64 / SEC as f64
    }

    /// The worst window: requests in it beyond the budget, in parts of what chance is allowed.
    fn worst(&self) -> (f64, usize, f64) {
        let mut window = VecDeque::new();
        let mut worst = (f64::NEG_INFINITY, 0, 0.0);
        for &arrival in &self.arrivals {
            window.push_back(arrival);
            while window
                .front()
                .is_some_and(|first| *first <= arrival - WINDOW)
            {
                window.pop_front();
            }
            let n = self.budget(arrival);
            let excess = (window.len() as f64 - n) / (2.0 * n.sqrt() + 2.0);
            if excess > worst.0 {
                worst = (excess, window.len(), n);
            }
        }
        worst
    }
}

/// Plays some fleets of so many proxies. Returns what the endpoint got, over what a warm one would have got.
fn play_fleets(proxies: usize, tier: EndpointIndex, restarts: bool, runs: u64) -> f64 {
    let (mut received, mut worst) = (0.0, (f64::NEG_INFINITY, 0, 0.0));
    for seed in 1..=runs {
        let fleet = Fleet::new(seed, proxies, tier).run(restarts);
        let w = fleet.worst();
        assert!(
            w.0 <= 1.0,
            "{proxies} proxies, seed {seed}: {} requests for a budget of {:.1}",
            w.1,
            w.2
        );
        worst = if w.0 > worst.0 { w } else { worst };
        let usual = RATE
            / if tier == WARMING_CACHE {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        received +=
            fleet.arrivals.len() as f64 / (usual * WARM_UP as f64 / SEC as f64) / runs as f64;
    }
    let (excess, arrivals, n) = worst;
    println!("{proxies} proxies, restarts {restarts}: worst {arrivals} requests for {n:.1} ({excess:.2}), received {received:.2} of the usual");
    received
}

#[test]
fn a_warming_cache_is_not_overloaded_by_the_sum_of_all_proxies() {
    for (proxies, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for restarts in [false, true] {
            let received = play_fleets(proxies, WARMING_CACHE, restarts, runs);
            assert!(
                received > 0.25,
                "{proxies} proxies, restarts {restarts}: {received:.2} of the usual"
            );
        }
    }
}

#[test]
fn a_warming_parent_is_not_overloaded_by_the_fills_of_all_proxies() {
    for (proxies, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for restarts in [false, true] {
            let received = play_fleets(proxies, CACHES, restarts, runs);
            assert!(
                received > 0.25,
                "{proxies} proxies, restarts {restarts}: {received:.2} of the usual"
            );
        }
    }
}
