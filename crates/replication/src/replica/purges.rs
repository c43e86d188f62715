//! Purges that the journal service reported to this front.

use super::Replica;
use crate::kinds;
use crate::Micros;

impl Replica {
    /// The journal service reported a purge. True if it was not known.
    pub fn put_purge(
        &mut self,
        now: Micros,
        object: Option<u64>,
        group: u32,
        stamp: Micros,
    ) -> bool {
        let (key, entry) = kinds::purge(object, group, stamp, self.plan.purge_keep);
        self.put(now, key, entry)
    }
}
