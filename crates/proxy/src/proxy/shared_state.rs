//! The state that proxies share, in the loop: what others heard of invalidations and endpoints counts as told, and what
//! they learned is handed to the router. Nothing of this runs without `fleet { replica { ... } }` in the settings.

use super::Proxy;
use crate::net::discovery::EndpointRecord;
use meadowrill_replication::records::{self, EndpointPhase};
use meadowrill_replication::replica::{endpoint_subject, Action, LogEvent, Subject};
use meadowrill_routing::interface::{
    AttemptEnd, AttemptOutcome, EndpointStatus, EndpointUpdate, Event, Micros,
};
use slog::{info, warn};

impl Proxy {
    /// Carries out what the replica asks for.
    pub(super) fn perform_replica_effects(&mut self, now: Micros) {
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        let lags = peers
            .with_replica(|replica, _| std::mem::take(&mut replica.counts.record_ages))
            .unwrap_or_default();
        for (kind, lag) in lags {
            self.metrics
                .observe_replication_lag(kind.name(), lag as f64 / 1e6);
        }
        for effect in peers.take_replica_actions() {
            match effect {
                Action::Decision(decision) => self.apply_claim_decision(decision, now),
                Action::Purge {
                    object,
                    group,
                    stamp,
                } => {
                    let age = now - stamp;
                    self.routing
                        .queue(Event::Invalidated { object, group, age });
                }
                Action::UpdateEndpoint {
                    id,
                    started_at,
                    phase,
                    endpoint,
                } => self.apply_shared_endpoint(&id, started_at, phase, &endpoint),
                Action::UseObservations { subject } => self.adopt_observation(&subject),
                Action::Log(event) => self.handle_replica_event(event),
                // These have gone to other proxies already.
                Action::SendDatagram { .. } | Action::SendStream { .. } => {}
            }
        }
    }

    fn handle_replica_event(&mut self, event: LogEvent) {
        let log = &self.log;
        match event {
            LogEvent::Ready { caught_up, elapsed } => {
                info!(log, "ready"; "caught_up" => caught_up, "took_us" => elapsed);
                let clients = &mut self.downstream.clients;
                clients.ready = !self.shutdown.begun;
                clients.caught_up = Some(caught_up);
            }
            LogEvent::CaughtUp { records, elapsed } => {
                info!(log, "caught up"; "records" => records, "took_us" => elapsed);
                let replica = self.fleet.replica();
                let all = replica
                    .map(|replica| replica.observed_subjects())
                    .unwrap_or_default();
                all.iter()
                    .for_each(|subject| self.adopt_observation(subject));
            }
            LogEvent::DonorReplaced { former, next } => {
                warn!(log, "nothing from a donor"; "who" => former, "next" => next);
            }
            LogEvent::VotingStarted { elapsed } => {
                info!(log, "vouches for effects"; "took_us" => elapsed)
            }
        }
    }

    /// Hands the router what others have observed of an object or an endpoint.
    fn adopt_observation(&mut self, subject: &[u8]) {
        let replica = self.fleet.replica();
        let Some(estimate) = replica.and_then(|replica| replica.shared_estimate(subject)) else {
            return;
        };
        match (Subject::decode(subject), estimate.values.as_slice()) {
            (Some(Subject::Object(object)), [highest_part, ..]) => {
                self.routing.queue(Event::SharedLength {
                    object,
                    highest_part: *highest_part as u32,
                });
            }
            (Some(Subject::Endpoint(id)), [failure_rate, first_byte, ..]) => {
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
            self.adopt_observation(&endpoint_subject(id));
        }
    }

    /// Another proxy was told by discovery how an endpoint stands: that counts as told here as well.
    fn apply_shared_endpoint(
        &mut self,
        id: &str,
        started_at: Micros,
        phase: EndpointPhase,
        info: &records::EndpointInfo,
    ) {
        let status = status_of_phase(phase);
        let record = EndpointRecord {
            id: id.to_string(),
            address: info.address.parse().ok(),
            zone: info.locality.clone(),
            machine_kind: info.flavor.clone(),
            cell: info.cell as u16,
            status,
            weight: info.size,
            started_at,
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
        let info = records::EndpointInfo {
            address: record.address.map_or(String::new(), |at| at.to_string()),
            locality: record.zone.clone(),
            flavor: record.machine_kind.clone(),
            cell: u32::from(record.cell),
            size: record.weight,
        };
        let phase = phase_of_status(record.status);
        peers.with_replica(|replica, _| {
            replica.publish_endpoint(now, &record.id, record.started_at, phase, &info);
            let shared = replica.endpoint_phase(&record.id);
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
            peers.with_replica(|replica, _| replica.publish_purge(now, object, group, stamp));
        }
    }

    /// Records which part an admitted request asks for, and for which tenant.
    pub(super) fn record_request(&mut self, id: u32, now: Micros) {
        let (Some(request), Some(peers)) = (self.requests.get(id), &mut self.fleet.peers) else {
            return;
        };
        let message = &request.message;
        peers.with_replica(|replica, _| {
            replica.observe_part(now, message.object, message.part);
            replica.record_usage(message.tenant.as_deref().unwrap_or(""), message.size_kb);
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
        // Coarser than the router's fault attribution: only a proxy that has just started takes these figures over.
        let failed = !matches!(
            end.outcome,
            AttemptOutcome::Success | AttemptOutcome::Miss | AttemptOutcome::Cancelled
        );
        peers.with_replica(|replica, _| replica.observe_attempt(endpoint, failed, None));
        if let (Some(source), Some(time)) = (source, end.first_byte) {
            let source = self.endpoints.id(source);
            peers.with_replica(|replica, _| replica.observe_attempt(source, false, Some(time)));
        }
    }
}

fn status_of_phase(phase: EndpointPhase) -> EndpointStatus {
    match phase {
        EndpointPhase::Ready => EndpointStatus::Ready,
        EndpointPhase::Draining => EndpointStatus::Draining,
        EndpointPhase::Removed => EndpointStatus::Removed,
    }
}

fn phase_of_status(status: EndpointStatus) -> EndpointPhase {
    match status {
        EndpointStatus::Ready => EndpointPhase::Ready,
        EndpointStatus::Draining => EndpointPhase::Draining,
        EndpointStatus::Removed => EndpointPhase::Removed,
    }
}
