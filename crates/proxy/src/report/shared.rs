//! What operators are told of what the fronts share: by kind, entry by entry, one key's story, and metrics.

use super::fleet::{Labels, Seen};
use meadowrill_replication::kinds::{self, Kind, Tree};
use meadowrill_replication::ledger::{stand, Ledger, Stand};
use meadowrill_replication::map::{hash, Held};
use meadowrill_replication::replica::Replica;
use meadowrill_routing::interface::Micros;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;

fn kind(number: u32) -> String {
    Kind::of(number).map_or_else(|| format!("kind {number}"), |kind| kind.name().to_string())
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
            yes(replica.vouches())
        } else {
            "no ledger"
        },
        replica.waiting_news(),
    );
    let _ = writeln!(
        text,
        "{:<10}{:>10}{:>12}{:>12}{:>12}{:>12}",
        "kind", "records", "bytes", "oldest_s", "as news", "repaired"
    );
    for (number, held) in map.held().iter().filter(|(_, held)| held.entries > 0) {
        let until = map
            .iter()
            .filter(|(key, _)| key.kind == *number)
            .map(|(_, e)| e.until)
            .min();
        let left = until.map_or(0, |until| (until - now) / 1_000_000);
        let count = |of: &BTreeMap<u32, u64>| of.get(number).copied().unwrap_or(0);
        let (news, repaired) = (count(&counts.news), count(&counts.repaired));
        let _ = writeln!(
            text,
            "{:<10}{:>10}{:>12}{:>12}{news:>12}{repaired:>12}",
            kind(*number),
            held.entries,
            held.bytes,
            format!("ends {left}")
        );
    }
    for (key, entry) in map.of_kind(Kind::Machine) {
        let Some((id, start, phase, _)) = kinds::read_machine(key, entry) else {
            continue;
        };
        let phases = ["ready", "draining", "gone"];
        let said = replica.journal_said(&id);
        if said != Some((start, phase)) {
            let journal = said.map_or("nothing", |(_, phase)| phases[usize::from(phase.min(2))]);
            let _ = writeln!(
                text,
                "machine {id}: {} by hearsay, the journal service says {journal}",
                phases[usize::from(phase)]
            );
        }
    }
    text
}

pub(crate) fn state_json(replica: &Replica) -> String {
    let map = replica.map();
    let kinds: serde_json::Map<String, serde_json::Value> = map
        .held()
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
        "caught_up": replica.caught_up(), "vouches": replica.vouches(), "kinds": kinds})
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
            kind(key.kind).replace(' ', "-"),
            entry.until,
            hash(key, entry)
        );
    }
    text
}

/// One key's story: `MARK CLASS`, as the clients tell them.
pub(crate) fn story(replica: &Replica, key: &str, now: Micros) -> String {
    let mut text = String::new();
    for (ran, claim) in Ledger::story(replica.map(), key.as_bytes()) {
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
            claim.start,
            ago(claim.first),
            ago(claim.ends),
        );
    }
    let prefix = kinds::effect_prefix(key.as_bytes());
    let says = match stand(replica.map(), &prefix, None, replica.electors(), now) {
        Stand::Free => "free: it may be asked for",
        Stand::Open { .. } => "its outcome is waited for",
        Stand::Lost { .. } => "it may have run: no more is known",
        Stand::Done { .. } => "it ran",
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
        .spent
        .iter()
        .map(|(what, n)| (label("for", what.name()), *n))
        .collect();
    let dropped = counts
        .dropped
        .iter()
        .map(|(why, n)| (label("why", why.name()), *n))
        .collect();
    let differed = vec![
        (label("stands", "others"), counts.won),
        (label("stands", "own"), counts.lost),
    ];
    let ledger = replica
        .ledger()
        .map(|ledger| ledger.counts.clone())
        .unwrap_or_default();
    let words = [
        ("asked", ledger.asked),
        ("granted", ledger.granted),
        ("unwritten", ledger.unwritten),
        ("waited", ledger.waited),
        ("answered", ledger.answered),
        ("failed", ledger.failed),
        ("refused", ledger.refused),
        ("taken_over", ledger.taken_over),
        ("clashes", ledger.clashes),
    ];
    let held = |of: fn(&Held) -> usize| -> Vec<(Labels, f64)> {
        map.held()
            .iter()
            .map(|(k, held)| (label("kind", &kind(*k)), of(held) as f64))
            .collect()
    };
    let flag = |flag: bool| vec![(Vec::new(), f64::from(u8::from(flag)))];
    Seen {
        counters: vec![
            ("news", "Records taken in as news", by_kind(&counts.news)),
            (
                "repairs",
                "Records found missing by a comparison, or handed over",
                by_kind(&counts.repaired),
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
            ("bytes_heard", "Bytes heard", one(counts.heard_bytes)),
            (
                "held_back",
                "Comparisons that waited for bytes a second",
                one(counts.held_back),
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
                flag(replica.vouches()),
            ),
            (
                "news_waiting",
                "Records still to be told on",
                vec![(Vec::new(), replica.waiting_news() as f64)],
            ),
        ],
    }
}
