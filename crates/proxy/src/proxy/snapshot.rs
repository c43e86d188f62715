//! Snapshots of the shared state: read once before the first request, written every so often and at the end.
//!
//! A snapshot is written aside and moved into place, by a thread of its own: packing and the disk take their time.
//! Invariant: file and interval are those of the start; a reload changes neither.

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

/// Where and how often snapshots are written.
pub(super) struct SnapshotSchedule {
    /// None where the settings named no file at the start.
    path: Option<PathBuf>,
    interval: Micros,
    /// When one was written last, or the start.
    written_at: Micros,
}

impl SnapshotSchedule {
    pub(super) fn new(config: &Config, now: Micros) -> SnapshotSchedule {
        let replica = config.operator.replica.as_ref();
        let path = replica.and_then(|replica| replica.snapshot.as_ref());
        let interval_s = replica.map_or(0, |replica| replica.snapshot_every);
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
    /// Restores the shared state from its snapshot; what it holds counts as told.
    pub(super) fn restore_snapshot(&mut self, now: Micros) {
        let Some(path) = &self.snapshot.path else {
            return;
        };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return info!(self.log, "no snapshot yet")
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

    /// Starts to write a snapshot if one is due; in a shutdown it always is.
    pub(super) fn write_snapshot(&mut self, now: Micros) -> Option<JoinHandle<()>> {
        let path = self.snapshot.path.clone()?;
        if !self.snapshot.is_due(now) && !self.shutdown.begun {
            return None;
        }
        self.snapshot.written_at = now;
        let pack = self.fleet.replica()?.snapshot(now);
        let log = self.log.clone();
        Some(thread::spawn(move || {
            if let Err(e) = replace_file(&path, pack) {
                warn!(log, "snapshot not written"; "reason" => %e);
            }
        }))
    }
}

/// Replaces a file as a whole: a crash leaves the former.
fn replace_file(path: &Path, content: impl FnOnce() -> Vec<u8>) -> io::Result<()> {
    let aside = path.with_extension("aside");
    let mut file = File::create(&aside)?;
    file.write_all(&content())?;
    file.sync_all()?;
    std::fs::rename(&aside, path)
}
