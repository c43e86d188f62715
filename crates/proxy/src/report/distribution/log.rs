//! Lines of the log.

use super::table::position;
use super::FeedReport;
use meadowrill_event_distribution::output::Notice;
use slog::{error, info, warn, Logger};

/// A line of the log.
pub(crate) fn log_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::LeaseAcquired { relay, without } => {
            info!(log, "subscription lease granted"; "relay" => relay, "without_us" => without)
        }
        Notice::LeaseExpired { relay } => {
            warn!(log, "subscription lease expired, bounding the age of copies"; "relay" => relay)
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
            info!(log, "event snapshot fetched"; "purges" => purges, "took_us" => took, "at" => position(Some(*at)))
        }
        Notice::EpochStarted { position: at } => {
            warn!(log, "publisher started a new epoch"; "at" => position(Some(*at)))
        }
        Notice::PurgeFloorRaised { floor } => {
            error!(log, "no room for all invalidations, refusing copies issued before this moment"; "stamp_us" => floor)
        }
        Notice::SubscriberLeaseExpired { name } => {
            warn!(log, "subscriber lease expired"; "who" => name)
        }
    }
}

impl FeedReport {
    /// The report as a line.
    pub(crate) fn log(&self, log: &Logger) {
        let status = &self.status;
        let late = status
            .lagging
            .iter()
            .map(|late| late.name.as_str())
            .collect::<Vec<_>>()
            .join(" ");
        info!(log, "event distribution report"; "head" => position(Some(status.head)),
            "acknowledged" => position(Some(status.acknowledged)), "done" => position(status.in_force),
            "subscribers" => status.subscribers, "leased" => status.leases, "late" => late,
            "window_bytes" => status.window_bytes, "purges" => status.purges);
    }
}
