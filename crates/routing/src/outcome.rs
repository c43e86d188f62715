//! Processes the end of an attempt: attributes the fault, updates estimates and limits, and decides how the request
//! continues.

use crate::deadline;
use crate::ended_attempt::EndedAttempt;
use crate::endpoint::Tier;
use crate::estimate::SAMPLE_WEIGHT;
use crate::fault_attribution::Fault;
use crate::interface::{
    Action, AttemptEnd, AttemptOutcome, CacheStatus, EndpointIndex, LogEvent, Micros, Request,
};
use crate::pending_request::{Attempt, PlannedAttempt};
use crate::retry::{is_retry_futile, next_fill_poll};
use crate::router::Router;
use crate::source_selection::SOURCE_SAMPLE_WEIGHT;
use crate::time::SECOND;

/// Time that a hit takes in addition to its transfer.
const HIT_OVERHEAD: Micros = SECOND / 50;
/// Maximum slowdown that a single hit contributes to a cache's estimate.
const MAX_SLOWDOWN_SAMPLE: f64 = 20.0;

impl Attempt {
    /// Records which endpoints must not be used again for the request. `blames_source`: the fault is ambiguous and is
    /// attributed to the source.
    fn record_end(&mut self, ended: &EndedAttempt, stalled: bool, blames_source: bool) {
        self.inconclusive = stalled || ended.was_withdrawn();
        if ended.is_expected_miss() {
            return;
        }
        let status = ended.end.cache_status;
        let excused = ended.succeeded() || status.is_source_failure() || blames_source;
        self.endpoint_excluded = !excused && !self.inconclusive;
        self.source_excluded = ended.fault.source || blames_source || ended.missed();
    }
}

