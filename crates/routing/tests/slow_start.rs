//! Slow start with a complete fleet: the routers of 3 to 300 proxies with unequal traffic run in one process, and one
//! cache or parent restarts.
//!
//! The tests count the requests that reach the restarted endpoint from all proxies in every window of the length in the
//! settings. They guard against overload: the excess over a budget of N requests may be at most 2 x sqrt(N) + 2, for
//! random variation. They also guard against starvation, because a proxy's share of the budget may be less than one
//! request per window.

mod common;

use common::{settings, EventQueue, Random};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, VecDeque};

const SECOND: Micros = 1_000_000;
const CACHES: usize = 6;
const PARENTS: usize = 3;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
const WARMING_CACHE: EndpointIndex = 0;
/// Requests per second at all proxies together.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// Mean duration of a transfer.
const TRANSFER_TIME: Micros = 100_000;
/// Utilization of a usual cache or parent. Its budget depends on its capacity, while a proxy only sees its current
/// load.
const USUAL_LOAD: f64 = 0.6;
const WARM_UP: Micros = 10 * SECOND;
const WINDOW: Micros = 2 * SECOND;
const OVERLOAD_FACTOR: f64 = 2.0;
const RESTART_TIME: Micros = 20 * SECOND;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
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
    /// All proxies receive requests at the same instant.
    Burst,
}

struct Fleet {
    random: Random,
    now: Micros,
    proxies: Vec<Router>,
    /// Fraction of the total traffic that each proxy receives.
    shares: Vec<f64>,
    restarted: EndpointIndex,
    queue: EventQueue<Scheduled>,
    attempts: BTreeMap<(usize, u32), u8>,
    last_id: u32,
    restarted_at: Option<Micros>,
    /// When requests reached the restarted endpoint.
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
        ("guarantees.overload_factor", OVERLOAD_FACTOR.to_string()),
        (
            "specifics.parent_fall_multiple",
            OVERLOAD_FACTOR.to_string(),
        ),
    ])
}

fn initial_fraction(restarted: EndpointIndex) -> f64 {
    if restarted == WARMING_CACHE {
        0.2
    } else {
        0.1
    }
}

impl Fleet {
    fn new(seed: u64, proxies: usize, restarted: EndpointIndex) -> Fleet {
        let entry = |endpoint: EndpointIndex| EndpointEntry {
            endpoint,
            stable_id: (endpoint as u64 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            endpoint_kind: if endpoint < CACHES {
                0
            } else {
                1 + u8::from(endpoint == ORIGIN)
            },
            started_at: 0,
            address: 0,
            zone: 0,
            cell: 0,
            weight: 4.0,
            status: EndpointStatus::Ready,
        };
        let mut fleet = Fleet {
            random: Random::new(seed),
            now: 0,
            proxies: Vec::new(),
            shares: Vec::new(),
            restarted,
            queue: EventQueue::new(),
            attempts: BTreeMap::new(),
            last_id: 0,
            restarted_at: None,
            arrivals: Vec::new(),
            entries: (0..=ORIGIN).map(entry).collect(),
        };
        // Some proxies receive several times as much traffic as others.
        let weights: Vec<f64> = (0..proxies)
            .map(|_| 0.3 + 3.0 * fleet.random.fraction().powi(3))
            .collect();
        let all: f64 = weights.iter().sum();
        fleet.shares = weights.iter().map(|weight| weight / all).collect();
        for number in 0..proxies {
            fleet.proxies.push(fleet.new_proxy(number));
            fleet.schedule_request(number);
        }
        fleet
    }

    fn new_proxy(&self, number: usize) -> Router {
        let seed = self.random.seed * 1000 + number as u64 + self.random.generated;
        let mut proxy = Router::new(seed, &fleet_settings(self.shares.len()), &mut Vec::new());
        proxy.handle_event(
            self.now,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot(self.entries.clone())),
            &mut Vec::new(),
        );
        proxy
    }

    fn schedule_request(&mut self, proxy: usize) {
        let gap = -(1.0 - self.random.fraction()).ln() / (REQUESTS_PER_SECOND * self.shares[proxy]);
        self.queue.push(
            self.now + (gap * SECOND as f64) as Micros,
            Scheduled::Request(proxy),
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
                    // If a cache restarts, about a third of the attempts are misses; if a parent restarts, all are.
                    // A miss is filled from the source that the attempt names.
                    let miss = self.random.fraction() < 0.34 || self.restarted != WARMING_CACHE;
                    let filled = fill
                        .filter(|f| f.source != endpoint && miss)
                        .map(|f| f.source);
                    let reached = if self.restarted == WARMING_CACHE {
                        endpoint == WARMING_CACHE
                    } else {
                        filled == Some(self.restarted)
                    };
                    if self.restarted_at.is_some() && reached {
                        self.arrivals.push(self.now);
                    }
                    let elapsed = (TRANSFER_TIME as f64 * (0.5 + self.random.fraction())) as Micros;
                    let without_source = fill.is_some_and(|f| f.source == endpoint) && miss;
                    let missed = without_source;
                    let end = Scheduled::End {
                        proxy: number,
                        id,
                        attempt,
                        endpoint,
                        elapsed,
                        missed,
                    };
                    self.queue.push(self.now + elapsed, end);
                }
                Action::SetTimer { at, timer } => {
                    self.queue.push(at, Scheduled::Timer(number, timer))
                }
                Action::Reject { .. }
                | Action::Fail { .. }
                | Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. } => {}
                Action::PollDiscovery | Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn send_request(&mut self, number: usize) {
        self.last_id += 1;
        let object = (self.random.fraction() * 2000.0) as u64;
        let request = Request {
            id: self.last_id,
            object,
            part: 0,
            size_kb: TRANSFER_TIME as f64 / 1e3,
            group: 0,
            class: 0,
            deadline: self.now + 4 * SECOND,
            effect: 0,
        };
        self.handle(number, Event::RequestArrived(request));
    }

