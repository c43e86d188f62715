//! Dissemination of rumors: which changes are carried by probes, and which are pushed to random members soon.
//!
//! Invariant: at most one push is scheduled, at the earliest time that any urgent change requires.

use super::merge::ClaimReport;
use super::{Action, Change, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::Micros;

/// The part of a probe period until an urgent change is pushed, as a divisor: changes in between share the datagrams.
const PUSH_DELAY_DIVISOR: Micros = 20;
/// How many random members an urgent change is pushed to.
const PUSH_FANOUT: usize = 4;

impl View {
    /// Spreads and reports a new claim about a member; `former` is the one that it replaces.
    pub(super) fn spread_and_report(
        &mut self,
        report: ClaimReport,
        former: Option<Claim>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_spread(report, former) {
            self.rumors.insert(report.name, self.members.len());
        }
        if is_urgent(report, former) {
            self.schedule_push();
        }
        let claim = report.claim;
        if former.is_none_or(|former| former.state != claim.state || former.start != claim.start) {
            actions.push(Action::Notify(Change::MemberChanged {
                name: report.name.into(),
                from: former.map(|former| former.state),
                to: claim.state,
                start: claim.start,
                incarnation: claim.incarnation,
                source: report.source,
                accuser: report.accuser.into(),
            }));
        }
    }

    /// What came by anti-entropy is spread by it as well, but for returns; and of a member without a published body
    /// there is nothing to spread yet.
    fn is_spread(&self, report: ClaimReport, former: Option<Claim>) -> bool {
        let has_body = self
            .members
            .get(report.name)
            .is_some_and(|m| !m.encoded_body.is_empty());
        let is_bare = report.claim.state == MemberState::Alive && !has_body;
        (report.source != ClaimSource::AntiEntropy && !is_bare) || has_returned(former)
    }

    /// Pushes rumors soon.
    pub(super) fn schedule_push(&mut self) {
        let at = self.now + self.settings.probe_period / PUSH_DELAY_DIVISOR;
        self.push_at = Some(self.push_at.map_or(at, |scheduled| scheduled.min(at)));
    }

    /// Sends rumors to some random members, as far as the budget allows.
    pub(super) fn push_rumors(&mut self, actions: &mut Vec<Action>) {
        self.push_at = None;
        for peer in self.random_peers(PUSH_FANOUT, "") {
            if !self.may_send_deferrable() {
                return;
            }
            self.send(peer.recipient(), None, actions);
        }
    }
}

/// What this proxy found out by itself; and appearances, disappearances and new processes, unless by anti-entropy.
fn is_urgent(report: ClaimReport, former: Option<Claim>) -> bool {
    let changes_membership = former.is_none_or(|former| {
        former.state.is_present() != report.claim.state.is_present()
            || former.start != report.claim.start
    });
    let is_recent = report.source != ClaimSource::AntiEntropy || has_returned(former);
    report.source == ClaimSource::OwnProbe || (is_recent && changes_membership)
}

/// Whether the member was dead or had left before.
fn has_returned(former: Option<Claim>) -> bool {
    former.is_some_and(|former| !former.state.is_present())
}
