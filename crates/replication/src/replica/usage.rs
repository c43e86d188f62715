//! Counts the requests that this proxy admitted by tenant, and publishes the counts to the other proxies.

use super::Replica;
use crate::record_type::RecordType;
use std::collections::BTreeMap;

/// Maximum number of tenants whose usage is counted.
const MAX_TENANTS: usize = 200;

/// Usage since the start, by tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageMeter {
    tenants: BTreeMap<String, TenantUsage>,
}

#[derive(Clone, Debug, Default)]
struct TenantUsage {
    requests: f64,
    kilobytes: f64,
    /// Whether it has changed since it was last published.
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

    /// The tenants whose usage has changed since the last call, each with its requests and kilobytes.
    fn drain_changed(&mut self) -> Vec<(String, Vec<f64>)> {
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
    /// Counts an admitted request of a tenant.
    pub fn record_usage(&mut self, tenant: &str, kilobytes: f64) {
        self.usage.record(tenant, kilobytes);
    }

    /// Publishes the usage that has changed. Called once per period.
    pub(super) fn publish_usage(&mut self) {
        for (tenant, values) in self.usage.drain_changed() {
            self.publish_observation(self.now, RecordType::Usage, tenant.as_bytes(), values);
        }
    }
}
