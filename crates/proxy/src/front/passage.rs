//! The way through the door: who goes on to the decisions, who waits, who is turned away.

use super::Front;
use crate::frame;
use meadowrill_admission::request::{AdmissionEvent, Rejection};
use meadowrill_routing::interface::*;
use slog::debug;

use super::lookups::{Effect, Taken};

impl Front {
    /// A lookup that was let in goes on to the decisions, by the ledger where it has an effect and there is one.
    pub(super) fn ask(&mut self, lookup: u32, now: Micros) {
        if self.shares() {
            self.saw_asked(lookup, now);
            if self.claims(lookup, now) {
                return;
            }
        }
        self.decide(lookup);
    }

    /// Hands a lookup to the decisions.
    pub(super) fn decide(&mut self, lookup: u32) {
        let Some(Taken {
            request,
            kind,
            expires,
            ..
        }) = self.lookups.get(&lookup)
        else {
            return;
        };
        let (object, part, group, size_kb) =
            (request.object, request.part, request.group, request.size_kb);
        let asked = Request {
            id: lookup,
            object,
            part,
            size_kb,
            group,
            class: *kind,
            deadline: *expires,
        };
        self.events.push(Event::RequestArrived(asked));
    }

    /// No send was made, so to try again is harmless whatever the class.
    pub(super) fn turn_away(&mut self, lookup: u32, rejection: Rejection, now: Micros) {
        if let Some(taken) = self.lookups.get(&lookup) {
            debug!(self.log, "turned away"; "lookup" => taken.request.request_id.as_str(), "client" => taken.client,
                "why" => %rejection.reason, "come_back_ms" => rejection.retry_after / 1000,
                "booked" => rejection.reserved);
        }
        self.nack(lookup, rejection.retry_after, now);
    }

    pub(super) fn nack(&mut self, lookup: u32, retry_after: Micros, now: Micros) {
        // Nothing of this claim ran, but something of one before it may have.
        if self
            .lookups
            .get(&lookup)
            .is_some_and(|t| t.effect == Effect::Out { again: true })
        {
            return self.answer(lookup, (frame::FAILED, &[], &[]), now);
        }
        let later = (retry_after / 1000).to_string();
        let fields: &[(&str, &str)] = if retry_after >= 1000 {
            &[(frame::RETRY_AFTER_MS, &later)]
        } else {
            &[]
        };
        self.answer(lookup, (frame::REJECTED, fields, &[]), now);
    }

    /// Carries out what admission control has decided on lookups that waited.
    pub(super) fn poll_admission(&mut self, now: Micros) {
        let mut events = std::mem::take(&mut self.spare.admission_events);
        self.admission.poll(now, &mut events);
        for event in events.drain(..) {
            match event {
                AdmissionEvent::Admitted { id, tenant, waited } => {
                    let tenants = &self.admission.config().tenants;
                    self.metrics.observe_wait(
                        tenants.get(usize::from(tenant)).map_or("", |t| &t.name),
                        waited as f64 / 1e6,
                    );
                    debug!(self.log, "waited"; "lookup" => id, "us" => waited);
                    self.ask(id, now);
                }
                AdmissionEvent::Rejected { id, rejection } => {
                    if let Some(taken) = self.lookups.get_mut(&id) {
                        taken.place = None;
                    }
                    self.turn_away(id, rejection, now);
                }
            }
        }
        self.spare.admission_events = events;
    }
}
