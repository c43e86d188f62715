//! Applies updates of the discovery service: the endpoint list and invalidations.

use super::endpoints::EndpointAddress;
use super::Proxy;
use crate::net::discovery::{
    self, log_event, DiscoveryClient, EndpointRecord, MissedEvents, Notice, Update,
};
use crate::net::Poll;
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::{EndpointEntry, EndpointStatus, EndpointUpdate, Event, Micros};
use slog::{info, warn};

/// The connection to the discovery service.
pub(super) struct Discovery {
    pub(super) client: DiscoveryClient,
    /// Start of the discovery lag as last reported to the router; `None` while discovery is up to date.
    pub(super) lag_since: Option<Micros>,
}

impl Proxy {
    /// Applies the endpoint list of the configuration, before the first request.
    pub(super) fn apply_initial_list(&mut self, now: Micros) {
        let initial = std::mem::take(&mut self.config.initial_list);
        for entry in initial["entries"].as_array().into_iter().flatten() {
            for notice in discovery::parse_configured_event(entry) {
                self.apply_notice(notice, now);
            }
        }
    }

    /// Runs one step of the discovery client and applies its notices.
    pub(super) fn with_discovery(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut DiscoveryClient, &mut Poll, &mut Vec<Notice>),
    ) {
        let mut notices = Vec::new();
        step(&mut self.discovery.client, &mut self.poll, &mut notices);
        let any = !notices.is_empty();
        for notice in notices {
            self.apply_notice(notice, now);
        }
        self.update_discovery_lag();
        if any {
            // Changes are sent to the other proxies immediately.
            self.with_fleet(now, |_, _| {});
        }
    }

    /// Notifies the router of a changed lag. The event is queued behind the updates, so that a lag holds until the
    /// updates that end it are applied. If invalidations come from relays, the lease of that subscription is used
    /// instead.
    fn update_discovery_lag(&mut self) {
        let lag = self.discovery.client.lag_since();
        let since = lag.filter(|_| !self.fleet.subscribes());
        if since != std::mem::replace(&mut self.discovery.lag_since, since) {
            self.routing.queue(Event::DiscoveryLag { since });
        }
    }

    fn apply_notice(&mut self, notice: Notice, now: Micros) {
        match notice {
            Notice::Event(event) => log_event(&self.log, &event),
            Notice::Missed(missed) => self.handle_missed_events(missed),
            Notice::Update(Update::Invalidation {
                object,
                group,
                issued_at,
            }) => {
                self.share_purge(object, group, issued_at, now);
                self.routing.queue(Event::Invalidated {
                    object,
                    group,
                    age: now - issued_at,
                });
            }
            Notice::Update(Update::Endpoints {
                complete,
                endpoints,
            }) => {
                self.update_endpoints(complete, endpoints, now);
            }
        }
    }

    /// Handles missed discovery events: any object may have been invalidated by them. If invalidations come from
    /// relays, none was missed.
    fn handle_missed_events(&mut self, missed: MissedEvents) {
        warn!(self.log, "events of the discovery service were missed; older copies are not served"; "reason" => %missed);
        self.metrics.count_missed_events();
        if !self.fleet.subscribes() {
            self.routing.queue(Event::InvalidationsMissed);
        }
    }

    /// Applies changes of the endpoint list, or a complete list.
    fn update_endpoints(&mut self, complete: bool, records: Vec<EndpointRecord>, now: Micros) {
        info!(self.log, "endpoint list updated"; "complete" => complete, "endpoints" => records.len());
        let records: Vec<EndpointRecord> = records
            .into_iter()
            .map(|record| self.share_endpoint(record, now))
            .collect();
        let ids: Vec<String> = records.iter().map(|record| record.id.clone()).collect();
        let entries = records
            .into_iter()
            .map(|record| self.update_endpoint(record))
            .collect();
        let update = if complete {
            EndpointUpdate::Snapshot(entries)
        } else {
            EndpointUpdate::Delta(entries)
        };
        self.routing.queue(Event::EndpointsUpdated(update));
        for id in &ids {
            self.apply_shared_endpoint_estimate(id);
        }
    }

    /// Stores the address of an endpoint and builds its entry for the router.
    pub(super) fn update_endpoint(&mut self, record: EndpointRecord) -> EndpointEntry {
        let endpoint = self.endpoints.get_or_insert(&record.id);
        if let Some(address) = record.address {
            self.endpoints.set_address(endpoint, address);
        }
        if record.status != EndpointStatus::Ready {
            self.upstream.connections.close_idle(endpoint, &self.poll);
        }
        let stable = stable_id(&record.id);
        let address = self.endpoints.address(endpoint);
        // The router's log lines contain only the stable id of an endpoint; this line maps it to the id.
        info!(self.log, "endpoint updated"; "status" => ?record.status,
            "address" => address.map(|address| address.host.as_str()), "id" => &record.id,
            "type" => &record.endpoint_kind,
            "zone" => &record.zone, "stable_id" => format!("{stable:012x}"));
        EndpointEntry {
            endpoint,
            stable_id: stable,
            endpoint_kind: name_index(&self.config.endpoint_types, &record.endpoint_kind),
            started_at: record.started_at,
            address: address.map_or(0, EndpointAddress::stable_id),
            zone: name_index(&self.config.zones, &record.zone),
            cell: record.cell,
            weight: record.weight,
            status: record.status,
        }
    }
}

/// The index of a name in the settings. An unknown name gets the highest index, which no name in the settings has.
fn name_index(names: &[String], name: &str) -> u8 {
    let index = names.iter().position(|known| known == name);
    index
        .and_then(|index| u8::try_from(index).ok())
        .unwrap_or(u8::MAX)
}
