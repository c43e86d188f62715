//! Many routers in one process, and one cache that restarts or dies: the load that all proxies together send to it. The
//! closed model is the same as in `crates/routing/tests/slow_start.rs`, with the traffic of the complete fleet as a
//! parameter.

use super::fit::Point;
use super::results::{Budget, Method, Role, Slope};
use super::scenario::settings;
use super::target;
use fastrand::Rng;
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SEC: Micros = 1_000_000;
const CACHES: usize = 6;
const PARENTS: usize = 3;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// The cache that restarts or dies.
const CHANGED_CACHE: EndpointIndex = 0;
/// Mean duration of a transfer.
const TRANSFER_TIME: Micros = 100_000;
/// Utilization of a usual cache.
const USUAL_LOAD: f64 = 0.6;
const MISS_RATIO: f64 = 0.34;
const INITIAL_FRACTION: f64 = 0.2;
const OVERLOAD_FACTOR: f64 = 2.0;
const WARM_UP: Micros = 10 * SEC;
const WINDOW: Micros = 2 * SEC;
/// When the cache restarts or dies.
const CHANGE_TIME: Micros = 20 * SEC;
/// A connection attempt without an answer is abandoned after this time.
const CONNECT_TIMEOUT: Micros = 400_000;
/// Probe requests are counted after this time, within which the proxies detect that the cache is dead.
const DETECTION_TIME: Micros = 4 * SEC;
const OBJECTS: u64 = 2_000;

const PROXIES: [usize; 6] = [30, 100, 300, 1_000, 2_500, 5_000];
/// Requests a second of all proxies together, as in docs/slow-start.md.
const TOTAL_REQUESTS_PER_S: f64 = 150.0;
/// Requests a second of each proxy at these caches, which are six of 660.
const REQUESTS_PER_S_EACH: f64 = target::REQUESTS_PER_S * CACHES as f64 / target::CACHES;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CacheEvent {
    Restarts,
    Dies,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Request(usize),
    End {
        proxy: usize,
        id: u32,
        attempt: u8,
        endpoint: EndpointIndex,
        elapsed: Micros,
        outcome: Outcome,
    },
    Timer(usize, u32),
    Change,
}

/// The outcomes of an attempt in the model.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Hit,
    Miss,
    Unreachable,
}

struct Model {
    rng: Rng,
    now: Micros,
    cache_event: CacheEvent,
    changed: bool,
    proxies: Vec<Router>,
    /// Requests per second at all proxies together.
    rate: f64,
    /// Fraction of the total traffic that each proxy receives.
    shares: Vec<f64>,
    queue: BinaryHeap<Reverse<(Micros, u64, Scheduled)>>,
    serial: u64,
    attempts: BTreeMap<(usize, u32), u8>,
    last_id: u32,
    /// When requests reached the changed cache after its change.
    arrivals: Vec<Micros>,
    entries: Vec<EndpointEntry>,
}

impl Model {
    fn new(seed: u64, proxies: usize, rate: f64, cache_event: CacheEvent) -> Model {
        let entry = |endpoint: EndpointIndex| EndpointEntry {
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
        };
        let mut rng = Rng::with_seed(seed);
        let weights: Vec<f64> = (0..proxies)
            .map(|_| 0.3 + 3.0 * rng.f64().powi(3))
            .collect();
        let all: f64 = weights.iter().sum();
        let mut model = Model {
            rng,
            now: 0,
            cache_event,
            changed: false,
            proxies: Vec::new(),
            rate,
            shares: weights.iter().map(|weight| weight / all).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            attempts: BTreeMap::new(),
            last_id: 0,
            arrivals: Vec::new(),
            entries: (0..=ORIGIN).map(entry).collect(),
        };
        for number in 0..proxies {
            let seed = model.rng.u64(..);
            let mut router = Router::new(seed, &settings(proxies), &mut Vec::new());
            router.handle_event(
                0,
                Event::EndpointsUpdated(EndpointUpdate::Snapshot(model.entries.clone())),
                &mut Vec::new(),
            );
            model.proxies.push(router);
            model.schedule_request(number);
        }
        model
    }

