//! Dissemination of rumors: all are piggybacked on probes and acks, and urgent ones are also pushed to random members.
//!
//! Invariant: at most one push is scheduled, at the earliest time that any urgent change requires.

use super::merge::ClaimReport;
use super::{Action, Change, ClaimSource, View};
use crate::claim::{Claim, MemberState};
use crate::Micros;

/// Divisor of the probe period that gives the delay before an urgent change is pushed. Changes during the delay share
/// the datagrams.
const PUSH_DELAY_DIVISOR: Micros = 20;
/// Number of random members to which an urgent change is pushed.
const PUSH_FANOUT: usize = 4;

impl View {
    /// Queues a new claim about a member as a rumor, and reports it. `former` is the claim that it replaces.
    pub(super) fn disseminate_and_report(
        &mut self,
        report: ClaimReport,
        former: Option<Claim>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_queued_as_rumor(report, former) {
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

    /// Whether a claim is queued as a rumor. Claims learned by anti-entropy spread by anti-entropy, except for the
    /// return of a member. An alive member without a published body has nothing to disseminate yet.
    fn is_queued_as_rumor(&self, report: ClaimReport, former: Option<Claim>) -> bool {
        let has_body = self
            .members
            .get(report.name)
            .is_some_and(|m| !m.encoded_body.is_empty());
        let lacks_body = report.claim.state == MemberState::Alive && !has_body;
        (report.source != ClaimSource::AntiEntropy && !lacks_body) || has_returned(former)
    }

    /// Schedules a push of rumors after a short delay.
    pub(super) fn schedule_push(&mut self) {
        let at = self.now + self.settings.probe_period / PUSH_DELAY_DIVISOR;
        self.push_at = Some(self.push_at.map_or(at, |scheduled| scheduled.min(at)));
    }

    /// Sends rumors to random members, until the send budget is exhausted.
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

/// Whether a claim is pushed soon: one that this proxy's own probe established, and one about an appearance, a
/// disappearance or a new process unless it was learned by anti-entropy. Returns are urgent in either case.
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
