//! The table of lookups: each from when it was read until it was answered and its last send has ended.

use super::Front;
use crate::frame;
use crate::net::Cause;
use meadowrill_admission::identity::RequestOrigin;
use meadowrill_admission::request::{AdmissionRequest, Completion, Decision, Ticket};
use meadowrill_routing::interface::*;
use slog::debug;
use smallvec::SmallVec;
use std::net::IpAddr;

/// What rounding may add to the limit that a client tells.
const ROUNDED_MS: f64 = 1.0;

/// A lookup, until it was answered and all of its sends have ended.
pub(super) struct Taken {
    pub(super) client: u64,
    pub(super) stream: u32,
    pub(super) request: Box<frame::Request>,
    pub(super) kind: usize,
    pub(super) expires: Micros,
    pub(super) owed: bool,
    /// A refusal of it counts: the settings allow it, and its client has not ended its side.
    pub(super) counts: bool,
    /// Its place at the door or behind it, until it was answered or has left.
    pub(super) place: Option<Ticket>,
    pub(super) done: Completion,
    /// By the number of the send: the connection and the serial, while it is out.
    pub(super) sends: SmallVec<[Option<(u64, u64)>; 4]>,
    /// Where effects are written down: how far its claim has come, and whether a send of it may have run.
    pub(super) effect: Effect,
    pub(super) ran: bool,
    /// Where state is shared: by the number of the send, the source that it named.
    pub(super) sources: SmallVec<[EndpointIndex; 2]>,
}

/// A lookup with an effect, at the ledger that the fronts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    None,
    Asking,
    /// Let go; `again` where another's claim may have run before it.
    Out {
        again: bool,
    },
}

impl Front {
    pub(super) fn take(
        &mut self,
        lookup: u32,
        (client, from): (u64, IpAddr),
        stream: u32,
        request: Box<frame::Request>,
        now: Micros,
    ) {
        let expires = now + (request.timeout_ms * 1e3) as Micros;
        let held = self.poll.buffer_memory.bytes() + self.bodies + request.body.len();
        let usable = self.usable(&request);
        self.bodies += request.body.len();
        if usable.is_ok() {
            self.named.insert(request.id, lookup);
        }
        let origin = RequestOrigin {
            address: from,
            connection: client,
            tenant_field: request.tenant.as_deref(),
            client_field: request.client_id.as_deref(),
        };
        let (identity, kind) = (self.identities.resolve(origin), usable.unwrap_or(0));
        let (size_kb, bytes) = (request.size_kb, request.body.len() as u32);
        let (sends, done) = (SmallVec::new(), Completion::default());
        let (effect, ran, sources) = (Effect::None, false, SmallVec::new());
        let taken = Taken {
            client,
            stream,
            request,
            kind,
            expires,
            owed: true,
            counts: usable.is_ok(),
            place: None,
            done,
            sends,
            effect,
            ran,
            sources,
        };
        self.lookups.insert(lookup, taken);
        if let Err(what) = usable {
            debug!(self.log, "lookup unusable"; "client" => client, "why" => what);
            self.answer(lookup, (frame::FAILED, &[], &[]), now);
            self.clients.record_fault(client, now, &self.poll);
            return;
        }
        let (verdict, place) = match self.admission.admit(
            now,
            AdmissionRequest {
                id: lookup,
                identity,
                class: kind,
                size_kb,
                bytes,
                expires,
            },
            held,
        ) {
            Decision::Admitted(place) => (Ok(true), Some(place)),
            Decision::Queued(place) => (Ok(false), Some(place)),
            Decision::Rejected(away) => (Err(away), None),
        };
        if let Some(taken) = self.lookups.get_mut(&lookup) {
            taken.place = place;
        }
        match verdict {
            Ok(true) => self.ask(lookup, now),
            Ok(false) => {}
            Err(away) => self.turn_away(lookup, away, now),
        }
    }

