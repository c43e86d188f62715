//! What operators are answered on their socket, by the word that they send.

use super::availability::Availability;
use super::membership::Fleet;
use super::Proxy;
use crate::net::operators::Operators;
use crate::net::peers::Peers;
use crate::net::syscalls::SyscallCounters;
use crate::report::resources::Resources;
use crate::report::{self, MetricSources, Metrics};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_replication::replica::Replica;
use meadowrill_routing::interface::Micros;

/// The operators' socket, and what a benchmark's build adds.
pub(super) struct OperatorInterface {
    /// None without a socket in the settings.
    pub(super) operators: Option<Operators>,
    /// Further counts of a benchmark's build.
    pub(super) benchmark_counts: Option<fn() -> String>,
}

/// What answers are made of.
struct Answers<'a> {
    admission: &'a AdmissionController,
    metrics: &'a Metrics,
    availability: &'a Availability,
    resources: Resources,
    fleet: &'a Fleet,
    syscalls: &'a SyscallCounters,
    benchmark_counts: Option<fn() -> String>,
    now: Micros,
}

impl Proxy {
    /// Reads from an operator's connection, and answers once the word is there.
    pub(super) fn answer_operator(&mut self, number: u64, now: Micros) {
        let answers = Answers {
            admission: &self.admission.controller,
            metrics: &self.metrics,
            availability: &self.availability,
            resources: self.resources(),
            fleet: &self.fleet,
            syscalls: &self.poll.syscalls,
            benchmark_counts: self.operators.benchmark_counts,
            now,
        };
        if let Some(operators) = &mut self.operators.operators {
            operators.handle_ready(number, &self.poll, |word| answers.answer(word));
        }
    }

    fn resources(&self) -> Resources {
        Resources {
            buffer_bytes: self.poll.buffer_memory.bytes(),
            buffer_limit: self.config.max_buffer_bytes,
            attempts_in_flight: self.upstream.connections.attempts_in_flight(),
        }
    }
}

impl Answers<'_> {
    fn answer(&self, word: &str) -> String {
        let (now, peers) = (self.now, self.fleet.peers.as_ref());
        match word {
            "turns" => report::admission::table(&self.admission.report()),
            "metrics" => self.metrics.encode(&self.metric_sources(), now),
            "fleet events" => events_report(peers, |events| events.table(now)),
            "fleet events json" => events_report(peers, |events| events.json(now)),
            "fleet" => fleet_report(peers, |peers| report::fleet::table(peers.view(), now)),
            "fleet json" => fleet_report(peers, |peers| report::fleet::json(peers.view(), now)),
            "counts" => self.counts(),
            _ => match word.strip_prefix("fleet ") {
                Some(part) => replica_report(self.fleet.replica(), part, now),
                None => "turns, metrics, fleet or counts\n".to_string(),
            },
        }
    }

    fn metric_sources(&self) -> MetricSources<'_> {
        MetricSources {
            admission: self.admission,
            availability: self.availability,
            peers: self.fleet.peers.as_ref(),
            resources: self.resources,
        }
    }

    fn counts(&self) -> String {
        let further = self
            .benchmark_counts
            .map_or(String::new(), |counts| counts());
        format!("{}{further}", self.syscalls.report())
    }
}

fn fleet_report(peers: Option<&Peers>, report: impl FnOnce(&Peers) -> String) -> String {
    match peers {
        None => "no fleet in the settings\n".to_string(),
        Some(peers) => report(peers),
    }
}

fn events_report(
    peers: Option<&Peers>,
    report: impl FnOnce(report::distribution::SubscriptionReport) -> String,
) -> String {
    match peers.and_then(report::distribution::SubscriptionReport::new) {
        None => "no fleet { events { } } in the settings\n".to_string(),
        Some(events) => report(events),
    }
}

/// A part of the shared state: `state`, `state json`, `entries`, or `ledger` with the key of an effect.
fn replica_report(replica: Option<&Replica>, part: &str, now: Micros) -> String {
    let Some(replica) = replica else {
        return "no fleet { replica { } } in the settings\n".to_string();
    };
    match part {
        "state" => report::replication::summary(replica, now),
        "state json" => report::replication::summary_json(replica),
        "entries" => report::replication::entries(replica),
        _ => match part.strip_prefix("ledger ") {
            Some(key) => report::replication::key_history(replica, key, now),
            None => "state, entries or ledger KEY\n".to_string(),
        },
    }
}
