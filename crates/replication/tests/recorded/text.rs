//! All output of a replica as text. The text does not use the identifiers of the code, so that these can be renamed
//! without a change to the recordings.

use meadowrill_replication::ledger::{key_status, Decision, KeyStatus, Ledger};
use meadowrill_replication::map::Map;
use meadowrill_replication::record::record_hash;
use meadowrill_replication::record_type::{RecordType, Tree};
use meadowrill_replication::records::{self, EndpointPhase};
use meadowrill_replication::replica::{Action, LogEvent, Replica, Subject};
use meadowrill_replication::{wire, Micros};
use std::collections::BTreeMap;
use std::fmt::Write;

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// FNV-1a hash, which is the same on every platform.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The type, the length and the digest of a message.
pub(crate) fn of_message(bytes: &[u8], fleet_id: u64) -> String {
    let packet = wire::read(bytes, fleet_id).expect("decode a message that a replica sent");
    let name = packet
        .body
        .map_or("empty", |body| body.message_type().name());
    format!("{name} {} {:016x}", bytes.len(), digest(bytes))
}

pub(crate) fn of_decision(decision: &Decision) -> String {
    match decision {
        Decision::Admit {
            token,
            send_until,
            earlier_may_have_run,
        } => format!("admit {token} until {send_until} after another {earlier_may_have_run}"),
        Decision::Replay {
            token,
            current,
            body,
        } => format!("answer {token} current {current} body {}", hex(body)),
        Decision::Fail { token } => format!("fail {token}"),
        Decision::Reject { token, retry_after } => {
            format!("reject {token} retry after {retry_after}")
        }
    }
}

pub(crate) fn of_subject(subject: &[u8]) -> String {
    match Subject::decode(subject) {
        Some(Subject::Object(object)) => format!("object {object}"),
        Some(Subject::Endpoint(id)) => format!("machine {id}"),
        None => format!("other {}", hex(subject)),
    }
}

fn of_event(event: &LogEvent) -> String {
    match event {
        LogEvent::Ready { caught_up, elapsed } => format!("ready {caught_up} after {elapsed}"),
        LogEvent::CaughtUp { records, elapsed } => format!("caught up {records} after {elapsed}"),
        LogEvent::DonorReplaced { former, next } => format!("donor {former} replaced by {next}"),
        LogEvent::VotingStarted { elapsed } => format!("grants claims after {elapsed}"),
    }
}

pub(crate) fn of_action(action: &Action, fleet_id: u64) -> String {
    match action {
        Action::SendDatagram { to, bytes } => {
            format!("datagram to {to} {}", of_message(bytes, fleet_id))
        }
        Action::SendStream { to, bytes } => {
            format!("stream to {to} {}", of_message(bytes, fleet_id))
        }
        Action::Decision(decision) => of_decision(decision),
        Action::Purge {
            object,
            group,
            stamp,
        } => format!("purge {object:?} {group} {stamp}"),
        Action::UpdateEndpoint {
            id,
            started_at,
            phase,
            endpoint,
        } => format!(
            "machine {id} {started_at} {} {} {} {} {} {:.3}",
            *phase as u32,
            endpoint.address,
            endpoint.locality,
            endpoint.flavor,
            endpoint.cell,
            endpoint.size
        ),
        Action::UpdateSharedEstimate { subject } => format!("learned {}", of_subject(subject)),
        Action::Log(event) => of_event(event),
    }
}

