//! What an installation configures of the shared state, with the bounds of each setting.

use crate::{Micros, SEC};
use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Its key, below `fleet.replica`.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl Display for InvalidSetting {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.reason)
    }
}

impl Error for InvalidSetting {}

/// What is done with a keyed request whose claim no quorum granted in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutQuorum {
    /// It is sent as without a ledger, and may run a second time elsewhere.
    Send,
    /// It is rejected: the client learns that nothing ran.
    #[default]
    Reject,
}

/// The settings of the shared state.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationSettings {
    /// Hash of the fleet's name, as the membership view has it.
    pub fleet_id: u64,
    /// This proxy's zone.
    pub zone: String,
    /// Time between two comparisons with another proxy.
    pub period: Micros,
    /// Budget for messages in ordinary operation.
    pub bytes_per_second: u64,
    /// Budget for the records handed to proxies that catch up.
    pub catch_up_bytes_per_second: u64,
    /// Most records of each type.
    pub max_entries: usize,
    /// Most bytes of names and values of each type.
    pub max_bytes: usize,
    /// How long a purge is stored: as long as an older copy may linger somewhere.
    pub purge_retention: Micros,
    /// How long an endpoint's phase is stored, at least.
    pub endpoint_retention: Micros,
    /// How long observations and usage are stored.
    pub observation_retention: Micros,
    /// A proxy reports that it is ready this long after its start, although it has not caught up.
    pub ready_timeout: Micros,
    /// None: keyed requests are sent like any other.
    pub ledger: Option<LedgerSettings>,
}

/// The settings of the ledger of effects.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Owners of a key; more than half of them have to grant a claim.
    pub owners_per_key: usize,
    /// Fraction of a request's latency budget that it may take until its claim is granted.
    pub quorum_budget_fraction: f64,
    /// What is done where it took longer.
    pub without_quorum: WithoutQuorum,
    /// How long a claim is stored.
    pub claim_retention: Micros,
    /// Proxies that have to be known before any claim is granted: guards against a proxy that is cut off and does not
    /// know it.
    pub min_voters: usize,
    /// Longest response that is stored for a retry; of a longer one only that it ran.
    pub max_body_bytes: usize,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings {
            owners_per_key: 3,
            quorum_budget_fraction: 0.4,
            without_quorum: WithoutQuorum::Reject,
            claim_retention: 600 * SEC,
            min_voters: 1,
            max_body_bytes: 2048,
        }
    }
}

impl Default for ReplicationSettings {
    fn default() -> ReplicationSettings {
        ReplicationSettings {
            fleet_id: 0,
            zone: String::new(),
            period: SEC / 2,
            bytes_per_second: 20_000,
            catch_up_bytes_per_second: 2_000_000,
            max_entries: 50_000,
            max_bytes: 16_000_000,
            purge_retention: 900 * SEC,
            endpoint_retention: 3600 * SEC,
            observation_retention: 300 * SEC,
            ready_timeout: 3 * SEC,
            ledger: None,
        }
    }
}

impl ReplicationSettings {
    /// Whether all settings are within their bounds.
    ///
    /// # Errors
    ///
    /// The first setting that is not.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        within("period_ms", millis(self.period), 50.0, 60_000.0)?;
        within("bytes_per_s", self.bytes_per_second as f64, 2000.0, 1e9)?;
        let catch_up = self.catch_up_bytes_per_second as f64;
        within("catch_up_bytes_per_s", catch_up, 2000.0, 1e9)?;
        within("entries_most", self.max_entries as f64, 100.0, 1e6)?;
        within("bytes_most", self.max_bytes as f64, 1e5, 1e9)?;
        within("purge_keep_s", seconds(self.purge_retention), 1.0, 86_400.0)?;
        let observations = seconds(self.observation_retention);
        within("learned_keep_s", observations, 1.0, 86_400.0)?;
        within("ready_after_ms", millis(self.ready_timeout), 0.0, 60_000.0)?;
        self.ledger
            .as_ref()
            .map_or(Ok(()), LedgerSettings::validate)
    }
}

impl LedgerSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        within("ledger.copies", self.owners_per_key as f64, 1.0, 9.0)?;
        within("ledger.write_part", self.quorum_budget_fraction, 0.01, 0.9)?;
        let retention = seconds(self.claim_retention);
        within("ledger.keep_s", retention, 1.0, 86_400.0)?;
        within("ledger.fronts_least", self.min_voters as f64, 1.0, 65_536.0)?;
        within("ledger.body_bytes", self.max_body_bytes as f64, 0.0, 3500.0)
    }
}

fn within(key: &'static str, value: f64, least: f64, most: f64) -> Result<(), InvalidSetting> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let reason = format!("is not within {least} to {most}");
    Err(InvalidSetting { key, reason })
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1e3
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
