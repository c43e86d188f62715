//! The state that proxies share, in the loop: what others heard of invalidations and endpoints counts as told, and what
//! they learned is handed to the router. Nothing of this runs without `fleet { replica { ... } }` in the settings.

use super::Proxy;
use crate::net::discovery::EndpointRecord;
use meadowrill_replication::kinds;
use meadowrill_replication::replica::{sight_of_machine, thing, Act, Thing, Told};
use meadowrill_routing::interface::{
    AttemptEnd, AttemptOutcome, EndpointStatus, EndpointUpdate, Event, Micros,
};
use slog::{info, warn};

/// The phase of an endpoint, as the shared record of it counts.
const PHASE_READY: u8 = 0;
const PHASE_DRAINING: u8 = 1;
const PHASE_REMOVED: u8 = 2;

impl Proxy {
    /// Carries out what the replica asks for.
    pub(super) fn perform_replica_effects(&mut self, now: Micros) {
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        let lags = peers
            .with_replica(|replica, _| std::mem::take(&mut replica.counts.lags))
            .unwrap_or_default();
        for (kind, lag) in lags {
            self.metrics
                .observe_replication_lag(kind.name(), lag as f64 / 1e6);
        }
        for effect in peers.take_replica_acts() {
            match effect {
                Act::Word(decision) => self.apply_claim_decision(decision, now),
                Act::Purged {
                    object,
                    group,
                    stamp,
                } => {
                    let age = now - stamp;
                    self.routing
                        .queue(Event::Invalidated { object, group, age });
                }
                Act::Machine {
                    id,
                    start,
                    phase,
                    machine,
                } => self.apply_shared_endpoint(&id, start, phase, &machine),
                Act::Learned { what } => self.adopt_observation(&what),
                Act::Tell(notice) => self.handle_replica_notice(notice),
                // These have gone to other proxies already.
                Act::Send { .. } | Act::Stream { .. } => {}
            }
        }
    }

    fn handle_replica_notice(&mut self, notice: Told) {
        let log = &self.log;
        match notice {
            Told::Ready { caught_up, took } => {
                info!(log, "ready"; "caught_up" => caught_up, "took_us" => took);
                let clients = &mut self.downstream.clients;
                clients.ready = !self.shutdown.begun;
                clients.caught_up = Some(caught_up);
            }
            Told::CaughtUp { records, took } => {
                info!(log, "caught up"; "records" => records, "took_us" => took);
                let replica = self.fleet.replica();
                let all = replica.map(|replica| replica.learned()).unwrap_or_default();
                all.iter().for_each(|what| self.adopt_observation(what));
            }
            Told::Donor { former, next } => {
                warn!(log, "nothing from a donor"; "who" => former, "next" => next);
            }
            Told::Vouches { took } => info!(log, "vouches for effects"; "took_us" => took),
        }
    }

    /// Hands the router what others have observed of an object or an endpoint.
    fn adopt_observation(&mut self, what: &[u8]) {
        let replica = self.fleet.replica();
        let Some(observation) = replica.and_then(|replica| replica.opinion(what)) else {
            return;
        };
        match (thing(what), observation.numbers.as_slice()) {
            (Some(Thing::Object(object)), [highest_part, ..]) => {
                self.routing.queue(Event::SharedLength {
                    object,
                    highest_part: *highest_part as u32,
                });
            }
            (Some(Thing::Machine(id)), [failure_rate, first_byte, ..]) => {
                if let Some(endpoint) = self.endpoints.index(&id) {
                    let first_byte = (*first_byte >= 0.0).then_some(*first_byte as Micros);
                    self.routing.queue(Event::SharedEstimate {
                        endpoint,
                        failure_rate: *failure_rate,
                        first_byte,
                    });
                }
            }
            _ => {}
        }
    }

    /// Hands the router what others have observed of an endpoint that has just come into the list.
    pub(super) fn adopt_shared_endpoint(&mut self, id: &str) {
        if self.fleet.shares_state() {
            self.adopt_observation(&sight_of_machine(id));
        }
    }

