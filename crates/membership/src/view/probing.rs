//! Probes of other members: a direct ping, then ping requests to helpers, then failure.
//!
//! States of a probe: direct until `indirect_at`, indirect until `deadline`, then failed. A probe ends earlier with an
//! ack, from the target or relayed by a helper, or when this process was paused. Invariants: there is at most one open
//! probe of each member; probes and relayed probes share one sequence counter, so an ack belongs to only one of them.

use super::budget::ESSENTIAL_FRACTION;
use super::recipients::Recipient;
use super::{Action, View};
use crate::wire::{Payload, Ping, PingRequest};
use crate::Micros;

/// Divisor of the probe period that gives the timeout of a direct probe.
pub(super) const DIRECT_TIMEOUT_DIVISOR: Micros = 3;
/// Number of helpers that are requested to probe a target indirectly.
const INDIRECT_HELPERS: usize = 3;
/// Weight of a new sample in the smoothed round trip time.
const ROUND_TRIP_SMOOTHING: f64 = 0.2;

/// A probe that has no response yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: String,
    sent_at: Micros,
    /// When helpers are requested to probe the target as well.
    indirect_at: Micros,
    /// When the probe fails if there is no response.
    deadline: Micros,
    indirect_requested: bool,
    /// Whether a helper reported that it got no response either, which shows that this proxy itself is not cut off.
    helper_responded: bool,
}

impl Probe {
    /// When the next step of this probe is due.
    pub(super) fn next_deadline(&self) -> Micros {
        if self.indirect_requested {
            self.deadline
        } else {
            self.indirect_at
        }
    }
}

impl View {
    /// Pings a member, unless a probe of it is already open.
    pub(super) fn probe(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(address) = self.address_of(name) else {
            return;
        };
        if self.probes.values().any(|probe| probe.target == name) {
            return;
        }
        let (period, multiplier) = (self.settings.probe_period, self.health.timeout_multiplier());
        let probe = Probe {
            target: name.into(),
            sent_at: self.now,
            indirect_at: self.now + period / DIRECT_TIMEOUT_DIVISOR * multiplier,
            deadline: self.now + period * multiplier,
            indirect_requested: false,
            helper_responded: false,
        };
        self.counters.probes += 1;
        let sequence = self.next_sequence();
        self.probes.insert(sequence, probe);
        let ping = Ping {
            sequence,
            target: name.into(),
        };
        self.send(
            Recipient { name, address },
            Some(Payload::Ping(ping)),
            actions,
        );
    }

    /// Executes the due steps of all probes, both this proxy's own and relayed ones.
    pub(super) fn process_probe_deadlines(&mut self, actions: &mut Vec<Action>) {
        self.request_due_indirect_probes(actions);
        self.fail_expired_probes(actions);
        self.send_due_nacks(actions);
        self.drop_expired_relayed_probes();
    }

    fn request_due_indirect_probes(&mut self, actions: &mut Vec<Action>) {
        let is_due = |probe: &Probe| !probe.indirect_requested && self.now >= probe.indirect_at;
        let due: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| is_due(probe))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            self.request_indirect_probe(sequence, actions);
        }
    }

    fn request_indirect_probe(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(&sequence) else {
            return;
        };
        probe.indirect_requested = true;
        let target = probe.target.clone();
        let Some(address) = self.address_of(&target) else {
            return;
        };
        // When many members fail at once, the send budget is needed to disseminate the failures. One helper is enough
        // to show that this proxy is not the one that is cut off.
        self.budget.refill(self.now);
        let helpers = if self.budget.has_fraction(ESSENTIAL_FRACTION) {
            INDIRECT_HELPERS
        } else {
            1
        };
        for helper in self.random_peers(helpers, &target) {
            let request = PingRequest {
                sequence,
                target: target.clone(),
                address: address.to_string(),
            };
            self.send(
                helper.recipient(),
                Some(Payload::PingRequest(request)),
                actions,
            );
        }
    }

    fn fail_expired_probes(&mut self, actions: &mut Vec<Action>) {
        let is_expired = |probe: &Probe| self.now >= probe.deadline;
        let expired: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| is_expired(probe))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(probe) = self.probes.remove(&sequence) {
                self.fail_probe(probe, actions);
            }
        }
    }

    /// Handles a probe without a response, neither directly nor through a helper.
    fn fail_probe(&mut self, probe: Probe, actions: &mut Vec<Action>) {
        self.counters.failed_probes += 1;
        let has_other_members = self
            .members
            .values()
            .filter(|m| m.claim.state.is_present())
            .count()
            > 1;
        if !probe.helper_responded && has_other_members {
            self.health.record_isolation();
        }
        self.suspect_unresponsive(&probe.target, actions);
    }

    /// Handles the response to a probe of this proxy, or to a probe relayed for another proxy.
    pub(super) fn receive_ack(&mut self, from: &str, sequence: u64, actions: &mut Vec<Action>) {
        if self.complete_relayed_probe(sequence, actions) {
            return;
        }
        let Some(probe) = self.probes.remove(&sequence) else {
            return;
        };
        self.health.record_response();
        let Some(member) = self.members.get_mut(&probe.target) else {
            return;
        };
        member.acknowledged_at = Some(self.now);
        if probe.target == from {
            let sample = (self.now - probe.sent_at) as f64;
            let smooth = |former: f64| former + ROUND_TRIP_SMOOTHING * (sample - former);
            member.round_trip = Some(member.round_trip.map_or(sample, smooth));
        }
        // This proxy withdraws its accusation. Other accusers learn of this from the member's refutation, because the
        // probe carried the suspicion to the member.
        if let Some(suspicion) = &mut member.suspicion {
            suspicion.accusers.remove(&self.own.name);
        }
    }

    /// Handles a helper's report that it got no response in time: the target may be dead, but this proxy can reach
    /// other members.
    pub(super) fn receive_nack(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.helper_responded = true;
            self.health.record_response();
        }
    }
}
