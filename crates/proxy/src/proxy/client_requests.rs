//! Handles client events: a request arrives, or its client half-closes the connection or disconnects.

use super::request_table::{AttemptHandle, ClaimState, ProxiedRequest};
use super::response::Response;
use super::Proxy;
use crate::frame;
use crate::net::clients::ClientEvent;
use crate::net::Cause;
use meadowrill_admission::identity::RequestOrigin;
use meadowrill_admission::request::{AdmissionRequest, Completion, Decision};
use meadowrill_routing::interface::{Event, Micros};
use slog::debug;
use smallvec::SmallVec;
use std::fmt;
use std::net::IpAddr;

/// Tolerance for rounding of the time limit that a client requests, in milliseconds.
const DEADLINE_ROUNDING_MS: f64 = 1.0;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidRequest {
    UnknownClass,
    DeadlineTooLong,
    MissingIdempotencyKey,
    IdInUse,
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidRequest::UnknownClass => "unknown class",
            InvalidRequest::DeadlineTooLong => "deadline exceeds the maximum of the class",
            InvalidRequest::MissingIdempotencyKey => "missing idempotency key",
            InvalidRequest::IdInUse => "id is in use for another request",
        })
    }
}

impl std::error::Error for InvalidRequest {}

/// The connection and stream on which a request arrived.
#[derive(Clone, Copy)]
struct Origin {
    client: u64,
    address: IpAddr,
    stream: u32,
}

impl Proxy {
    /// Handles the client events since the last call.
    pub(super) fn handle_client_events(&mut self, now: Micros) {
        let mut events = std::mem::take(&mut self.downstream.events);
        self.downstream.clients.take_events(&mut events);
        for event in events.drain(..) {
            match event {
                ClientEvent::BadFrame { client, error } => {
                    debug!(self.log, "client sent an invalid frame"; "client" => client, "reason" => %error);
                }
                ClientEvent::Cancelled { id } => self.handle_client_cancellation(id, now),
                ClientEvent::HalfClosed { id } => self.handle_client_half_close(id, now),
                ClientEvent::RequestReceived {
                    id,
                    client,
                    address,
                    stream,
                    request,
                } => {
                    let origin = Origin {
                        client,
                        address,
                        stream,
                    };
                    self.receive_request(id, origin, request, now);
                }
            }
        }
        self.downstream.events = events;
    }

    /// Adds a received request to the table and, if it is valid, submits it to admission control.
    fn receive_request(
        &mut self,
        id: u32,
        origin: Origin,
        message: Box<frame::Request>,
        now: Micros,
    ) {
        let buffered =
            self.poll.buffer_memory.bytes() + self.requests.body_bytes() + message.body.len();
        let class = self.validate(&message);
        let identity = self.admission.identities.resolve(RequestOrigin {
            address: origin.address,
            connection: origin.client,
            tenant_field: message.tenant.as_deref(),
            client_field: message.client_id.as_deref(),
        });
        let request = new_request(origin, message, class.ok(), now);
        let arrival = AdmissionRequest {
            id,
            identity,
            class: request.class,
            size_kb: request.message.size_kb,
            bytes: request.message.body.len() as u32,
            expires: request.deadline,
        };
        self.requests.insert(id, request, class.is_ok());
        if let Err(reason) = class {
            debug!(self.log, "client sent an invalid request"; "client" => origin.client, "reason" => %reason);
            self.respond(id, &Response::Failed, now);
            self.downstream
                .clients
                .record_fault(origin.client, now, &self.poll);
            return;
        }
        let decision = self.admission.controller.admit(now, arrival, buffered);
        self.apply_admission(id, decision, now);
    }