    fn schedule(&mut self, at: Micros, scheduled: Scheduled) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, scheduled)));
    }

    fn schedule_request(&mut self, proxy: usize) {
        let gap = -(1.0 - self.rng.f64()).ln() / (self.rate * self.shares[proxy]);
        self.schedule(
            self.now + (gap * SEC as f64) as Micros,
            Scheduled::Request(proxy),
        );
    }

    fn handle(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxies[proxy].handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt {
                    id, endpoint, fill, ..
                } => self.start_attempt(proxy, id, endpoint, fill),
                Action::SetTimer { at, timer } => self.schedule(at, Scheduled::Timer(proxy, timer)),
                _ => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        proxy: usize,
        id: u32,
        endpoint: EndpointIndex,
        fill: Option<Fill>,
    ) {
        let attempts = self.attempts.entry((proxy, id)).or_default();
        let attempt = *attempts;
        *attempts += 1;
        if self.changed && endpoint == CHANGED_CACHE {
            self.arrivals.push(self.now);
        }
        if self.changed && endpoint == CHANGED_CACHE && self.cache_event == CacheEvent::Dies {
            let end = Scheduled::End {
                proxy,
                id,
                attempt,
                endpoint,
                elapsed: CONNECT_TIMEOUT,
                outcome: Outcome::Unreachable,
            };
            return self.schedule(self.now + CONNECT_TIMEOUT, end);
        }
        let elapsed = (TRANSFER_TIME as f64 * (0.5 + self.rng.f64())) as Micros;
        let missed =
            fill.is_some_and(|fill| fill.source == endpoint) && self.rng.f64() < MISS_RATIO;
        let outcome = if missed { Outcome::Miss } else { Outcome::Hit };
        self.schedule(
            self.now + elapsed,
            Scheduled::End {
                proxy,
                id,
                attempt,
                endpoint,
                elapsed,
                outcome,
            },
        );
    }

    fn send_request(&mut self, proxy: usize) {
        self.last_id += 1;
        let request = Request {
            id: self.last_id,
            object: self.rng.u64(0..OBJECTS),
            part: 0,
            size_kb: TRANSFER_TIME as f64 / 1e3,
            group: 0,
            class: 0,
            deadline: self.now + 4 * SEC,
            effect: 0,
        };
        self.handle(proxy, Event::RequestArrived(request));
    }

    fn end_attempt(&mut self, proxy: usize, end: (u32, u8, EndpointIndex, Micros, Outcome)) {
        let (id, attempt, endpoint, elapsed, outcome) = end;
        let (attempt_outcome, cache_status) = match outcome {
            Outcome::Hit => (AttemptOutcome::Success, CacheStatus::Hit),
            Outcome::Miss => (AttemptOutcome::Miss, CacheStatus::Unknown),
            Outcome::Unreachable => (AttemptOutcome::ConnectFailed, CacheStatus::Unknown),
        };
        let finished = outcome == Outcome::Hit;
        let attempt_end = AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome: attempt_outcome,
            elapsed,
            finished,
            cache_status,
            first_byte: finished.then_some(elapsed / 4),
            size_kb: TRANSFER_TIME as f64 / 1e3,
            load_report: Vec::new(),
        };
        if finished {
            self.attempts.remove(&(proxy, id));
        }
        self.handle(proxy, Event::AttemptEnded(attempt_end));
    }

    fn change_cache(&mut self) {
        self.changed = true;
        if self.cache_event == CacheEvent::Dies {
            return;
        }
        self.entries[CHANGED_CACHE].started_at = self.now;
        let entry = self.entries[CHANGED_CACHE];
        for proxy in 0..self.proxies.len() {
            self.handle(
                proxy,
                Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])),
            );
        }
    }

    fn run(mut self, span: Micros) -> Model {
        self.schedule(CHANGE_TIME, Scheduled::Change);
        while let Some(Reverse((at, _, scheduled))) = self.queue.pop() {
            if at >= CHANGE_TIME + span {
                break;
            }
            self.now = at;
            match scheduled {
                Scheduled::Request(proxy) => {
                    self.send_request(proxy);
                    self.schedule_request(proxy);
                }
                Scheduled::End {
                    proxy,
                    id,
                    attempt,
                    endpoint,
                    elapsed,
                    outcome,
                } => {
                    self.end_attempt(proxy, (id, attempt, endpoint, elapsed, outcome));
                }
                Scheduled::Timer(proxy, timer) => self.handle(proxy, Event::TimerFired { timer }),
                Scheduled::Change => self.change_cache(),
            }
        }
        self
    }

    fn usual_rate(&self) -> f64 {
        self.rate / CACHES as f64
    }

    /// The number of requests that the cache may receive in a window that ends at `end`.
    fn budget(&self, end: Micros) -> f64 {
        let share = (INITIAL_FRACTION
            + (1.0 - INITIAL_FRACTION) * (end - CHANGE_TIME) as f64 / WARM_UP as f64)
            .min(1.0);
        OVERLOAD_FACTOR * share * self.usual_rate() / USUAL_LOAD * WINDOW as f64 / SEC as f64
    }

    /// The largest ratio of the requests in a window to its budget plus the excess that random variation may cause.
    fn worst_window(&self) -> f64 {
        let mut window = VecDeque::new();
        let mut worst: f64 = 0.0;
        for &arrival in &self.arrivals {
            window.push_back(arrival);
            while window
                .front()
                .is_some_and(|first| *first <= arrival - WINDOW)
            {
                window.pop_front();
            }
            let budget = self.budget(arrival);
            worst = worst.max(window.len() as f64 / (budget + 2.0 * budget.sqrt() + 2.0));
        }
        worst
    }

    /// The requests that reached the cache while it warmed up, as a share of those that reach a warm cache.
    fn received_share(&self) -> f64 {
        self.arrivals.len() as f64 / (self.usual_rate() * WARM_UP as f64 / SEC as f64)
    }
}

