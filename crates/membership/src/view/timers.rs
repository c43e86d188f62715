//! Timers of a view, and recovery from a pause of the process.
//!
//! Invariant: [`View::next_timeout`] is the earliest of all pending deadlines, so a host that calls
//! [`View::handle_timeout`] at that time misses none. A call that is much too late indicates that the process was
//! paused.

use super::probing::Probe;
use super::relaying::RelayedProbe;
use super::{Action, Change, View};
use crate::health::pause_length;
use crate::{mutant, Micros};

/// Divisor of the probe period that gives the delay of the first probe after a pause, so that the messages that arrived
/// during the pause are handled first.
const PROBE_DELAY_DIVISOR: Micros = 4;

impl View {
    /// When [`View::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Micros {
        if self.withdrawn {
            // A withdrawn proxy sends no more probes or rumors.
            return self.maintenance.next_at;
        }
        let timers = [self.maintenance.next_at, self.schedule.next_at].into_iter();
        timers
            .chain(self.probes.values().map(Probe::next_deadline))
            .chain(
                self.relayed_probes
                    .values()
                    .map(RelayedProbe::next_deadline),
            )
            .chain(self.push_at)
            .chain(
                self.departure
                    .iter()
                    .map(|departure| departure.next_announcement_at),
            )
            .fold(Micros::MAX, Micros::min)
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let due = self.next_timeout();
        self.now = now;
        if self.withdrawn {
            self.maintenance.next_at = now + self.settings.probe_period;
            return;
        }
        if let Some(duration) = pause_length(due, now, self.settings.probe_period)
            .filter(|_| self.settings.local_health)
        {
            self.recover_from_pause(duration, actions);
        }
        self.process_probe_deadlines(actions);
        if now >= self.schedule.next_at {
            self.probe_next_scheduled(actions);
        }
        if now >= self.maintenance.next_at {
            self.run_maintenance(actions);
        }
        if self.push_at.is_some_and(|at| now >= at) {
            self.push_rumors(actions);
        }
        if self
            .departure
            .as_ref()
            .is_some_and(|departure| now >= departure.next_announcement_at)
        {
            self.announce_departure(actions);
        }
    }

    /// Handles a pause of this process: observations from before the pause are outdated.
    fn recover_from_pause(&mut self, duration: Micros, actions: &mut Vec<Action>) {
        self.health.record_pause();
        if !mutant("trusts-itself") {
            self.discard_observations();
        }
        self.maintenance.next_at = self.now;
        self.schedule.next_at = self.now + self.settings.probe_period / PROBE_DELAY_DIVISOR;
        actions.push(Action::Notify(Change::ProcessPaused { duration }));
    }

    /// Discards all open probes and this proxy's accusations. All suspicions start again.
    fn discard_observations(&mut self) {
        self.probes.clear();
        self.relayed_probes.clear();
        let members = self.members.values_mut();
        for suspicion in members.filter_map(|member| member.suspicion.as_mut()) {
            suspicion.accusers.remove(&self.own.name);
            suspicion.since = self.now;
        }
    }
}
