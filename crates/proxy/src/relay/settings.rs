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
    /// All settings in the file.
    pub(super) file: Settings,
    pub(super) fleet: Fleet,
    pub(super) events: DistributionSettings,
    pub(super) relay: Relay,
}

impl RelaySettings {
    pub(super) fn load(path: &Path) -> Result<RelaySettings, ConfigError> {
        let file = read_settings(path)?;
        let missing = |key: &str| ConfigError {
            key: key.to_string(),
            problem: format!("{}: is missing, but a relay requires it", path.display()),
        };
        Ok(RelaySettings {
            path: path.to_path_buf(),
            fleet: file.fleet.clone().ok_or_else(|| missing("fleet"))?,
            events: file.events.clone().ok_or_else(|| missing("fleet.events"))?,
            relay: file.relay.clone().ok_or_else(|| missing("fleet.relay"))?,
            file,
        })
    }

    /// Reads and validates the settings file again.
    pub(super) fn reload(&self) -> Result<RelaySettings, ConfigError> {
        RelaySettings::load(&self.path)
    }

    pub(super) fn name(&self) -> &str {
        &self.relay.name
    }

    /// Interval of the periodic report in the log.
    pub(super) fn report_every(&self) -> Option<Micros> {
        self.file
            .report_interval_s
            .map(|seconds| (seconds * MICROS_PER_SECOND as f64) as Micros)
    }

    /// The keys whose values differ in `new_settings`.
    pub(super) fn changed_keys(&self, new_settings: &RelaySettings) -> Vec<&'static str> {
        let (file, other) = (&self.file, &new_settings.file);
        let keys = [
            ("log.form", file.log_format != other.log_format),
            (
                "operators.socket",
                file.operator_socket != other.operator_socket,
            ),
            (
                "operators.report_every_s",
                file.report_interval_s != other.report_interval_s,
            ),
            ("fleet", self.fleet != new_settings.fleet),
            ("fleet.region", file.region != other.region),
            ("fleet.events", self.events != new_settings.events),
            ("fleet.relay", self.relay != new_settings.relay),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}
