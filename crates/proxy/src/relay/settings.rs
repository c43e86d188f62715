//! The settings of a relay, from the settings file.

use crate::clock::MICROS_PER_SECOND;
use crate::config::{read_settings, ConfigError};
use meadowrill_event_distribution::settings::DistributionSettings;
use meadowrill_membership::settings::FleetSettings as Fleet;
use meadowrill_routing::interface::Micros;
use meadowrill_settings::{Relay, Settings};
use std::path::{Path, PathBuf};

pub(super) struct RelaySettings {
    path: PathBuf,
    /// All of the file.
    pub(super) own: Settings,
    pub(super) fleet: Fleet,
    pub(super) events: DistributionSettings,
    pub(super) relay: Relay,
}

impl RelaySettings {
    pub(super) fn load(path: &Path) -> Result<RelaySettings, ConfigError> {
        let own = read_settings(path)?;
        let missing = |key: &str| ConfigError {
            key: key.to_string(),
            problem: format!("{}: is missing, and a relay needs it", path.display()),
        };
        Ok(RelaySettings {
            path: path.to_path_buf(),
            fleet: own.fleet.clone().ok_or_else(|| missing("fleet"))?,
            events: own.events.clone().ok_or_else(|| missing("fleet.events"))?,
            relay: own.relay.clone().ok_or_else(|| missing("fleet.relay"))?,
            own,
        })
    }

    /// The file as it is now.
    pub(super) fn read_again(&self) -> Result<RelaySettings, ConfigError> {
        RelaySettings::load(&self.path)
    }

    pub(super) fn name(&self) -> &str {
        &self.relay.name
    }

    /// Interval of reports in the log.
    pub(super) fn report_every(&self) -> Option<Micros> {
        self.own
            .report_every
            .map(|seconds| (seconds * MICROS_PER_SECOND as f64) as Micros)
    }

    /// The keys that are different in a later file.
    pub(super) fn changed_keys(&self, fresh: &RelaySettings) -> Vec<&'static str> {
        let (own, other) = (&self.own, &fresh.own);
        let keys = [
            ("log.form", own.log != other.log),
            ("operators.socket", own.socket != other.socket),
            (
                "operators.report_every_s",
                own.report_every != other.report_every,
            ),
            ("fleet", self.fleet != fresh.fleet),
            ("fleet.region", own.region != other.region),
            ("fleet.events", self.events != fresh.events),
            ("fleet.relay", self.relay != fresh.relay),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}
