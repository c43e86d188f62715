//! What discovery tells: the list of endpoints, and invalidations.

use super::Proxy;
use crate::net::journal::{self, Change, Journal, Member, News};
use crate::net::Poll;
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::{EndpointEntry, EndpointStatus, EndpointUpdate, Event, Micros};
use slog::{info, warn};

/// The connection to the discovery service.
pub(super) struct Discovery {
    pub(super) journal: Journal,
    /// Since when the service may have kept something back, as the router knows it; none while it is up to date.
    pub(super) lag_since: Option<Micros>,
}

impl Proxy {
    /// Takes in the list that the configuration holds, before the first request.
    pub(super) fn apply_initial_list(&mut self, now: Micros) {
        let initial = std::mem::take(&mut self.config.initial_list);
        for entry in initial["entries"].as_array().into_iter().flatten() {
            let update = journal::entry(entry).map(|line| line.change).transpose();
            if let Some(update) = update {
                self.apply_discovery(update, now);
            }
        }
    }

    /// Takes one step with the discovery service, and applies what it told.
    pub(super) fn with_discovery(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut Journal, &mut Poll, &mut Vec<News>),
    ) {
        let mut updates = Vec::new();
        step(&mut self.discovery.journal, &mut self.poll, &mut updates);
        let any = !updates.is_empty();
        for update in updates {
            self.apply_discovery(update, now);
        }
        self.update_discovery_lag();
        if any {
            // What is new to the other proxies goes to them at once.
            self.with_fleet(now, |_, _| {});
        }
    }

    /// Tells the router of a lag, behind the updates: until they are applied what may have been kept back holds. Where
    /// invalidations come from relays, the lease on their subscription stands for them.
    fn update_discovery_lag(&mut self) {
        let lag = self.discovery.journal.behind();
        let since = lag.filter(|_| !self.fleet.subscribes());
        if since != std::mem::replace(&mut self.discovery.lag_since, since) {
            self.routing.queue(Event::DiscoveryLag { since });
        }
    }

    fn apply_discovery(&mut self, update: News, now: Micros) {
        match update {
            Err(what) => warn!(self.log, "journal"; "what" => what),
            Ok(Change::Purge {
                object,
                group,
                stamp,
            }) => {
                self.share_purge(object, group, stamp, now);
                self.routing.queue(Event::Invalidated {
                    object,
                    group,
                    age: now - stamp,
                });
            }
            Ok(Change::Hosts { complete, members }) => {
                self.update_endpoints(complete, members, now);
            }
        }
    }

    /// The list has changed, or was told as a whole.
    fn update_endpoints(&mut self, complete: bool, members: Vec<Member>, now: Micros) {
        info!(self.log, "endpoint list updated"; "complete" => complete, "endpoints" => members.len());
        let members: Vec<Member> = members
            .into_iter()
            .map(|member| self.share_endpoint(member, now))
            .collect();
        let ids: Vec<String> = members.iter().map(|member| member.id.clone()).collect();
        let entries = members
            .into_iter()
            .map(|member| self.update_endpoint(member))
            .collect();
        let update = if complete {
            EndpointUpdate::Snapshot(entries)
        } else {
            EndpointUpdate::Delta(entries)
        };
        self.routing.queue(Event::EndpointsUpdated(update));
        for id in &ids {
            self.adopt_shared_endpoint(id);
        }
    }

    /// Notes the address of an endpoint, and words its entry for the router.
    pub(super) fn update_endpoint(&mut self, member: Member) -> EndpointEntry {
        let endpoint = self.endpoints.get_or_insert(&member.id);
        if let Some(address) = member.address {
            self.endpoints.set_address(endpoint, address);
        }
        if member.standing != EndpointStatus::Ready {
            self.upstream.caches.forget(endpoint, &self.poll);
        }
        let stable = stable_id(&member.id);
        let address = self.endpoints.address(endpoint);
        // The router's lines name endpoints by their stable ids; here they can be looked up.
        info!(self.log, "endpoint updated"; "status" => ?member.standing,
            "address" => address.map(|address| address.host.as_str()), "id" => &member.id, "type" => &member.flavor,
            "zone" => &member.locality, "stable_id" => format!("{stable:012x}"));
        EndpointEntry {
            endpoint,
            stable_id: stable,
            machine_kind: name_index(&self.config.endpoint_types, &member.flavor),
            started_at: member.up_since,
            zone: name_index(&self.config.zones, &member.locality),
            cell: member.cell,
            weight: member.size,
            status: member.standing,
        }
    }
}

/// The index of a name among those of the settings; for any other the highest, which none of them has.
fn name_index(names: &[String], name: &str) -> u8 {
    let index = names.iter().position(|known| known == name);
    index
        .and_then(|index| u8::try_from(index).ok())
        .unwrap_or(u8::MAX)
}
