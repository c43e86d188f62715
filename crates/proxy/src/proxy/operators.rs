//! Commands that operators send on the operator socket, and the answers to them.

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

/// The operator socket, and the additional counters of a benchmark build.
pub(super) struct OperatorInterface {
    /// `None` without a socket in the settings.
    pub(super) operators: Option<Operators>,
    /// Returns the additional counters of a benchmark build.
    pub(super) benchmark_counts: Option<fn() -> String>,
}

/// The state from which commands are answered.
struct CommandContext<'a> {
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
    /// Reads from an operator's connection, and answers once the command is complete.
    pub(super) fn handle_operator(&mut self, number: u64, now: Micros) {
        let context = CommandContext {
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
            operators.handle_ready(number, &self.poll, |command| context.answer(command));
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

impl CommandContext<'_> {
    fn answer(&self, command: &str) -> String {
        let (now, peers) = (self.now, self.fleet.peers.as_ref());
        match command {
            "turns" => report::admission::table(&self.admission.report()),
            "metrics" => self.metrics.encode(&self.metric_sources(), now),
            "fleet events" => events_report(peers, |events| events.table(now)),
            "fleet events json" => events_report(peers, |events| events.json(now)),
            "fleet" => fleet_report(peers, |peers| report::fleet::table(peers.view(), now)),
            "fleet json" => fleet_report(peers, |peers| report::fleet::json(peers.view(), now)),
            "counts" => self.counts(),
            _ => match command.strip_prefix("fleet ") {
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
        let extra_counters = self
            .benchmark_counts
            .map_or(String::new(), |counts| counts());
        format!("{}{extra_counters}", self.syscalls.report())
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

/// Reports a part of the shared state: `state`, `state json`, `entries`, or `ledger` with an idempotency key and its
/// class.
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
