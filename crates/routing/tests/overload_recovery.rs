//! Recovery from overload in a closed model of a fleet: 200 real routers, caches that share a zone's link, parents, an
//! origin, and clients that retry when they are rejected. A trigger comes and goes; what is asked is whether the fleet's
//! own answers to it keep the overload alive (metastability: trigger, feedback, recovery).

mod common;

use common::{settings, Draws, Queue};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, HashMap, HashSet};

const SEC: Micros = 1_000_000;
const PROXIES: usize = 200;
const ZONES: usize = 40;
const CACHES: usize = 4;
const PARENTS: usize = 8;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// Requests per second at each proxy, and how many objects there are.
const RATE: f64 = 12.0;
const OBJECTS: f64 = 20000.0;
/// How long caches and parents keep a copy, and fills that a zone's link bears at full pace.
const COPY_LIFETIME: Micros = 6 * SEC;
const LINK: f64 = 12.0;
/// When a cache finds out that it cannot reach a parent.
const UNREACHABLE_AFTER: Micros = 830_000;
/// And that one is at its limit.
const REJECTED_AFTER: Micros = 60_000;
const LIMIT: Micros = 4 * SEC;
const CLIENT_ATTEMPTS: u32 = 3;
/// Clients per second at each proxy that scan what is released.
const SCANNERS: usize = 4;
const RELEASED: u64 = 1 << 40;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Next {
    /// A client's attempt at a proxy: proxy, client, attempt.
    Request(usize, usize, u32),
    End(usize, u32, u8, u32),
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
struct Window {
    offered: f64,
    in_time: f64,
}

struct World {
    now: Micros,
    draws: Draws,
    queue: Queue<Next>,
    proxies: Vec<Router>,
    clients: Vec<Client>,
    /// Requests open at a proxy: the client and its attempt, and how many attempts the proxy made.
    open: Vec<HashMap<u32, (usize, u32, u8)>>,
    ids: u32,
    pending_ends: BTreeMap<u32, PendingEnd>,
    /// Copies of a cache or of a parent until when, and the fills under way to a cache.
    copies: HashMap<(usize, EndpointIndex, u64), Micros>,
    fills_under_way: HashSet<(usize, EndpointIndex, u64)>,
    link: Vec<f64>,
    parent_fills: Vec<f64>,
    /// Transfers that a parent takes at once.
    parent: f64,
    lost: HashSet<EndpointIndex>,
    windows: Vec<Window>,
}

fn fleet_settings() -> Settings {
    settings(&[
        ("balancers", PROXIES.to_string()),
        ("specifics.zone_balancers", (PROXIES / ZONES).to_string()),
    ])
}

impl World {
    fn new(seed: u64) -> World {
        let mut proxies = Vec::new();
        for number in 0..PROXIES {
            let mut proxy = Router::new(seed + number as u64, &fleet_settings(), &mut Vec::new());
            let entries = (0..=ORIGIN).map(|endpoint| EndpointEntry {
                endpoint,
                stable_id: match endpoint {
                    0..CACHES => (number % ZONES * 100 + endpoint) as u64 * 0x9e37_79b9 + 1,
                    _ => endpoint as u64 * 0x85eb_ca6b + 7,
                },
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
            proxy.handle_event(
                0,
                Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.collect())),
                &mut Vec::new(),
            );
            proxies.push(proxy);
        }
        World {
            now: 0,
            draws: Draws::new(seed),
            queue: Queue::new(),
            proxies,
            clients: Vec::new(),
            open: vec![HashMap::new(); PROXIES],
            ids: 0,
            pending_ends: BTreeMap::new(),
            copies: HashMap::new(),
            fills_under_way: HashSet::new(),
            link: vec![0.0; ZONES],
            parent_fills: vec![0.0; ORIGIN + 1],
            parent: f64::INFINITY,
            lost: HashSet::new(),
            windows: vec![Window::default(); 64],
        }
    }

    /// Clients of one second, each at a proxy, for an object: a few objects are popular.
    fn second(&mut self, from: Micros, factor: f64) {
        for proxy in 0..PROXIES {
            for _ in 0..(RATE * factor) as usize {
                let at = from + (self.draws.next() * SEC as f64) as Micros;
                let object = OBJECTS.powf(self.draws.next()) as u64;
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
        let window = &mut self.windows[(client.started_at / SEC) as usize];
        window.offered += 1.0;
        self.clients.push(client);
        self.queue.put(
            client.started_at,
            Next::Request(proxy, self.clients.len() - 1, 0),
        );
    }

    /// In this second some at each proxy scan the parts of one large new object, one after the other.
    fn scan(&mut self, from: Micros, each: usize, step: u32) {
        for proxy in 0..PROXIES {
            for _ in 0..each {
                let at = from + (self.draws.next() * SEC as f64) as Micros;
                let part = step * 2 + u32::from(at - from >= SEC / 2);
                self.client_arrives(
                    proxy,
                    Client {
                        object: RELEASED,
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
                } => self.attempt(proxy, id, endpoint, timeout, fill),
                Action::Reject { id, retry_after } => self.rejected(proxy, id, retry_after),
                Action::Fail { id } => {
                    self.open[proxy].remove(&id);
                }
                Action::SetTimer { at, timer } => self.queue.put(at, Next::Timer(proxy, timer)),
                Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. }
                | Action::PollDiscovery => {}
                Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn rejected(&mut self, proxy: usize, id: u32, retry_after: Micros) {
        let Some((client, client_attempt, _)) = self.open[proxy].remove(&id) else {
            return;
        };
        if client_attempt + 1 < CLIENT_ATTEMPTS {
            let wait = 50_000.0 * f64::from(1 << client_attempt) * (1.0 + self.draws.next());
            // At another proxy of the same zone, as clients do.
            let next = (proxy + ZONES * (1 + (self.draws.next() * 4.0) as usize)) % PROXIES;
            self.queue.put(
                self.now + retry_after.max(wait as Micros),
                Next::Request(next, client, client_attempt + 1),
            );
        }
    }

    fn attempt(
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
        self.ids += 1;
        self.pending_ends.insert(self.ids, out);
        let end = Next::End(proxy, id, number, self.ids);
        self.queue.put(self.now + out.elapsed, end);
    }

    /// What an attempt at an endpoint will come to.
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
            None if self.fills_under_way.contains(&key) => PendingEnd {
                cache_status: CacheStatus::JoinedFill,
                ..missed
            },
            None => missed,
        }
    }

    fn has_copy(&self, key: (usize, EndpointIndex, u64)) -> bool {
        self.copies.get(&key).is_some_and(|end| *end > self.now)
    }

    /// What a fill from a parent will come to.
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
        if self.lost.contains(&parent) {
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
        if self.parent_fills[parent] >= self.parent {
            let cache_status = CacheStatus::SourceRejected;
            return PendingEnd {
                cache_status,
                elapsed: REJECTED_AFTER,
                ..rejected
            };
        }
        let slowdown = (self.link[zone] / LINK).max(1.0);
        let (first_byte, cache_status) = if parent_has_copy {
            (40_000.0, CacheStatus::FilledFromParent)
        } else {
            (120_000.0, CacheStatus::FilledFromOrigin)
        };
        self.link[zone] += 1.0;
        self.parent_fills[parent] += 1.0;
        self.fills_under_way.insert(key);
        PendingEnd {
            outcome: AttemptOutcome::Success,
            cache_status,
            elapsed: ((first_byte + work as f64) * slowdown) as Micros,
            size_kb: work as f64 / 1000.0,
            fill: Some((zone, parent, object)),
            ..missed
        }
    }

    fn end(&mut self, proxy: usize, id: u32, attempt: u8, end: u32) {
        let Some(out) = self.pending_ends.remove(&end) else {
            return;
        };
        let finished = out.outcome == AttemptOutcome::Success;
        let taken = if finished {
            self.open[proxy].remove(&id)
        } else {
            None
        };
        if let Some((zone, parent, object)) = out.fill {
            self.link[zone] -= 1.0;
            self.parent_fills[parent] -= 1.0;
            self.fills_under_way.remove(&(zone, out.endpoint, object));
            if finished {
                self.copies
                    .insert((zone, out.endpoint, object), self.now + COPY_LIFETIME);
                self.copies
                    .entry((0, parent, object))
                    .or_insert(self.now + COPY_LIFETIME);
            }
        }
        if let Some((client, ..)) = taken {
            let Client {
                started_at, work, ..
            } = self.clients[client];
            let late = self.now - started_at > 600_000 + 2 * work;
            self.windows[(started_at / SEC) as usize].in_time += f64::from(u8::from(!late));
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
        while let Some((at, next)) = self.queue.take(end) {
            self.now = at;
            match next {
                Next::Request(proxy, client, client_attempt) => {
                    self.ids += 1;
                    let (id, Client { object, part, .. }) = (self.ids, self.clients[client]);
                    self.open[proxy].insert(id, (client, client_attempt, 0));
                    let request = Request {
                        id,
                        object,
                        part,
                        size_kb: 0.0,
                        group: 0,
                        class: 0,
                        deadline: at + LIMIT,
                    };
                    self.queue.put(at + LIMIT, Next::ClientLeaves(proxy, id));
                    self.handle(proxy, Event::RequestArrived(request));
                }
                Next::End(proxy, id, attempt, end) => self.end(proxy, id, attempt, end),
                Next::Timer(proxy, timer) => self.handle(proxy, Event::TimerFired { timer }),
                Next::ClientLeaves(proxy, id) => {
                    if self.open[proxy].remove(&id).is_some() {
                        self.handle(proxy, Event::ClientLeft { id });
                    }
                }
            }
        }
        self.now = end;
    }

    /// Share of what began within these seconds that was answered in time.
    fn served(&self, seconds: std::ops::Range<usize>) -> f64 {
        let sum = self.windows[seconds]
            .iter()
            .fold((0.0, 0.0), |sum, w| (sum.0 + w.in_time, sum.1 + w.offered));
        sum.0 / sum.1
    }
}

/// Half of the parents cannot be reached for six seconds. Their objects wait until that is found out, at each proxy
/// anew; links and the other parents have capacity all the while.
#[test]
fn lost_parents_stop_no_other_fills() {
    let mut world = World::new(11);
    for second in 0..24 {
        match second {
            6 => world
                .lost
                .extend([CACHES + 1, CACHES + 2, CACHES + 3, CACHES + 4]),
            12 => world.lost.clear(),
            _ => {}
        }
        world.second(second * SEC, 1.0);
        world.run_until((second + 1) * SEC);
    }
    world.run_until(30 * SEC);
    let (before, during) = (world.served(3..6), world.served(8..12));
    let (recovering, after) = (world.served(12..14), world.served(14..20));
    println!("in time: before {before:.3}, during {during:.3}, recovering {recovering:.3}, after {after:.3}");
    assert!(before > 0.9, "the model is loaded too much: {before}");
    assert!(during > 0.75 * before, "during {during} of {before}");
    assert!(
        recovering > 0.9 * before,
        "the overload outlives its cause: {recovering} of {before}"
    );
    assert!(after > 0.95 * before, "after {after} of {before}");
}

/// All scan one new object for five seconds. Its two parents have no capacity for all zones at once; the others, and
/// all links of zones, have.
#[test]
fn a_release_overloads_two_parents_and_nothing_else() {
    let mut world = World::new(12);
    world.parent = 36.0;
    for second in 0..24 {
        world.second(second * SEC, 0.5);
        if (6..11).contains(&second) {
            world.scan(second * SEC, SCANNERS, second as u32 - 6);
        }
        world.run_until((second + 1) * SEC);
    }
    world.run_until(30 * SEC);
    let (before, during) = (world.served(3..6), world.served(6..11));
    let (recovering, after) = (world.served(11..13), world.served(13..20));
    println!("in time: before {before:.3}, during {during:.3}, recovering {recovering:.3}, after {after:.3}");
    assert!(before > 0.9, "the model is loaded too much: {before}");
    assert!(during > 0.55 * before, "during {during} of {before}");
    assert!(
        after > 0.9 * before,
        "the overload outlives its cause: {after} of {before}"
    );
}
