//! Merging of claims and published bodies of members into the view.
//!
//! Invariants: the claim about a member is only replaced by a claim that supersedes it; the revision of a member's body
//! only grows while its process is the same; a member is on the rings and in the digest exactly while it is present.

use super::member::PublishedBody;
use super::{Action, Change, ClaimSource, Member, Suspicion, View};
use crate::claim::{Claim, MemberState};
use crate::settings::MAX_TEXT_LENGTH;
use crate::wire::{self, DropReason, ReceiverClaim, Record};
use crate::Micros;

/// A reported death is verified if the member responded to a probe within this number of probe periods.
const RECENT_RESPONSE_PERIODS: f64 = 1.5;
/// A death learned by anti-entropy is accepted if the member has been suspected for this number of probe periods.
const OLD_SUSPICION_PERIODS: Micros = 2;

/// A claim about another member, and how this proxy learned of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimReport<'a> {
    /// The member that the claim is about.
    pub name: &'a str,
    pub claim: Claim,
    /// Name of the proxy that accuses the member; empty if there is none.
    pub accuser: &'a str,
    pub source: ClaimSource,
}

impl View {
    /// Handles a record from another proxy. `source` is a rumor or anti-entropy.
    pub(super) fn receive_record(
        &mut self,
        record: Record,
        source: ClaimSource,
        actions: &mut Vec<Action>,
    ) {
        let Some(claim) = record.claim() else { return };
        if record.name == self.own.name {
            self.receive_record_about_self(record, actions);
        } else if !self.tombstones.covers(&record.name, record.start) {
            self.receive_record_about_member(record, claim, source, actions);
        }
    }

    fn receive_record_about_self(&mut self, record: Record, actions: &mut Vec<Action>) {
        if record.start > self.own.claim.start {
            let body = wire::decode_body(&record.body)
                .filter(|_| !record.body.is_empty())
                .unwrap_or_default();
            self.resolve_name_conflict(record.start, body.nonce, &body.address, actions);
            return;
        }
        let (start, incarnation, state) = (record.start, record.incarnation, record.state);
        let claim = ReceiverClaim {
            start,
            incarnation,
            state,
            forgotten: false,
        };
        self.receive_claim_about_self(claim, &record.accuser, actions);
    }

    fn receive_record_about_member(
        &mut self,
        record: Record,
        claim: Claim,
        source: ClaimSource,
        actions: &mut Vec<Action>,
    ) {
        let published = PublishedBody::from_wire(record.revision, record.body);
        let known = self.members.get(&record.name);
        let report = ClaimReport {
            name: &record.name,
            claim,
            accuser: &record.accuser,
            source,
        };
        match claim.state {
            MemberState::Suspected => {
                // The view does not know a later process either: the body of the former process is not valid for it.
                if known.is_none_or(|member| claim.start > member.claim.start) {
                    self.learn_or_drop(report, published, actions);
                }
                self.suspect(report, actions);
            }
            MemberState::Dead
                if known.is_some_and(|member| self.must_verify_death(member, report)) =>
            {
                self.verify_death(report, actions);
            }
            _ => self.learn_or_drop(report, published, actions),
        }
    }

    /// Suspects and probes a member whose death was reported, instead of accepting the death, so that the member can
    /// refute the claim.
    fn verify_death(&mut self, report: ClaimReport, actions: &mut Vec<Action>) {
        let suspicion = ClaimReport {
            claim: report.claim.with_state(MemberState::Suspected),
            accuser: "",
            ..report
        };
        self.suspect(suspicion, actions);
        self.probe(report.name, actions);
    }

    /// Whether a reported death of a present member has to be verified: the member recently responded to this proxy, or
    /// the report is not a rumor and this proxy has not suspected the member for long enough.
    fn must_verify_death(&self, member: &Member, report: ClaimReport) -> bool {
        let known = member.claim;
        if !report.claim.supersedes(&known)
            || !known.state.is_present()
            || report.claim.start != known.start
        {
            return false;
        }
        let period = self.settings.probe_period;
        let recent = RECENT_RESPONSE_PERIODS * period as f64;
        let has_responded = member
            .acknowledged_at
            .is_some_and(|at| ((self.now - at) as f64) < recent);
        let is_rumor = report.source == ClaimSource::Rumor;
        let long_suspected = known.state == MemberState::Suspected
            && self.now - member.state_since >= OLD_SUSPICION_PERIODS * period;
        has_responded || !(is_rumor || long_suspected)
    }

    fn learn_or_drop(
        &mut self,
        report: ClaimReport,
        published: PublishedBody,
        actions: &mut Vec<Action>,
    ) {
        if self.learn(report, published, actions).is_err() {
            self.count_dropped(DropReason::ViewFull);
        }
    }

