//! Everything that comes out of a replica as text. It says what is meant in words of its own, so that the names of the
//! code may change without a change of the recordings.

use meadowrill_replication::kind::{Kind, Tree};
use meadowrill_replication::kinds;
use meadowrill_replication::ledger::{stand, Ledger, Stand, Word};
use meadowrill_replication::map::{hash, Map};
use meadowrill_replication::replica::{thing, Act, Replica, Thing, Told};
use meadowrill_replication::{wire, Micros};
use std::collections::BTreeMap;
use std::fmt::Write;

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// FNV-1a: the same on every machine.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The type of a message, its length and its digest.
pub(crate) fn of_message(bytes: &[u8], fleet: u64) -> String {
    let packet = wire::read(bytes, fleet).expect("what a replica sends can be read");
    let name = packet.body.map_or("empty", |body| body.kind().name());
    format!("{name} {} {:016x}", bytes.len(), digest(bytes))
}

pub(crate) fn of_decision(word: &Word) -> String {
    match word {
        Word::Go {
            token,
            until,
            again,
        } => format!("admit {token} until {until} after another {again}"),
        Word::Answer {
            token,
            current,
            body,
        } => format!("answer {token} current {current} body {}", hex(body)),
        Word::Fail { token } => format!("fail {token}"),
        Word::Refuse { token, come_back } => format!("reject {token} retry after {come_back}"),
    }
}

pub(crate) fn of_subject(what: &[u8]) -> String {
    match thing(what) {
        Some(Thing::Object(object)) => format!("object {object}"),
        Some(Thing::Machine(id)) => format!("machine {id}"),
        None => format!("other {}", hex(what)),
    }
}

fn of_event(told: &Told) -> String {
    match told {
        Told::Ready { caught_up, took } => format!("ready {caught_up} after {took}"),
        Told::CaughtUp { records, took } => format!("caught up {records} after {took}"),
        Told::Donor { former, next } => format!("donor {former} replaced by {next}"),
        Told::Vouches { took } => format!("grants claims after {took}"),
    }
}

pub(crate) fn of_action(act: &Act, fleet: u64) -> String {
    match act {
        Act::Send { to, bytes } => format!("datagram to {to} {}", of_message(bytes, fleet)),
        Act::Stream { to, bytes } => format!("stream to {to} {}", of_message(bytes, fleet)),
        Act::Word(word) => of_decision(word),
        Act::Purged {
            object,
            group,
            stamp,
        } => format!("purge {object:?} {group} {stamp}"),
        Act::Machine {
            id,
            start,
            phase,
            machine,
        } => format!(
            "machine {id} {start} {phase} {} {} {} {} {:.3}",
            machine.address, machine.locality, machine.flavor, machine.cell, machine.size
        ),
        Act::Learned { what } => format!("learned {}", of_subject(what)),
        Act::Tell(told) => of_event(told),
    }
}

/// Record by record, and the digests.
pub(crate) fn of_map(map: &Map) -> String {
    let mut text = String::new();
    for (key, entry) in map.iter() {
        let (high, low) = entry.rank;
        let _ = writeln!(
            text,
            "{} {} {high} {low} {} {} {:016x}",
            key.kind,
            hex(&key.name),
            hex(&entry.value),
            entry.until,
            hash(key, entry)
        );
    }
    for tree in Tree::ALL {
        let _ = writeln!(text, "tree {} {:016x}", tree as u32, map.root(tree));
    }
    let _ = writeln!(text, "all {:016x}", map.digest());
    text
}

fn of_counts(counts: &BTreeMap<u32, u64>) -> String {
    let each = counts
        .iter()
        .map(|(number, count)| format!("{number}={count}"));
    each.collect::<Vec<_>>().join(",")
}

fn of_ledger(replica: &Replica) -> String {
    let Some(ledger) = replica.ledger() else {
        return "no ledger".into();
    };
    let counts = &ledger.counts;
    format!(
        "open {} due {:?} counts {} {} {} {} {} {} {} {} {}",
        ledger.open(),
        ledger.next(),
        counts.asked,
        counts.granted,
        counts.unwritten,
        counts.waited,
        counts.answered,
        counts.failed,
        counts.refused,
        counts.taken_over,
        counts.clashes
    )
}

