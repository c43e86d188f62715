//! The settings of the replicated state, and the bounds of each.

use crate::{Micros, SEC};
use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key of the setting, below `fleet.replica`.
    pub key: &'static str,
    /// What is wrong with the value.
    pub reason: String,
}

impl Display for InvalidSetting {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.reason)
    }
}

impl Error for InvalidSetting {}

/// What happens to a keyed request whose claim no quorum granted in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutQuorum {
    /// It is sent as if there were no ledger, and may run a second time elsewhere.
    Send,
    /// It is rejected, which informs the client that nothing ran.
    #[default]
    Reject,
}

/// The settings of the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationSettings {
    /// Hash of the fleet's name, the same as in the membership view.
    pub fleet_id: u64,
    /// This proxy's zone.
    pub zone: String,
    /// Time between two anti-entropy comparisons with another proxy.
    pub period: Micros,
    /// Send budget for messages in ordinary operation.
    pub bytes_per_second: u64,
    /// Send budget for records to proxies that are catching up.
    pub catch_up_bytes_per_second: u64,
    /// Maximum number of records of each type.
    pub max_entries: usize,
    /// Maximum number of bytes of names and values of each type.
    pub max_bytes: usize,
    /// How long a purge is stored. It has to cover the time for which an older copy may be cached anywhere.
    pub purge_retention: Micros,
    /// Minimum time for which the phase of an endpoint is stored.
    pub endpoint_retention: Micros,
    /// How long observations and usage are stored.
    pub observation_retention: Micros,
    /// Time after its start at which a proxy reports that it is ready even if it has not caught up.
    pub ready_timeout: Micros,
    /// The settings of the ledger. Without a ledger, keyed requests are sent like all others.
    pub ledger: Option<LedgerSettings>,
}

/// The settings of the ledger of side effects.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Number of owners of a key. More than half of them have to grant a claim.
    pub owners_per_key: usize,
    /// Fraction of a request's latency budget within which a quorum has to grant its claim.
    pub quorum_budget_fraction: f64,
    /// What happens to the request if no quorum grants the claim in time.
    pub without_quorum: WithoutQuorum,
    /// How long a claim is stored.
    pub claim_retention: Micros,
    /// Minimum number of known voters for a claim to be granted. It guards against a proxy that is partitioned from the
    /// others without having noticed it.
    pub min_voters: usize,
    /// Longest response that is stored for retries. For a longer one, only the fact that the request ran is stored.
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
    /// Checks that all settings are within their bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        check_range("period_ms", millis(self.period), 50.0, 60_000.0)?;
        check_range("bytes_per_s", self.bytes_per_second as f64, 2000.0, 1e9)?;
        let catch_up = self.catch_up_bytes_per_second as f64;
        check_range("catch_up_bytes_per_s", catch_up, 2000.0, 1e9)?;
        check_range("entries_most", self.max_entries as f64, 100.0, 1e6)?;
        check_range("bytes_most", self.max_bytes as f64, 1e5, 1e9)?;
        check_range("purge_keep_s", seconds(self.purge_retention), 1.0, 86_400.0)?;
        let observations = seconds(self.observation_retention);
        check_range("learned_keep_s", observations, 1.0, 86_400.0)?;
        check_range("ready_after_ms", millis(self.ready_timeout), 0.0, 60_000.0)?;
        self.ledger
            .as_ref()
            .map_or(Ok(()), LedgerSettings::validate)
    }
}

impl LedgerSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        check_range("ledger.copies", self.owners_per_key as f64, 1.0, 9.0)?;
        check_range("ledger.write_part", self.quorum_budget_fraction, 0.01, 0.9)?;
        let retention = seconds(self.claim_retention);
        check_range("ledger.keep_s", retention, 1.0, 86_400.0)?;
        check_range("ledger.fronts_least", self.min_voters as f64, 1.0, 65_536.0)?;
        check_range("ledger.body_bytes", self.max_body_bytes as f64, 0.0, 3500.0)
    }
}

fn check_range(key: &'static str, value: f64, min: f64, max: f64) -> Result<(), InvalidSetting> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let reason = format!("is not within {min} to {max}");
    Err(InvalidSetting { key, reason })
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1e3
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
