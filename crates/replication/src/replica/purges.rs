//! Purges that the discovery service reported to this proxy.

use super::Replica;
use crate::records;
use crate::Micros;

impl Replica {
    /// Publishes a purge that the discovery service reported. Returns true if it was not known.
    pub fn publish_purge(
        &mut self,
        now: Micros,
        object: Option<u64>,
        group: u32,
        stamp: Micros,
    ) -> bool {
        let retention = self.settings.purge_retention;
        let (key, entry) = records::purge_record(object, group, stamp, retention);
        self.publish(now, key, entry)
    }
}
