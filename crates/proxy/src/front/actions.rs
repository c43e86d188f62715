//! One batch of events to the decisions, and carrying out what comes back.

use super::timer::Timer;
use super::Front;
use crate::frame;
use crate::http;
use crate::net::endpoints::AttemptRef;
use crate::net::{AttemptError, Cause, Progress};
use meadowrill_routing::host::catch_panic;
use meadowrill_routing::interface::*;
use slog::{error, info};
use std::cmp::Reverse;

impl Front {
    /// One batch to the module, then what it wants done.
    pub(super) fn hand_over(&mut self, now: Micros, mut actions: Vec<Action>) {
        self.bound_copies(now, &mut actions);
        let mut over = std::mem::replace(&mut self.over, std::mem::take(&mut self.spare.over));
        let module = &mut self.module;
        let mut failed = Vec::new();
        let mut events =
            std::mem::replace(&mut self.events, std::mem::take(&mut self.spare.events));
        for event in events.drain(..) {
            let lookup = match &event {
                Event::RequestArrived(lk) => Some(lk.id),
                Event::AttemptEnded(outcome) => Some(outcome.id),
                _ => None,
            };
            if let Err(panic) = catch_panic(|| module.handle_event(now, event, &mut actions)) {
                error!(self.log, "panic in the decisions"; "text" => %panic);
                failed.extend(lookup);
            }
        }
        self.spare.events = events;
        for action in actions.drain(..) {
            let lookup = match &action {
                Action::StartAttempt { id, .. }
                | Action::Reject { id, .. }
                | Action::Fail { id } => Some(*id),
                _ => None,
            };
            if let Err(panic) = catch_panic(|| self.carry_out(action, now)) {
                error!(self.log, "panic at an action"; "text" => %panic);
                failed.extend(lookup);
            }
        }
        // What was decided at once meanwhile is carried out in the next round.
        actions.append(&mut self.spare.actions);
        self.spare.actions = actions;
        for lookup in failed {
            self.answer(lookup, (frame::FAILED, &[], &[]), now);
            self.events.push(Event::ClientLeft { id: lookup });
        }
        self.ends(now);
        over.drain(..).for_each(|lookup| self.forget(lookup));
        self.spare.over = over;
        self.hear(now);
        // Places that have come free are given on at once.
        self.poll_admission(now);
        self.clients.flush(now, &self.poll);
    }

    pub(super) fn carry_out(&mut self, action: Action, now: Micros) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill,
            } => self.send(id, endpoint, timeout, fill, now),
            Action::Reject { id, retry_after } => self.nack(id, retry_after, now),
            Action::Fail { id } => self.answer(id, (frame::FAILED, &[], &[]), now),
            Action::CancelAttempt { id, attempt: send } => {
                if let Some((number, serial)) = self.out(id, send) {
                    self.caches
                        .fail_attempt(number, serial, Cause::Cancelled, &self.poll);
                }
            }
            Action::WriteAttempt { id, attempt: send } => {
                if let Some((number, serial)) = self.out(id, send) {
                    self.caches.write_attempt(number, serial, &self.poll);
                }
            }
            Action::SetTimer { at, timer: token } => {
                self.timers.push(Reverse((at, Timer::Ring(token))))
            }
            // The journal service tells unasked.
            Action::PollDiscovery => {}
            Action::ReleaseEndpoint { endpoint: peer } => {
                self.caches.close_idle(peer, &self.poll);
                self.addresses.remove(&peer);
                self.machines.release(peer);
            }
            Action::Log(event) => self.log_decision(event),
        }
    }

    /// Words what the decisions have to say to an operator.
    fn log_decision(&self, event: LogEvent) {
        let endpoint = |stable_id: u64| format!("{stable_id:012x}");
        match event {
            LogEvent::EndpointLimitCut { stable_id, limit } => {
                info!(self.log, "concurrency limit of an endpoint cut"; "endpoint" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::ParentLimitCut { stable_id, limit } => {
                info!(self.log, "concurrency limit of a parent cut"; "endpoint" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::FillLimitCut { limit } => {
                info!(self.log, "limit on fills cut"; "limit" => limit)
            }
            LogEvent::FetchLimitCut { limit } => {
                info!(self.log, "limit on fetches cut"; "limit" => limit)
            }
            LogEvent::EndpointUnreachable { stable_id } => {
                info!(self.log, "endpoint unreachable, treated as warming up"; "endpoint" => endpoint(stable_id))
            }
        }
    }

    /// Connection and serial of a send that is out.
    fn out(&self, id: u32, send: u8) -> Option<(u64, u64)> {
        self.lookups
            .get(&id)
            .and_then(|t| t.sends.get(usize::from(send)).copied().flatten())
    }

    pub(super) fn send(
        &mut self,
        id: u32,
        peer: EndpointIndex,
        timeout: Micros,
        fill: Option<Fill>,
        now: Micros,
    ) {
        let shares = self.shares();
        let Some(taken) = self.lookups.get_mut(&id) else {
            return;
        };
        let (number, left) = (taken.sends.len() as u8, taken.expires - now);
        if shares {
            taken.sources.push(fill.map_or(peer, |f| f.source));
        }
        self.serial += 1;
        let out = AttemptRef {
            request: id,
            attempt: number,
            started_at: now,
            serial: self.serial,
        };
        let timeout = if timeout == 0 {
            left
        } else {
            timeout.min(left)
        };
        let address = self
            .addresses
            .get(&peer)
            .filter(|_| taken.owed && timeout > 0);
        let Some((address, host)) = address else {
            taken.sends.push(None);
            let fault = AttemptError {
                progress: Progress::NotStarted,
                cause: Cause::TimedOut,
            };
            self.caches.fail_unstarted(out, peer, fault);
            return;
        };
        let request = &taken.request;
        let ask = http::Request {
            host,
            class: &request.class,
            object_id: &request.object_id,
            part: request.part,
            request_id: &request.request_id,
            timeout_ms: (timeout / 1000).max(1),
            idempotency_key: request.idempotency_key.as_deref(),
            source: fill
                .filter(|f| f.source != peer)
                .map(|f| self.machines.name(f.source).as_str()),
            retention: fill.map_or(0, |f| f.retention),
            // Rounded down: an age limit guards against copies from before a purge. 0 would lift it.
            max_age_ms: fill
                .filter(|f| f.max_age > 0)
                .map_or(0, |f| (f.max_age / 1000).max(1)),
            join_fill: fill.is_some_and(|f| f.join),
            cached_only: fill.is_some_and(|f| f.cached_only),
            revalidate: fill.is_some_and(|f| f.revalidate),
            known_version: request.known_version.as_deref(),
            body: &request.body,
        };
        self.spare.request.clear();
        ask.write(&mut self.spare.request);
        let conn =
            self.caches
                .start_attempt(peer, *address, &self.spare.request, out, &mut self.poll);
        if let Some(conn) = conn {
            self.timers
                .push(Reverse((now + timeout, Timer::Send(conn, self.serial))));
            if self.caches.is_connecting(conn, self.serial) {
                let limit = now + self.config.connect_timeout;
                self.timers
                    .push(Reverse((limit, Timer::Connect(conn, self.serial))));
            }
        }
        taken.sends.push(conn.map(|conn| (conn, self.serial)));
    }
}
