//! Snapshots of the shared state: read once before the first request, written periodically and at shutdown.
//!
//! A separate thread writes a snapshot to a temporary file and renames it, because encoding and disk writes are slow.
//! Invariant: file and interval are set at the start; a reload changes neither.

use super::Proxy;
use crate::clock::MICROS_PER_SECOND;
use crate::config::Config;
use meadowrill_replication::snapshot::Restored;
use meadowrill_routing::interface::Micros;
use slog::{info, warn};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

/// File and interval of the snapshots.
pub(super) struct SnapshotSchedule {
    /// `None` if the settings named no file at the start.
    path: Option<PathBuf>,
    interval: Micros,
    /// When a snapshot was last written, or the start of the process.
    written_at: Micros,
}

impl SnapshotSchedule {
    pub(super) fn new(config: &Config, now: Micros) -> SnapshotSchedule {
        let replica = config.operator.replica.as_ref();
        let path = replica.and_then(|replica| replica.snapshot_path.as_ref());
        let interval_s = replica.map_or(0, |replica| replica.snapshot_interval_s);
        SnapshotSchedule {
            path: path.map(PathBuf::from),
            interval: interval_s as Micros * MICROS_PER_SECOND,
            written_at: now,
        }
    }

    fn is_due(&self, now: Micros) -> bool {
        now >= self.written_at + self.interval
    }
}

impl Proxy {
    /// Restores the shared state from its snapshot and applies the restored purges and endpoints.
    pub(super) fn restore_snapshot(&mut self, now: Micros) {
        let Some(path) = &self.snapshot.path else {
            return;
        };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return info!(self.log, "no snapshot to restore")
            }
            Err(e) => return warn!(self.log, "snapshot rejected"; "reason" => %e),
        };
        let Some(peers) = &mut self.fleet.peers else {
            return;
        };
        let restored = peers.with_replica(|replica, actions| {
            let restored = replica.restore(now, &bytes);
            replica.replay_updates(actions);
            restored
        });
        match restored {
            Some(Ok(Restored { records, age })) => {
                info!(self.log, "snapshot restored"; "records" => records, "age_us" => age);
            }
            Some(Err(fault)) => {
                warn!(self.log, "snapshot rejected"; "reason" => fault.reason());
            }
            None => {}
        }
    }

    /// Starts writing a snapshot if one is due; during a shutdown it is always due.
    pub(super) fn write_snapshot(&mut self, now: Micros) -> Option<JoinHandle<()>> {
        let path = self.snapshot.path.clone()?;
        if !self.snapshot.is_due(now) && !self.shutdown.begun {
            return None;
        }
        self.snapshot.written_at = now;
        let encode = self.fleet.replica()?.snapshot(now);
        let log = self.log.clone();
        Some(thread::spawn(move || {
            if let Err(e) = replace_file(&path, encode) {
                warn!(log, "snapshot could not be written"; "reason" => %e);
            }
        }))
    }
}

/// Replaces a file atomically: after a crash the previous file remains.
fn replace_file(path: &Path, content: impl FnOnce() -> Vec<u8>) -> io::Result<()> {
    let temporary_path = path.with_extension("aside");
    let mut file = File::create(&temporary_path)?;
    file.write_all(&content())?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, path)
}
