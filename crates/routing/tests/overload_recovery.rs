//! Recovery from overload in a closed-loop model of a fleet: 200 real routers, caches that share a zone's link,
//! parents, an origin, and clients that retry when they are rejected.
//!
//! The tests guard against metastable failure: after the trigger of an overload has gone, the fleet's own reactions
//! to it must not sustain the overload.

mod common;

use common::{settings, EventQueue, Random};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, HashMap, HashSet};

const SECOND: Micros = 1_000_000;
const PROXIES: usize = 200;
const ZONES: usize = 40;
const CACHES: usize = 4;
const PARENTS: usize = 8;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// Requests per second at each proxy.
const REQUESTS_PER_SECOND: f64 = 12.0;
/// Number of objects.
const OBJECTS: f64 = 20000.0;
/// How long a copy stays in caches and parents.
const COPY_LIFETIME: Micros = 6 * SECOND;
/// Number of concurrent fills that a zone's link carries at full speed.
const LINK_TRANSFERS: f64 = 12.0;
/// Time after which a cache reports that it cannot reach a parent.
const UNREACHABLE_AFTER: Micros = 830_000;
/// Time after which a cache reports that a parent is at its limit.
const REJECTED_AFTER: Micros = 60_000;
const CLIENT_TIMEOUT: Micros = 4 * SECOND;
const CLIENT_ATTEMPTS: u32 = 3;
/// Clients per second at each proxy that scan the released object.
const SCANNERS_PER_SECOND: usize = 4;
const RELEASED_OBJECT: u64 = 1 << 40;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Scheduled {
    /// A client sends a request to a proxy: proxy, client, client's attempt.
    Request(usize, usize, u32),
    /// An attempt of a proxy ends: proxy, request, attempt, key in `pending_ends`.
    AttemptEnd(usize, u32, u8, u32),
    Timer(usize, u32),
    ClientLeaves(usize, u32),
}

#[derive(Clone, Copy)]
struct Client {
    object: u64,
    part: u32,
    started_at: Micros,
    work: Micros,
}

/// How an attempt will end.
#[derive(Clone, Copy)]
struct PendingEnd {
    outcome: AttemptOutcome,
    cache_status: CacheStatus,
    endpoint: EndpointIndex,
    elapsed: Micros,
    size_kb: f64,
    fill: Option<(usize, EndpointIndex, u64)>,
}

#[derive(Default, Clone, Copy, Debug)]
struct SecondCounts {
    offered: f64,
    answered_in_time: f64,
}

struct Simulation {
    now: Micros,
    random: Random,
    queue: EventQueue<Scheduled>,
    proxies: Vec<Router>,
    clients: Vec<Client>,
    /// Open requests of each proxy: the client, the client's attempt, and the number of attempts by the proxy.
    open: Vec<HashMap<u32, (usize, u32, u8)>>,
    last_id: u32,
    pending_ends: BTreeMap<u32, PendingEnd>,
    /// When each copy at a cache or parent expires.
    copies: HashMap<(usize, EndpointIndex, u64), Micros>,
    /// Fills in progress at caches.
    fills_in_progress: HashSet<(usize, EndpointIndex, u64)>,
    link: Vec<f64>,
    parent_fills: Vec<f64>,
    /// Concurrent transfers that a parent accepts.
    parent_capacity: f64,
    unreachable: HashSet<EndpointIndex>,
    counts_by_second: Vec<SecondCounts>,
}

