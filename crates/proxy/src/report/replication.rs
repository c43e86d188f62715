//! Reports on the replicated state: totals by record type, all entries, the history of one idempotency key, and
//! metrics.

use super::collector::{flag, label, unlabelled, Labels, Metric, MetricSnapshot};
use meadowrill_replication::ledger::{key_status, KeyStatus, Ledger};
use meadowrill_replication::map::StoredSize;
use meadowrill_replication::record::record_hash;
use meadowrill_replication::record_type::{RecordType, Tree};
use meadowrill_replication::records;
use meadowrill_replication::replica::Replica;
use meadowrill_routing::interface::Micros;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;

fn record_type_name(number: u32) -> String {
    RecordType::from_wire(number).map_or_else(
        || format!("kind {number}"),
        |record_type| record_type.name().to_string(),
    )
}

/// Names of the phases of an endpoint, indexed by their numbers in its record.
const PHASES: [&str; 3] = ["ready", "draining", "gone"];

/// The records by type, and the endpoints on which the discovery service and the replicated record disagree.
pub(crate) fn summary(replica: &Replica, now: Micros) -> String {
    let mut text = String::new();
    push_totals(&mut text, replica);
    push_record_types(&mut text, replica, now);
    push_conflicts(&mut text, replica);
    text
}

fn push_totals(text: &mut String, replica: &Replica) {
    let yes_or_no = |flag: bool| if flag { "yes" } else { "no" };
    // Writing to a `String` cannot fail, here and below.
    let _ = writeln!(
        text,
        "digest {:016x}  records {}  caught up {}  vouches {}  news waiting {}",
        replica.map().digest(),
        replica.map().len(),
        yes_or_no(replica.caught_up()),
        if replica.ledger().is_some() {
            yes_or_no(replica.can_vote())
        } else {
            "no ledger"
        },
        replica.queued_rumors(),
    );
}

fn push_record_types(text: &mut String, replica: &Replica, now: Micros) {
    let (map, counts) = (replica.map(), &replica.counts);
    let _ = writeln!(
        text,
        "{:<10}{:>10}{:>12}{:>12}{:>12}{:>12}",
        "kind", "records", "bytes", "oldest_s", "as news", "repaired"
    );
    for (number, size) in map.sizes().iter().filter(|(_, size)| size.entries > 0) {
        let expires_at = map
            .iter()
            .filter(|(key, _)| key.record_type == *number)
            .map(|(_, entry)| entry.expires_at)
            .min();
        let remaining_seconds = expires_at.map_or(0, |expires_at| (expires_at - now) / 1_000_000);
        let count = |of: &BTreeMap<u32, u64>| of.get(number).copied().unwrap_or(0);
        let (news, repaired) = (
            count(&counts.merged_from_rumors),
            count(&counts.merged_by_repair),
        );
        let _ = writeln!(
            text,
            "{:<10}{:>10}{:>12}{:>12}{news:>12}{repaired:>12}",
            record_type_name(*number),
            size.entries,
            size.bytes,
            format!("ends {remaining_seconds}")
        );
    }
}

fn push_conflicts(text: &mut String, replica: &Replica) {
    for (key, entry) in replica.map().of_type(RecordType::Endpoint) {
        let Some((id, start, phase, _)) = records::decode_endpoint(key, entry) else {
            continue;
        };
        let reported = replica.reported_phase(&id);
        if reported != Some((start, phase)) {
            let reported = reported.map_or("nothing", |(_, phase)| PHASES[phase as usize]);
            let _ = writeln!(
                text,
                "machine {id}: {} by hearsay, the journal service says {reported}",
                PHASES[phase as usize]
            );
        }
    }
}

pub(crate) fn summary_json(replica: &Replica) -> String {
    let map = replica.map();
    let kinds: serde_json::Map<String, serde_json::Value> = map
        .sizes()
        .iter()
        .map(|(number, size)| {
            (
                record_type_name(*number),
                json!({"records": size.entries, "bytes": size.bytes}),
            )
        })
        .collect();
    let roots: Vec<String> = Tree::ALL
        .into_iter()
        .map(|tree| format!("{:016x}", map.root(tree)))
        .collect();
    json!({"digest": format!("{:016x}", map.digest()), "roots": roots, "records": map.len(),
        "caught_up": replica.caught_up(), "vouches": replica.can_vote(), "kinds": kinds})
    .to_string()
        + "\n"
}

/// All entries, one a line, for the sub-command `fleet diff`: type, name, rank, expiry and a hash of the record.
pub(crate) fn entries(replica: &Replica) -> String {
    let mut text = String::new();
    for (key, entry) in replica.map().iter() {
        let name: String = key.name.iter().map(|b| format!("{b:02x}")).collect();
        let (high, low) = entry.rank;
        let _ = writeln!(
            text,
            "{} {name} {high}.{low} {} {:016x}",
            record_type_name(key.record_type).replace(' ', "-"),
            entry.expires_at,
            record_hash(key, entry)
        );
    }
    text
}

