//! Suspicion: a member that did not respond to a probe is suspected until it refutes the suspicion, or is declared dead
//! after a timeout. The timeout becomes shorter as more of the member's observers agree (Lifeguard).
//!
//! Transitions: alive to suspected by a failed probe of this or another proxy; suspected to alive by the member's
//! refutation, which has a later incarnation; suspected to dead by the timeout. Invariants: this proxy declares a
//! member dead only while it is itself among the accusers; the number of accusers is bounded; the timeout lies between
//! the minimum and [`MAX_TIMEOUT_FACTOR`] times the minimum, before local health extends it.

use super::merge::ClaimReport;
use super::recipients::Recipient;
use super::{Action, ClaimSource, Member, Suspicion, View};
use crate::claim::MemberState;
use crate::wire::Record;
use crate::{mutant, Micros};

/// Number of accusers, in addition to the first, that reduce the timeout to its minimum.
const CONFIRMING_ACCUSERS: usize = 2;
/// Maximum timeout, as a multiple of the minimum timeout.
const MAX_TIMEOUT_FACTOR: f64 = 5.0;
/// Maximum number of accusers that are stored for one suspicion.
const MAX_ACCUSERS: usize = 16;
/// Maximum number of observers that are notified directly of a suspicion.
const NOTIFIED_OBSERVERS: usize = 4;
/// Age at which this proxy probes a member that only other proxies accuse, as a multiple of the maximum timeout.
const UNDECIDED_TIMEOUTS: f64 = 2.0;

impl View {
    /// Suspects a member that did not respond to a probe of this proxy, and notifies the member's other observers.
    pub(super) fn suspect_unresponsive(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(member) = self
            .members
            .get(name)
            .filter(|member| member.claim.state.is_present())
        else {
            return;
        };
        self.counters.suspicions += 1;
        let claim = member.claim.with_state(MemberState::Suspected);
        let accuser = self.own.name.clone();
        self.suspect(
            ClaimReport {
                name,
                claim,
                accuser: &accuser,
                source: ClaimSource::OwnProbe,
            },
            actions,
        );
        // The members that follow the suspect on the rings are scheduled immediately.
        self.schedule_observed_members();
        self.schedule.expedite(self.now);
        if mutant("no-suspicion") {
            self.declare_dead(name, actions);
            return;
        }
        self.notify_observers(name, actions);
    }

    /// Sends a suspicion to the other observers immediately, because the timeout is shorter if several observers agree.
    fn notify_observers(&mut self, suspect: &str, actions: &mut Vec<Action>) {
        let observers: Vec<String> = self
            .observers_of(suspect)
            .into_iter()
            .filter(|name| *name != self.own.name && !self.is_unhealthy(name))
            .take(NOTIFIED_OBSERVERS)
            .map(str::to_string)
            .collect();
        for name in observers {
            if let Some(address) = self.address_of(&name) {
                let accusation = self.accusation(suspect);
                self.send_with_record(
                    Recipient {
                        name: &name,
                        address,
                    },
                    None,
                    accusation,
                    actions,
                );
            }
        }
    }

    /// The record of a member with this proxy as the accuser.
    fn accusation(&self, name: &str) -> Option<Record> {
        let member = self.members.get(name)?;
        Some(Record {
            accuser: self.own.name.clone(),
            ..member.record(name, "")
        })
    }

    /// Merges a claim that a member is suspected. An empty accuser is not added to the suspicion.
    pub(super) fn suspect(&mut self, report: ClaimReport, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(report.name) else {
            return;
        };
        if report.claim.supersedes(&member.claim) {
            member.suspicion = Some(Suspicion::new(self.now));
            self.apply_claim(report, actions);
        }
        self.add_accuser(report);
    }

    fn add_accuser(&mut self, report: ClaimReport) {
        let Some(member) = self
            .members
            .get_mut(report.name)
            .filter(|m| m.claim == report.claim)
        else {
            return;
        };
        let Some(suspicion) = &mut member.suspicion else {
            return;
        };
        if report.accuser.is_empty() || suspicion.accusers.len() >= MAX_ACCUSERS {
            return;
        }
        let is_new = suspicion.accusers.insert(report.accuser.into());
        if is_new && report.accuser == self.own.name {
            // This proxy's own evidence is at most one probe period old, because a later response withdraws the
            // accusation.
            suspicion.since = suspicion.since.max(self.now - self.settings.probe_period);
        }
    }

    /// How long this proxy must be among the accusers of a member before it declares the member dead.
    fn suspicion_timeout(&self, name: &str, suspicion: &Suspicion) -> Micros {
        let size_factor = ((self.present_count() as f64).log10() / 2.0).max(1.0);
        let min_timeout = self.settings.probe_period as f64 * size_factor;
        let max_timeout = min_timeout * MAX_TIMEOUT_FACTOR;
        let timeout = max_timeout - (max_timeout - min_timeout) * self.agreement(name, suspicion);
        timeout as Micros * self.health.timeout_multiplier()
    }

    /// The agreement of the observers with a suspicion: 0 if no observer except this proxy accuses the member, and 1 if
    /// enough observers accuse it.
    fn agreement(&self, name: &str, suspicion: &Suspicion) -> f64 {
        let observers = self.observers_of(name);
        let agreeing = observers
            .iter()
            .filter(|name| suspicion.accusers.contains(**name))
            .count()
            .saturating_sub(1);
        // Observers that are not alive may never accuse: if many members have died, the remaining observers decide.
        let eligible = observers
            .iter()
            .filter(|name| self.can_accuse(name))
            .count();
        let needed = CONFIRMING_ACCUSERS.min(eligible.saturating_sub(1));
        if needed == 0 {
            return 1.0;
        }
        let share = (agreeing as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
        share.min(1.0)
    }

    fn can_accuse(&self, name: &str) -> bool {
        name == self.own.name || self.members.get(name).is_some_and(Member::is_alive)
    }

    /// Declares members dead whose suspicion timed out. Probes members that this proxy does not accuse itself and that
    /// have been suspected for too long.
    pub(super) fn decide_suspicions(&mut self, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        let mut undecided = Vec::new();
        let undecided_after =
            UNDECIDED_TIMEOUTS * MAX_TIMEOUT_FACTOR * self.settings.probe_period as f64;
        for (name, member) in &self.members {
            let Some(suspicion) = member
                .suspicion
                .as_ref()
                .filter(|_| member.claim.state == MemberState::Suspected)
            else {
                continue;
            };
            let age = self.now - suspicion.since;
            if suspicion.accusers.contains(&self.own.name) {
                if age >= self.suspicion_timeout(name, suspicion) {
                    expired.push(name.clone());
                }
            } else if age as f64 > undecided_after {
                undecided.push(name.clone());
            }
        }
        expired
            .iter()
            .for_each(|name| self.declare_dead(name, actions));
        undecided.iter().for_each(|name| self.probe(name, actions));
    }

    fn declare_dead(&mut self, name: &str, actions: &mut Vec<Action>) {
        let suspected = self
            .members
            .get(name)
            .filter(|member| member.claim.state == MemberState::Suspected);
        let Some(member) = suspected else { return };
        let claim = member.claim.with_state(MemberState::Dead);
        self.counters.deaths_declared += 1;
        let accuser = self.own.name.clone();
        self.apply_claim(
            ClaimReport {
                name,
                claim,
                accuser: &accuser,
                source: ClaimSource::OwnProbe,
            },
            actions,
        );
    }
}
