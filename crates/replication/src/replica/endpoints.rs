//! Phases of endpoints: those that the discovery service reported to this proxy, and those in the replicated records.

use super::Replica;
use crate::record::Key;
use crate::record_type::RecordType;
use crate::records::{self, EndpointInfo, EndpointPhase};
use crate::wire_time;
use crate::Micros;
use std::collections::BTreeMap;

/// Start time and phase of endpoints as the discovery service reported them to this proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct DiscoveryReports(BTreeMap<String, (Micros, EndpointPhase)>);

impl DiscoveryReports {
    fn record(&mut self, id: &str, started_at: Micros, phase: EndpointPhase, max_entries: usize) {
        if self.0.len() < max_entries || self.0.contains_key(id) {
            self.0.insert(id.to_string(), (started_at, phase));
        }
    }
}

impl Replica {
    /// Publishes the phase of an endpoint that the discovery service reported. Returns true if it was not known.
    pub fn publish_endpoint(
        &mut self,
        now: Micros,
        id: &str,
        started_at: Micros,
        phase: EndpointPhase,
        endpoint: &EndpointInfo,
    ) -> bool {
        self.discovery_reports
            .record(id, started_at, phase, self.settings.max_entries);
        // Rounded, so that proxies that receive the report at about the same time write the same record.
        let retention = self.settings.endpoint_retention;
        let expires_at = (now / retention + 2) * retention;
        let (key, entry) = records::endpoint_record(id, started_at, phase, endpoint, expires_at);
        let is_known = self
            .map
            .get(&key)
            .is_some_and(|stored| stored.rank >= entry.rank && stored.expires_at >= expires_at);
        !is_known && self.publish(now, key, entry)
    }

    /// Start time and phase of an endpoint according to its replicated record.
    pub fn endpoint_phase(&self, id: &str) -> Option<(Micros, EndpointPhase)> {
        let entry = self.map.get(&Key::new(RecordType::Endpoint, id))?;
        let (started_at, phase) = entry.rank;
        let started_at = wire_time::from_wire(started_at);
        Some((started_at, EndpointPhase::from_rank(phase)))
    }

    /// Start time and phase of an endpoint according to the discovery service's reports to this proxy.
    pub fn reported_phase(&self, id: &str) -> Option<(Micros, EndpointPhase)> {
        self.discovery_reports.0.get(id).copied()
    }
}
