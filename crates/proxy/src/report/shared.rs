//! What operators are told of what the fronts share: by kind, entry by entry, one key's story, and metrics.

use super::fleet::{Labels, Seen};
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

fn kind(number: u32) -> String {
    RecordType::from_wire(number)
        .map_or_else(|| format!("kind {number}"), |kind| kind.name().to_string())
}

/// What is held, by kind; and where what the journal service says and what others heard differ.
pub(crate) fn state(replica: &Replica, now: Micros) -> String {
    let (map, counts) = (replica.map(), &replica.counts);
    let mut text = String::new();
    let yes = |flag: bool| if flag { "yes" } else { "no" };
    // Writing to a text cannot fail, here and below.
    let _ = writeln!(
        text,
        "digest {:016x}  records {}  caught up {}  vouches {}  news waiting {}",
        map.digest(),
        map.len(),
        yes(replica.caught_up()),
        if replica.ledger().is_some() {
            yes(replica.can_vote())
        } else {
            "no ledger"
        },
        replica.queued_rumors(),
    );
    let _ = writeln!(
        text,
        "{:<10}{:>10}{:>12}{:>12}{:>12}{:>12}",
        "kind", "records", "bytes", "oldest_s", "as news", "repaired"
    );
    for (number, held) in map.sizes().iter().filter(|(_, held)| held.entries > 0) {
        let until = map
            .iter()
            .filter(|(key, _)| key.record_type == *number)
            .map(|(_, e)| e.expires_at)
            .min();
        let left = until.map_or(0, |until| (until - now) / 1_000_000);
        let count = |of: &BTreeMap<u32, u64>| of.get(number).copied().unwrap_or(0);
        let (news, repaired) = (
            count(&counts.merged_from_rumors),
            count(&counts.merged_by_repair),
        );
        let _ = writeln!(
            text,
            "{:<10}{:>10}{:>12}{:>12}{news:>12}{repaired:>12}",
            kind(*number),
            held.entries,
            held.bytes,
            format!("ends {left}")
        );
    }
    for (key, entry) in map.of_type(RecordType::Endpoint) {
        let Some((id, start, phase, _)) = records::decode_endpoint(key, entry) else {
            continue;
        };
        let phases = ["ready", "draining", "gone"];
        let said = replica.reported_phase(&id);
        if said != Some((start, phase)) {
            let journal = said.map_or("nothing", |(_, phase)| phases[phase as usize]);
            let _ = writeln!(
                text,
                "machine {id}: {} by hearsay, the journal service says {journal}",
                phases[phase as usize]
            );
        }
    }
    text
}

