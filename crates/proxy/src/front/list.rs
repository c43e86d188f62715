//! What the journal service tells: the list of caches, and purges.

use super::Front;
use crate::net::discovery::{self, log_event, DiscoveryClient, EndpointRecord, Notice, Update};
use crate::net::Poll;
use compact_str::CompactString;
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::*;
use slog::info;

impl Front {
    /// What the journal service had told at the start, before the first lookup.
    pub(super) fn know(&mut self, now: Micros) {
        let known = std::mem::take(&mut self.config.known);
        for entry in known["entries"].as_array().into_iter().flatten() {
            let news = discovery::known_entry(entry);
            if let Some(news) = news {
                self.told(news, now);
            }
        }
    }

    /// One step with the journal service, and what it told.
    pub(super) fn follow(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut DiscoveryClient, &mut Poll, &mut Vec<Notice>),
    ) {
        let mut news = Vec::new();
        step(&mut self.journal, &mut self.poll, &mut news);
        let any = !news.is_empty();
        news.into_iter().for_each(|news| self.told(news, now));
        // Behind what was told: until then what may have been kept back holds. Where events come from relays, the lease
        // stands for all of them.
        let since = self.journal.lag_since().filter(|_| !self.subscribes());
        if since != std::mem::replace(&mut self.behind, since) {
            self.events.push(Event::DiscoveryLag { since });
        }
        if !any {
            return;
        }
        // What is new to the other fronts goes to them at once.
        self.with_fronts(now, |_, _| {});
    }

    pub(super) fn told(&mut self, news: Notice, now: Micros) {
        match news {
            Notice::Event(event) => log_event(&self.log, &event),
            Notice::Update(Update::Invalidation {
                object,
                group,
                issued_at: stamp,
            }) => {
                // One way for purges: where they come from relays, other fronts are not told.
                if let Some(fronts) = self
                    .fronts
                    .as_mut()
                    .filter(|fronts| fronts.subscription.is_none())
                {
                    fronts.with_replica(|replica, _| {
                        replica.publish_purge(now, object, group, stamp)
                    });
                }
                self.events.push(Event::Invalidated {
                    object,
                    group,
                    age: now - stamp,
                });
            }
            Notice::Update(Update::Endpoints {
                complete,
                endpoints: members,
            }) => {
                info!(self.log, "list"; "complete" => complete, "members" => members.len());
                let members: Vec<EndpointRecord> = members
                    .into_iter()
                    .map(|m| self.share_machine(m, now))
                    .collect();
                let ids: Vec<String> = members.iter().map(|m| m.id.clone()).collect();
                let entries = members.into_iter().map(|m| self.entry(m)).collect();
                let listing = if complete {
                    EndpointUpdate::Snapshot(entries)
                } else {
                    EndpointUpdate::Delta(entries)
                };
                self.events.push(Event::EndpointsUpdated(listing));
                ids.iter().for_each(|id| self.recall_machine(id));
            }
        }
    }

    pub(super) fn entry(&mut self, member: EndpointRecord) -> EndpointEntry {
        let peer = self.machines.get_or_insert(&member.id);
        if let Some(address) = member.address {
            self.addresses
                .insert(peer, (address, CompactString::from(address.to_string())));
        }
        if member.status != EndpointStatus::Ready {
            self.caches.close_idle(peer, &self.poll);
        }
        let stable = stable_id(&member.id);
        // The module's lines name machines by their stable numbers; here they can be looked up.
        info!(self.log, "machine"; "standing" => ?member.status, "at" => self.addresses.get(&peer).map(|a| a.1.as_str()),
            "id" => &member.id, "kind" => &member.machine_kind, "place" => &member.zone, "stable" => format!("{stable:012x}"));
        // What the settings do not name is none of those that they do.
        let place = |names: &[String], name: &str| {
            names
                .iter()
                .position(|n| n == name)
                .and_then(|at| u8::try_from(at).ok())
                .unwrap_or(u8::MAX)
        };
        EndpointEntry {
            endpoint: peer,
            stable_id: stable,
            machine_kind: place(&self.config.machines, &member.machine_kind),
            started_at: member.started_at,
            zone: place(&self.config.zones, &member.zone),
            cell: member.cell,
            weight: member.weight,
            status: member.status,
        }
    }
}
