//! The router: decides in which order the rules are evaluated. It takes events and returns actions, does no I/O and
//! has no clock of its own.
//!
//! A host calls [`Router::new`] once and then [`Router::handle_event`] for each event, in order, with the time of the
//! host's clock. Actions are appended to `actions` in the order in which the host has to carry them out. The router
//! reads only the events and the settings, so the same events produce the same actions.
//!
//! How a request is processed:
//!
//! 1. The request arrives ([`Event::RequestArrived`]): `tail_retention` decides whether its part is cached, and the
//!    `retry` budget grows.
//! 2. `planning` chooses the endpoint, source and fill policy of an attempt.
//! 3. `dispatch` reserves capacity at both and starts the attempt, or has it planned again.
//! 4. The attempt ends ([`Event::AttemptEnded`]): `outcome` attributes and records its outcome. The request is
//!    complete, is retried, or waits.
//! 5. `response` builds the final answer of a request that cannot continue.

use crate::effect_history::EffectHistory;
use crate::endpoint::EndpointTable;
use crate::fill_policy::FillLimits;
use crate::freshness::Freshness;
use crate::interface::{Action, EndpointIndex, EndpointUpdate, Event, Micros, Request, Settings};
use crate::pending_request::PendingRequest;
use crate::random::Random;
use crate::request_class::RequestClass;
use crate::response::final_answer;
use crate::retry::RetryBudget;
use crate::settings::RoutingSettings;
use crate::tail_retention::TailRetention;
use crate::time::SECOND;
use std::collections::BTreeMap;

/// Time until discovery is polled again after it was unavailable.
const DISCOVERY_RETRY: Micros = SECOND;
/// Weight of an estimate from other proxies. It replaces the local value, since this proxy has no samples yet.
const SHARED_ESTIMATE_WEIGHT: f64 = 1.0;
/// Id of the timer that polls discovery. The timer of a request has the request's id.
const DISCOVERY_TIMER: u32 = 0;

/// The state machine that makes the routing decisions.
pub struct Router {
    pub(crate) settings: RoutingSettings,
    pub(crate) random: Random,
    pub(crate) endpoints: EndpointTable,
    /// Request classes by index. The last one is for requests whose class is not in the settings; it has the default
    /// settings, which assume no guarantee such as idempotency.
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) requests: BTreeMap<u32, PendingRequest>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) effects: EffectHistory,
    pub(crate) tail_retention: TailRetention,
    pub(crate) freshness: Freshness,
    pub(crate) fill_limits: FillLimits,
}

