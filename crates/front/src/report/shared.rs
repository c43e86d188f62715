//! What operators are told of what the fronts share: by kind, entry by entry, one key's story, and metrics.

use meadowrill_core::interface::Micros;
use meadowrill_replica::kinds::{self, Kind, Tree};
use meadowrill_replica::ledger::{stand, Ledger, Stand};
use meadowrill_replica::map::hash;
use meadowrill_replica::replica::Replica;
use serde_json::json;
use std::fmt::Write;

fn kind(number: u32) -> String {
    Kind::of(number).map_or_else(|| format!("kind {number}"), |kind| kind.name().to_string())
}

/// What is held, by kind; and where what the journal service says and what others heard differ.
pub fn state(replica: &Replica, now: Micros) -> String {
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
        if replica.ledger().is_some() { yes(replica.vouches()) } else { "no ledger" },
        replica.waiting_news(),
    );
    let _ = writeln!(
        text,
        "{:<10}{:>10}{:>12}{:>12}{:>12}{:>12}",
        "kind", "records", "bytes", "oldest_s", "as news", "repaired"
    );
    for (number, held) in map.held().iter().filter(|(_, held)| held.entries > 0) {
        let until = map.iter().filter(|(key, _)| key.kind == *number).map(|(_, e)| e.until).min();
        let left = until.map_or(0, |until| (until - now) / 1_000_000);
        let count = |of: &std::collections::BTreeMap<u32, u64>| of.get(number).copied().unwrap_or(0);
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
        let Some((id, start, phase, _)) = kinds::read_machine(key, entry) else { continue };
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

pub fn state_json(replica: &Replica) -> String {
    let map = replica.map();
    let kinds: serde_json::Map<String, serde_json::Value> = map
        .held()
        .iter()
        .map(|(number, held)| (kind(*number), json!({"records": held.entries, "bytes": held.bytes})))
        .collect();
    let roots: Vec<String> = Tree::ALL.into_iter().map(|tree| format!("{:016x}", map.root(tree))).collect();
    json!({"digest": format!("{:016x}", map.digest()), "roots": roots, "records": map.len(),
        "caught_up": replica.caught_up(), "vouches": replica.vouches(), "kinds": kinds})
    .to_string()
        + "\n"
}

/// Entry by entry, for `diff`: kind, name, rank, when it is over, a hash of all of it.
pub fn entries(replica: &Replica) -> String {
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
pub fn story(replica: &Replica, key: &str, now: Micros) -> String {
    let mut text = String::new();
    for (ran, claim) in Ledger::story(replica.map(), key.as_bytes()) {
        let ago = |at: u64| (now - at as Micros) / 1000;
        let body = claim
            .body
            .as_ref()
            .map_or("no answer kept".to_string(), |b| format!("answer of {} bytes", b.len()));
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