/// Requests a second that all proxies together send to a dead cache after they have detected it.
fn probes_per_s(proxies: usize) -> f64 {
    let span = DETECTION_TIME + WARM_UP;
    let model = Model::new(
        1,
        proxies,
        REQUESTS_PER_S_EACH * proxies as f64,
        CacheEvent::Dies,
    )
    .run(span);
    let probes = model
        .arrivals
        .iter()
        .filter(|at| **at >= CHANGE_TIME + DETECTION_TIME)
        .count();
    probes as f64 / (WARM_UP as f64 / SEC as f64)
}

/// Figures of a cache that warms up.
struct Ramp {
    worst_window: f64,
    received_share: f64,
}

fn measure_ramp(proxies: usize, rate: f64) -> Ramp {
    let model = Model::new(1, proxies, rate, CacheEvent::Restarts).run(WARM_UP);
    Ramp {
        worst_window: model.worst_window(),
        received_share: model.received_share(),
    }
}

fn slope(name: &'static str, cost: &'static str, unit: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Cache,
        cost,
        unit,
        driver: "fronts",
        method: Method::FleetInOneProcess,
        points,
        target: target::PROXIES,
        budget: Budget::None,
    }
}

/// The slopes of a cold cache.
pub(super) fn cold() -> Vec<Slope> {
    let low_rate =
        PROXIES.map(|proxies| (proxies as f64, measure_ramp(proxies, TOTAL_REQUESTS_PER_S)));
    let usual_rate = PROXIES.map(|proxies| {
        (
            proxies as f64,
            measure_ramp(proxies, REQUESTS_PER_S_EACH * proxies as f64),
        )
    });
    let points = |measured: &[(f64, Ramp)], value: fn(&Ramp) -> f64| {
        measured
            .iter()
            .map(|(x, ramp)| Point {
                x: *x,
                y: value(ramp),
            })
            .collect::<Vec<_>>()
    };
    let worst_slope = |name, cost, measured| Slope {
        budget: Budget::AtMost(1.0),
        ..slope(
            name,
            cost,
            "of what is allowed",
            points(measured, |r| r.worst_window),
        )
    };
    let received_slope = |name, cost, measured| {
        slope(
            name,
            cost,
            "of what a warm one gets",
            points(measured, |r| r.received_share),
        )
    };
    vec![
        worst_slope(
            "cold-worst-few",
            "a cold cache's worst window, 150 lookups/s from all",
            &low_rate,
        ),
        received_slope(
            "cold-got-few",
            "a cold cache's service over its ramp, 150 lookups/s from all",
            &low_rate,
        ),
        worst_slope(
            "cold-worst",
            "a cold cache's worst window, 9.5 lookups/s from each front",
            &usual_rate,
        ),
        received_slope(
            "cold-got",
            "a cold cache's service over its ramp, 9.5 lookups/s from each front",
            &usual_rate,
        ),
    ]
}

/// The slope of probe requests to a dead cache.
pub(super) fn dead() -> Vec<Slope> {
    let points = PROXIES
        .map(|proxies| Point {
            x: proxies as f64,
            y: probes_per_s(proxies),
        })
        .to_vec();
    vec![slope(
        "trials",
        "trials of a dead cache by all fronts",
        "calls/s",
        points,
    )]
}
