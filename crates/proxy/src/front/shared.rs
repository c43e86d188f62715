//! What the fronts share, in the loop: keyed lookups wait for the ledger's word, what others heard of purges and machines
//! counts as told, and what they learned is handed to the decisions. Nothing of this is there without
//! `fleet { replica { ... } }` in the settings.

use super::lookups::{Effect, Taken};
use super::Front;
use crate::frame;
use crate::net::discovery::EndpointRecord;
use meadowrill_replication::ledger::{Decision, RequestOutcome, RequestTerms};
use meadowrill_replication::records::{self, EndpointPhase};
use meadowrill_replication::replica::{endpoint_subject, Action, LogEvent, Subject};
use meadowrill_replication::snapshot::Restored;
use meadowrill_routing::interface::*;
use slog::{debug, info, warn};
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};

impl Front {
    pub(super) fn shares(&self) -> bool {
        self.fronts
            .as_ref()
            .is_some_and(|fronts| fronts.replica.is_some())
    }

    /// What is shared wants this done.
    pub(super) fn do_shared(&mut self, now: Micros) {
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        let lags = fronts
            .with_replica(|replica, _| std::mem::take(&mut replica.counts.record_ages))
            .unwrap_or_default();
        lags.into_iter().for_each(|(kind, lag)| {
            self.metrics
                .observe_replication_lag(kind.name(), lag as f64 / 1e6)
        });
        for act in fronts.take_replica_acts() {
            match act {
                Action::Decision(word) => self.word(word, now),
                Action::Purge {
                    object,
                    group,
                    stamp,
                } => {
                    self.events.push(Event::Invalidated {
                        object,
                        group,
                        age: now - stamp,
                    });
                }
                Action::UpdateEndpoint {
                    id,
                    started_at,
                    phase,
                    endpoint,
                } => self.hearsay(&id, started_at, phase, &endpoint),
                Action::UseObservations { subject } => self.learned(&subject),
                Action::Log(told) => self.tell_shared(told),
                // These have gone to other fronts already.
                Action::SendDatagram { .. } | Action::SendStream { .. } => {}
            }
        }
    }