    /// Whether a lookup is one that the settings allow, and of which class. EndpointConnections answer others with an error,
    /// which would be held against them, and what is far out of range would stay in the module's memories.
    pub(super) fn usable(&self, request: &frame::Request) -> Result<usize, &'static str> {
        let kind = self
            .config
            .classes
            .iter()
            .position(|class| class.name == request.class);
        let kind = kind.ok_or("class")?;
        let class = &self.config.classes[kind];
        if request.timeout_ms > class.deadline_ms + ROUNDED_MS {
            return Err("limit");
        }
        if class.keyed && request.idempotency_key.is_none() {
            return Err("unique");
        }
        let open = self
            .named
            .get(&request.id)
            .and_then(|lookup| self.lookups.get(lookup));
        match open.filter(|taken| taken.owed).map(|taken| &taken.request) {
            Some(r)
                if (r.object, r.part, &r.class)
                    != (request.object, request.part, &request.class) =>
            {
                Err("txn")
            }
            _ => Ok(kind),
        }
    }

    pub(super) fn answer(
        &mut self,
        lookup: u32,
        answer: (u8, &[(&str, &str)], &[u8]),
        now: Micros,
    ) {
        let counts = self.lookups.get(&lookup).is_some_and(|taken| taken.counts);
        if let Some((client, stream)) = self.answered(lookup, now) {
            match answer.0 {
                frame::SUCCESS => self.saw_service(now),
                _ if counts => self.saw_refusal(now),
                _ => {}
            }
            self.clients
                .send_response((client, stream, lookup), answer, now, &self.poll);
        }
    }

    /// Whose answer it is, if one is still owed; from here on none is.
    pub(super) fn answered(&mut self, lookup: u32, now: Micros) -> Option<(u64, u32)> {
        let taken = self.lookups.get_mut(&lookup).filter(|t| t.owed)?;
        taken.owed = false;
        if let Some(place) = taken.place.take() {
            self.admission.complete(now, place, taken.done);
        }
        let whose = (taken.client, taken.stream);
        if taken.effect != Effect::None {
            self.effect_over(lookup, None, now);
        }
        self.settle(lookup);
        Some(whose)
    }

    /// The client of a lookup has ended its side. What has not gone out yet never will: the decisions are told, and
    /// what they have not heard of is refused here.
    pub(super) fn half_closed(&mut self, lookup: u32, now: Micros) {
        let Some(taken) = self.lookups.get_mut(&lookup).filter(|t| t.owed) else {
            return;
        };
        taken.counts = false;
        let waits = taken
            .place
            .as_ref()
            .is_some_and(|place| self.admission.is_waiting(place));
        if waits || taken.effect == Effect::Asking {
            if let Some(place) = taken.place.take() {
                self.admission.cancel(now, place);
            }
            return self.nack(lookup, 0, now);
        }
        self.events.push(Event::ClientHalfClosed { id: lookup });
        self.withdraw_unwritten(lookup);
    }

    /// Ends the sends of a lookup that wait for their connection to come up: they were not written.
    pub(super) fn withdraw_unwritten(&mut self, lookup: u32) {
        let sends = self
            .lookups
            .get(&lookup)
            .into_iter()
            .flat_map(|t| t.sends.iter().copied().flatten());
        let waiting: SmallVec<[_; 2]> = sends
            .filter(|(c, s)| self.caches.is_unwritten(*c, *s))
            .collect();
        for (conn, serial) in waiting {
            self.caches
                .fail_attempt(conn, serial, Cause::Cancelled, &self.poll);
        }
    }

    /// Forgets a lookup that was answered once no send of it is out. Not before the module has heard so: until
    /// then it may send for it, and would wait for ever for the end of a send that nobody knows.
    pub(super) fn settle(&mut self, lookup: u32) {
        self.over.push(lookup);
    }

    pub(super) fn forget(&mut self, lookup: u32) {
        let done = |t: &&Taken| !t.owed && t.sends.iter().all(Option::is_none);
        if let Some(taken) = self.lookups.get(&lookup).filter(done) {
            self.bodies -= taken.request.body.len();
            if self.named.get(&taken.request.id) == Some(&lookup) {
                self.named.remove(&taken.request.id);
            }
            let taken = self.lookups.remove(&lookup);
            taken
                .into_iter()
                .for_each(|taken| self.clients.recycle(taken.request));
        }
    }
}
