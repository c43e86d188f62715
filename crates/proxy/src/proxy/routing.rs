//! The router in the event loop: events are queued until the end of a round and handled in one batch, and the resulting
//! actions are carried out in order.
//!
//! Two events are handled immediately, ahead of queued events: a purge, which must be in force before it is
//! acknowledged, and the freshness bound. Their actions are carried out with the next batch.

use super::response::Response;
use super::timers::Timer;
use super::Proxy;
use crate::net::Cause;
use meadowrill_routing::host::{catch_panic, CaughtPanic};
use meadowrill_routing::interface::{Action, Event, LogEvent, Micros};
use meadowrill_routing::router::Router;
use slog::{debug, error, info};

const MICROS_PER_MILLI: Micros = 1_000;

/// The router, the events queued for it, and its actions that have not been carried out yet.
pub(super) struct RouterQueue {
    router: Router,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Empty buffer that is swapped with `events`.
    spare_events: Vec<Event>,
}

impl RouterQueue {
    /// `actions` are the actions that the router requested when it was created.
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

    /// Handles one event ahead of all queued events.
    ///
    /// # Errors
    ///
    /// Returns the panic of the router. The event may not be in force then.
    pub(super) fn handle_immediately(
        &mut self,
        now: Micros,
        event: Event,
    ) -> Result<(), CaughtPanic> {
        let (router, actions) = (&mut self.router, &mut self.actions);
        catch_panic(|| router.handle_event(now, event, actions))
    }

    /// Passes all queued events to the router. Calls `failed` for each event at which the router panicked, with the
    /// request whose arrival or attempt end the event reports.
    fn handle_all(&mut self, now: Micros, mut failed: impl FnMut(CaughtPanic, Option<u32>)) {
        let spare = std::mem::take(&mut self.spare_events);
        let mut events = std::mem::replace(&mut self.events, spare);
        for event in events.drain(..) {
            let request = match &event {
                Event::RequestArrived(request) => Some(request.id),
                Event::AttemptEnded(end) => Some(end.id),
                _ => None,
            };
            if let Err(panic) = self.handle_immediately(now, event) {
                failed(panic, request);
            }
        }
        self.spare_events = events;
    }
}

impl Proxy {
    /// Ends a round: passes the events to the router, carries out its actions and handles their results.
    pub(super) fn dispatch_events(&mut self, now: Micros) {
        self.update_freshness_bound(now);
        let finished = self.requests.take_maybe_finished();
        let mut failed = Vec::new();
        let log = &self.log;
        self.routing.handle_all(now, |panic, request| {
            error!(log, "panic in the router"; "text" => %panic);
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
        // Capacity that has become free is given to queued requests in the same round.
        self.poll_admission(now);
        self.downstream.clients.flush(now, &self.poll);
    }

    /// Carries out the actions of the router. The requests of actions that panicked are added to `failed`.
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
                error!(self.log, "panic while carrying out an action of the router"; "text" => %panic);
                failed.extend(request);
            }
        }
        // Actions from events that were handled immediately in the meantime are carried out in the next round.
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
            Action::Log(event) => self.log_router_event(event),
        }
    }

    /// Rejects a request for which the router can start no attempt, or no further attempt.
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

    /// Logs an event of the router for operators.
    fn log_router_event(&self, event: LogEvent) {
        let endpoint = |stable_id: u64| format!("{stable_id:012x}");
        match event {
            LogEvent::EndpointLimitReduced { stable_id, limit } => {
                info!(self.log, "concurrency limit of an endpoint reduced"; "stable_id" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::ParentLimitReduced { stable_id, limit } => {
                info!(self.log, "concurrency limit of a parent reduced"; "stable_id" => endpoint(stable_id), "limit" => limit)
            }
            LogEvent::FillLimitReduced { limit } => {
                info!(self.log, "limit on fills reduced"; "limit" => limit)
            }
            LogEvent::FetchLimitReduced { limit } => {
                info!(self.log, "limit on fetches reduced"; "limit" => limit)
            }
            LogEvent::EndpointUnreachable { stable_id } => {
                info!(self.log, "endpoint is unreachable and treated as warming up"; "stable_id" => endpoint(stable_id))
            }
        }
    }
}
