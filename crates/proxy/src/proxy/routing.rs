//! The router in the loop: events wait for the end of a round, are handled in one batch, and the actions that come back
//! are carried out in order.
//!
//! Two events are handled at once, ahead of what waits: a purge, which must be in force before it is acknowledged, and
//! the bound on the age of copies. Their actions are carried out with the next batch.

use super::response::Response;
use super::timers::Timer;
use super::Proxy;
use crate::net::Cause;
use meadowrill_routing::host::{catch_panic, CaughtPanic};
use meadowrill_routing::interface::{Action, Event, LogEvent, Micros};
use meadowrill_routing::router::Router;
use slog::{debug, error, info};

const MICROS_PER_MILLI: Micros = 1_000;

/// The router, what waits for it, and what it asked for and was not done yet.
pub(super) struct RouterQueue {
    router: Router,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// An empty buffer to swap with `events`.
    spare_events: Vec<Event>,
}

impl RouterQueue {
    /// `actions` is what the router asked for at its start.
    pub(super) fn new(router: Router, actions: Vec<Action>) -> RouterQueue {
        RouterQueue {
            router,
            events: Vec::new(),
            actions,
            spare_events: Vec::new(),
        }
    }

    /// Queues an event for the end of the round.
    pub(super) fn queue(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(super) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Handles one event ahead of all that wait.
    ///
    /// # Errors
    ///
    /// Returns the panic of the router, if there was one: the event may not be in force.
    pub(super) fn handle_at_once(&mut self, now: Micros, event: Event) -> Result<(), CaughtPanic> {
        let (router, actions) = (&mut self.router, &mut self.actions);
        catch_panic(|| router.handle_event(now, event, actions))
    }

    /// Hands all events that wait to the router. Calls `failed` for each at which it panicked, with the request that
    /// the event ends or begins.
    fn handle_all(&mut self, now: Micros, mut failed: impl FnMut(CaughtPanic, Option<u32>)) {
        let spare = std::mem::take(&mut self.spare_events);
        let mut events = std::mem::replace(&mut self.events, spare);
        for event in events.drain(..) {
            let request = match &event {
                Event::RequestArrived(request) => Some(request.id),
                Event::AttemptEnded(end) => Some(end.id),
                _ => None,
            };
            if let Err(panic) = self.handle_at_once(now, event) {
                failed(panic, request);
            }
        }
        self.spare_events = events;
    }
}

impl Proxy {
    /// Ends a round: hands the events to the router, carries out its actions, and deals with what came of them.
    pub(super) fn dispatch_events(&mut self, now: Micros) {
        self.update_freshness_bound(now);
        let finished = self.requests.take_maybe_finished();
        let mut failed = Vec::new();
        let log = &self.log;
        self.routing.handle_all(now, |panic, request| {
            error!(log, "panic in the decisions"; "text" => %panic);
            failed.extend(request);
        });
        self.perform_actions(now, &mut failed);
        for id in failed {
            self.respond(id, &Response::Failed, now);
            self.routing.queue(Event::ClientLeft { id });
        }
        self.collect_attempt_events(now);
        for id in &finished {
            self.remove_if_finished(*id);
        }
        self.requests.recycle(finished);
        self.handle_client_events(now);
        // Capacity that has come free is given on at once.
        self.poll_admission(now);
        self.downstream.clients.flush(now, &self.poll);
    }

    /// Carries out what the router asked for. The requests of actions that panicked are added to `failed`.
    fn perform_actions(&mut self, now: Micros, failed: &mut Vec<u32>) {
        let mut actions = std::mem::take(&mut self.routing.actions);
        for action in actions.drain(..) {
            let request = match &action {
                Action::StartAttempt { id, .. }
                | Action::Reject { id, .. }
                | Action::Fail { id } => Some(*id),
                _ => None,
            };
            if let Err(panic) = catch_panic(|| self.perform_action(action, now)) {
                error!(self.log, "panic at an action"; "text" => %panic);
                failed.extend(request);
            }
        }
        // What was decided at once meanwhile is carried out in the next round.
        actions.append(&mut self.routing.actions);
        self.routing.actions = actions;
    }

    fn perform_action(&mut self, action: Action, now: Micros) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill,
            } => self.start_attempt(id, endpoint, timeout, fill, now),
            Action::Reject { id, retry_after } => self.reject_by_router(id, retry_after, now),
            Action::Fail { id } => self.respond(id, &Response::Failed, now),
            Action::CancelAttempt { id, attempt } => {
                if let Some(attempt) = self.requests.attempt(id, attempt) {
                    self.fail_attempt(attempt, Cause::Cancelled);
                }
            }
            Action::WriteAttempt { id, attempt } => self.write_attempt(id, attempt),
            Action::SetTimer { at, timer } => self.timers.set(at, Timer::Router(timer)),
            // Discovery pushes its updates.
            Action::PollDiscovery => {}
            Action::ReleaseEndpoint { endpoint } => {
                self.upstream.connections.close_idle(endpoint, &self.poll);
                self.endpoints.release(endpoint);
            }
            Action::Log(event) => self.log_decision(event),
        }
    }

    /// Rejects a request for which the router has no attempt to make, or none left.
    fn reject_by_router(&mut self, id: u32, retry_after: Micros, now: Micros) {
        self.metrics.count_router_rejection();
        if let Some(request) = self.requests.get(id) {
            debug!(self.log, "request rejected by the router"; "request" => request.message.request_id.as_str(),
                "client" => request.client, "remaining_us" => request.deadline - now,
                "retry_after_ms" => retry_after / MICROS_PER_MILLI,
                "attempts_in_flight" => self.upstream.connections.attempts_in_flight(),
                "buffer_bytes" => self.poll.buffer_memory.bytes());
        }
        self.reject_request(id, retry_after, now);
    }

    /// Words what the router has to say to an operator.
    fn log_decision(&self, event: LogEvent) {
        let endpoint = |stable_id: u64| format!("{stable_id:012x}");
        match event {
            LogEvent::EndpointLimitCut { stable_id, limit } => {
                info!(self.log, "concurrency limit of an endpoint cut"; "stable_id" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::ParentLimitCut { stable_id, limit } => {
                info!(self.log, "concurrency limit of a parent cut"; "stable_id" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::FillLimitCut { limit } => {
                info!(self.log, "limit on fills cut"; "limit" => limit)
            }
            LogEvent::FetchLimitCut { limit } => {
                info!(self.log, "limit on fetches cut"; "limit" => limit)
            }
            LogEvent::EndpointUnreachable { stable_id } => {
                info!(self.log, "endpoint unreachable, treated as warming up"; "stable_id" => endpoint(stable_id))
            }
        }
    }
}