pub(crate) fn state_json(replica: &Replica) -> String {
    let map = replica.map();
    let kinds: serde_json::Map<String, serde_json::Value> = map
        .sizes()
        .iter()
        .map(|(number, held)| {
            (
                kind(*number),
                json!({"records": held.entries, "bytes": held.bytes}),
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

/// Entry by entry, for `diff`: kind, name, rank, when it is over, a hash of all of it.
pub(crate) fn entries(replica: &Replica) -> String {
    let mut text = String::new();
    for (key, entry) in replica.map().iter() {
        let name: String = key.name.iter().map(|b| format!("{b:02x}")).collect();
        let (high, low) = entry.rank;
        let _ = writeln!(
            text,
            "{} {name} {high}.{low} {} {:016x}",
            kind(key.record_type).replace(' ', "-"),
            entry.expires_at,
            record_hash(key, entry)
        );
    }
    text
}

/// One key's story: `MARK CLASS`, as the clients tell them.
pub(crate) fn story(replica: &Replica, key: &str, now: Micros) -> String {
    let mut text = String::new();
    for (ran, claim) in Ledger::claim_history(replica.map(), key.as_bytes()) {
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
            ran.name(),
            claim.holder,
            claim.incarnation,
            ago(claim.first_sent_at),
            ago(claim.deadline),
        );
    }
    let prefix = records::claim_prefix(key.as_bytes());
    let says = match key_status(replica.map(), &prefix, None, replica.voters(), now) {
        KeyStatus::Unclaimed => "free: it may be asked for",
        KeyStatus::InProgress { .. } => "its outcome is waited for",
        KeyStatus::OutcomeLost { .. } => "it may have run: no more is known",
        KeyStatus::Completed { .. } => "it ran",
    };
    let _ = writeln!(text, "now: {says}");
    text
}

/// Counts of what is shared.
pub(crate) fn seen(replica: &Replica) -> Seen {
    let (map, counts) = (replica.map(), &replica.counts);
    let one = |n: u64| vec![(Vec::new(), n)];
    let label = |key: &str, value: &str| -> Labels { vec![(key.to_string(), value.to_string())] };
    let by_kind = |of: &BTreeMap<u32, u64>| {
        of.iter()
            .map(|(k, n)| (label("kind", &kind(*k)), *n))
            .collect()
    };
    let spent = counts
        .sent_bytes_by_type
        .iter()
        .map(|(what, n)| (label("for", what.name()), *n))
        .collect();
    let dropped = counts
        .dropped
        .iter()
        .map(|(why, n)| (label("why", why.name()), *n))
        .collect();
    let differed = vec![
        (label("stands", "others"), counts.conflicts_replaced),
        (label("stands", "own"), counts.conflicts_kept),
    ];
    let ledger = replica
        .ledger()
        .map(|ledger| ledger.counts.clone())
        .unwrap_or_default();
    let words = [
        ("asked", ledger.requests),
        ("granted", ledger.granted),
        ("unwritten", ledger.without_quorum),
        ("waited", ledger.waited),
        ("answered", ledger.replayed),
        ("failed", ledger.failed),
        ("refused", ledger.rejected),
        ("taken_over", ledger.takeovers),
        ("clashes", ledger.conflicts),
    ];
    let held = |of: fn(&StoredSize) -> usize| -> Vec<(Labels, f64)> {
        map.sizes()
            .iter()
            .map(|(k, held)| (label("kind", &kind(*k)), of(held) as f64))
            .collect()
    };
    let flag = |flag: bool| vec![(Vec::new(), f64::from(u8::from(flag)))];
    Seen {
        counters: vec![
            (
                "news",
                "Records taken in as news",
                by_kind(&counts.merged_from_rumors),
            ),
            (
                "repairs",
                "Records found missing by a comparison, or handed over",
                by_kind(&counts.merged_by_repair),
            ),
            (
                "differed",
                "Records that differed from one that was held, by whose stands",
                differed,
            ),
            ("messages_sent", "Messages sent", one(counts.sent)),
            (
                "bytes_sent",
                "Bytes sent, by what they were sent for",
                spent,
            ),
            ("bytes_heard", "Bytes heard", one(counts.received_bytes)),
            (
                "held_back",
                "Comparisons that waited for bytes a second",
                one(counts.comparisons_delayed),
            ),
            ("dropped", "Messages dropped", dropped),
            (
                "displaced",
                "Records for which there was no room, or that made room",
                one(map.displaced),
            ),
            (
                "ledger",
                "Keyed lookups, by what became of them at the ledger",
                words.map(|(word, n)| (label("word", word), n)).to_vec(),
            ),
        ],
        gauges: vec![
            ("records", "Records held", held(|held| held.entries)),
            (
                "record_bytes",
                "Bytes of names and values held",
                held(|held| held.bytes),
            ),
            (
                "caught_up",
                "1 once this front holds all that others held at its start",
                flag(replica.caught_up()),
            ),
            (
                "vouches",
                "1 while this front decides on effects",
                flag(replica.can_vote()),
            ),
            (
                "news_waiting",
                "Records still to be told on",
                vec![(Vec::new(), replica.queued_rumors() as f64)],
            ),
        ],
    }
}