/// All records, and the digests of the trees.
pub(crate) fn of_map(map: &Map) -> String {
    let mut text = String::new();
    for (key, entry) in map.iter() {
        let (high, low) = entry.rank;
        let _ = writeln!(
            text,
            "{} {} {high} {low} {} {} {:016x}",
            key.record_type,
            hex(&key.name),
            hex(&entry.value),
            entry.expires_at,
            record_hash(key, entry)
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
        ledger.open_requests(),
        ledger.next_wake(),
        counts.requests,
        counts.granted,
        counts.without_quorum,
        counts.waited,
        counts.replayed,
        counts.failed,
        counts.rejected,
        counts.takeovers,
        counts.conflicts
    )
}

fn of_claims(replica: &Replica, key: &[u8], now: Micros) -> String {
    let mut text = String::new();
    for (state, claim) in Ledger::claim_history(replica.map(), key) {
        let body = claim.body.as_ref().map(Vec::len);
        let _ = write!(
            text,
            " [{} {} {} {} {} {body:?} {}]",
            state.name(),
            claim.holder,
            claim.incarnation,
            claim.first_sent_at,
            claim.deadline,
            claim.current
        );
    }
    let prefix = records::claim_prefix(key);
    let status = match key_status(replica.map(), &prefix, None, replica.voters(), now) {
        KeyStatus::Unclaimed => "free".into(),
        KeyStatus::InProgress { first_sent_at } => format!("open {first_sent_at}"),
        KeyStatus::OutcomeLost { first_sent_at } => format!("lost {first_sent_at}"),
        KeyStatus::Completed { current, body } => {
            format!("done {current} {:?}", body.map(|b| b.len()))
        }
    };
    if text.is_empty() {
        return status;
    }
    format!("{status}, history {:016x}", digest(text.as_bytes()))
}

/// The state that a replica exposes.
pub(crate) fn of_state(replica: &Replica, keys: &[Vec<u8>], now: Micros) -> String {
    let voters = replica.voters();
    let parts = [
        of_stored(replica),
        format!(
            "  voters {:?} joined {} compared {:?}\n",
            voters.members, voters.membership_agreed, voters.compared_with
        ),
        format!("  {}\n", of_ledger(replica)),
        of_traffic(replica),
        of_observations(replica),
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
        replica.can_vote(),
        replica.queued_rumors(),
        replica.next_wake()
    );
    for (number, size) in map.sizes() {
        let _ = writeln!(text, "  type {number}: {} {}", size.entries, size.bytes);
    }
    text
}

fn of_traffic(replica: &Replica) -> String {
    let counts = &replica.counts;
    let sent = counts.sent_bytes_by_type.iter();
    let sent: Vec<String> = sent.map(|(m, n)| format!("{}={n}", m.name())).collect();
    let dropped = counts.dropped.iter();
    let dropped: Vec<String> = dropped.map(|(d, n)| format!("{}={n}", d.name())).collect();
    format!(
        "  sent {} {} received {} {} rumors {} repaired {} lost {} won {} delayed {}\n  sent {} dropped {}\n",
        counts.sent,
        counts.sent_bytes,
        counts.received,
        counts.received_bytes,
        of_counts(&counts.merged_from_rumors),
        of_counts(&counts.merged_by_repair),
        counts.conflicts_kept,
        counts.conflicts_replaced,
        counts.comparisons_delayed,
        sent.join(","),
        dropped.join(",")
    )
}

fn with_phase_number((started_at, phase): (Micros, EndpointPhase)) -> (Micros, u32) {
    (started_at, phase as u32)
}

fn of_observations(replica: &Replica) -> String {
    let mut text = String::new();
    for subject in replica.observed_subjects() {
        let Some(estimate) = replica.shared_estimate(&subject) else {
            continue;
        };
        let values: Vec<String> = estimate.values.iter().map(|n| format!("{n:.6e}")).collect();
        let _ = writeln!(
            text,
            "  {}: {} of {} age {}",
            of_subject(&subject),
            values.join(" "),
            estimate.writers,
            estimate.age
        );
    }
    for (key, entry) in replica.map().of_type(RecordType::Endpoint) {
        let Some((id, ..)) = records::decode_endpoint(key, entry) else {
            continue;
        };
        let _ = writeln!(
            text,
            "  machine {id} {:?} reported {:?}",
            replica.endpoint_phase(&id).map(with_phase_number),
            replica.reported_phase(&id).map(with_phase_number)
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

/// The ages of records that a replica provides for its host.
pub(crate) fn of_ages(ages: &[(RecordType, Micros)]) -> String {
    let each = ages
        .iter()
        .map(|(record_type, age)| format!("{}={age}", record_type.name()));
    each.collect::<Vec<_>>().join(",")
}
