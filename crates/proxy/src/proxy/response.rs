//! Responses to clients: their content, and [`Proxy::complete_request`], the only function that completes a request
//! with a response.

use super::request_table::ClaimState;
use super::Proxy;
use crate::frame;
use crate::net::clients::Clients;
use crate::net::Poll;
use meadowrill_routing::interface::Micros;

/// Minimum retry advice, in microseconds. Shorter advice cannot be expressed in the milliseconds of the response and is
/// omitted.
const MIN_RETRY_AFTER: Micros = 1_000;

/// A response to a client.
pub(super) enum Response<'a> {
    Success {
        /// Whether the copy that the client named is still current; in that case there is no body.
        current: bool,
        body: &'a [u8],
    },
    /// The request may safely be resent: it did not run, or its class allows it to run more than once.
    Rejected {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// The request failed and may have run.
    Failed,
}

/// The client connection and stream that receive a response.
#[derive(Clone, Copy)]
pub(super) struct Recipient {
    id: u32,
    client: u64,
    stream: u32,
}

impl Recipient {
    /// Writes the response to the client's connection.
    pub(super) fn send(self, response: &Response, clients: &mut Clients, now: Micros, poll: &Poll) {
        let recipient = (self.client, self.stream, self.id);
        match response {
            Response::Success { current, body } => {
                let fields = [frame::NOT_MODIFIED];
                let fields = if *current { &fields[..] } else { &[] };
                clients.send_response(recipient, (frame::SUCCESS, fields, body), now, poll);
            }
            Response::Rejected { retry_after } if *retry_after >= MIN_RETRY_AFTER => {
                let milliseconds = (retry_after / 1000).to_string();
                let fields = [(frame::RETRY_AFTER_MS, milliseconds.as_str())];
                clients.send_response(recipient, (frame::REJECTED, &fields, &[]), now, poll);
            }
            Response::Rejected { .. } => {
                clients.send_response(recipient, (frame::REJECTED, &[], &[]), now, poll);
            }
            Response::Failed => {
                clients.send_response(recipient, (frame::FAILED, &[], &[]), now, poll)
            }
        }
    }
}

impl Proxy {
    /// Sends the response to a request, if its client still waits.
    pub(super) fn respond(&mut self, id: u32, response: &Response, now: Micros) {
        let counts = self
            .requests
            .get(id)
            .is_some_and(|request| request.counts_for_availability);
        let Some(recipient) = self.complete_request(id, now) else {
            return;
        };
        match response {
            Response::Success { .. } => self.record_service(now),
            _ if counts => self.record_refusal(now),
            _ => {}
        }
        recipient.send(response, &mut self.downstream.clients, now, &self.poll);
    }

    /// Rejects a request, so that the client may safely resend it. If an attempt under an earlier claim may have run,
    /// the request fails instead.
    pub(super) fn reject_request(&mut self, id: u32, retry_after: Micros, now: Micros) {
        let granted_after_another = ClaimState::Granted {
            earlier_may_have_run: true,
        };
        let request = self.requests.get(id);
        if request.is_some_and(|request| request.claim == granted_after_another) {
            return self.respond(id, &Response::Failed, now);
        }
        self.respond(id, &Response::Rejected { retry_after }, now);
    }

    /// Completes a request before its response is sent, and notifies admission control and the ledger. Returns the
    /// recipient of the response, or `None` if the client no longer waits.
    pub(super) fn complete_request(&mut self, id: u32, now: Micros) -> Option<Recipient> {
        let request = self.requests.get_mut(id)?;
        if !request.awaits_response {
            return None;
        }
        request.awaits_response = false;
        if let Some(ticket) = request.ticket.take() {
            self.admission
                .controller
                .complete(now, ticket, request.completion);
        }
        let recipient = Recipient {
            id,
            client: request.client,
            stream: request.stream,
        };
        if request.has_claim() {
            self.end_claim(id, None, now);
        }
        self.requests.mark_maybe_finished(id);
        Some(recipient)
    }
}