impl Router {
    /// Creates a router. The same seed, settings and events produce the same actions.
    pub fn new(seed: u64, settings: &Settings, actions: &mut Vec<Action>) -> Router {
        let mut settings = RoutingSettings::read(settings);
        if settings.polls_discovery {
            actions.push(Action::PollDiscovery);
        }
        let classes = std::mem::take(&mut settings.classes);
        Router {
            random: Random::new(seed),
            endpoints: EndpointTable::default(),
            classes: classes.into_iter().map(RequestClass::new).collect(),
            requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            effects: EffectHistory::new(),
            tail_retention: TailRetention::new(),
            freshness: Freshness::new(settings.invalidation_settle_time),
            fill_limits: FillLimits::new(settings.proxies),
            settings,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`, in order.
    pub fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::RequestArrived(request) => self.request_arrived(request, now, actions),
            Event::AttemptConnected { id, attempt } => {
                self.attempt_connected(id, attempt, now, actions);
            }
            Event::ResponseStarted { id } => self.response_started(id),
            Event::AttemptEnded(end) => self.attempt_ended(end, now, actions),
            Event::ClientHalfClosed { id } => self.client_half_closed(id, now, actions),
            Event::ClientLeft { id } => self.close_request(id, actions),
            Event::TimerFired { timer } => self.timer_fired(timer, now, actions),
            Event::EndpointsUpdated(update) => self.endpoints_updated(update, now, actions),
            Event::Invalidated { object, group, age } => {
                self.freshness.invalidate(now, object, group, age);
            }
            Event::DiscoveryLag { since } => self.freshness.set_discovery_lag(since),
            Event::InvalidationsMissed => self.freshness.record_missed(now),
            Event::FreshnessBound {
                not_before,
                max_age,
            } => {
                self.freshness.set_copy_bound(now, not_before, max_age);
            }
            Event::SharedLength {
                object,
                highest_part,
            } => {
                self.tail_retention.record_length(now, object, highest_part);
            }
            Event::SharedEstimate {
                endpoint,
                failure_rate,
                first_byte,
            } => {
                self.adopt_shared_estimate(endpoint, failure_rate, first_byte, now);
            }
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn request_arrived(&mut self, mut request: Request, now: Micros, actions: &mut Vec<Action>) {
        request.class = request.class.min(self.classes.len() - 1);
        let retention = self.tail_retention.classify(now, &request, &self.settings);
        if request.size_kb > 0.0 {
            let class = &mut self.classes[request.class];
            let work = class.expected_work(&request, &self.settings);
            class.work.record_size(work);
        }
        self.requests
            .insert(request.id, PendingRequest::new(request, retention, now));
        self.retry_budget.deposit();
        self.start_next_attempt(request.id, now, actions);
    }

    /// Plans and starts the next attempt of a request, or sends its final answer.
    fn start_next_attempt(&mut self, id: u32, now: Micros, actions: &mut Vec<Action>) {
        if let Some(planned) = self.plan_or_answer(id, now, actions) {
            self.dispatch(planned, now, actions);
        }
    }

    /// Writes or cancels an attempt whose connection is now established. In the meantime an endpoint may have started
    /// draining or have moved to another address, an object may have been invalidated, the idempotency window may have ended, or the client may have
    /// closed its side. The attempt is therefore checked as if it were planned now, and cancelled if it would break a
    /// rule. A cancelled attempt never ran, but it counts towards the maximum number of attempts.
    fn attempt_connected(&mut self, id: u32, number: u8, now: Micros, actions: &mut Vec<Action>) {
        let may_write = self.may_write(id, usize::from(number), now);
        let pending = self.requests.get_mut(&id);
        let attempt = pending.and_then(|pending| pending.attempts.get_mut(usize::from(number)));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.withdrawn = !may_write;
        actions.push(if may_write {
            Action::WriteAttempt {
                id,
                attempt: number,
            }
        } else {
            Action::CancelAttempt {
                id,
                attempt: number,
            }
        });
    }

    fn may_write(&self, id: u32, number: usize, now: Micros) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let Some(attempt) = pending.attempts.get(number) else {
            return false;
        };
        let accepts = |endpoint: EndpointIndex| self.endpoints[endpoint].accepts_requests;
        let idempotency = self.classes[pending.request.class].settings.idempotency;
        !(pending.answered || pending.half_closed)
            && accepts(attempt.endpoint)
            && self.endpoints[attempt.endpoint].address == attempt.address
            && attempt.source.is_none_or(accepts)
            && self.freshness.latest_bound(now, &pending.request) <= attempt.known_bound
            && idempotency.allows_repeat(
                &pending.attempts[..number],
                self.first_run(pending, now),
                now,
            )
    }

    /// When the first attempt with the effect of a request was started, if another request may have caused it.
    pub(crate) fn first_run(&self, pending: &PendingRequest, now: Micros) -> Option<Micros> {
        let own_in_flight = u32::from(pending.has_attempt_in_flight());
        let effect = pending.request.effect;
        self.effects.first_run(now, effect, own_in_flight)
    }

    fn response_started(&mut self, id: u32) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.response_started = true;
        }
    }

    /// The client has closed its sending side. Attempts in flight may still be answered, but no new attempt starts.
    fn client_half_closed(&mut self, id: u32, now: Micros, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.half_closed = true;
        if !pending.has_attempt_in_flight() {
            self.reject_or_fail(id, now, actions);
        }
    }

    /// Starts the next attempt of a request whose awaited fill should be complete by now. Any other timer polls
    /// discovery.
    fn timer_fired(&mut self, timer: u32, now: Micros, actions: &mut Vec<Action>) {
        let pending = self.requests.get_mut(&timer);
        if pending.is_some_and(|pending| std::mem::take(&mut pending.waits_for_fill)) {
            self.start_next_attempt(timer, now, actions);
        } else {
            actions.push(Action::PollDiscovery);
        }
    }

    fn endpoints_updated(
        &mut self,
        update: EndpointUpdate,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        if update == EndpointUpdate::Unavailable && self.settings.polls_discovery {
            let at = now + DISCOVERY_RETRY;
            actions.push(Action::SetTimer {
                at,
                timer: DISCOVERY_TIMER,
            });
        }
        self.endpoints.update(update, &self.settings, now, actions);
    }

    /// Adopts the estimates of other proxies for an endpoint that this proxy has not sent any request to.
    fn adopt_shared_estimate(
        &mut self,
        endpoint: EndpointIndex,
        failure_rate: f64,
        first_byte: Option<Micros>,
        now: Micros,
    ) {
        let endpoint = self.endpoints.get_or_default(endpoint);
        if !endpoint.health.is_untried() {
            return;
        }
        endpoint.health.assume_failure_rate(failure_rate);
        if let Some(time) = first_byte {
            endpoint
                .first_byte
                .record(now, time as f64, SHARED_ESTIMATE_WEIGHT);
        }
    }

    /// Sends the final answer of a request that cannot continue.
    pub(crate) fn reject_or_fail(&mut self, id: u32, now: Micros, actions: &mut Vec<Action>) {
        let pending = self.requests.get(&id);
        let Some(pending) = pending.filter(|pending| !pending.answered) else {
            return;
        };
        let request = pending.request;
        let idempotency = self.classes[request.class].settings.idempotency;
        let may_have_run = pending.may_have_run() || self.first_run(pending, now).is_some();
        let limits = &self.settings.limits;
        actions.push(final_answer(
            request.id,
            may_have_run && !idempotency.is_safe_to_repeat(),
            limits,
            &mut self.random,
        ));
        self.record_final_answer(&request, false, now);
        self.close_request(id, actions);
    }

    /// Records whether a request was served when it gets its final answer.
    pub(crate) fn record_final_answer(&mut self, request: &Request, served: bool, now: Micros) {
        let class = &mut self.classes[request.class];
        let work = class.expected_work(request, &self.settings);
        let group = class.size_group(work);
        class.fairness.record(now, group, served);
    }

    /// Closes a request: cancels its attempts in flight, and removes its state once no attempt is in flight.
    pub(crate) fn close_request(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.answered = true;
        if self.settings.limits.may_cancel && !pending.response_started {
            let attempts = (0u8..).zip(&pending.attempts);
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::CancelAttempt { id, attempt }));
        }
        if !pending.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }
}