/// The history of the claims to one key. `key` has the form `IDEMPOTENCY-KEY CLASS`, as clients send the two values.
pub(crate) fn key_history(replica: &Replica, key: &str, now: Micros) -> String {
    let mut text = String::new();
    for (state, claim) in Ledger::claim_history(replica.map(), key.as_bytes()) {
        let ago = |at: u64| (now - at as Micros) / 1000;
        let body = claim
            .body
            .as_ref()
            .map_or("no answer kept".to_string(), |b| {
                format!("answer of {} bytes", b.len())
            });
        let _ = writeln!(
            text,
            "{}: {} (since {}), first {} ms ago, its client's time ended {} ms ago, {body}",
            state.name(),
            claim.holder,
            claim.incarnation,
            ago(claim.first_sent_at),
            ago(claim.deadline),
        );
    }
    let prefix = records::claim_prefix(key.as_bytes());
    let status = match key_status(replica.map(), &prefix, None, replica.voters(), now) {
        KeyStatus::Unclaimed => "free: it may be asked for",
        KeyStatus::InProgress { .. } => "its outcome is waited for",
        KeyStatus::OutcomeLost { .. } => "it may have run: no more is known",
        KeyStatus::Completed { .. } => "it ran",
    };
    let _ = writeln!(text, "now: {status}");
    text
}

/// Metrics of the replica and of its ledger.
pub(crate) fn metrics(replica: &Replica) -> MetricSnapshot {
    let mut counters = record_counters(replica);
    counters.extend(traffic_counters(replica));
    counters.push(ledger_counter(replica));
    MetricSnapshot {
        counters,
        gauges: gauges(replica),
    }
}

fn record_counters(replica: &Replica) -> Vec<Metric<u64>> {
    let counts = &replica.counts;
    let by_type = |of: &BTreeMap<u32, u64>| {
        of.iter()
            .map(|(number, n)| (label("kind", &record_type_name(*number)), *n))
            .collect()
    };
    let conflicts = vec![
        (label("stands", "others"), counts.conflicts_replaced),
        (label("stands", "own"), counts.conflicts_kept),
    ];
    vec![
        (
            "news",
            "Records taken in as news",
            by_type(&counts.merged_from_rumors),
        ),
        (
            "repairs",
            "Records found missing by a comparison, or handed over",
            by_type(&counts.merged_by_repair),
        ),
        (
            "differed",
            "Records that differed from one that was held, by whose stands",
            conflicts,
        ),
    ]
}

fn traffic_counters(replica: &Replica) -> Vec<Metric<u64>> {
    let counts = &replica.counts;
    let sent_bytes = counts.sent_bytes_by_type.iter();
    let sent_bytes = sent_bytes
        .map(|(what, n)| (label("for", what.name()), *n))
        .collect();
    let dropped = counts.dropped.iter();
    let dropped = dropped
        .map(|(reason, n)| (label("why", reason.name()), *n))
        .collect();
    let unlabelled_counter = |name, help, count| (name, help, unlabelled(count));
    vec![
        unlabelled_counter("messages_sent", "Messages sent", counts.sent),
        (
            "bytes_sent",
            "Bytes sent, by what they were sent for",
            sent_bytes,
        ),
        unlabelled_counter("bytes_heard", "Bytes heard", counts.received_bytes),
        unlabelled_counter(
            "held_back",
            "Comparisons that waited for bytes a second",
            counts.comparisons_delayed,
        ),
        ("dropped", "Messages dropped", dropped),
        unlabelled_counter(
            "displaced",
            "Records for which there was no room, or that made room",
            replica.map().displaced,
        ),
    ]
}

fn ledger_counter(replica: &Replica) -> Metric<u64> {
    let counts = replica.ledger().map(|ledger| ledger.counts.clone());
    let counts = counts.unwrap_or_default();
    let outcomes = [
        ("asked", counts.requests),
        ("granted", counts.granted),
        ("unwritten", counts.without_quorum),
        ("waited", counts.waited),
        ("answered", counts.replayed),
        ("failed", counts.failed),
        ("refused", counts.rejected),
        ("taken_over", counts.takeovers),
        ("clashes", counts.conflicts),
    ];
    (
        "ledger",
        "Keyed lookups, by what became of them at the ledger",
        outcomes
            .map(|(outcome, n)| (label("word", outcome), n))
            .to_vec(),
    )
}

fn gauges(replica: &Replica) -> Vec<Metric<f64>> {
    let by_type = |of: fn(&StoredSize) -> usize| -> Vec<(Labels, f64)> {
        let sizes = replica.map().sizes().iter();
        sizes
            .map(|(number, size)| (label("kind", &record_type_name(*number)), of(size) as f64))
            .collect()
    };
    vec![
        ("records", "Records held", by_type(|size| size.entries)),
        (
            "record_bytes",
            "Bytes of names and values held",
            by_type(|size| size.bytes),
        ),
        (
            "caught_up",
            "1 once this front holds all that others held at its start",
            unlabelled(flag(replica.caught_up())),
        ),
        (
            "vouches",
            "1 while this front decides on effects",
            unlabelled(flag(replica.can_vote())),
        ),
        (
            "news_waiting",
            "Records still to be told on",
            unlabelled(replica.queued_rumors() as f64),
        ),
    ]
}