    /// What was kept across a start counts as told, before the first lookup.
    pub(super) fn restore(&mut self, now: Micros) {
        let Some(path) = self.snapshot_path() else {
            return;
        };
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
                return info!(self.log, "no snapshot yet")
            }
            Err(e) => return warn!(self.log, "snapshot refused"; "why" => %e),
        };
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        let taken = fronts.with_replica(|replica, acts| {
            let taken = replica.restore(now, &bytes);
            replica.replay_updates(acts);
            taken
        });
        match taken {
            Some(Ok(Restored { records, age })) => {
                info!(self.log, "snapshot taken in"; "records" => records, "age_us" => age);
            }
            Some(Err(refused)) => warn!(self.log, "snapshot refused"; "why" => refused.reason()),
            None => {}
        }
    }

    fn snapshot_path(&self) -> Option<PathBuf> {
        self.config
            .own
            .replica
            .as_ref()
            .and_then(|shared| shared.snapshot.as_ref())
            .map(PathBuf::from)
    }

    /// Writes what is held, beside the loop: packing and the disk take their time.
    pub(super) fn keep(&mut self, now: Micros) -> Option<JoinHandle<()>> {
        let path = self.snapshot_path()?;
        let every = self
            .config
            .own
            .replica
            .as_ref()
            .map_or(0, |shared| shared.snapshot_every);
        if now < self.kept_at + every as Micros * 1_000_000 && !self.ending {
            return None;
        }
        self.kept_at = now;
        let pack = self.fronts.as_ref()?.replica.as_ref()?.snapshot(now);
        let log = self.log.clone();
        Some(thread::spawn(move || {
            let aside = path.with_extension("aside");
            let write = || -> io::Result<()> {
                let mut file = File::create(&aside)?;
                file.write_all(&pack())?;
                file.sync_all()?;
                std::fs::rename(&aside, &path)
            };
            if let Err(e) = write() {
                warn!(log, "snapshot not written"; "why" => %e);
            }
        }))
    }

    fn tell_shared(&mut self, told: LogEvent) {
        let log = &self.log;
        match told {
            LogEvent::Ready { caught_up, elapsed } => {
                info!(log, "ready"; "caught_up" => caught_up, "took_us" => elapsed);
                (self.clients.ready, self.clients.caught_up) = (!self.ending, Some(caught_up));
            }
            LogEvent::CaughtUp { records, elapsed } => {
                info!(log, "caught up"; "records" => records, "took_us" => elapsed);
                let replica = self
                    .fronts
                    .as_ref()
                    .and_then(|fronts| fronts.replica.as_ref());
                let all = replica
                    .map(|replica| replica.observed_subjects())
                    .unwrap_or_default();
                all.iter().for_each(|what| self.learned(what));
            }
            LogEvent::DonorReplaced { former, next } => {
                warn!(log, "nothing from a donor"; "who" => former, "next" => next)
            }
            LogEvent::VotingStarted { elapsed } => {
                info!(log, "vouches for effects"; "took_us" => elapsed)
            }
        }
    }

    /// Others have learned something of an object or a machine.
    fn learned(&mut self, what: &[u8]) {
        let replica = self
            .fronts
            .as_ref()
            .and_then(|fronts| fronts.replica.as_ref());
        let Some(opinion) = replica.and_then(|replica| replica.shared_estimate(what)) else {
            return;
        };
        match (Subject::decode(what), opinion.values.as_slice()) {
            (Some(Subject::Object(object)), [highest, ..]) => {
                self.events.push(Event::SharedLength {
                    object,
                    highest_part: *highest as u32,
                });
            }
            (Some(Subject::Endpoint(id)), [failing, first_byte, ..]) => {
                if let Some(peer) = self.machines.get(&id) {
                    let first_byte = (*first_byte >= 0.0).then_some(*first_byte as Micros);
                    self.events.push(Event::SharedEstimate {
                        endpoint: peer,
                        failure_rate: *failing,
                        first_byte,
                    });
                }
            }
            _ => {}
        }
    }

    /// A machine has come so far, as another front was told: it counts as told here as well.
    fn hearsay(
        &mut self,
        id: &str,
        start: Micros,
        phase: EndpointPhase,
        machine: &records::EndpointInfo,
    ) {
        let standing = standing(phase);
        let member = EndpointRecord {
            id: id.to_string(),
            address: machine.address.parse().ok(),
            zone: machine.locality.clone(),
            machine_kind: machine.flavor.clone(),
            cell: machine.cell as u16,
            status: standing,
            weight: machine.size,
            started_at: start,
        };
        if member.address.is_none() && standing != EndpointStatus::Removed {
            return;
        }
        let entry = self.entry(member);
        self.events
            .push(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])));
    }

    /// What the journal service says of a machine, beside what others have heard: the later stands.
    pub(super) fn share_machine(
        &mut self,
        mut member: EndpointRecord,
        now: Micros,
    ) -> EndpointRecord {
        let Some(fronts) = &mut self.fronts else {
            return member;
        };
        let machine = records::EndpointInfo {
            address: member.address.map_or(String::new(), |at| at.to_string()),
            locality: member.zone.clone(),
            flavor: member.machine_kind.clone(),
            cell: u32::from(member.cell),
            size: member.weight,
        };
        let phase = match member.status {
            EndpointStatus::Ready => EndpointPhase::Ready,
            EndpointStatus::Draining => EndpointPhase::Draining,
            EndpointStatus::Removed => EndpointPhase::Removed,
        };
        fronts.with_replica(|replica, _| {
            replica.publish_endpoint(now, &member.id, member.started_at, phase, &machine);
            if let Some((_, phase)) = replica
                .endpoint_phase(&member.id)
                .filter(|(s, _)| *s == member.started_at)
            {
                member.status = standing(phase);
            }
        });
        member
    }

    /// A lookup was let in: which part of what, and by whom.
    pub(super) fn saw_asked(&mut self, lookup: u32, now: Micros) {
        let (Some(taken), Some(fronts)) = (self.lookups.get(&lookup), &mut self.fronts) else {
            return;
        };
        let request = &taken.request;
        fronts.with_replica(|replica, _| {
            replica.observe_part(now, request.object, request.part);
            replica.record_usage(request.tenant.as_deref().unwrap_or(""), request.size_kb);
        });
    }

    // Effects.

    /// Whether a lookup has to wait for a word of the ledger.
    pub(super) fn claims(&mut self, lookup: u32, now: Micros) -> bool {
        let Some(taken) = self.lookups.get_mut(&lookup) else {
            return false;
        };
        let class = &self.config.classes[taken.kind];
        let Some(mark) = taken
            .request
            .idempotency_key
            .as_ref()
            .filter(|_| class.effect)
        else {
            return false;
        };
        let key = [mark.as_bytes(), b" ", class.name.as_bytes()].concat();
        let terms = RequestTerms {
            deadline: taken.expires,
            latency_budget: class.admission.latency_budget,
            dedup_window: class.window,
        };
        let Some(fronts) = &mut self.fronts else {
            return false;
        };
        let token = u64::from(lookup);
        let asked = fronts
            .with_replica(|replica, acts| replica.begin_request(now, token, &key, terms, acts));
        if asked != Some(true) {
            return false;
        }
        taken.effect = Effect::Asking;
        self.with_fronts(now, |fronts, poll| fronts.dispatch(now, poll));
        true
    }

    fn word(&mut self, word: Decision, now: Micros) {
        let lookup = match &word {
            Decision::Admit { token, .. }
            | Decision::Replay { token, .. }
            | Decision::Fail { token }
            | Decision::Reject { token, .. } => *token as u32,
        };
        let Some(taken) = self.lookups.get_mut(&lookup).filter(|t| t.owed) else {
            return;
        };
        debug!(self.log, "ledger"; "lookup" => taken.request.request_id.as_str(), "word" => ?word);
        taken.effect = Effect::None;
        match word {
            Decision::Admit {
                send_until,
                earlier_may_have_run,
                ..
            } => {
                taken.effect = Effect::Out {
                    again: earlier_may_have_run,
                };
                taken.expires = taken.expires.min(send_until);
                self.decide(lookup);
            }
            Decision::Replay { current, body, .. } => {
                let fields: &[(&str, &str)] = if current { &[("current", "1")] } else { &[] };
                self.answer(lookup, (frame::SUCCESS, fields, &body), now);
            }
            Decision::Fail { .. } => self.answer(lookup, (frame::FAILED, &[], &[]), now),
            Decision::Reject { retry_after, .. } => {
                self.nack(lookup, retry_after.min(self.config.longest_away), now);
            }
        }
    }

    /// A lookup that the ledger let go is answered, or its client has left.
    pub(super) fn effect_over(&mut self, lookup: u32, ran: Option<(bool, Vec<u8>)>, now: Micros) {
        let Some(taken) = self.lookups.get_mut(&lookup) else {
            return;
        };
        let effect = std::mem::replace(&mut taken.effect, Effect::None);
        let token = u64::from(lookup);
        let end = match (ran, taken.may_have_run()) {
            (Some((current, body)), _) => RequestOutcome::Ran { current, body },
            (None, true) => RequestOutcome::MayHaveRun,
            (None, false) => RequestOutcome::NotRun,
        };
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        match effect {
            Effect::None => return,
            Effect::Asking => {
                fronts.with_replica(|replica, acts| replica.cancel_request(now, token, acts));
            }
            Effect::Out { .. } => {
                fronts.with_replica(|replica, acts| replica.finish_request(now, token, end, acts));
            }
        }
        self.with_fronts(now, |fronts, poll| fronts.dispatch(now, poll));
    }

    /// A send to a machine has ended, for those who come after.
    pub(super) fn saw_end(&mut self, outcome: &AttemptEnd) {
        let source = self
            .lookups
            .get(&outcome.id)
            .and_then(|t| t.sources.get(usize::from(outcome.attempt)));
        let source = source.copied().filter(|source| *source != outcome.endpoint);
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        let machine = self.machines.name(outcome.endpoint);
        let failed = !matches!(
            outcome.outcome,
            AttemptOutcome::Success | AttemptOutcome::Miss | AttemptOutcome::Cancelled
        );
        fronts.with_replica(|replica, _| replica.observe_attempt(machine, failed, None));
        if let (Some(source), Some(time)) = (source, outcome.first_byte) {
            let source = self.machines.name(source);
            fronts.with_replica(|replica, _| replica.observe_attempt(source, false, Some(time)));
        }
    }

    /// What others make of a machine that has just come into the list.
    pub(super) fn recall_machine(&mut self, id: &str) {
        if self.shares() {
            self.learned(&endpoint_subject(id));
        }
    }
}

fn standing(phase: EndpointPhase) -> EndpointStatus {
    match phase {
        EndpointPhase::Ready => EndpointStatus::Ready,
        EndpointPhase::Draining => EndpointStatus::Draining,
        EndpointPhase::Removed => EndpointStatus::Removed,
    }
}

impl Taken {
    /// Whether anything of it was sent that may have run: what is still out may.
    fn may_have_run(&self) -> bool {
        self.ran || self.sends.iter().any(Option::is_some)
    }
}
