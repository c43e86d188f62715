//! Phases of machines: what the journal service reported to this front, and what all fronts know together.

use super::Replica;
use crate::kind::Kind;
use crate::kinds::{self, Machine};
use crate::record::Key;
use crate::Micros;
use std::collections::BTreeMap;

/// The last known phase; numbers above stand for it too.
const LAST_PHASE: u64 = 2;

/// Start and phase of machines as the journal service itself reported them.
#[derive(Clone, Debug, Default)]
pub(super) struct JournalReports(BTreeMap<String, (Micros, u8)>);

impl JournalReports {
    fn record(&mut self, id: &str, start: Micros, phase: u8, limit: usize) {
        if self.0.len() < limit || self.0.contains_key(id) {
            self.0.insert(id.to_string(), (start, phase));
        }
    }
}

impl Replica {
    /// The journal service reported the phase of a machine. True if it was not known.
    pub fn put_machine(
        &mut self,
        now: Micros,
        id: &str,
        start: Micros,
        phase: u8,
        machine: &Machine,
    ) -> bool {
        self.journal_reports
            .record(id, start, phase, self.plan.entries);
        // Rounded, so that fronts which hear of it at about the same time write the same record.
        let until = (now / self.plan.machine_keep + 2) * self.plan.machine_keep;
        let (key, entry) = kinds::machine(id, start, phase, machine, until);
        let known = self
            .map
            .get(&key)
            .is_some_and(|held| held.rank >= entry.rank && held.until >= until);
        !known && self.put(now, key, entry)
    }

    /// Start and phase of a machine by all that is known.
    pub fn standing(&self, id: &str) -> Option<(Micros, u8)> {
        let entry = self.map.get(&Key::new(Kind::Machine, id))?;
        Some((entry.rank.0 as Micros, entry.rank.1.min(LAST_PHASE) as u8))
    }

    /// Start and phase of a machine by the journal service alone.
    pub fn journal_said(&self, id: &str) -> Option<(Micros, u8)> {
        self.journal_reports.0.get(id).copied()
    }
}
