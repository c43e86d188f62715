//! Merging of claims and published bodies about members into the view.
//!
//! Invariants: the claim about a member is only ever replaced by one that supersedes it; the revision of its body only
//! grows while its process is the same; a member is on the rings and in the digest exactly while it is present.

use super::member::PublishedBody;
use super::{Action, Change, ClaimSource, Member, Suspicion, View};
use crate::claim::{Claim, MemberState};
use crate::settings::MAX_TEXT_LENGTH;
use crate::wire::{self, DropReason, ReceiverClaim, Record};
use crate::Micros;

/// A response to a probe within so many probe periods contradicts an unconfirmed report of a death.
const RECENT_RESPONSE_PERIODS: f64 = 1.5;
/// A suspicion so many probe periods old gives way to a death that comes by anti-entropy.
const OLD_SUSPICION_PERIODS: Micros = 2;

/// A claim about another member, and how this proxy learned of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimReport<'a> {
    /// The member that the claim is about.
    pub name: &'a str,
    pub claim: Claim,
    /// Who accuses the member; empty where nobody does.
    pub accuser: &'a str,
    pub source: ClaimSource,
}

impl View {
    /// A record from another proxy; `source` is a rumor or anti-entropy.
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
                // Of a later process nothing is known either: what the former one published is not valid for it.
                if known.is_none_or(|member| claim.start > member.claim.start) {
                    self.learn_or_drop(report, published, actions);
                }
                self.suspect(report, actions);
            }
            MemberState::Dead
                if known.is_some_and(|member| self.is_death_doubtful(member, report)) =>
            {
                self.question_death(report, actions);
            }
            _ => self.learn_or_drop(report, published, actions),
        }
    }

    /// Only suspects a member whose death was reported, and probes it, so that it can refute the claim.
    fn question_death(&mut self, report: ClaimReport, actions: &mut Vec<Action>) {
        let suspicion = ClaimReport {
            claim: report.claim.with_state(MemberState::Suspected),
            accuser: "",
            ..report
        };
        self.suspect(suspicion, actions);
        self.probe(report.name, actions);
    }

    /// Whether a reported death of a present member is not accepted at once: the member responded to this proxy
    /// recently, or the report is no rumor and this proxy has not suspected the member for long.
    fn is_death_doubtful(&self, member: &Member, report: ClaimReport) -> bool {
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

    /// Merges a claim and a published body, each as far as it supersedes what is known. Fails where the view has no
    /// capacity for another member.
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
        self.spread_and_report(ClaimReport { accuser, ..report }, None, actions);
        Ok(())
    }

    /// Another process has a member's name: what the former one published, or was accused of, is not valid for it. Its
    /// address counts until another is known, so that it can be probed.
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

    /// Replaces a member's body by a later revision; and by one without revision, which has only an address, where the
    /// address is not known yet.
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
        // What comes by anti-entropy spreads by it as well.
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
        self.spread_and_report(report, Some(former), actions);
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
