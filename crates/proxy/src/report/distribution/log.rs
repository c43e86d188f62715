//! Log lines on the distribution of events.

use super::table::position_text;
use super::RelayReport;
use meadowrill_event_distribution::output::Notice;
use slog::{error, info, warn, Logger};

/// Logs a notice of the subscription or the distributor.
pub(crate) fn log_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::LeaseAcquired {
            relay,
            time_without_lease,
        } => {
            info!(log, "subscription lease granted"; "relay" => relay, "without_us" => time_without_lease)
        }
        Notice::LeaseExpired { relay } => {
            warn!(log, "subscription lease expired, limiting the age of served copies"; "relay" => relay)
        }
        Notice::RelayChanged { from, to } => {
            warn!(log, "switched to another relay"; "from" => from, "to" => to)
        }
        Notice::SnapshotStarted { relay } => {
            info!(log, "fetching an event snapshot"; "relay" => relay)
        }
        Notice::SnapshotCompleted {
            purges,
            took,
            position: at,
        } => {
            info!(log, "event snapshot fetched"; "purges" => purges, "took_us" => took,
                "at" => position_text(Some(*at)))
        }
        Notice::EpochStarted { position: at } => {
            warn!(log, "publisher started a new epoch"; "at" => position_text(Some(*at)))
        }
        Notice::PurgeFloorRaised { floor } => {
            error!(log, "too many invalidations to store, refusing copies issued before this time"; "stamp_us" => floor)
        }
        Notice::SubscriberLeaseExpired { name } => {
            warn!(log, "subscriber lease expired"; "who" => name)
        }
    }
}

impl RelayReport {
    /// Logs a summary of the report.
    pub(crate) fn log(&self, log: &Logger) {
        let status = &self.status;
        let late = status
            .lagging
            .iter()
            .map(|late| late.name.as_str())
            .collect::<Vec<_>>()
            .join(" ");
        info!(log, "event distribution report"; "head" => position_text(Some(status.head)),
            "acknowledged" => position_text(Some(status.acknowledged)), "done" => position_text(status.in_force),
            "subscribers" => status.subscribers, "leased" => status.leases, "late" => late,
            "window_bytes" => status.window_bytes, "purges" => status.purges);
    }
}
