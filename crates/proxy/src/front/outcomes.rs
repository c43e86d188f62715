//! Sends that have ended: what the module hears of them, and the answer that a client gets of the first that satisfies.

use super::lookups::Effect;
use super::Front;
use crate::frame;
use crate::net::endpoints::{load_report, response_outcome, EndedAttempt};
use meadowrill_admission::request::Completion;
use meadowrill_routing::host::cache_status;
use meadowrill_routing::interface::*;
use slog::debug;

impl Front {
    /// Sends that have ended become outcomes; the first that satisfies is the client's answer.
    pub(super) fn ends(&mut self, now: Micros) {
        let mut ended = std::mem::take(&mut self.spare.ended);
        self.caches.take_ended(&mut ended);
        for ended in ended.drain(..) {
            self.end(&ended, now);
            // Only now may the body's place be used again.
            self.caches.release(ended.connection, now, &self.poll);
        }
        self.spare.ended = ended;
        // Judged again now that they can be written: the list, purges, a window or the client may have moved on.
        let mut connected = std::mem::take(&mut self.spare.connected);
        self.caches.take_connected(&mut connected);
        for out in connected.drain(..) {
            self.events.push(Event::AttemptConnected {
                id: out.request,
                attempt: out.attempt,
            });
        }
        self.spare.connected = connected;
    }

    pub(super) fn end(&mut self, ended: &EndedAttempt, now: Micros) {
        let EndedAttempt {
            attempt: out,
            endpoint: peer,
            result,
            connection: conn,
        } = ended;
        let Some(taken) = self.lookups.get_mut(&out.request) else {
            return;
        };
        if let Some(send) = taken.sends.get_mut(usize::from(out.attempt)) {
            *send = None;
        }
        let ending = match result {
            Ok(head) => response_outcome(head, taken.request.known_version.as_deref()),
            Err(fault) => fault.outcome(),
        };
        let machine = self.machines.name(*peer);
        match result {
            Ok(head) if ending != AttemptOutcome::Success => {
                debug!(self.log, "send unsatisfied"; "lookup" => taken.request.request_id.as_str(), "at" => machine,
                        "kind" => taken.request.class.as_str(), "status" => head.status, "note" => head.cache_status);
            }
            Ok(_) => {}
            Err(fault) => {
                debug!(self.log, "send failed"; "lookup" => taken.request.request_id.as_str(), "at" => machine,
                        "took" => now - out.started_at, "source" => %fault.source(),
                        "retry_safe" => fault.is_retry_safe(), "why" => %fault);
            }
        }
        let mut outcome = AttemptEnd {
            id: out.request,
            attempt: out.attempt,
            endpoint: *peer,
            outcome: ending,
            elapsed: now - out.started_at,
            finished: false,
            cache_status: CacheStatus::Unknown,
            first_byte: None,
            size_kb: 0.0,
            load_report: Vec::new(),
        };
        if let Ok(head) = result {
            outcome.cache_status = cache_status(head.cache_status);
            outcome.first_byte = head.first_byte_ms.map(|ms| (ms * 1e3) as Micros);
            outcome.size_kb = head.body_length as f64 * self.config.kb_per_byte;
            outcome.load_report = load_report(&head.load_report, &self.config.reports);
            if ending == AttemptOutcome::Success {
                // What carries no note came from a machine that does not tell; it counts as one that had it.
                let hit = matches!(
                    outcome.cache_status,
                    CacheStatus::Hit | CacheStatus::Unknown
                );
                taken.done = Completion {
                    succeeded: true,
                    cache_hit: hit,
                    size_kb: outcome.size_kb,
                    abandoned: false,
                };
                let current = head.status == 304;
                let fields: &[(&str, &str)] = if current { &[frame::NOT_MODIFIED] } else { &[] };
                if self
                    .lookups
                    .get(&out.request)
                    .is_some_and(|t| t.owed && t.effect != Effect::None)
                {
                    let body = self.caches.response_body(*conn, head).to_vec();
                    self.effect_over(out.request, Some((current, body)), now);
                }
                if let Some((client, stream)) = self.answered(out.request, now) {
                    let body = self.caches.response_body(*conn, head);
                    let answer = (frame::SUCCESS, fields, body);
                    self.clients.send_response(
                        (client, stream, out.request),
                        answer,
                        now,
                        &self.poll,
                    );
                }
            }
        }
        if let Some(taken) = self.lookups.get_mut(&out.request) {
            taken.ran |= ending.may_have_run();
        }
        if self.shares() {
            self.saw_end(&outcome);
        }
        if ended.was_accepted(ending) {
            self.saw_service(now);
        }
        outcome.finished = self
            .lookups
            .get(&out.request)
            .is_none_or(|taken| !taken.owed);
        self.events.push(Event::AttemptEnded(outcome));
        self.settle(out.request);
    }
}
