//! What this front admitted, by tenant, and its publication to the other fronts.

use super::Replica;
use crate::kind::Kind;
use std::collections::BTreeMap;

/// Tenants whose usage is counted.
const TENANTS_MOST: usize = 200;

/// Usage of all tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageMeter {
    tenants: BTreeMap<String, TenantUsage>,
}

#[derive(Clone, Debug, Default)]
struct TenantUsage {
    lookups: f64,
    kb: f64,
    /// Since it was published last.
    changed: bool,
}

impl UsageMeter {
    fn add(&mut self, tenant: &str, size_kb: f64) {
        if self.tenants.len() >= TENANTS_MOST && !self.tenants.contains_key(tenant) {
            return;
        }
        let usage = self.tenants.entry(tenant.to_string()).or_default();
        usage.lookups += 1.0;
        usage.kb += size_kb;
        usage.changed = true;
    }

    /// Tenants whose usage has changed since the last call: lookups and kilobytes.
    fn take_changed(&mut self) -> Vec<(String, Vec<f64>)> {
        let mut changed = Vec::new();
        for (tenant, usage) in &mut self.tenants {
            if std::mem::take(&mut usage.changed) {
                changed.push((tenant.clone(), vec![usage.lookups, usage.kb]));
            }
        }
        changed
    }
}

impl Replica {
    /// A tenant's lookup was admitted.
    pub fn used(&mut self, tenant: &str, size_kb: f64) {
        self.usage.add(tenant, size_kb);
    }

    /// Once a period: shares what has changed.
    pub(super) fn publish_usage(&mut self) {
        for (tenant, numbers) in self.usage.take_changed() {
            self.put_sight(self.now, Kind::Usage, tenant.as_bytes(), numbers);
        }
    }
}