fn fleet_settings() -> Settings {
    settings(&[
        ("balancers", PROXIES.to_string()),
        ("specifics.zone_balancers", (PROXIES / ZONES).to_string()),
    ])
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut proxies = Vec::new();
        for number in 0..PROXIES {
            let mut proxy = Router::new(seed + number as u64, &fleet_settings(), &mut Vec::new());
            let entries = (0..=ORIGIN).map(|endpoint| EndpointEntry {
                address: 0,
                endpoint,
                stable_id: match endpoint {
                    0..CACHES => (number % ZONES * 100 + endpoint) as u64 * 0x9e37_79b9 + 1,
                    _ => endpoint as u64 * 0x85eb_ca6b + 7,
                },
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
            proxy.handle_event(
                0,
                Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.collect())),
                &mut Vec::new(),
            );
            proxies.push(proxy);
        }
        Simulation {
            now: 0,
            random: Random::new(seed),
            queue: EventQueue::new(),
            proxies,
            clients: Vec::new(),
            open: vec![HashMap::new(); PROXIES],
            last_id: 0,
            pending_ends: BTreeMap::new(),
            copies: HashMap::new(),
            fills_in_progress: HashSet::new(),
            link: vec![0.0; ZONES],
            parent_fills: vec![0.0; ORIGIN + 1],
            parent_capacity: f64::INFINITY,
            unreachable: HashSet::new(),
            counts_by_second: vec![SecondCounts::default(); 64],
        }
    }

    /// Adds the clients of one second at all proxies. A few of the objects are popular.
    fn add_clients(&mut self, from: Micros, factor: f64) {
        for proxy in 0..PROXIES {
            for _ in 0..(REQUESTS_PER_SECOND * factor) as usize {
                let at = from + (self.random.fraction() * SECOND as f64) as Micros;
                let object = OBJECTS.powf(self.random.fraction()) as u64;
                let work = 50_000 + (object.wrapping_mul(0x9e37_79b9) % 7) as Micros * 40_000;
                self.client_arrives(
                    proxy,
                    Client {
                        object,
                        part: 0,
                        started_at: at,
                        work,
                    },
                );
            }
        }
    }

    fn client_arrives(&mut self, proxy: usize, client: Client) {
        let counts = &mut self.counts_by_second[(client.started_at / SECOND) as usize];
        counts.offered += 1.0;
        self.clients.push(client);
        self.queue.push(
            client.started_at,
            Scheduled::Request(proxy, self.clients.len() - 1, 0),
        );
    }

    /// Adds clients at each proxy that, during this second, scan the parts of one large new object in order.
    fn add_scanners(&mut self, from: Micros, count: usize, step: u32) {
        for proxy in 0..PROXIES {
            for _ in 0..count {
                let at = from + (self.random.fraction() * SECOND as f64) as Micros;
                let part = step * 2 + u32::from(at - from >= SECOND / 2);
                self.client_arrives(
                    proxy,
                    Client {
                        object: RELEASED_OBJECT,
                        part,
                        started_at: at,
                        work: 1_200_000,
                    },
                );
            }
        }
    }

    fn handle(&mut self, proxy: usize, event: Event) {
        let mut out = Vec::new();
        self.proxies[proxy].handle_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::StartAttempt {
                    id,
                    endpoint,
                    timeout,
                    fill,
                } => self.start_attempt(proxy, id, endpoint, timeout, fill),
                Action::Reject { id, retry_after } => self.request_rejected(proxy, id, retry_after),
                Action::Fail { id } => {
                    self.open[proxy].remove(&id);
                }
                Action::SetTimer { at, timer } => {
                    self.queue.push(at, Scheduled::Timer(proxy, timer))
                }
                Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. }
                | Action::PollDiscovery => {}
                Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn request_rejected(&mut self, proxy: usize, id: u32, retry_after: Micros) {
        let Some((client, client_attempt, _)) = self.open[proxy].remove(&id) else {
            return;
        };
        if client_attempt + 1 < CLIENT_ATTEMPTS {
            let wait = 50_000.0 * f64::from(1 << client_attempt) * (1.0 + self.random.fraction());
            // Clients retry at a proxy of the same zone.
            let next = (proxy + ZONES * (1 + (self.random.fraction() * 4.0) as usize)) % PROXIES;
            self.queue.push(
                self.now + retry_after.max(wait as Micros),
                Scheduled::Request(next, client, client_attempt + 1),
            );
        }
    }

    fn start_attempt(
        &mut self,
        proxy: usize,
        id: u32,
        endpoint: EndpointIndex,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
        let Some((client, _, attempts)) = self.open[proxy].get_mut(&id) else {
            return;
        };
        let (client, number) = (self.clients[*client], *attempts);
        *attempts += 1;
        let mut out = self.outcome(proxy % ZONES, client, endpoint, fill);
        if out.elapsed > timeout {
            out.outcome = AttemptOutcome::TimedOut;
            out.cache_status = CacheStatus::Unknown;
            out.elapsed = timeout;
            out.size_kb = 0.0;
        }
        self.last_id += 1;
        self.pending_ends.insert(self.last_id, out);
        let end = Scheduled::AttemptEnd(proxy, id, number, self.last_id);
        self.queue.push(self.now + out.elapsed, end);
    }

    /// The outcome of an attempt at an endpoint.
    fn outcome(
        &mut self,
        zone: usize,
        client: Client,
        endpoint: EndpointIndex,
        fill: Option<Fill>,
    ) -> PendingEnd {
        let object = client.object << 8 | u64::from(client.part);
        let key = (zone, endpoint, object);
        let missed = PendingEnd {
            outcome: AttemptOutcome::Miss,
            cache_status: CacheStatus::Unknown,
            endpoint,
            elapsed: 1000,
            size_kb: 0.0,
            fill: None,
        };
        if self.has_copy(key) {
            return PendingEnd {
                outcome: AttemptOutcome::Success,
                cache_status: CacheStatus::Hit,
                elapsed: client.work,
                size_kb: client.work as f64 / 1000.0,
                ..missed
            };
        }
        match fill.filter(|fill| fill.source != endpoint) {
            Some(fill) => self.fill_outcome(key, client.work, fill, missed),
            None if self.fills_in_progress.contains(&key) => PendingEnd {
                cache_status: CacheStatus::JoinedFill,
                ..missed
            },
            None => missed,
        }
    }

    fn has_copy(&self, key: (usize, EndpointIndex, u64)) -> bool {
        self.copies.get(&key).is_some_and(|end| *end > self.now)
    }

    /// The outcome of a fill from a parent.
    fn fill_outcome(
        &mut self,
        key: (usize, EndpointIndex, u64),
        work: Micros,
        fill: Fill,
        missed: PendingEnd,
    ) -> PendingEnd {
        let (zone, _, object) = key;
        let parent = fill.source;
        let parent_has_copy = self.has_copy((0, parent, object));
        let rejected = PendingEnd {
            outcome: AttemptOutcome::Rejected,
            ..missed
        };
        if self.unreachable.contains(&parent) {
            let cache_status = CacheStatus::SourceUnreachable;
            return PendingEnd {
                cache_status,
                elapsed: UNREACHABLE_AFTER,
                ..rejected
            };
        }
        if fill.cached_only && !parent_has_copy {
            let cache_status = CacheStatus::SourceMiss;
            return PendingEnd {
                cache_status,
                elapsed: 20_000,
                ..missed
            };
        }
        if self.parent_fills[parent] >= self.parent_capacity {
            let cache_status = CacheStatus::SourceRejected;
            return PendingEnd {
                cache_status,
                elapsed: REJECTED_AFTER,
                ..rejected
            };
        }
        let slowdown = (self.link[zone] / LINK_TRANSFERS).max(1.0);
        let (first_byte, cache_status) = if parent_has_copy {
            (40_000.0, CacheStatus::FilledFromParent)
        } else {
            (120_000.0, CacheStatus::FilledFromOrigin)
        };
        self.link[zone] += 1.0;
        self.parent_fills[parent] += 1.0;
        self.fills_in_progress.insert(key);
        PendingEnd {
            outcome: AttemptOutcome::Success,
            cache_status,
            elapsed: ((first_byte + work as f64) * slowdown) as Micros,
            size_kb: work as f64 / 1000.0,
            fill: Some((zone, parent, object)),
            ..missed
        }
    }

    fn attempt_ended(&mut self, proxy: usize, id: u32, attempt: u8, end: u32) {
        let Some(out) = self.pending_ends.remove(&end) else {
            return;
        };
        let finished = out.outcome == AttemptOutcome::Success;
        let request = if finished {
            self.open[proxy].remove(&id)
        } else {
            None
        };
        if let Some((zone, parent, object)) = out.fill {
            self.link[zone] -= 1.0;
            self.parent_fills[parent] -= 1.0;
            self.fills_in_progress.remove(&(zone, out.endpoint, object));
            if finished {
                self.copies
                    .insert((zone, out.endpoint, object), self.now + COPY_LIFETIME);
                self.copies
                    .entry((0, parent, object))
                    .or_insert(self.now + COPY_LIFETIME);
            }
        }
        if let Some((client, ..)) = request {
            let Client {
                started_at, work, ..
            } = self.clients[client];
            let late = self.now - started_at > 600_000 + 2 * work;
            self.counts_by_second[(started_at / SECOND) as usize].answered_in_time +=
                f64::from(u8::from(!late));
        }
        let outcome = AttemptEnd {
            id,
            attempt,
            endpoint: out.endpoint,
            outcome: out.outcome,
            elapsed: out.elapsed,
            finished,
            cache_status: out.cache_status,
            first_byte: None,
            size_kb: out.size_kb,
            load_report: Vec::new(),
        };
        self.handle(proxy, Event::AttemptEnded(outcome));
    }

    fn run_until(&mut self, end: Micros) {
        while let Some((at, event)) = self.queue.pop_before(end) {
            self.now = at;
            match event {
                Scheduled::Request(proxy, client, client_attempt) => {
                    self.last_id += 1;
                    let (id, Client { object, part, .. }) = (self.last_id, self.clients[client]);
                    self.open[proxy].insert(id, (client, client_attempt, 0));
                    let request = Request {
                        id,
                        object,
                        part,
                        size_kb: 0.0,
                        group: 0,
                        class: 0,
                        deadline: at + CLIENT_TIMEOUT,
                        effect: 0,
                    };
                    self.queue
                        .push(at + CLIENT_TIMEOUT, Scheduled::ClientLeaves(proxy, id));
                    self.handle(proxy, Event::RequestArrived(request));
                }
                Scheduled::AttemptEnd(proxy, id, attempt, end) => {
                    self.attempt_ended(proxy, id, attempt, end)
                }
                Scheduled::Timer(proxy, timer) => self.handle(proxy, Event::TimerFired { timer }),
                Scheduled::ClientLeaves(proxy, id) => {
                    if self.open[proxy].remove(&id).is_some() {
                        self.handle(proxy, Event::ClientLeft { id });
                    }
                }
            }
        }
        self.now = end;
    }

    /// Share of the requests that began within these seconds and were answered in time.
    fn share_in_time(&self, seconds: std::ops::Range<usize>) -> f64 {
        let sum = self.counts_by_second[seconds]
            .iter()
            .fold((0.0, 0.0), |sum, w| {
                (sum.0 + w.answered_in_time, sum.1 + w.offered)
            });
        sum.0 / sum.1
    }
}

