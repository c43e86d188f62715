//! Restores the records from a snapshot after a restart, and writes snapshots.

use super::receive::action_for;
use super::{Action, Replica};
use crate::record_type::RecordType;
use crate::snapshot::{self, Restored, SnapshotError};
use crate::Micros;

impl Replica {
    /// Merges the records of a snapshot, either completely or not at all.
    ///
    /// # Errors
    ///
    /// The snapshot is damaged, of another fleet, too old or from the future. No record is merged then.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<Restored, SnapshotError> {
        let settings = &self.settings;
        let max_age = settings.purge_retention.max(settings.observation_retention);
        snapshot::read(bytes, &mut self.map, settings.fleet_id, max_age, now)
    }

    /// Returns a function that encodes a snapshot. Encoding is slow, so the function works on a copy of the records and
    /// may run on another thread.
    pub fn snapshot(&self, now: Micros) -> impl FnOnce() -> Vec<u8> + Send + 'static {
        let (map, fleet_id) = (self.map.clone(), self.settings.fleet_id);
        move || snapshot::write(&map, fleet_id, now)
    }

    /// Emits the actions for all stored purges and endpoints, so that the host applies them after a restore.
    pub fn replay_updates(&self, actions: &mut Vec<Action>) {
        let purges = self.map.of_type(RecordType::Purge);
        let endpoints = self.map.of_type(RecordType::Endpoint);
        for (key, entry) in purges.chain(endpoints) {
            actions.extend(action_for(key, entry));
        }
    }
}
