//! Merging claims and published bodies about members into the view.

use super::member::PublishedBody;
use super::{Act, Change, Member, Suspicion, View, Why};
use crate::claim::{Claim, State};
use crate::plan::TEXT_MOST;
use crate::wire::{self, Dropped, Record, You};
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
    pub why: Why,
}

impl View {
    /// A record from another front; `why` tells whether it came as a rumor or by anti-entropy.
    pub(super) fn receive_record(&mut self, record: Record, why: Why, out: &mut Vec<Act>) {
        let Some(claim) = record.claim() else { return };
        if record.name == self.own.name {
            self.receive_record_about_self(record, out);
        } else if !self.forgotten.covers(&record.name, record.start) {
            self.receive_record_about_member(record, claim, why, out);
        }
    }

    fn receive_record_about_self(&mut self, record: Record, out: &mut Vec<Act>) {
        if record.start > self.own.claim.start {
            let body = wire::body(&record.body)
                .filter(|_| !record.body.is_empty())
                .unwrap_or_default();
            self.resolve_name_conflict(record.start, body.nonce, &body.address, out);
            return;
        }
        let (start, incarnation, state) = (record.start, record.incarnation, record.state);
        let claim = You {
            start,
            incarnation,
            state,
            forgotten: false,
        };
        self.receive_claim_about_self(claim, &record.by, out);
    }

    fn receive_record_about_member(
        &mut self,
        record: Record,
        claim: Claim,
        why: Why,
        out: &mut Vec<Act>,
    ) {
        let published = PublishedBody {
            revision: if record.body.is_empty() {
                0
            } else {
                record.rev
            },
            body: wire::body(&record.body).unwrap_or_default(),
            encoded: record.body,
        };
        let known = self.members.get(&record.name);
        let report = Report {
            name: &record.name,
            claim,
            by: &record.by,
            why,
        };
        match claim.state {
            State::Suspected => {
                if known.is_none() {
                    self.learn_or_drop(report, published, out);
                }
                self.suspect(report, out);
            }
            State::Dead if known.is_some_and(|member| self.is_death_doubtful(member, report)) => {
                self.suspect(
                    Report {
                        claim: claim.with(State::Suspected),
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
        if !report.claim.overrules(&known)
            || !known.state.here()
            || report.claim.start != known.start
        {
            return false;
        }
        let period = self.plan.period;
        let recent = RECENT_ANSWER_PERIODS * period as f64;
        let has_answered = member
            .acknowledged_at
            .is_some_and(|at| ((self.now - at) as f64) < recent);
        let is_rumor = report.why == Why::Heard;
        let long_suspected = known.state == State::Suspected
            && self.now - member.since >= OLD_SUSPICION_PERIODS * period;
        has_answered || !(is_rumor || long_suspected)
    }

    fn learn_or_drop(&mut self, report: Report, published: PublishedBody, out: &mut Vec<Act>) {
        if self.learn(report, published, out).is_err() {
            self.count_dropped(Dropped::Full);
        }
    }

    /// Takes in a claim and a published body, each as far as it supersedes what is known. Fails where there is no room
    /// for another member.
    pub(super) fn learn(
        &mut self,
        report: Report,
        published: PublishedBody,
        out: &mut Vec<Act>,
    ) -> Result<(), Dropped> {
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
            .is_some_and(|member| report.claim.overrules(&member.claim))
        {
            self.apply_claim(report, out);
        }
        Ok(())
    }

    fn add_member(
        &mut self,
        report: Report,
        published: PublishedBody,
        out: &mut Vec<Act>,
    ) -> Result<(), Dropped> {
        let Report {
            name,
            claim,
            by,
            why,
        } = report;
        if self.members.len() + 1 >= self.plan.members_most || name.len() > TEXT_MOST {
            return Err(Dropped::Full);
        }
        let mut member = Member::new(claim, published, by, self.now);
        member.received_at = (why == Why::Said).then_some(self.now);
        self.members.insert(name.into(), member);
        if claim.state.here() {
            self.rings.insert(name);
            self.toggle_digest(name);
            self.membership_changed_at = self.now;
        }
        self.forgotten.remove(name);
        self.body_updates += 1;
        let by = if why == Why::Said { name } else { by };
        self.announce(Report { by, ..report }, None, out);
        Ok(())
    }

    /// Another process has a member's name: nothing that the former one published holds for it.
    fn reset_for_new_process(&mut self, name: &str, published: &PublishedBody) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.rev = 0;
            member.acknowledged_at = None;
            member.round_trip = None;
            member.encoded_body.clear();
            member.body = published.body.clone();
        }
        self.toggle_digest(name);
    }

    /// Takes a later revision of a member's body; and one without revision, which holds only its address, where that
    /// is not known yet.
    fn update_body(&mut self, report: Report, published: PublishedBody, out: &mut Vec<Act>) {
        let Report {
            name, claim, why, ..
        } = report;
        let Some(member) = self.members.get(name) else {
            return;
        };
        let is_address = published.revision == 0 && member.body.address.is_empty();
        if claim.start < member.claim.start || !(published.revision > member.rev || is_address) {
            return;
        }
        let is_first = member.rev == 0;
        let is_present = member.claim.state.here();
        self.body_updates += 1;
        self.replace_body(name, published);
        if is_present {
            self.membership_changed_at = self.now;
        }
        // What comes by anti-entropy spreads by it as well.
        if why != Why::Caught {
            self.rumors.insert(name, self.members.len());
        }
        if !is_first {
            out.push(Act::Tell(Change::Values { name: name.into() }));
        }
    }

    fn replace_body(&mut self, name: &str, published: PublishedBody) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.rev = published.revision.max(member.rev);
            member.body = published.body;
            member.encoded_body = published.encoded;
        }
        self.toggle_digest(name);
    }

    /// Replaces the claim about a known member.
    pub(super) fn apply_claim(&mut self, report: Report, out: &mut Vec<Act>) {
        let Report {
            name, claim, by, ..
        } = report;
        let Some(former) = self.members.get(name).map(|member| member.claim) else {
            return;
        };
        self.toggle_digest(name);
        self.replace_claim(name, claim, by);
        self.toggle_digest(name);
        match (former.state.here(), claim.state.here()) {
            (true, false) => self.rings.remove(name),
            (false, true) => self.rings.insert(name),
            _ => {}
        }
        if former.state.here() != claim.state.here() || former.start != claim.start {
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
            member.since = now;
        }
        member.claim = claim;
        if claim.state == State::Suspected {
            member.suspicion.get_or_insert_with(|| Suspicion::new(now));
        } else {
            member.suspicion = None;
            member.by = by.into();
        }
    }
}
