//! The planned size of the fleet, its traffic, and the budgets. These numbers are defined only here.

pub(super) const PROXIES: f64 = 5_000.0;
pub(super) const CACHES: f64 = 660.0;
pub(super) const ZONES: usize = 37;
pub(super) const REGIONS: usize = 10;
pub(super) const PURGES_PER_S: f64 = 120.0;
/// The time within which a purge has to take effect everywhere.
pub(super) const MAX_PURGE_DELAY_S: f64 = 2.9;
pub(super) const RESTARTS_PER_DAY: f64 = 1_400.0;
pub(super) const CONFIGURATION_CHANGES_PER_DAY: f64 = 9_800.0;
pub(super) const DAY_S: f64 = 86_400.0;
/// Requests a second at one proxy; 5.2 million at all proxies together.
pub(super) const REQUESTS_PER_S: f64 = 1_040.0;

/// Budgets for the control work of a proxy: share of a core, bytes of memory, bytes sent a second.
pub(super) const CORE_SHARE: f64 = 0.04;
pub(super) const MEMORY_BYTES: f64 = 128e6;
pub(super) const BYTES_PER_S: f64 = 3_000.0;
