//! Snapshots: what is kept across a restart of the process.

use super::receive::action_for;
use super::{Act, Replica};
use crate::kind::Kind;
use crate::snapshot;
use crate::Micros;

impl Replica {
    /// Merges a snapshot, whole or not at all; how many records it brought, and how old it is.
    pub fn restore(
        &mut self,
        now: Micros,
        bytes: &[u8],
    ) -> Result<(usize, Micros), snapshot::Refused> {
        let oldest = self.plan.purge_keep.max(self.plan.learned_keep);
        snapshot::read(bytes, &mut self.map, self.plan.fleet, oldest, now)
    }

    /// Packs a snapshot. Packing takes a while: the function works on a copy and may run on another thread.
    pub fn snapshot(&self, now: Micros) -> impl FnOnce() -> Vec<u8> + Send + 'static {
        let (map, fleet) = (self.map.clone(), self.plan.fleet);
        move || snapshot::write(&map, fleet, now)
    }

    /// Has the host apply all purges and machines that are held, as after a restore.
    pub fn recall(&self, acts: &mut Vec<Act>) {
        for (key, entry) in self
            .map
            .of_kind(Kind::Purge)
            .chain(self.map.of_kind(Kind::Machine))
        {
            acts.extend(action_for(key, entry));
        }
    }
}
