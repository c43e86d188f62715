//! Attempts that have ended: what the router is told of each, and the response that a client gets of the first success.

use super::response::Response;
use super::Proxy;
use crate::http;
use crate::net::caches::{ending, report, Ended};
use crate::net::Fault;
use meadowrill_admission::request::Completion;
use meadowrill_routing::host::cache_status;
use meadowrill_routing::interface::{AttemptEnd, AttemptOutcome, CacheStatus, Event, Micros};
use slog::debug;

/// Status of a response that says that the client's own copy is current.
const NOT_MODIFIED: u16 = 304;

impl Proxy {
    /// Handles attempts that have ended, and those whose connection has come up.
    pub(super) fn collect_attempt_events(&mut self, now: Micros) {
        let mut ended = std::mem::take(&mut self.upstream.ended);
        self.upstream.caches.ended(&mut ended);
        for attempt in ended.drain(..) {
            self.attempt_ended(&attempt, now);
            // Only now may the body's place be used again.
            self.upstream.caches.release(attempt.conn, now, &self.poll);
        }
        self.upstream.ended = ended;
        // Decided upon again now that they can be written: the list, purges, a limit or the client may have moved on.
        let mut connected = std::mem::take(&mut self.upstream.connected);
        self.upstream.caches.connected(&mut connected);
        for attempt in connected.drain(..) {
            self.routing.queue(Event::AttemptConnected {
                id: attempt.lookup,
                attempt: attempt.send,
            });
        }
        self.upstream.connected = connected;
    }

    /// An attempt has ended: its outcome is recorded; the first success of a request is its response.
    fn attempt_ended(&mut self, ended: &Ended, now: Micros) {
        let id = ended.out.lookup;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(usize::from(ended.out.send)) {
            *attempt = None;
        }
        let outcome = match &ended.result {
            Ok(head) => ending(head, request.message.seen.as_deref()),
            Err(fault) => fault.ending(),
        };
        match &ended.result {
            Ok(head) if outcome != AttemptOutcome::Success => {
                self.log_unsuccessful(ended, head);
            }
            Ok(_) => {}
            Err(fault) => self.log_failed(ended, fault, now),
        }
        let mut end = self.describe_end(ended, outcome, now);
        if let (Ok(head), AttemptOutcome::Success) = (&ended.result, outcome) {
            self.respond_with(ended, head, &end, now);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.ended_attempt_may_have_run |= outcome.may_have_run();
        }
        if self.fleet.shares_state() {
            self.record_attempt_end(&end);
        }
        if ended.taken(outcome) {
            self.record_service(now);
        }
        end.finished = self
            .requests
            .get(id)
            .is_none_or(|request| !request.awaits_response);
        self.routing.queue(Event::AttemptEnded(end));
        self.requests.note_maybe_finished(id);
    }

    /// What the router is told of the end of an attempt; not yet whether its request is finished.
    fn describe_end(&self, ended: &Ended, outcome: AttemptOutcome, now: Micros) -> AttemptEnd {
        let mut end = AttemptEnd {
            id: ended.out.lookup,
            attempt: ended.out.send,
            endpoint: ended.peer,
            outcome,
            elapsed: now - ended.out.at,
            finished: false,
            cache_status: CacheStatus::Unknown,
            first_byte: None,
            size_kb: 0.0,
            load_report: Vec::new(),
        };
        if let Ok(head) = &ended.result {
            end.cache_status = cache_status(head.note);
            end.first_byte = head.source_ms.map(|ms| (ms * 1e3) as Micros);
            end.size_kb = head.body as f64 * self.config.kilobytes_per_byte;
            end.load_report = report(&head.load, &self.config.load_report_fields);
        }
        end
    }

    /// A success is the response of its request, if the client still waits; the ledger is told the result.
    fn respond_with(&mut self, ended: &Ended, head: &http::Answer, end: &AttemptEnd, now: Micros) {
        let id = ended.out.lookup;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // An endpoint that does not tell a cache status counts as one that had it cached.
        let hit = matches!(end.cache_status, CacheStatus::Hit | CacheStatus::Unknown);
        request.completion = Completion {
            satisfied: true,
            hit,
            size_kb: end.size_kb,
            abandoned: false,
        };
        let current = head.status == NOT_MODIFIED;
        if request.awaits_response && request.has_claim() {
            let body = self.upstream.caches.body(ended.conn, head).to_vec();
            self.end_claim(id, Some((current, body)), now);
        }
        if let Some(recipient) = self.end_wait(id, now) {
            let body = self.upstream.caches.body(ended.conn, head);
            let response = Response::Success { current, body };
            recipient.send(&response, &mut self.downstream.clients, now, &self.poll);
        }
    }

    fn log_unsuccessful(&self, ended: &Ended, head: &http::Answer) {
        let Some(request) = self.requests.get(ended.out.lookup) else {
            return;
        };
        debug!(self.log, "attempt unsuccessful"; "request" => request.message.txn.as_str(),
            "endpoint" => self.endpoints.id(ended.peer), "class" => request.message.verb.as_str(),
            "status" => head.status, "cache_status" => head.note);
    }

    fn log_failed(&self, ended: &Ended, fault: &Fault, now: Micros) {
        let Some(request) = self.requests.get(ended.out.lookup) else {
            return;
        };
        debug!(self.log, "attempt failed"; "request" => request.message.txn.as_str(),
            "endpoint" => self.endpoints.id(ended.peer), "elapsed_us" => now - ended.out.at, "reason" => %fault);
    }
}