impl Router {
    /// Handles the end of an attempt: attributes and records its outcome, and continues its request.
    ///
    /// The next attempt is planned before the outcome is recorded at the endpoints, and dispatched afterwards.
    /// Planning finds the failures of this request in the request's own attempts.
    pub(crate) fn attempt_ended(
        &mut self,
        end: AttemptEnd,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut ended) = self.finish_attempt(end, now) else {
            return;
        };
        self.fill_limits
            .end(now, ended.attempt.fill_share, ended.attempt.fetch_share);
        self.record_work(&mut ended);
        self.record_fill(&ended, now, actions);
        self.fill_limits.record_miss_rate(now, &ended);
        let next = self.next_step(&ended, now, actions);
        self.record_at_endpoint(&ended, now, actions);
        self.record_at_source(&ended, now, actions);
        if let Some(planned) = next {
            self.dispatch(planned, now, actions);
        }
    }

    /// Marks the attempt as ended and attributes its outcome. Returns none if the attempt is not known to be in
    /// flight.
    fn finish_attempt(&mut self, end: AttemptEnd, now: Micros) -> Option<EndedAttempt> {
        let endpoint = &self.endpoints[end.endpoint];
        let stalled = end.outcome == AttemptOutcome::TimedOut
            && end.attempt == 0
            && endpoint.is_stalling(now);
        let pending = self.requests.get_mut(&end.id)?;
        let attempt = pending.attempts.get_mut(usize::from(end.attempt));
        let attempt = attempt.filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = end.outcome.may_have_run();
        let complete_cache_status = self.settings.complete_cache_status;
        let has_source = attempt.source.is_some();
        let class = &self.classes[pending.request.class];
        let ended = EndedAttempt {
            attempt: *attempt,
            request: pending.request,
            fault: Fault::attribute(
                end.outcome,
                end.cache_status,
                has_source,
                complete_cache_status,
            ),
            request_answered: pending.answered,
            uncacheable: class.settings.uncacheable,
            complete_cache_status,
            latency_objective: class.settings.latency_objective,
            expected_work: class.expected_work(&pending.request, &self.settings),
            slowdown: endpoint.slowdown(now).max(1.0),
            work_done: 0.0,
            end,
        };
        // If the fault is ambiguous, the one with the higher suspected failure rate is avoided by the next attempt,
        // and the other one is tried again.
        let suspected =
            |index: EndpointIndex| self.endpoints[index].health.suspected_failure_rate(now);
        let source_is_worse = attempt
            .source
            .is_some_and(|source| suspected(source) > suspected(ended.end.endpoint));
        attempt.record_end(&ended, stalled, ended.fault.ambiguous && source_is_worse);
        self.record_link_load(&ended.end, now);
        self.effects
            .record_end(now, ended.request.effect, ended.end.outcome.may_have_run());
        Some(ended)
    }

    fn record_link_load(&mut self, end: &AttemptEnd, now: Micros) {
        if self.endpoints[end.endpoint].tier != Tier::Cache {
            return;
        }
        let field = self.settings.link_load_field;
        if let Some(load) = field.and_then(|field| end.load_report.get(field)) {
            self.fill_limits.record_link_load(now, *load);
        }
    }

    /// Updates the work estimate of the class, from the size in the answer if it has one, otherwise from the time of
    /// a hit.
    fn record_work(&mut self, ended: &mut EndedAttempt) {
        let class = &mut self.classes[ended.request.class];
        let size_known = ended.request.size_kb > 0.0;
        if ended.end.size_kb > 0.0 && !size_known && !ended.uncacheable {
            let sized = Request {
                size_kb: ended.end.size_kb,
                ..ended.request
            };
            let work = class.expected_work(&sized, &self.settings);
            class.work.record_size(work);
        } else if ended.succeeded() && !size_known {
            let is_own_time =
                ended.is_known_hit() || !ended.complete_cache_status || ended.uncacheable;
            if is_own_time {
                class.work.record_time(ended.end.elapsed as f64);
            }
        }
        if ended.succeeded() {
            ended.work_done = class.work.for_slow_start;
        }
    }

    fn record_fill(&mut self, ended: &EndedAttempt, now: Micros, actions: &mut Vec<Action>) {
        // The slowdown of a cache on hits does not indicate how loaded fills are.
        let time = self.relative_time(ended, ended.slowdown);
        if let Some(time) = time.filter(|_| ended.measures_fill_load()) {
            self.fill_limits.record_fill(now, ended, time, actions);
        }
    }

    fn relative_time(&self, ended: &EndedAttempt, slowdown: f64) -> Option<f64> {
        let AttemptEnd {
            outcome, elapsed, ..
        } = ended.end;
        let class = &self.classes[ended.request.class].settings;
        class.relative_time(outcome, elapsed, ended.expected_work, slowdown)
    }

    /// Decides how the request continues: it is complete, waits for a fill, is retried, or gets its final answer.
    fn next_step(
        &mut self,
        ended: &EndedAttempt,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Option<PlannedAttempt> {
        let id = ended.request.id;
        if ended.succeeded() && !ended.request_answered {
            self.record_final_answer(&ended.request, true, now);
        }
        if ended.end.finished || ended.request_answered {
            self.close_request(id, actions);
            return None;
        }
        if ended.found_fill_in_progress() && self.wait_for_fill(ended, now, actions) {
            return None;
        }
        if ended.is_expected_miss() || ended.was_withdrawn() {
            return self.plan_or_answer(id, now, actions);
        }
        let pending = self.requests.get(&id)?;
        if pending.has_attempt_in_flight() {
            return None;
        }
        self.retry(id, now, actions)
    }

    /// Waits until the fill in progress at the cache should be complete. Returns false if that would be too late.
    fn wait_for_fill(
        &mut self,
        ended: &EndedAttempt,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        let id = ended.request.id;
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        let class = &self.classes[ended.request.class];
        let poll_at = next_fill_poll(pending, class, ended.expected_work, &self.settings, now);
        let Some(at) = poll_at else {
            return false;
        };
        pending.wait_for_fill();
        actions.push(Action::SetTimer { at, timer: id });
        true
    }

    /// Retries after a failure, at the expense of the retry budget.
    fn retry(&mut self, id: u32, now: Micros, actions: &mut Vec<Action>) -> Option<PlannedAttempt> {
        let class = &self.classes[self.requests.get(&id)?.request.class];
        if is_retry_futile(class, &self.endpoints, now) || !self.retry_budget.try_withdraw() {
            self.reject_or_fail(id, now, actions);
            return None;
        }
        self.plan_or_answer(id, now, actions)
    }

    /// Records an outcome at the endpoint of the attempt.
    fn record_at_endpoint(&mut self, ended: &EndedAttempt, now: Micros, actions: &mut Vec<Action>) {
        let measures_load = ended.measures_endpoint_load();
        let relative_time = self.relative_time(ended, 1.0).filter(|_| measures_load);
        let endpoint = &mut self.endpoints[ended.end.endpoint];
        let stable_id = endpoint.stable_id;
        if ended.was_answered() {
            endpoint.record_answer(now);
        }
        endpoint.limit.end(now, 1.0);
        if relative_time.is_some_and(|time| endpoint.limit.record_outcome(now, time, 1.0)) {
            let limit = endpoint.limit.limit();
            actions.push(Action::Log(LogEvent::EndpointLimitReduced {
                stable_id,
                limit,
            }));
        }
        endpoint
            .health
            .record(now, ended.fault.endpoint_attribution(ended.uncacheable));
        let connect_failed = ended.end.outcome == AttemptOutcome::ConnectFailed;
        if connect_failed && endpoint.record_connect_failure(now) {
            actions.push(Action::Log(LogEvent::EndpointUnreachable { stable_id }));
        }
        if measures_load {
            let expected_time = ended.expected_work + HIT_OVERHEAD as f64;
            let slowdown = (ended.end.elapsed as f64 / expected_time).min(MAX_SLOWDOWN_SAMPLE);
            endpoint.slowdown.record(now, slowdown, SAMPLE_WEIGHT);
        }
        endpoint.work_rate.record(now, ended.work_done);
    }

    /// Records an outcome at the source of the attempt, if it has one.
    fn record_at_source(&mut self, ended: &EndedAttempt, now: Micros, actions: &mut Vec<Action>) {
        let Some(source) = ended.attempt.source else {
            return;
        };
        if self.endpoints[source].tier == Tier::Parent {
            self.record_parent_fill(source, ended, now, actions);
        }
        // A hit gives no information about the source.
        let known_hit = ended.complete_cache_status && ended.succeeded() && !ended.was_filled();
        if !known_hit {
            self.record_source_times(source, ended, now);
        }
    }

    /// Adjusts the limit of a parent by the time of a fill, if that time reflects the parent's own link. The time of
    /// a fill that the parent had to fetch from the origin does not.
    fn record_parent_fill(
        &mut self,
        source: EndpointIndex,
        ended: &EndedAttempt,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let status = ended.end.cache_status;
        let rejected =
            ended.end.outcome == AttemptOutcome::TimedOut || status == CacheStatus::SourceRejected;
        let own_link = status == CacheStatus::FilledFromParent && !ended.uncacheable;
        let relative_time = if rejected {
            Some(f64::INFINITY)
        } else {
            own_link.then(|| self.parent_time(ended))
        };
        let share = ended.attempt.fill_share;
        let relative_time = relative_time.filter(|_| share > 0.0);
        let parent = &mut self.endpoints[source];
        parent.limit.end(now, share);
        if relative_time.is_some_and(|time| parent.limit.record_outcome(now, time, share)) {
            let (stable_id, limit) = (parent.stable_id, parent.limit.limit());
            actions.push(Action::Log(LogEvent::ParentLimitReduced {
                stable_id,
                limit,
            }));
        }
    }

    /// Time of a fill relative to the latency objective, corrected for the slowdown of its cache.
    fn parent_time(&self, ended: &EndedAttempt) -> f64 {
        let class = &self.classes[ended.request.class].settings;
        let objective = class
            .objective(ended.expected_work)
            .max(deadline::MINIMUM_WORK);
        ended.end.elapsed as f64 / objective / ended.slowdown
    }

    fn record_source_times(&mut self, source: EndpointIndex, ended: &EndedAttempt, now: Micros) {
        let timed_out = ended.end.outcome == AttemptOutcome::TimedOut;
        // Sizes vary far more than the speed of parents, so the expected transfer time of the object is subtracted.
        let elapsed = ended.end.elapsed.max(now - ended.attempt.started_at);
        let latency = (elapsed - ended.expected_work as Micros).max(0);
        let first_byte = if timed_out {
            Some(latency)
        } else {
            ended.end.first_byte
        };
        // A fast failure must not count as low latency.
        let latency = (ended.succeeded() || timed_out).then_some(latency);
        let work = if !ended.complete_cache_status || ended.was_filled() {
            ended.work_done
        } else {
            0.0
        };
        let source = &mut self.endpoints[source];
        source.health.record(now, ended.fault.source_attribution());
        if let Some(time) = first_byte {
            source
                .first_byte
                .record(now, time as f64, SOURCE_SAMPLE_WEIGHT);
        }
        if let Some(time) = latency {
            source
                .latency
                .record(now, time as f64, SOURCE_SAMPLE_WEIGHT);
        }
        source.work_rate.record(now, work);
    }
}