    /// Merges a claim and a published body, each only if it supersedes the known one. Fails if the view has no capacity
    /// for another member.
    pub(super) fn learn(
        &mut self,
        report: ClaimReport,
        published: PublishedBody,
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let Some(member) = self.members.get(report.name) else {
            return self.add_member(report, published, actions);
        };
        if report.claim.start > member.claim.start {
            self.reset_for_new_process(report.name, &published);
        }
        self.update_body(report, published, actions);
        if self
            .members
            .get(report.name)
            .is_some_and(|member| report.claim.supersedes(&member.claim))
        {
            self.apply_claim(report, actions);
        }
        Ok(())
    }

    fn add_member(
        &mut self,
        report: ClaimReport,
        published: PublishedBody,
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let ClaimReport {
            name,
            claim,
            accuser,
            source,
        } = report;
        if self.members.len() + 1 >= self.settings.max_members || name.len() > MAX_TEXT_LENGTH {
            return Err(DropReason::ViewFull);
        }
        let mut member = Member::new(claim, published, accuser, self.now);
        member.received_at = (source == ClaimSource::MemberItself).then_some(self.now);
        self.members.insert(name.into(), member);
        if claim.state.is_present() {
            self.rings.insert(name);
            self.toggle_digest(name);
            self.membership_changed_at = self.now;
        }
        self.tombstones.remove(name);
        self.body_updates += 1;
        let accuser = if source == ClaimSource::MemberItself {
            name
        } else {
            accuser
        };
        self.disseminate_and_report(ClaimReport { accuser, ..report }, None, actions);
        Ok(())
    }

    /// Resets a member when another process has its name: the body and the accusations of the former process are not
    /// valid for the new one. The former address is used until another is known, so that the member can be probed.
    fn reset_for_new_process(&mut self, name: &str, published: &PublishedBody) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.revision = 0;
            member.suspicion = None;
            member.acknowledged_at = None;
            member.round_trip = None;
            member.encoded_body.clear();
            let former_address = std::mem::take(&mut member.body.address);
            member.body = published.body.clone();
            if member.body.address.is_empty() {
                member.body.address = former_address;
            }
        }
        self.toggle_digest(name);
    }

    /// Replaces a member's body with a later revision. A body without a revision, which contains only an address, is
    /// used if the member's address is unknown.
    fn update_body(
        &mut self,
        report: ClaimReport,
        published: PublishedBody,
        actions: &mut Vec<Action>,
    ) {
        let ClaimReport {
            name,
            claim,
            source,
            ..
        } = report;
        let Some(member) = self.members.get(name) else {
            return;
        };
        let is_address = published.revision == 0 && member.body.address.is_empty();
        if claim.start < member.claim.start || !(published.revision > member.revision || is_address)
        {
            return;
        }
        let is_first = member.revision == 0;
        let is_present = member.claim.state.is_present();
        self.body_updates += 1;
        self.replace_body(name, published);
        if is_present {
            self.membership_changed_at = self.now;
        }
        // Bodies learned by anti-entropy also spread by anti-entropy.
        if source != ClaimSource::AntiEntropy {
            self.rumors.insert(name, self.members.len());
        }
        if !is_first {
            actions.push(Action::Notify(Change::BodyReplaced { name: name.into() }));
        }
    }

    fn replace_body(&mut self, name: &str, published: PublishedBody) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.revision = published.revision.max(member.revision);
            member.body = published.body;
            member.encoded_body = published.encoded;
        }
        self.toggle_digest(name);
    }

    /// Replaces the claim about a known member.
    pub(super) fn apply_claim(&mut self, report: ClaimReport, actions: &mut Vec<Action>) {
        let ClaimReport {
            name,
            claim,
            accuser,
            ..
        } = report;
        let Some(former) = self.members.get(name).map(|member| member.claim) else {
            return;
        };
        self.toggle_digest(name);
        self.replace_claim(name, claim, accuser);
        self.toggle_digest(name);
        match (former.state.is_present(), claim.state.is_present()) {
            (true, false) => self.rings.remove(name),
            (false, true) => self.rings.insert(name),
            _ => {}
        }
        if former.state.is_present() != claim.state.is_present() || former.start != claim.start {
            self.membership_changed_at = self.now;
        }
        self.disseminate_and_report(report, Some(former), actions);
    }

    fn replace_claim(&mut self, name: &str, claim: Claim, accuser: &str) {
        let now = self.now;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.claim.state != claim.state || member.claim.start != claim.start {
            member.state_since = now;
        }
        member.claim = claim;
        if claim.state == MemberState::Suspected {
            member.suspicion.get_or_insert_with(|| Suspicion::new(now));
        } else {
            member.suspicion = None;
            member.declared_dead_by = accuser.into();
        }
    }
}
