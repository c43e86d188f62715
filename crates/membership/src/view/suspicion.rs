//! Suspicion: a member that failed a probe is suspected until it refutes that, or is declared dead after a timeout that
//! shrinks as more of its observers agree (Lifeguard).

use super::merge::Report;
use super::peers::Recipient;
use super::{Action, ClaimSource, Member, Suspicion, View};
use crate::claim::MemberState;
use crate::wire::Record;
use crate::{mutant, Micros};

/// Accusers besides the first that make the timeout the shortest.
const CONFIRMING_ACCUSERS: usize = 2;
/// The longest timeout, as a multiple of the shortest.
const MAX_TIMEOUT_FACTOR: f64 = 5.0;
/// Accusers remembered for one suspicion.
const MAX_ACCUSERS: usize = 16;
/// Observers that are told directly of a suspicion.
const NOTIFIED_OBSERVERS: usize = 4;
/// This front probes the member itself where others leave a suspicion undecided for so many of the longest timeouts.
const UNDECIDED_TIMEOUTS: f64 = 2.0;

impl View {
    /// Suspects a member that did not answer a probe of this front, and has its other observers look at it.
    pub(super) fn suspect_unanswering(&mut self, name: &str, out: &mut Vec<Action>) {
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
            Report {
                name,
                claim,
                by: &accuser,
                why: ClaimSource::OwnProbe,
            },
            out,
        );
        // The next members on the rings are observed at once.
        self.schedule_observed_members();
        self.schedule.expedite(self.now);
        if mutant("no-suspicion") {
            self.declare_dead(name, out);
            return;
        }
        self.notify_observers(name, out);
    }

    /// The other observers learn of a suspicion at once: together they can decide sooner.
    fn notify_observers(&mut self, suspect: &str, out: &mut Vec<Action>) {
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
                    out,
                );
            }
        }
    }

    /// The record of a member with this front as its accuser.
    fn accusation(&self, name: &str) -> Option<Record> {
        let member = self.members.get(name)?;
        Some(Record {
            accuser: self.own.name.clone(),
            ..member.record(name, "")
        })
    }

    /// Takes in that a member is suspected. An empty `by` adds no accuser.
    pub(super) fn suspect(&mut self, report: Report, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(report.name) else {
            return;
        };
        if report.claim.supersedes(&member.claim) {
            member.suspicion = Some(Suspicion::new(self.now));
            self.apply_claim(report, out);
        }
        self.add_accuser(report);
    }

    fn add_accuser(&mut self, report: Report) {
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
        if report.by.is_empty() || suspicion.accusers.len() >= MAX_ACCUSERS {
            return;
        }
        let is_new = suspicion.accusers.insert(report.by.into());
        if is_new && report.by == self.own.name {
            // This front's own evidence is one period old at most: a later answer withdraws the accusation.
            suspicion.since = suspicion.since.max(self.now - self.plan.probe_period);
        }
    }

    /// How long a suspicion that this front shares stands before it declares the member dead.
    fn suspicion_timeout(&self, name: &str, suspicion: &Suspicion) -> Micros {
        let size_factor = ((self.present_count() as f64).log10() / 2.0).max(1.0);
        let shortest = self.plan.probe_period as f64 * size_factor;
        let longest = shortest * MAX_TIMEOUT_FACTOR;
        let timeout = longest - (longest - shortest) * self.agreement(name, suspicion);
        timeout as Micros * self.health.timeout_multiplier()
    }

    /// From 0, where no observer but this front accuses the member, to 1, where enough of them do.
    fn agreement(&self, name: &str, suspicion: &Suspicion) -> f64 {
        let observers = self.observers_of(name);
        let agreeing = observers
            .iter()
            .filter(|name| suspicion.accusers.contains(**name))
            .count()
            .saturating_sub(1);
        // Observers that are suspected themselves may never answer: where many have died the rest decide.
        let able = observers
            .iter()
            .filter(|name| self.can_accuse(name))
            .count();
        let needed = CONFIRMING_ACCUSERS.min(able.saturating_sub(1));
        if needed == 0 {
            return 1.0;
        }
        let share = (agreeing as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
        share.min(1.0)
    }

    fn can_accuse(&self, name: &str) -> bool {
        name == self.own.name || self.members.get(name).is_some_and(Member::is_alive)
    }

    /// Declares dead whose suspicion timed out, and probes whom this front does not accuse itself but others have
    /// suspected for too long.
    pub(super) fn decide_suspicions(&mut self, out: &mut Vec<Action>) {
        let mut expired = Vec::new();
        let mut undecided = Vec::new();
        let undecided_after =
            UNDECIDED_TIMEOUTS * MAX_TIMEOUT_FACTOR * self.plan.probe_period as f64;
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
        expired.iter().for_each(|name| self.declare_dead(name, out));
        undecided.iter().for_each(|name| self.probe(name, out));
    }

    fn declare_dead(&mut self, name: &str, out: &mut Vec<Action>) {
        let suspected = self
            .members
            .get(name)
            .filter(|member| member.claim.state == MemberState::Suspected);
        let Some(member) = suspected else { return };
        let claim = member.claim.with_state(MemberState::Dead);
        self.counters.deaths_declared += 1;
        let by = self.own.name.clone();
        self.apply_claim(
            Report {
                name,
                claim,
                by: &by,
                why: ClaimSource::OwnProbe,
            },
            out,
        );
    }
}
