//! A closed model of a fleet: 200 real modules, caches that share a location's link, parents, an origin, and clients
//! that come again when they are turned down. A trigger comes and goes; what is asked is whether the fleet's own
//! answers to it keep the jam alive (metastability: trigger, feedback, recovery).

mod common;

use common::{settings, Draws, Queue};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, HashMap, HashSet};

const SEC: Micros = 1_000_000;
const FRONTS: usize = 200;
const LOCATIONS: usize = 40;
const CACHES: usize = 4;
const PARENTS: usize = 8;
const ORIGIN: EndpointIndex = CACHES + PARENTS;
/// Lookups a second at each front, and how many objects there are.
const RATE: f64 = 12.0;
const OBJECTS: f64 = 20000.0;
/// How long caches and parents keep a copy, fills that a location's link bears at full pace, and how many of a
/// parent's transfers do.
const KEPT: Micros = 6 * SEC;
const LINK: f64 = 12.0;
/// A cache finds out that it cannot reach a parent.
const UNREACHED: Micros = 830_000;
/// And that one has no place.
const REFUSED: Micros = 60_000;
const LIMIT: Micros = 4 * SEC;
const TRIES: u32 = 3;
/// Clients a second at each front that walk through what is released.
const WALKERS: usize = 4;
const RELEASED: u64 = 1 << 40;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Next {
    /// A client's try at a front: client, try.
    Ask(usize, usize, u32),
    End(usize, u32, u8, u32),
    Ring(usize, u32),
    Over(usize, u32),
}

#[derive(Clone, Copy)]
struct Client {
    object: u64,
    part: u32,
    began: Micros,
    own: Micros,
}

/// What a send will have come to.
#[derive(Clone, Copy)]
struct Outcoming {
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
    fronts: Vec<Router>,
    clients: Vec<Client>,
    /// Lookups open at a front: the client and its try, and how many sends there were.
    open: Vec<HashMap<u32, (usize, u32, u8)>>,
    ids: u32,
    outs: BTreeMap<u32, Outcoming>,
    /// Copies of a cache or of a parent, and what is on its way to a cache.
    copies: HashMap<(usize, EndpointIndex, u64), Micros>,
    under_way: HashSet<(usize, EndpointIndex, u64)>,
    link: Vec<f64>,
    lent: Vec<f64>,
    /// Transfers that a parent takes on at a time.
    parent: f64,
    lost: HashSet<EndpointIndex>,
    windows: Vec<Window>,
}

fn fleet_settings() -> Settings {
    settings(&[
        ("balancers", FRONTS.to_string()),
        ("specifics.zone_balancers", (FRONTS / LOCATIONS).to_string()),
    ])
}

