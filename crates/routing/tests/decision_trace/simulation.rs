//! A simulated small deployment around a router: endpoints that are slow, fail, drain, restart and disappear on a
//! random schedule, and clients that send requests, disconnect and half-close. All times are whole microseconds.

use crate::trace::write_action;
use meadowrill_recorded_traces::Random;
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, BTreeSet};

const MILLIS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const CACHES: usize = 8;
const OTHER_ZONE_CACHES: usize = 2;
const PARENTS: usize = 4;
const ORIGIN: EndpointIndex = CACHES + OTHER_ZONE_CACHES + PARENTS;

/// Parameters of a recorded deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub seed: u64,
    pub settings: Settings,
    /// Mean time between requests.
    pub request_gap: Micros,
    pub requests: u32,
    /// Whether requests state their size.
    pub sizes_known: bool,
    /// Whether some attempts wait for a connection, which the host reports once it is established.
    pub connections: bool,
    /// Requests per thousand whose class the settings do not name.
    pub unknown_class_per_mille: u64,
    /// Probability, in a thousand, of a change in the deployment every 100 ms.
    pub changes_per_mille: u64,
    /// Time that a fetch from the origin, directly or through a parent, adds to a fill.
    pub origin_time: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Healthy,
    Slow,
    Failing,
    Rejecting,
    Hanging,
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Request,
    Change,
    Connected { id: u32, attempt: u8 },
    Started { id: u32 },
    Ended { id: u32, attempt: u8 },
    Timer { id: u32 },
    ClientLeft { id: u32 },
    ClientHalfClosed { id: u32 },
}

struct Attempt {
    endpoint: EndpointIndex,
    at: Micros,
    timeout: Micros,
    fill: Option<Fill>,
    open: bool,
    cancelled: bool,
    written: bool,
    outcome: Option<AttemptEnd>,
}

pub(crate) struct Simulation {
    deployment: Deployment,
    random: Random,
    now: Micros,
    router: Router,
    entries: Vec<EndpointEntry>,
    health: Vec<Health>,
    cached: BTreeSet<(EndpointIndex, u64, u32)>,
    queue: BTreeMap<(Micros, u64), Scheduled>,
    sequence: u64,
    requests_sent: u32,
    attempts: BTreeMap<u32, Vec<Attempt>>,
    answered: BTreeSet<u32>,
    latest_part: BTreeMap<u64, u32>,
    pub trace: String,
}

