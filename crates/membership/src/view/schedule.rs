//! The probe schedule, which determines when each observed member is probed.
//!
//! A round lasts one probe period and probes each observed member once. The pending probes are spread evenly over the
//! remaining time of the round. Invariant: `pending` is a subset of `scheduled`, so no member is probed twice in a
//! round.

use super::{Action, View};
use crate::Micros;
use std::collections::{BTreeSet, VecDeque};

/// The probes of one round.
#[derive(Clone, Debug)]
pub(super) struct ProbeSchedule {
    /// Members that still have to be probed in this round.
    pending: VecDeque<String>,
    /// All members of this round, whether already probed or pending.
    scheduled: BTreeSet<String>,
    round_started_at: Micros,
    /// When the next probe is due.
    pub next_at: Micros,
}

impl ProbeSchedule {
    pub(super) fn new(now: Micros, next_at: Micros) -> ProbeSchedule {
        ProbeSchedule {
            pending: VecDeque::new(),
            scheduled: BTreeSet::new(),
            round_started_at: now,
            next_at,
        }
    }

    fn begin_round(&mut self, now: Micros) {
        self.round_started_at = now;
        self.scheduled.clear();
    }

    /// Adds the members that are not in this round yet.
    fn add(&mut self, names: Vec<String>) {
        for name in names {
            if self.scheduled.insert(name.clone()) {
                self.pending.push_back(name);
            }
        }
    }

    /// Returns the member to probe now, and spreads the remaining members over the rest of the period.
    fn pop_next(&mut self, now: Micros, period: Micros) -> Option<String> {
        let remaining = (self.round_started_at + period - now).max(1);
        self.next_at = now + remaining / self.pending.len().max(1) as Micros;
        self.pending.pop_front()
    }

    /// Makes the next pending probe due immediately.
    pub(super) fn expedite(&mut self, now: Micros) {
        if !self.pending.is_empty() {
            self.next_at = self.next_at.min(now);
        }
    }
}

impl View {
    /// Probes the next member of the round, and begins another round if no member is pending.
    pub(super) fn probe_next_scheduled(&mut self, actions: &mut Vec<Action>) {
        if self.schedule.pending.is_empty() {
            self.schedule.begin_round(self.now);
            self.schedule_observed_members();
        }
        if let Some(name) = self.schedule.pop_next(self.now, self.settings.probe_period) {
            self.probe(&name, actions);
        }
    }

    /// Adds the members that this proxy currently observes to the round. A proxy that has not joined observes no
    /// members: it knows only a few contacts, which all joining proxies together would overload.
    pub(super) fn schedule_observed_members(&mut self) {
        if self.joined {
            let observed = self
                .rings
                .observed_by(&self.own.name, |name| self.is_unhealthy(name));
            let observed = observed.into_iter().map(str::to_string).collect();
            self.schedule.add(observed);
        }
    }
}
