//! Handles attempts that have ended: each outcome is reported to the router, and the first success is sent to the
//! client as the response.

use super::response::Response;
use super::Proxy;
use crate::http;
use crate::net::endpoints::{load_report, response_outcome, EndedAttempt};
use crate::net::AttemptError;
use meadowrill_admission::request::Completion;
use meadowrill_routing::host::cache_status;
use meadowrill_routing::interface::{AttemptEnd, AttemptOutcome, CacheStatus, Event, Micros};
use slog::debug;

/// Status of a response that confirms that the client's own copy is current.
const NOT_MODIFIED: u16 = 304;

impl Proxy {
    /// Handles attempts that have ended, and attempts whose connection has been established.
    pub(super) fn collect_attempt_events(&mut self, now: Micros) {
        let mut ended = std::mem::take(&mut self.upstream.ended);
        self.upstream.connections.take_ended(&mut ended);
        for attempt in ended.drain(..) {
            self.handle_attempt_end(&attempt, now);
            // The buffer of the body may be reused only from now on.
            self.upstream
                .connections
                .release(attempt.connection, now, &self.poll);
        }
        self.upstream.ended = ended;
        // The router has to confirm attempts that can now be written: the endpoint list, purges, a limit or the client
        // may have changed since its decision.
        let mut connected = std::mem::take(&mut self.upstream.connected);
        self.upstream.connections.take_connected(&mut connected);
        for attempt in connected.drain(..) {
            self.routing.queue(Event::AttemptConnected {
                id: attempt.request,
                attempt: attempt.attempt,
            });
        }
        self.upstream.connected = connected;
    }

    /// Records the outcome of an attempt that has ended. The first success of a request becomes its response.
    fn handle_attempt_end(&mut self, ended: &EndedAttempt, now: Micros) {
        let id = ended.attempt.request;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(usize::from(ended.attempt.attempt)) {
            *attempt = None;
        }
        let outcome = match &ended.result {
            Ok(head) => response_outcome(head, request.message.known_version.as_deref()),
            Err(fault) => fault.outcome(),
        };
        match &ended.result {
            Ok(head) if outcome != AttemptOutcome::Success => {
                self.log_unsuccessful(ended, head);
            }
            Ok(_) => {}
            Err(fault) => self.log_failed(ended, fault, now),
        }
        let mut end = self.describe_attempt_end(ended, outcome, now);
        if let (Ok(head), AttemptOutcome::Success) = (&ended.result, outcome) {
            self.respond_with_success(ended, head, &end, now);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.ended_attempt_may_have_run |= outcome.may_have_run();
        }
        if self.fleet.shares_state() {
            self.record_attempt_end(&end);
        }
        if ended.was_accepted(outcome) {
            self.record_service(now);
        }
        end.finished = self
            .requests
            .get(id)
            .is_none_or(|request| !request.awaits_response);
        self.routing.queue(Event::AttemptEnded(end));
        self.requests.mark_maybe_finished(id);
    }

    /// Describes the end of an attempt for the router. Whether its request is finished is set later.
    fn describe_attempt_end(
        &self,
        ended: &EndedAttempt,
        outcome: AttemptOutcome,
        now: Micros,
    ) -> AttemptEnd {
        let mut end = AttemptEnd {
            id: ended.attempt.request,
            attempt: ended.attempt.attempt,
            endpoint: ended.endpoint,
            outcome,
            elapsed: now - ended.attempt.started_at,
            finished: false,
            cache_status: CacheStatus::Unknown,
            first_byte: None,
            size_kb: 0.0,
            load_report: Vec::new(),
        };
        if let Ok(head) = &ended.result {
            end.cache_status = cache_status(head.cache_status);
            end.first_byte = head.first_byte_ms.map(|ms| (ms * 1e3) as Micros);
            end.size_kb = head.body_length as f64 * self.config.kilobytes_per_byte;
            end.load_report = load_report(&head.load_report, &self.config.load_report_fields);
        }
        end
    }

    /// Sends a success as the response to its request, if the client still waits, and passes the result to the ledger.
    fn respond_with_success(
        &mut self,
        ended: &EndedAttempt,
        head: &http::Response,
        end: &AttemptEnd,
        now: Micros,
    ) {
        let id = ended.attempt.request;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // An endpoint that reports no cache status is assumed to have had the part cached.
        let hit = matches!(end.cache_status, CacheStatus::Hit | CacheStatus::Unknown);
        request.completion = Completion {
            succeeded: true,
            cache_hit: hit,
            size_kb: end.size_kb,
            abandoned: false,
        };
        let current = head.status == NOT_MODIFIED;
        if request.awaits_response && request.has_claim() {
            let body = self
                .upstream
                .connections
                .response_body(ended.connection, head)
                .to_vec();
            self.end_claim(id, Some((current, body)), now);
        }
        if let Some(recipient) = self.complete_request(id, now) {
            let body = self
                .upstream
                .connections
                .response_body(ended.connection, head);
            let response = Response::Success { current, body };
            recipient.send(&response, &mut self.downstream.clients, now, &self.poll);
        }
    }

    fn log_unsuccessful(&self, ended: &EndedAttempt, head: &http::Response) {
        let Some(request) = self.requests.get(ended.attempt.request) else {
            return;
        };
        debug!(self.log, "attempt unsuccessful"; "request" => request.message.request_id.as_str(),
            "endpoint_id" => self.endpoints.id(ended.endpoint), "class" => request.message.class.as_str(),
            "status" => head.status, "cache_status" => head.cache_status);
    }

    fn log_failed(&self, ended: &EndedAttempt, error: &AttemptError, now: Micros) {
        let Some(request) = self.requests.get(ended.attempt.request) else {
            return;
        };
        debug!(self.log, "attempt failed"; "request" => request.message.request_id.as_str(),
            "endpoint_id" => self.endpoints.id(ended.endpoint), "elapsed_us" => now - ended.attempt.started_at, "at_fault" => %error.source(), "retry_safe" => error.is_retry_safe(),
            "reason" => %error);
    }
}