impl Simulation {
    pub(crate) fn new(deployment: Deployment) -> Simulation {
        let mut actions = Vec::new();
        let start = 1_000 * SECOND;
        let router = Router::new(deployment.seed, &deployment.settings, &mut actions);
        let mut simulation = Simulation {
            random: Random::new(deployment.seed),
            deployment,
            now: start,
            router,
            entries: (0..=ORIGIN).map(entry).collect(),
            health: vec![Health::Healthy; ORIGIN + 1],
            cached: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            requests_sent: 0,
            attempts: BTreeMap::new(),
            answered: BTreeSet::new(),
            latest_part: BTreeMap::new(),
            trace: String::new(),
        };
        simulation.perform(actions);
        let all = simulation.entries.clone();
        simulation.handle_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot(all)));
        simulation.schedule(start, Scheduled::Request);
        simulation.schedule(start, Scheduled::Change);
        simulation
    }

    /// Runs until all requests have arrived and no event is due any more. Returns the trace.
    pub(crate) fn run(mut self) -> String {
        while let Some(((at, _), scheduled)) = self.queue.pop_first() {
            self.now = at;
            self.handle_scheduled(scheduled);
        }
        self.trace
    }

    fn schedule(&mut self, at: Micros, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .insert((at.max(self.now), self.sequence), scheduled);
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle_event(self.now, event, &mut actions);
        self.perform(actions);
    }

    fn handle_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Request => self.send_request(),
            Scheduled::Change => self.maybe_change(),
            Scheduled::Connected { id, attempt } => self.connection_established(id, attempt),
            Scheduled::Started { id } => {
                if self
                    .attempts
                    .get(&id)
                    .is_some_and(|all| all.iter().any(|a| a.open))
                {
                    self.handle_event(Event::ResponseStarted { id });
                }
            }
            Scheduled::Ended { id, attempt } => self.attempt_ended(id, attempt),
            Scheduled::Timer { id } => self.handle_event(Event::TimerFired { timer: id }),
            Scheduled::ClientLeft { id } => {
                if self.answered.insert(id) {
                    self.handle_event(Event::ClientLeft { id });
                }
            }
            Scheduled::ClientHalfClosed { id } => {
                if !self.answered.contains(&id) {
                    self.handle_event(Event::ClientHalfClosed { id });
                }
            }
        }
    }

    fn send_request(&mut self) {
        self.requests_sent += 1;
        let id = self.requests_sent;
        // A few objects are much more popular than the rest, and their parts are requested in sequence.
        let object = if self.random.per_mille(500) {
            self.random.below(20)
        } else {
            100 + self.random.below(3000)
        };
        let latest = self.latest_part.get(&object).copied();
        let next = latest.map_or(0, |part| (part + 1) % 24);
        let part = if self.random.per_mille(700) {
            next
        } else {
            self.random.below(24) as u32
        };
        self.latest_part.insert(object, part);
        let class = if self
            .random
            .per_mille(self.deployment.unknown_class_per_mille)
        {
            9
        } else {
            [0, 0, 0, 0, 0, 1, 1, 2, 2, 3][self.random.below(10) as usize]
        };
        let size = 4 + self.random.below(60) * if self.random.per_mille(100) { 10 } else { 1 };
        let client_timeout = 50 * MILLIS + self.random.below(1500) as Micros * MILLIS;
        let request = Request {
            id,
            object,
            part,
            size_kb: if self.deployment.sizes_known {
                size as f64
            } else {
                0.0
            },
            group: (object % 16) as u32,
            class,
            deadline: self.now + client_timeout,
            effect: 0,
        };
        if self.random.per_mille(20) {
            let at = self.now + self.random.below(400) as Micros * MILLIS;
            self.schedule(at, Scheduled::ClientHalfClosed { id });
        }
        self.schedule(self.now + client_timeout, Scheduled::ClientLeft { id });
        self.handle_event(Event::RequestArrived(request));
        if self.requests_sent < self.deployment.requests {
            let gap = self.random.below(2 * self.deployment.request_gap as u64) as Micros;
            self.schedule(self.now + gap, Scheduled::Request);
        }
    }

    fn maybe_change(&mut self) {
        if self.random.per_mille(self.deployment.changes_per_mille) {
            self.apply_random_change();
        }
        if self.requests_sent < self.deployment.requests {
            self.schedule(self.now + 100 * MILLIS, Scheduled::Change);
        }
    }

    fn apply_random_change(&mut self) {
        let endpoint = self.random.below(ORIGIN as u64 + 1) as EndpointIndex;
        match self.random.below(16) {
            0 => self.set_status(endpoint, EndpointStatus::Draining),
            1 => self.set_status(endpoint, EndpointStatus::Removed),
            2 | 3 => self.restart(endpoint),
            4..=6 => self.recover_one(),
            7..=9 => self.degrade(endpoint),
            10 => {
                let object = self.random.per_mille(700).then(|| self.random.below(20));
                let group = self.random.below(16) as u32;
                let age = self.random.below(300) as Micros * MILLIS;
                self.cached.retain(|(_, other, _)| Some(*other) != object);
                self.handle_event(Event::Invalidated { object, group, age });
            }
            11 => {
                let since = self.random.per_mille(500).then_some(self.now - 8 * SECOND);
                self.handle_event(Event::DiscoveryLag { since });
            }
            12 => {
                let not_before = self.random.per_mille(300).then_some(self.now - SECOND);
                let age = self.random.per_mille(300).then_some(5 * SECOND);
                self.handle_event(Event::FreshnessBound {
                    not_before,
                    max_age: age,
                });
            }
            13 => {
                let highest_part = self.random.below(40) as u32;
                let object = self.random.below(40);
                self.handle_event(Event::SharedLength {
                    object,
                    highest_part,
                });
            }
            14 => {
                let failure_rate = self.random.below(100) as f64 / 100.0;
                let first_byte = self
                    .random
                    .per_mille(500)
                    .then(|| self.random.below(300) as Micros * MILLIS);
                self.handle_event(Event::SharedEstimate {
                    endpoint,
                    failure_rate,
                    first_byte,
                });
            }
            _ => self.send_endpoint_list(),
        }
    }

    fn set_status(&mut self, endpoint: EndpointIndex, status: EndpointStatus) {
        if endpoint == ORIGIN {
            return;
        }
        self.entries[endpoint].status = status;
        let entry = self.entries[endpoint];
        self.handle_event(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])));
    }

    /// Restarts an endpoint: its cache is empty, and discovery announces its new start time.
    fn restart(&mut self, endpoint: EndpointIndex) {
        self.cached.retain(|(cache, ..)| *cache != endpoint);
        self.health[endpoint] = Health::Healthy;
        self.entries[endpoint].started_at = self.now - self.random.below(2000) as Micros * MILLIS;
        self.set_status(endpoint, EndpointStatus::Ready);
    }

    fn recover_one(&mut self) {
        if let Some(unhealthy) = self
            .health
            .iter_mut()
            .find(|health| **health != Health::Healthy)
        {
            *unhealthy = Health::Healthy;
        }
    }

    fn degrade(&mut self, endpoint: EndpointIndex) {
        let all = [
            Health::Slow,
            Health::Failing,
            Health::Rejecting,
            Health::Hanging,
            Health::Unreachable,
        ];
        self.health[endpoint] = all[self.random.below(5) as usize];
    }

    fn send_endpoint_list(&mut self) {
        if self.random.per_mille(300) {
            return self.handle_event(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        let left_out = self.random.below(ORIGIN as u64) as EndpointIndex;
        let listed = self
            .entries
            .iter()
            .copied()
            .filter(|e| e.status != EndpointStatus::Removed);
        let listed = listed.filter(|e| e.endpoint != left_out).collect();
        self.handle_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot(listed)));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            write_action(&mut self.trace, &action);
            match action {
                Action::StartAttempt {
                    id,
                    endpoint,
                    timeout,
                    fill,
                } => self.start_attempt(id, endpoint, timeout, fill),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answered.insert(id);
                }
                Action::CancelAttempt { id, attempt } => self.cancel(id, attempt),
                Action::WriteAttempt { id, attempt } => {
                    self.attempts.get_mut(&id).expect("known request")[usize::from(attempt)]
                        .written = true;
                    let at = self.now + 20 * MILLIS;
                    self.determine_outcome(id, attempt, at);
                }
                Action::SetTimer { at, timer } => self.schedule(at, Scheduled::Timer { id: timer }),
                Action::PollDiscovery => {
                    if self.random.per_mille(800) {
                        let all = self.entries.clone();
                        self.handle_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot(all)));
                    } else {
                        self.handle_event(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
                    }
                }
                Action::ReleaseEndpoint { .. } | Action::Log(_) => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        id: u32,
        endpoint: EndpointIndex,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
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
            self.schedule(
                at,
                Scheduled::Connected {
                    id,
                    attempt: number,
                },
            );
        } else {
            self.determine_outcome(id, number, self.now);
        }
    }

    fn connection_established(&mut self, id: u32, attempt: u8) {
        if self.attempts[&id][usize::from(attempt)].open {
            self.handle_event(Event::AttemptConnected { id, attempt });
        }
    }

    fn cancel(&mut self, id: u32, number: u8) {
        let attempt = &mut self.attempts.get_mut(&id).expect("known request")[usize::from(number)];
        attempt.cancelled = true;
        if attempt.written {
            return self.schedule(
                self.now,
                Scheduled::Ended {
                    id,
                    attempt: number,
                },
            );
        }
        // The attempt was never written, so it never ran.
        let elapsed = self.now - attempt.at;
        attempt.outcome = Some(attempt_end(
            id,
            number,
            attempt.endpoint,
            AttemptOutcome::Superseded,
            elapsed,
        ));
        self.schedule(
            self.now,
            Scheduled::Ended {
                id,
                attempt: number,
            },
        );
    }

    /// Determines at random how an attempt will end, and when.
    fn determine_outcome(&mut self, id: u32, number: u8, from: Micros) {
        let attempt = &self.attempts[&id][usize::from(number)];
        let (endpoint, timeout, fill) = (attempt.endpoint, attempt.timeout, attempt.fill);
        let end = self.random_outcome(id, number, endpoint, fill);
        let (mut end, started) = match end {
            Some(end) if end.elapsed < timeout => {
                let started = end.outcome == AttemptOutcome::Success && self.random.per_mille(100);
                (end, started)
            }
            _ => (
                attempt_end(id, number, endpoint, AttemptOutcome::TimedOut, timeout),
                false,
            ),
        };
        if started {
            self.schedule(from + end.elapsed / 2, Scheduled::Started { id });
        }
        if end.outcome == AttemptOutcome::Success && self.random.per_mille(30) {
            end.size_kb = 4.0 + self.random.below(100) as f64;
        }
        end.load_report = vec![self.random.below(200) as f64 / 100.0];
        let at = from + end.elapsed;
        self.attempts.get_mut(&id).expect("known request")[usize::from(number)].outcome = Some(end);
        self.schedule(
            at,
            Scheduled::Ended {
                id,
                attempt: number,
            },
        );
    }

    /// The outcome of an attempt; none if it gets no answer.
    fn random_outcome(
        &mut self,
        id: u32,
        number: u8,
        endpoint: EndpointIndex,
        fill: Option<Fill>,
    ) -> Option<AttemptEnd> {
        let source = fill.map(|f| f.source).filter(|source| *source != endpoint);
        let delay = (2 + self.random.below(30)) as Micros * MILLIS;
        let ended = |outcome, elapsed| Some(attempt_end(id, number, endpoint, outcome, elapsed));
        match self.health[endpoint] {
            Health::Unreachable if self.random.per_mille(700) => {
                return ended(AttemptOutcome::ConnectFailed, MILLIS);
            }
            Health::Unreachable => return None,
            Health::Hanging if self.random.per_mille(500) => return None,
            Health::Failing if self.random.per_mille(600) => {
                let outcome = if self.random.per_mille(300) {
                    AttemptOutcome::ConnectionReset
                } else {
                    AttemptOutcome::Error
                };
                return ended(outcome, delay);
            }
            Health::Rejecting if self.random.per_mille(600) => {
                return ended(AttemptOutcome::Rejected, delay)
            }
            _ => {}
        }
        let slow = if self.health[endpoint] == Health::Slow {
            12
        } else {
            1
        };
        let key = self.cache_key(id, endpoint);
        if endpoint < CACHES && self.cached.contains(&key) {
            let mut hit = attempt_end(id, number, endpoint, AttemptOutcome::Success, delay * slow);
            hit.cache_status = if self.random.per_mille(30) {
                CacheStatus::Stale
            } else {
                CacheStatus::Hit
            };
            hit.first_byte = Some(hit.elapsed / 2);
            return Some(hit);
        }
        let Some(source) = source else {
            let mut missed = attempt_end(id, number, endpoint, AttemptOutcome::Miss, 2 * MILLIS);
            missed.cache_status = if self.random.per_mille(50) {
                CacheStatus::JoinedFill
            } else {
                CacheStatus::Unknown
            };
            let own_source = endpoint >= CACHES + OTHER_ZONE_CACHES && self.random.per_mille(600);
            return if own_source {
                ended(AttemptOutcome::Success, delay)
            } else {
                Some(missed)
            };
        };
        self.random_fill_outcome(
            id,
            number,
            endpoint,
            source,
            fill.is_some_and(|f| f.cached_only),
        )
    }

    fn random_fill_outcome(
        &mut self,
        id: u32,
        number: u8,
        endpoint: EndpointIndex,
        source: EndpointIndex,
        cached_only: bool,
    ) -> Option<AttemptEnd> {
        let base = 20 + self.random.below(150) as Micros;
        let slowdown = if self.health[source] == Health::Slow {
            8
        } else {
            1
        };
        let mut elapsed = base * MILLIS * slowdown;
        let (outcome, cache_status) = match self.health[source] {
            Health::Unreachable => (AttemptOutcome::Error, CacheStatus::SourceUnreachable),
            Health::Rejecting if self.random.per_mille(600) => {
                (AttemptOutcome::Rejected, CacheStatus::SourceRejected)
            }
            Health::Failing if self.random.per_mille(600) => {
                (AttemptOutcome::Error, CacheStatus::OriginFailed)
            }
            Health::Hanging if self.random.per_mille(500) => return None,
            _ if cached_only && self.random.per_mille(400) => {
                (AttemptOutcome::Miss, CacheStatus::SourceMiss)
            }
            _ if self.random.per_mille(15) => {
                (AttemptOutcome::Rejected, CacheStatus::FillLimitReached)
            }
            _ if source == ORIGIN || self.random.per_mille(300) => {
                elapsed += self.deployment.origin_time;
                (AttemptOutcome::Success, CacheStatus::FilledFromOrigin)
            }
            _ if self.random.per_mille(50) => (AttemptOutcome::Success, CacheStatus::JoinedFill),
            _ => (AttemptOutcome::Success, CacheStatus::FilledFromParent),
        };
        let mut filled = attempt_end(id, number, endpoint, outcome, elapsed);
        filled.cache_status = cache_status;
        filled.first_byte = (outcome == AttemptOutcome::Success).then_some(elapsed / 3);
        if outcome == AttemptOutcome::Success {
            let key = self.cache_key(id, endpoint);
            self.cached.insert(key);
        }
        Some(filled)
    }

    /// The key of a cached copy at an endpoint. Object and part are derived from the request's id, not from the
    /// request.
    fn cache_key(&self, id: u32, endpoint: EndpointIndex) -> (EndpointIndex, u64, u32) {
        let object = Random::new(u64::from(id)).below(400);
        (endpoint, object, id % 3)
    }

    fn attempt_ended(&mut self, id: u32, number: u8) {
        let attempt = &mut self.attempts.get_mut(&id).expect("known request")[usize::from(number)];
        if !attempt.open {
            return;
        }
        attempt.open = false;
        let mut ended = attempt.outcome.clone().expect("the outcome was determined");
        if attempt.cancelled && ended.outcome != AttemptOutcome::Superseded {
            ended = attempt_end(
                id,
                number,
                attempt.endpoint,
                AttemptOutcome::Cancelled,
                self.now - attempt.at,
            );
        }
        let satisfied = ended.outcome == AttemptOutcome::Success;
        ended.finished = satisfied || self.answered.contains(&id);
        if satisfied {
            self.answered.insert(id);
        }
        self.handle_event(Event::AttemptEnded(ended));
    }
}

fn attempt_end(
    id: u32,
    attempt: u8,
    endpoint: EndpointIndex,
    outcome: AttemptOutcome,
    elapsed: Micros,
) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        elapsed,
        finished: false,
        cache_status: CacheStatus::Unknown,
        first_byte: None,
        size_kb: 0.0,
        load_report: Vec::new(),
    }
}

fn entry(endpoint: EndpointIndex) -> EndpointEntry {
    let (endpoint_kind, zone) = match endpoint {
        0..CACHES => (0, 0),
        CACHES..10 => (0, 1),
        ORIGIN => (2, 0),
        _ => (1, 0),
    };
    EndpointEntry {
        endpoint,
        stable_id: Random::new(endpoint as u64 + 77).next_u64() >> 16,
        endpoint_kind,
        started_at: 0,
        address: 0,
        zone,
        cell: 0,
        weight: 1.0 + (endpoint % 3) as f64,
        status: EndpointStatus::Ready,
    }
}
