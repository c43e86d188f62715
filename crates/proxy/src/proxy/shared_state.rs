//! Shared state in the event loop: invalidations and endpoints that other proxies received are applied as if this proxy
//! had received them, and estimates of other proxies are passed to the router. It is active only with
//! `fleet { replica { ... } }` in the settings.

use super::Proxy;
use crate::net::discovery::EndpointRecord;
use meadowrill_replication::records::{self, EndpointPhase};
use meadowrill_replication::replica::{endpoint_subject, Action, LogEvent, Subject};
use meadowrill_routing::interface::{
    AttemptEnd, AttemptOutcome, EndpointStatus, EndpointUpdate, Event, Micros,
};
use slog::{info, warn};

impl Proxy {
    /// Carries out the actions of the replica.
    pub(super) fn perform_replica_actions(&mut self, now: Micros) {
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
        for action in peers.drain_replica_actions() {
            match action {
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
                Action::UpdateSharedEstimate { subject } => self.apply_shared_estimate(&subject),
                Action::Log(event) => self.handle_replica_event(event),
                // The exchange with the other proxies has already sent these.
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
                    .for_each(|subject| self.apply_shared_estimate(subject));
            }
            LogEvent::DonorReplaced { former, next } => {
                warn!(log, "donor failed or stalled; requesting from the next"; "who" => former, "next" => next);
            }
            LogEvent::VotingStarted { elapsed } => {
                info!(log, "started voting on ledger claims"; "took_us" => elapsed)
            }
        }
    }

    /// Passes the shared estimate of an object or an endpoint to the router.
    fn apply_shared_estimate(&mut self, subject: &[u8]) {
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

    /// Passes the shared estimate of an endpoint that has just been listed to the router.
    pub(super) fn apply_shared_endpoint_estimate(&mut self, id: &str) {
        if self.fleet.shares_state() {
            self.apply_shared_estimate(&endpoint_subject(id));
        }
    }

    /// Applies the state of an endpoint that another proxy received from discovery, as if this proxy had received it.
    fn apply_shared_endpoint(
        &mut self,
        id: &str,
        started_at: Micros,
        phase: EndpointPhase,
        info: &records::EndpointInfo,
    ) {
        let status = phase_to_status(phase);
        let record = EndpointRecord {
            id: id.to_string(),
            address: info.address.parse().ok(),
            zone: info.locality.clone(),
            endpoint_kind: info.flavor.clone(),
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

    /// Shares a discovery record of an endpoint with the other proxies. Returns the record with the shared status,
    /// which is later if another proxy knows a later one.
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
            flavor: record.endpoint_kind.clone(),
            cell: u32::from(record.cell),
            size: record.weight,
        };
        let phase = status_to_phase(record.status);
        peers.with_replica(|replica, _| {
            replica.publish_endpoint(now, &record.id, record.started_at, phase, &info);
            let shared = replica.endpoint_phase(&record.id);
            if let Some((_, phase)) = shared.filter(|(start, _)| *start == record.started_at) {
                record.status = phase_to_status(phase);
            }
        });
        record
    }

    /// Shares an invalidation of discovery with the other proxies. If invalidations come from relays, they are
    /// distributed by the relays only.
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

    /// Records the requested part and the tenant of an admitted request.
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

    /// Records the end of an attempt for the other proxies.
    pub(super) fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let request = self.requests.get(end.id);
        let source = request.and_then(|r| r.sources.get(usize::from(end.attempt)).copied());
        let source = source.filter(|source| *source != end.endpoint);
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        let endpoint = self.endpoints.id(end.endpoint);
        // Coarser than the router's fault attribution: only a proxy that has just started adopts these figures.
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

fn phase_to_status(phase: EndpointPhase) -> EndpointStatus {
    match phase {
        EndpointPhase::Ready => EndpointStatus::Ready,
        EndpointPhase::Draining => EndpointStatus::Draining,
        EndpointPhase::Removed => EndpointStatus::Removed,
    }
}

fn status_to_phase(status: EndpointStatus) -> EndpointPhase {
    match status {
        EndpointStatus::Ready => EndpointPhase::Ready,
        EndpointStatus::Draining => EndpointPhase::Draining,
        EndpointStatus::Removed => EndpointPhase::Removed,
    }
}
