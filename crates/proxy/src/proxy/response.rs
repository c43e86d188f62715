//! Responses to clients: what one says, and the one place that ends a request's wait for it.

use super::request_table::LedgerWait;
use super::Proxy;
use crate::frame;
use crate::net::clients::Clients;
use crate::net::Poll;
use meadowrill_routing::interface::Micros;

/// Advice below this, in microseconds, cannot be expressed and is left out.
const LEAST_RETRY_AFTER: Micros = 1_000;

/// What a client is answered.
pub(super) enum Response<'a> {
    Success {
        /// The copy that the client named is still current; there is no body.
        current: bool,
        body: &'a [u8],
    },
    /// It is harmless to send again: it did not run, or its class allows that it runs more than once.
    Rejected {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// It failed and may have run.
    Failed,
}

/// Whose response it is.
#[derive(Clone, Copy)]
pub(super) struct Recipient {
    id: u32,
    client: u64,
    stream: u32,
}

impl Recipient {
    /// Writes the response to the client's connection.
    pub(super) fn send(self, response: &Response, clients: &mut Clients, now: Micros, poll: &Poll) {
        let whose = (self.client, self.stream, self.id);
        match response {
            Response::Success { current, body } => {
                let fields = [frame::NOT_MODIFIED];
                let fields = if *current { &fields[..] } else { &[] };
                clients.send_response(whose, (frame::SUCCESS, fields, body), now, poll);
            }
            Response::Rejected { retry_after } if *retry_after >= LEAST_RETRY_AFTER => {
                let milliseconds = (retry_after / 1000).to_string();
                let fields = [(frame::RETRY_AFTER_MS, milliseconds.as_str())];
                clients.send_response(whose, (frame::REJECTED, &fields, &[]), now, poll);
            }
            Response::Rejected { .. } => {
                clients.send_response(whose, (frame::REJECTED, &[], &[]), now, poll);
            }
            Response::Failed => clients.send_response(whose, (frame::FAILED, &[], &[]), now, poll),
        }
    }
}

impl Proxy {
    /// Responds to a request, if its client still waits.
    pub(super) fn respond(&mut self, id: u32, response: &Response, now: Micros) {
        let counts = self
            .requests
            .get(id)
            .is_some_and(|request| request.counts_for_availability);
        let Some(recipient) = self.end_wait(id, now) else {
            return;
        };
        match response {
            Response::Success { .. } => self.record_service(now),
            _ if counts => self.record_refusal(now),
            _ => {}
        }
        recipient.send(response, &mut self.downstream.clients, now, &self.poll);
    }

    /// Rejects a request; harmless to send again, unless a claim before this one may have run.
    pub(super) fn reject_request(&mut self, id: u32, retry_after: Micros, now: Micros) {
        let granted_after_another = LedgerWait::Granted {
            earlier_may_have_run: true,
        };
        let request = self.requests.get(id);
        if request.is_some_and(|request| request.claim == granted_after_another) {
            return self.respond(id, &Response::Failed, now);
        }
        self.respond(id, &Response::Rejected { retry_after }, now);
    }

    /// Ends the wait of a request for its response: admission control and the ledger are told. Returns whose response
    /// it is; none where nobody waits any more.
    pub(super) fn end_wait(&mut self, id: u32, now: Micros) -> Option<Recipient> {
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
        self.requests.note_maybe_finished(id);
        Some(recipient)
    }
}