    fn run(mut self, proxy_restarts: bool) -> Self {
        self.queue.push(RESTART_TIME, Scheduled::EndpointRestarts);
        self.queue
            .push(RESTART_TIME + SECOND / 10, Scheduled::Burst);
        if proxy_restarts {
            for number in (0..self.proxies.len()).step_by(3) {
                let at = RESTART_TIME + (self.random.fraction() * 3.0 * SECOND as f64) as Micros;
                self.queue.push(at, Scheduled::ProxyRestarts(number));
            }
        }
        while let Some((at, event)) = self.queue.pop_before(RESTART_TIME + WARM_UP) {
            self.now = at;
            match event {
                Scheduled::Request(number) => {
                    self.send_request(number);
                    self.schedule_request(number);
                }
                Scheduled::End {
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
                Scheduled::Timer(number, timer) => self.handle(number, Event::TimerFired { timer }),
                Scheduled::ProxyRestarts(number) => {
                    self.attempts.retain(|(proxy, _), _| *proxy != number);
                    self.proxies[number] = self.new_proxy(number);
                }
                Scheduled::EndpointRestarts => self.restart_endpoint(),
                Scheduled::Burst => {
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
        let success_status = if self.restarted == WARMING_CACHE {
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
            size_kb: TRANSFER_TIME as f64 / 1e3,
            load_report: Vec::new(),
        }
    }

    /// Restarts the watched endpoint, and notifies all proxies.
    fn restart_endpoint(&mut self) {
        self.restarted_at = Some(self.now);
        let entry = &mut self.entries[self.restarted];
        entry.started_at = self.now;
        let entry = *entry;
        for number in 0..self.proxies.len() {
            let update = EndpointUpdate::Delta(vec![entry]);
            self.handle(number, Event::EndpointsUpdated(update));
        }
    }

    /// Requests that the restarted endpoint may get in a window that ends at `end`.
    fn budget(&self, end: Micros) -> f64 {
        let restarted_at = self.restarted_at.expect("the endpoint has restarted");
        let usual = REQUESTS_PER_SECOND
            / if self.restarted == WARMING_CACHE {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        let from = initial_fraction(self.restarted);
        let up = (end - restarted_at) as f64 / WARM_UP as f64;
        let share = (from + (1.0 - from) * up).min(1.0);
        OVERLOAD_FACTOR * share * usual / USUAL_LOAD * WINDOW as f64 / SECOND as f64
    }

    /// The window with the greatest excess over the budget: the excess relative to the allowance for random variation,
    /// the number of requests, and the budget.
    fn worst_window(&self) -> (f64, usize, f64) {
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

/// Runs fleets of `proxies` proxies. Returns the requests that the restarted endpoint got, relative to those that a
/// warm endpoint would have got.
fn run_fleets(proxies: usize, restarted: EndpointIndex, proxy_restarts: bool, runs: u64) -> f64 {
    let (mut received, mut worst) = (0.0, (f64::NEG_INFINITY, 0, 0.0));
    for seed in 1..=runs {
        let fleet = Fleet::new(seed, proxies, restarted).run(proxy_restarts);
        let window = fleet.worst_window();
        assert!(
            window.0 <= 1.0,
            "{proxies} proxies, seed {seed}: {} requests in a window, budget {:.1}",
            window.1,
            window.2
        );
        worst = if window.0 > worst.0 { window } else { worst };
        let usual = REQUESTS_PER_SECOND
            / if restarted == WARMING_CACHE {
                CACHES as f64
            } else {
                PARENTS as f64
            };
        received +=
            fleet.arrivals.len() as f64 / (usual * WARM_UP as f64 / SECOND as f64) / runs as f64;
    }
    let (excess, arrivals, n) = worst;
    println!("{proxies} proxies, proxy restarts {proxy_restarts}: worst window {arrivals} requests, budget {n:.1} (excess {excess:.2}), received {received:.2} of the usual");
    received
}

#[test]
fn a_warming_cache_is_not_overloaded_by_all_proxies_together() {
    for (proxies, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for proxy_restarts in [false, true] {
            let received = run_fleets(proxies, WARMING_CACHE, proxy_restarts, runs);
            assert!(
                received > 0.25,
                "{proxies} proxies, proxy restarts {proxy_restarts}: received only {received:.2} of the usual requests"
            );
        }
    }
}

#[test]
fn a_warming_parent_is_not_overloaded_by_fills_of_all_proxies_together() {
    for (proxies, runs) in [(3, 20), (8, 20), (20, 20), (30, 20), (300, 4)] {
        for proxy_restarts in [false, true] {
            let received = run_fleets(proxies, CACHES, proxy_restarts, runs);
            assert!(
                received > 0.25,
                "{proxies} proxies, proxy restarts {proxy_restarts}: received only {received:.2} of the usual requests"
            );
        }
    }
}
