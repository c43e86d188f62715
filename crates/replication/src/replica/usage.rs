//! What this proxy admitted, by tenant, and its publication to the other proxies.

use super::Replica;
use crate::record_type::RecordType;
use std::collections::BTreeMap;

/// Tenants whose usage is counted.
const MAX_TENANTS: usize = 200;

/// Usage of all tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageMeter {
    tenants: BTreeMap<String, TenantUsage>,
}

#[derive(Clone, Debug, Default)]
struct TenantUsage {
    requests: f64,
    kilobytes: f64,
    /// Since it was published last.
    changed: bool,
}

impl UsageMeter {
    fn record(&mut self, tenant: &str, kilobytes: f64) {
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(tenant) {
            return;
        }
        let usage = self.tenants.entry(tenant.to_string()).or_default();
        usage.requests += 1.0;
        usage.kilobytes += kilobytes;
        usage.changed = true;
    }

    /// Tenants whose usage has changed since the last call: requests and kilobytes.
    fn take_changed(&mut self) -> Vec<(String, Vec<f64>)> {
        let mut changed = Vec::new();
        for (tenant, usage) in &mut self.tenants {
            if std::mem::take(&mut usage.changed) {
                changed.push((tenant.clone(), vec![usage.requests, usage.kilobytes]));
            }
        }
        changed
    }
}

impl Replica {
    /// A tenant's request was admitted.
    pub fn record_usage(&mut self, tenant: &str, kilobytes: f64) {
        self.usage.record(tenant, kilobytes);
    }

    /// Once a period: shares what has changed.
    pub(super) fn publish_usage(&mut self) {
        for (tenant, values) in self.usage.take_changed() {
            self.publish_observation(self.now, RecordType::Usage, tenant.as_bytes(), values);
        }
    }
}
