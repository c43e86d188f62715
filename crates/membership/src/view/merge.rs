//! Merging claims and published bodies about members into the view.

use super::member::PublishedBody;
use super::{Action, Change, ClaimSource, Member, Suspicion, View};
use crate::claim::{Claim, MemberState};
use crate::settings::MAX_TEXT_LENGTH;
use crate::wire::{self, DropReason, ReceiverClaim, Record};
use crate::Micros;

/// An answer to a probe within so many periods speaks against an unconfirmed report of a death.
const RECENT_ANSWER_PERIODS: f64 = 1.5;
/// A suspicion so many periods old gives way to a death that another front has held for longer.
const OLD_SUSPICION_PERIODS: Micros = 2;

/// A claim about another member, with its source.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report<'a> {
    /// The member that the claim is about.
    pub name: &'a str,
    pub claim: Claim,
    /// Who accuses the member; empty where nobody does.
    pub by: &'a str,
    pub why: ClaimSource,
}

impl View {
    /// A record from another front; `why` tells whether it came as a rumor or by anti-entropy.
    pub(super) fn receive_record(
        &mut self,
        record: Record,
        why: ClaimSource,
        out: &mut Vec<Action>,
    ) {
        let Some(claim) = record.claim() else { return };
        if record.name == self.own.name {
            self.receive_record_about_self(record, out);
        } else if !self.forgotten.covers(&record.name, record.start) {
            self.receive_record_about_member(record, claim, why, out);
        }
    }

    fn receive_record_about_self(&mut self, record: Record, out: &mut Vec<Action>) {
        if record.start > self.own.claim.start {
            let body = wire::decode_body(&record.body)
                .filter(|_| !record.body.is_empty())
                .unwrap_or_default();
            self.resolve_name_conflict(record.start, body.nonce, &body.address, out);
            return;
        }
        let (start, incarnation, state) = (record.start, record.incarnation, record.state);
        let claim = ReceiverClaim {
            start,
            incarnation,
            state,
            forgotten: false,
        };
        self.receive_claim_about_self(claim, &record.accuser, out);
    }

    fn receive_record_about_member(
        &mut self,
        record: Record,
        claim: Claim,
        why: ClaimSource,
        out: &mut Vec<Action>,
    ) {
        let published = PublishedBody {
            revision: if record.body.is_empty() {
                0
            } else {
                record.revision
            },
            body: wire::decode_body(&record.body).unwrap_or_default(),
            encoded: record.body,
        };
        let known = self.members.get(&record.name);
        let report = Report {
            name: &record.name,
            claim,
            by: &record.accuser,
            why,
        };
        match claim.state {
            MemberState::Suspected => {
                if known.is_none() {
                    self.learn_or_drop(report, published, out);
                }
                self.suspect(report, out);
            }
            MemberState::Dead
                if known.is_some_and(|member| self.is_death_doubtful(member, report)) =>
            {
                self.suspect(
                    Report {
                        claim: claim.with_state(MemberState::Suspected),
                        by: "",
                        ..report
                    },
                    out,
                );
                // The member itself is to refute it.
                self.probe(report.name, out);
            }
            _ => self.learn_or_drop(report, published, out),
        }
    }

    /// Whether a reported death of a present member is not to be believed at once: this front had an answer from it
    /// recently, or the report is old and this front has not suspected it for long.
    fn is_death_doubtful(&self, member: &Member, report: Report) -> bool {
        let known = member.claim;
        if !report.claim.supersedes(&known)
            || !known.state.is_present()
            || report.claim.start != known.start
        {
            return false;
        }
        let period = self.plan.probe_period;
        let recent = RECENT_ANSWER_PERIODS * period as f64;
        let has_answered = member
            .acknowledged_at
            .is_some_and(|at| ((self.now - at) as f64) < recent);
        let is_rumor = report.why == ClaimSource::Rumor;
        let long_suspected = known.state == MemberState::Suspected
            && self.now - member.state_since >= OLD_SUSPICION_PERIODS * period;
        has_answered || !(is_rumor || long_suspected)
    }

    fn learn_or_drop(&mut self, report: Report, published: PublishedBody, out: &mut Vec<Action>) {
        if self.learn(report, published, out).is_err() {
            self.count_dropped(DropReason::ViewFull);
        }
    }

    /// Takes in a claim and a published body, each as far as it supersedes what is known. Fails where there is no room
    /// for another member.
    pub(super) fn learn(
        &mut self,
        report: Report,
        published: PublishedBody,
        out: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let Some(member) = self.members.get(report.name) else {
            return self.add_member(report, published, out);
        };
        if report.claim.start > member.claim.start {
            self.reset_for_new_process(report.name, &published);
        }
        self.update_body(report, published, out);
        if self
            .members
            .get(report.name)
            .is_some_and(|member| report.claim.supersedes(&member.claim))
        {
            self.apply_claim(report, out);
        }
        Ok(())
    }

    fn add_member(
        &mut self,
        report: Report,
        published: PublishedBody,
        out: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let Report {
            name,
            claim,
            by,
            why,
        } = report;
        if self.members.len() + 1 >= self.plan.max_members || name.len() > MAX_TEXT_LENGTH {
            return Err(DropReason::ViewFull);
        }
        let mut member = Member::new(claim, published, by, self.now);
        member.received_at = (why == ClaimSource::MemberItself).then_some(self.now);
        self.members.insert(name.into(), member);
        if claim.state.is_present() {
            self.rings.insert(name);
            self.toggle_digest(name);
            self.membership_changed_at = self.now;
        }
        self.forgotten.remove(name);
        self.body_updates += 1;
        let by = if why == ClaimSource::MemberItself {
            name
        } else {
            by
        };
        self.announce(Report { by, ..report }, None, out);
        Ok(())
    }

    /// Another process has a member's name: nothing that the former one published holds for it.
    fn reset_for_new_process(&mut self, name: &str, published: &PublishedBody) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.revision = 0;
            member.acknowledged_at = None;
            member.round_trip = None;
            member.encoded_body.clear();
            member.body = published.body.clone();
        }
        self.toggle_digest(name);
    }

    /// Takes a later revision of a member's body; and one without revision, which holds only its address, where that
    /// is not known yet.
    fn update_body(&mut self, report: Report, published: PublishedBody, out: &mut Vec<Action>) {
        let Report {
            name, claim, why, ..
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
        if why != ClaimSource::AntiEntropy {
            self.rumors.insert(name, self.members.len());
        }
        if !is_first {
            out.push(Action::Notify(Change::BodyReplaced { name: name.into() }));
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
    pub(super) fn apply_claim(&mut self, report: Report, out: &mut Vec<Action>) {
        let Report {
            name, claim, by, ..
        } = report;
        let Some(former) = self.members.get(name).map(|member| member.claim) else {
            return;
        };
        self.toggle_digest(name);
        self.replace_claim(name, claim, by);
        self.toggle_digest(name);
        match (former.state.is_present(), claim.state.is_present()) {
            (true, false) => self.rings.remove(name),
            (false, true) => self.rings.insert(name),
            _ => {}
        }
        if former.state.is_present() != claim.state.is_present() || former.start != claim.start {
            self.membership_changed_at = self.now;
        }
        self.announce(report, Some(former), out);
    }

    fn replace_claim(&mut self, name: &str, claim: Claim, by: &str) {
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
            member.declared_dead_by = by.into();
        }
    }
}