    fn apply_admission(&mut self, id: u32, decision: Decision, now: Micros) {
        match decision {
            Decision::Admitted(ticket) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.ticket = Some(ticket);
                }
                self.submit_request(id, now);
            }
            Decision::Queued(ticket) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.ticket = Some(ticket);
                }
            }
            Decision::Rejected(rejection) => self.reject_by_admission(id, rejection, now),
        }
    }

    /// Returns the index of the request's class if the settings allow the request. Endpoints would answer any other
    /// request with an error, which would count against them, and a value far out of range would stay in the router's
    /// estimates.
    fn validate(&self, message: &frame::Request) -> Result<usize, InvalidRequest> {
        let classes = &self.config.classes;
        let index = classes.iter().position(|class| class.name == message.class);
        let index = index.ok_or(InvalidRequest::UnknownClass)?;
        let class = &classes[index];
        if message.timeout_ms > class.deadline_ms + DEADLINE_ROUNDING_MS {
            return Err(InvalidRequest::DeadlineTooLong);
        }
        if class.requires_idempotency_key && message.idempotency_key.is_none() {
            return Err(InvalidRequest::MissingIdempotencyKey);
        }
        let same_id = self.requests.by_client_id(message.id);
        match same_id.filter(|request| request.awaits_response) {
            Some(request) if !is_retry(&request.message, message) => Err(InvalidRequest::IdInUse),
            _ => Ok(index),
        }
    }

    /// Abandons a request whose client no longer waits for the response. The router is notified if it knows the
    /// request.
    fn handle_client_cancellation(&mut self, id: u32, now: Micros) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.awaits_response = false;
        let ticket = request.ticket.take();
        let was_queued = ticket.is_some_and(|ticket| self.admission.controller.cancel(now, ticket));
        let claim_pending = request.claim == ClaimState::Pending;
        if !was_queued && !claim_pending {
            self.routing.queue(Event::ClientLeft { id });
        }
        self.end_claim(id, None, now);
        self.cancel_unwritten_attempts(id);
        self.requests.mark_maybe_finished(id);
    }

    /// Handles a client that has closed its sending side. Attempts that are not written yet will not be written. The
    /// router is notified; a request that it does not know yet is rejected here.
    fn handle_client_half_close(&mut self, id: u32, now: Micros) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.awaits_response {
            return;
        }
        request.counts_for_availability = false;
        let ticket = request.ticket.as_ref();
        let queued = ticket.is_some_and(|ticket| self.admission.controller.is_waiting(ticket));
        if queued || request.claim == ClaimState::Pending {
            if let Some(ticket) = request.ticket.take() {
                self.admission.controller.cancel(now, ticket);
            }
            return self.reject_request(id, 0, now);
        }
        self.routing.queue(Event::ClientHalfClosed { id });
        self.cancel_unwritten_attempts(id);
    }

    /// Cancels the attempts of a request that still wait for their connection. Nothing of them has been written.
    fn cancel_unwritten_attempts(&mut self, id: u32) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let connections = &mut self.upstream.connections;
        let in_flight = request.attempts.iter().copied().flatten();
        let unwritten: SmallVec<[AttemptHandle; 2]> = in_flight
            .filter(|attempt| connections.is_unwritten(attempt.connection, attempt.serial))
            .collect();
        for attempt in unwritten {
            let (connection, serial) = (attempt.connection, attempt.serial);
            connections.fail_attempt(connection, serial, Cause::Cancelled, &self.poll);
        }
    }

    /// Removes a request that no longer waits for a response and has no attempt in flight, and recycles its buffer.
    pub(super) fn remove_if_finished(&mut self, id: u32) {
        if let Some(request) = self.requests.remove_finished(id) {
            self.downstream.clients.recycle(request.message);
        }
    }
}

/// Whether a request with the same id as another is for the same object, part and class.
fn is_retry(first: &frame::Request, second: &frame::Request) -> bool {
    (first.object, first.part, &first.class) == (second.object, second.part, &second.class)
}

/// Creates the table entry of a request. A request without a class is invalid.
fn new_request(
    origin: Origin,
    message: Box<frame::Request>,
    class: Option<usize>,
    now: Micros,
) -> ProxiedRequest {
    let deadline = now + (message.timeout_ms * 1e3) as Micros;
    ProxiedRequest {
        client: origin.client,
        stream: origin.stream,
        message,
        class: class.unwrap_or(0),
        deadline,
        awaits_response: true,
        counts_for_availability: class.is_some(),
        ticket: None,
        completion: Completion::default(),
        attempts: SmallVec::new(),
        claim: ClaimState::None,
        ended_attempt_may_have_run: false,
        sources: SmallVec::new(),
    }
}