impl World {
    fn new(seed: u64) -> World {
        let mut fronts = Vec::new();
        for number in 0..FRONTS {
            let mut front = Router::new(seed + number as u64, &fleet_settings(), &mut Vec::new());
            let entries = (0..=ORIGIN).map(|endpoint| EndpointEntry {
                endpoint,
                stable_id: match endpoint {
                    0..CACHES => (number % LOCATIONS * 100 + endpoint) as u64 * 0x9e37_79b9 + 1,
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
            front.handle_event(
                0,
                Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.collect())),
                &mut Vec::new(),
            );
            fronts.push(front);
        }
        World {
            now: 0,
            draws: Draws::new(seed),
            queue: Queue::new(),
            fronts,
            clients: Vec::new(),
            open: vec![HashMap::new(); FRONTS],
            ids: 0,
            outs: BTreeMap::new(),
            copies: HashMap::new(),
            under_way: HashSet::new(),
            link: vec![0.0; LOCATIONS],
            lent: vec![0.0; ORIGIN + 1],
            parent: f64::INFINITY,
            lost: HashSet::new(),
            windows: vec![Window::default(); 64],
        }
    }

    /// Clients of one second, each at a front, for an object: a few are asked for by many.
    fn second(&mut self, from: Micros, factor: f64) {
        for front in 0..FRONTS {
            for _ in 0..(RATE * factor) as usize {
                let at = from + (self.draws.next() * SEC as f64) as Micros;
                let object = OBJECTS.powf(self.draws.next()) as u64;
                let own = 50_000 + (object.wrapping_mul(0x9e37_79b9) % 7) as Micros * 40_000;
                self.come(
                    front,
                    Client {
                        object,
                        part: 0,
                        began: at,
                        own,
                    },
                );
            }
        }
    }

    fn come(&mut self, front: usize, client: Client) {
        let window = &mut self.windows[(client.began / SEC) as usize];
        window.offered += 1.0;
        self.clients.push(client);
        self.queue
            .put(client.began, Next::Ask(front, self.clients.len() - 1, 0));
    }

    /// In this second some at each front walk through the parts of one large new object, one after the other.
    fn walk(&mut self, from: Micros, each: usize, step: u32) {
        for front in 0..FRONTS {
            for _ in 0..each {
                let at = from + (self.draws.next() * SEC as f64) as Micros;
                let part = step * 2 + u32::from(at - from >= SEC / 2);
                self.come(
                    front,
                    Client {
                        object: RELEASED,
                        part,
                        began: at,
                        own: 1_200_000,
                    },
                );
            }
        }
    }

    fn hear(&mut self, front: usize, event: Event) {
        let mut out = Vec::new();
        self.fronts[front].handle_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::StartAttempt {
                    id,
                    endpoint,
                    timeout,
                    fill,
                } => self.attempt(front, id, endpoint, timeout, fill),
                Action::Reject { id, retry_after } => self.turned_down(front, id, retry_after),
                Action::Fail { id } => {
                    self.open[front].remove(&id);
                }
                Action::SetTimer { at, timer } => self.queue.put(at, Next::Ring(front, timer)),
                Action::CancelAttempt { .. }
                | Action::WriteAttempt { .. }
                | Action::PollDiscovery => {}
                Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn turned_down(&mut self, front: usize, id: u32, retry_after: Micros) {
        let Some((client, tries, _)) = self.open[front].remove(&id) else {
            return;
        };
        if tries + 1 < TRIES {
            let wait = 50_000.0 * f64::from(1 << tries) * (1.0 + self.draws.next());
            // At another front of the same location, as clients do.
            let next = (front + LOCATIONS * (1 + (self.draws.next() * 4.0) as usize)) % FRONTS;
            self.queue.put(
                self.now + retry_after.max(wait as Micros),
                Next::Ask(next, client, tries + 1),
            );
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "not reached yet by the pass over tests"
    )]
    fn attempt(
        &mut self,
        front: usize,
        id: u32,
        endpoint: EndpointIndex,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
        let Some((client, _, sends)) = self.open[front].get_mut(&id) else {
            return;
        };
        let (client, number) = (*client, *sends);
        *sends += 1;
        let Client {
            object, part, own, ..
        } = self.clients[client];
        let object = object << 8 | u64::from(part);
        let location = front % LOCATIONS;
        let key = (location, endpoint, object);
        let now = self.now;
        let held =
            |copies: &HashMap<_, Micros>, key| copies.get(&key).is_some_and(|end| *end > now);
        let source = fill.map(|f| f.source).filter(|source| *source != endpoint);
        let mut out = Outcoming {
            outcome: AttemptOutcome::Miss,
            cache_status: CacheStatus::Unknown,
            endpoint,
            elapsed: 1000,
            size_kb: 0.0,
            fill: None,
        };
        let size_kb = own as f64 / 1000.0;
        if held(&self.copies, key) {
            (out.outcome, out.cache_status, out.elapsed, out.size_kb) =
                (AttemptOutcome::Success, CacheStatus::Hit, own, size_kb);
        } else if source.is_none() {
            out.cache_status = if self.under_way.contains(&key) {
                CacheStatus::JoinedFill
            } else {
                CacheStatus::Unknown
            };
        } else if let Some(parent) = source {
            let (parent_holds, only) = (
                held(&self.copies, (0, parent, object)),
                fill.is_some_and(|f| f.cached_only),
            );
            if self.lost.contains(&parent) {
                (out.outcome, out.cache_status, out.elapsed) = (
                    AttemptOutcome::Rejected,
                    CacheStatus::SourceUnreachable,
                    UNREACHED,
                );
            } else if only && !parent_holds {
                (out.cache_status, out.elapsed) = (CacheStatus::SourceMiss, 20_000);
            } else if self.lent[parent] >= self.parent {
                (out.outcome, out.cache_status, out.elapsed) = (
                    AttemptOutcome::Rejected,
                    CacheStatus::SourceRejected,
                    REFUSED,
                );
            } else {
                let slow = (self.link[location] / LINK).max(1.0);
                let first = if parent_holds { 40_000.0 } else { 120_000.0 };
                self.link[location] += 1.0;
                self.lent[parent] += 1.0;
                out.cache_status = if parent_holds {
                    CacheStatus::FilledFromParent
                } else {
                    CacheStatus::FilledFromOrigin
                };
                (out.outcome, out.size_kb) = (AttemptOutcome::Success, size_kb);
                out.elapsed = ((first + own as f64) * slow) as Micros;
                out.fill = Some((location, parent, object));
                self.under_way.insert(key);
            }
        }
        if out.elapsed > timeout {
            (out.outcome, out.cache_status, out.elapsed, out.size_kb) =
                (AttemptOutcome::TimedOut, CacheStatus::Unknown, timeout, 0.0);
        }
        self.ids += 1;
        self.outs.insert(self.ids, out);
        self.queue
            .put(now + out.elapsed, Next::End(front, id, number, self.ids));
    }

    fn end(&mut self, front: usize, id: u32, attempt: u8, which: u32) {
        let Some(out) = self.outs.remove(&which) else {
            return;
        };
        let finished = out.outcome == AttemptOutcome::Success;
        let taken = if finished {
            self.open[front].remove(&id)
        } else {
            None
        };
        if let Some((location, parent, object)) = out.fill {
            self.link[location] -= 1.0;
            self.lent[parent] -= 1.0;
            self.under_way.remove(&(location, out.endpoint, object));
            if finished {
                self.copies
                    .insert((location, out.endpoint, object), self.now + KEPT);
                self.copies
                    .entry((0, parent, object))
                    .or_insert(self.now + KEPT);
            }
        }
        if let Some((client, ..)) = taken {
            let Client { began, own, .. } = self.clients[client];
            let late = self.now - began > 600_000 + 2 * own;
            self.windows[(began / SEC) as usize].in_time += f64::from(u8::from(!late));
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
        self.hear(front, Event::AttemptEnded(outcome));
    }

    fn until(&mut self, end: Micros) {
        while let Some((at, next)) = self.queue.take(end) {
            self.now = at;
            match next {
                Next::Ask(front, client, tries) => {
                    self.ids += 1;
                    let (id, Client { object, part, .. }) = (self.ids, self.clients[client]);
                    self.open[front].insert(id, (client, tries, 0));
                    let lookup = Request {
                        id,
                        object,
                        part,
                        size_kb: 0.0,
                        group: 0,
                        class: 0,
                        deadline: at + LIMIT,
                    };
                    self.queue.put(at + LIMIT, Next::Over(front, id));
                    self.hear(front, Event::RequestArrived(lookup));
                }
                Next::End(front, id, attempt, which) => self.end(front, id, attempt, which),
                Next::Ring(front, timer) => self.hear(front, Event::TimerFired { timer }),
                Next::Over(front, id) => {
                    if self.open[front].remove(&id).is_some() {
                        self.hear(front, Event::ClientLeft { id });
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

/// Half of the parents cannot be reached for six seconds. Their objects wait until that is found out, at each front
/// anew; links and the other parents have room all the while.
#[test]
fn lost_parents_shut_no_other_fills() {
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
        world.until((second + 1) * SEC);
    }
    world.until(30 * SEC);
    let (before, during) = (world.served(3..6), world.served(8..12));
    let (freed, after) = (world.served(12..14), world.served(14..20));
    println!("in time: before {before:.3}, during {during:.3}, freed {freed:.3}, after {after:.3}");
    assert!(before > 0.9, "the model is loaded too much: {before}");
    assert!(during > 0.75 * before, "during {during} of {before}");
    assert!(
        freed > 0.9 * before,
        "the jam outlives its cause: {freed} of {before}"
    );
    assert!(after > 0.95 * before, "after {after} of {before}");
}

/// All walk through one new object for five seconds. Its two parents have no place for all locations at once; the others,
/// and all links of locations, have room.
#[test]
fn a_release_jams_two_parents_and_nothing_else() {
    let mut world = World::new(12);
    world.parent = 36.0;
    for second in 0..24 {
        world.second(second * SEC, 0.5);
        if (6..11).contains(&second) {
            world.walk(second * SEC, WALKERS, second as u32 - 6);
        }
        world.until((second + 1) * SEC);
    }
    world.until(30 * SEC);
    let (before, during) = (world.served(3..6), world.served(6..11));
    let (freed, after) = (world.served(11..13), world.served(13..20));
    println!("in time: before {before:.3}, during {during:.3}, freed {freed:.3}, after {after:.3}");
    assert!(before > 0.9, "the model is loaded too much: {before}");
    assert!(during > 0.55 * before, "during {during} of {before}");
    assert!(
        after > 0.9 * before,
        "the jam outlives its cause: {after} of {before}"
    );
}