fn of_claims(replica: &Replica, key: &[u8], now: Micros) -> String {
    let mut text = String::new();
    for (state, claim) in Ledger::story(replica.map(), key) {
        let body = claim.body.as_ref().map(Vec::len);
        let _ = write!(
            text,
            " [{} {} {} {} {} {body:?} {}]",
            state.name(),
            claim.holder,
            claim.start,
            claim.first,
            claim.ends,
            claim.current
        );
    }
    let prefix = kinds::effect_prefix(key);
    let now = match stand(replica.map(), &prefix, None, replica.electors(), now) {
        Stand::Free => "free".into(),
        Stand::Open { first } => format!("open {first}"),
        Stand::Lost { first } => format!("lost {first}"),
        Stand::Done { current, body } => format!("done {current} {:?}", body.map(|b| b.len())),
    };
    if text.is_empty() {
        return now;
    }
    format!("{now}, history {:016x}", digest(text.as_bytes()))
}

/// What can be read from a replica.
pub(crate) fn of_state(replica: &Replica, keys: &[Vec<u8>], now: Micros) -> String {
    let electors = replica.electors();
    let parts = [
        of_stored(replica),
        format!(
            "  voters {:?} joined {} compared {:?}\n",
            electors.all, electors.joined, electors.compared
        ),
        format!("  {}\n", of_ledger(replica)),
        of_traffic(replica),
        of_learned(replica),
        of_keys(replica, keys, now),
    ];
    parts.concat()
}

fn of_stored(replica: &Replica) -> String {
    let map = replica.map();
    let mut text = format!(
        "  records {} digest {:016x} displaced {} ready {:?} caught up {} grants {} waiting {} due {}\n",
        map.len(),
        map.digest(),
        map.displaced,
        replica.ready(),
        replica.caught_up(),
        replica.vouches(),
        replica.waiting_news(),
        replica.next()
    );
    for (number, held) in map.held() {
        let _ = writeln!(text, "  type {number}: {} {}", held.entries, held.bytes);
    }
    text
}

fn of_traffic(replica: &Replica) -> String {
    let counts = &replica.counts;
    let sent = counts.spent.iter();
    let sent: Vec<String> = sent.map(|(m, n)| format!("{}={n}", m.name())).collect();
    let dropped = counts.dropped.iter();
    let dropped: Vec<String> = dropped.map(|(d, n)| format!("{}={n}", d.name())).collect();
    format!(
        "  sent {} {} received {} {} rumors {} repaired {} lost {} won {} delayed {}\n  sent {} dropped {}\n",
        counts.sent,
        counts.sent_bytes,
        counts.heard,
        counts.heard_bytes,
        of_counts(&counts.news),
        of_counts(&counts.repaired),
        counts.lost,
        counts.won,
        counts.held_back,
        sent.join(","),
        dropped.join(",")
    )
}

fn of_learned(replica: &Replica) -> String {
    let mut text = String::new();
    for what in replica.learned() {
        let Some(opinion) = replica.opinion(&what) else {
            continue;
        };
        let numbers: Vec<String> = opinion.numbers.iter().map(|n| format!("{n:.6e}")).collect();
        let _ = writeln!(
            text,
            "  {}: {} of {} age {}",
            of_subject(&what),
            numbers.join(" "),
            opinion.writers,
            opinion.age
        );
    }
    for (key, entry) in replica.map().of_kind(Kind::Machine) {
        let Some((id, ..)) = kinds::read_machine(key, entry) else {
            continue;
        };
        let _ = writeln!(
            text,
            "  machine {id} {:?} reported {:?}",
            replica.standing(&id),
            replica.journal_said(&id)
        );
    }
    text
}

fn of_keys(replica: &Replica, keys: &[Vec<u8>], now: Micros) -> String {
    let mut text = String::new();
    for key in keys {
        let claims = of_claims(replica, key, now);
        if claims != "free" {
            let _ = writeln!(text, "  key {}: {claims}", digest(key));
        }
    }
    text
}

/// Ages of records, as the host takes them.
pub(crate) fn of_ages(ages: &[(Kind, Micros)]) -> String {
    let each = ages
        .iter()
        .map(|(kind, age)| format!("{}={age}", kind.name()));
    each.collect::<Vec<_>>().join(",")
}