/// Half of the parents are unreachable for six seconds. Requests for their objects wait until each proxy has detected
/// that; the links and the other parents have capacity all the time, so other fills must not stop.
#[test]
fn unreachable_parents_do_not_stop_other_fills() {
    let mut simulation = Simulation::new(11);
    for second in 0..24 {
        match second {
            6 => simulation
                .unreachable
                .extend([CACHES + 1, CACHES + 2, CACHES + 3, CACHES + 4]),
            12 => simulation.unreachable.clear(),
            _ => {}
        }
        simulation.add_clients(second * SECOND, 1.0);
        simulation.run_until((second + 1) * SECOND);
    }
    simulation.run_until(30 * SECOND);
    let (before, during) = (
        simulation.share_in_time(3..6),
        simulation.share_in_time(8..12),
    );
    let (recovering, after) = (
        simulation.share_in_time(12..14),
        simulation.share_in_time(14..20),
    );
    println!("answered in time: before {before:.3}, during {during:.3}, recovering {recovering:.3}, after {after:.3}");
    assert!(
        before > 0.9,
        "the model is overloaded before the trigger: {before}"
    );
    assert!(during > 0.75 * before, "during {during} of {before}");
    assert!(
        recovering > 0.9 * before,
        "the overload persists after its trigger: {recovering} of {before}"
    );
    assert!(after > 0.95 * before, "after {after} of {before}");
}

/// Clients at all proxies scan one new object for five seconds. Its two parents have no capacity for all zones at once;
/// the other parents and the links of all zones have capacity.
#[test]
fn a_release_overloads_two_parents_and_nothing_else() {
    let mut simulation = Simulation::new(12);
    simulation.parent_capacity = 36.0;
    for second in 0..24 {
        simulation.add_clients(second * SECOND, 0.5);
        if (6..11).contains(&second) {
            simulation.add_scanners(second * SECOND, SCANNERS_PER_SECOND, second as u32 - 6);
        }
        simulation.run_until((second + 1) * SECOND);
    }
    simulation.run_until(30 * SECOND);
    let (before, during) = (
        simulation.share_in_time(3..6),
        simulation.share_in_time(6..11),
    );
    let (recovering, after) = (
        simulation.share_in_time(11..13),
        simulation.share_in_time(13..20),
    );
    println!("answered in time: before {before:.3}, during {during:.3}, recovering {recovering:.3}, after {after:.3}");
    assert!(
        before > 0.9,
        "the model is overloaded before the trigger: {before}"
    );
    assert!(during > 0.55 * before, "during {during} of {before}");
    assert!(
        after > 0.9 * before,
        "the overload persists after its trigger: {after} of {before}"
    );
}