    /// Another proxy was told by discovery how an endpoint stands: that counts as told here as well.
    fn apply_shared_endpoint(
        &mut self,
        id: &str,
        start: Micros,
        phase: u8,
        machine: &kinds::Machine,
    ) {
        let status = status_of_phase(phase);
        let record = EndpointRecord {
            id: id.to_string(),
            address: machine.address.parse().ok(),
            zone: machine.locality.clone(),
            machine_kind: machine.flavor.clone(),
            cell: machine.cell as u16,
            status,
            weight: machine.size,
            started_at: start,
        };
        if record.address.is_none() && status != EndpointStatus::Removed {
            return;
        }
        let entry = self.update_endpoint(record);
        let update = EndpointUpdate::Delta(vec![entry]);
        self.routing.queue(Event::EndpointsUpdated(update));
    }

    /// Shares what discovery tells of an endpoint. Returns it with the later status, where others know of one.
    pub(super) fn share_endpoint(
        &mut self,
        mut record: EndpointRecord,
        now: Micros,
    ) -> EndpointRecord {
        let Some(peers) = &mut self.fleet.peers else {
            return record;
        };
        let machine = kinds::Machine {
            address: record.address.map_or(String::new(), |at| at.to_string()),
            locality: record.zone.clone(),
            flavor: record.machine_kind.clone(),
            cell: u32::from(record.cell),
            size: record.weight,
        };
        let phase = phase_of_status(record.status);
        peers.with_replica(|replica, _| {
            replica.put_machine(now, &record.id, record.started_at, phase, &machine);
            let shared = replica.standing(&record.id);
            if let Some((_, phase)) = shared.filter(|(start, _)| *start == record.started_at) {
                record.status = status_of_phase(phase);
            }
        });
        record
    }

    /// Shares an invalidation of discovery; but where invalidations come from relays, that is their only way.
    pub(super) fn share_purge(
        &mut self,
        object: Option<u64>,
        group: u32,
        stamp: Micros,
        now: Micros,
    ) {
        let peers = self.fleet.peers.as_mut();
        if let Some(peers) = peers.filter(|peers| peers.subscription.is_none()) {
            peers.with_replica(|replica, _| replica.put_purge(now, object, group, stamp));
        }
    }

    /// Records which part an admitted request asks for, and for which tenant.
    pub(super) fn record_request(&mut self, id: u32, now: Micros) {
        let (Some(request), Some(peers)) = (self.requests.get(id), &mut self.fleet.peers) else {
            return;
        };
        let message = &request.message;
        peers.with_replica(|replica, _| {
            replica.saw_part(now, message.object, message.part);
            replica.used(message.tenant.as_deref().unwrap_or(""), message.size_kb);
        });
    }

    /// Records how an attempt ended, for the other proxies.
    pub(super) fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let request = self.requests.get(end.id);
        let source = request.and_then(|r| r.sources.get(usize::from(end.attempt)).copied());
        let source = source.filter(|source| *source != end.endpoint);
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        let endpoint = self.endpoints.id(end.endpoint);
        let failed = !matches!(
            end.outcome,
            AttemptOutcome::Success | AttemptOutcome::Miss | AttemptOutcome::Cancelled
        );
        peers.with_replica(|replica, _| replica.saw_end(endpoint, failed, None));
        if let (Some(source), Some(time)) = (source, end.first_byte) {
            let source = self.endpoints.id(source);
            peers.with_replica(|replica, _| replica.saw_end(source, false, Some(time)));
        }
    }
}

fn status_of_phase(phase: u8) -> EndpointStatus {
    match phase {
        PHASE_READY => EndpointStatus::Ready,
        PHASE_DRAINING => EndpointStatus::Draining,
        _ => EndpointStatus::Removed,
    }
}

fn phase_of_status(status: EndpointStatus) -> u8 {
    match status {
        EndpointStatus::Ready => PHASE_READY,
        EndpointStatus::Draining => PHASE_DRAINING,
        EndpointStatus::Removed => PHASE_REMOVED,
    }
}
