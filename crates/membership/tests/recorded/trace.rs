//! The text format of the reports of a view, a platform-independent hash, and the comparison with a recording.

use meadowrill_membership::view::{Change, ClaimSource, View};
use std::fmt::Write;

/// FNV-1a. Several parts are hashed by passing the hash of one part as the start of the next.
pub(crate) fn hash(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn change(change: &Change) -> String {
    match change {
        Change::MemberChanged {
            name,
            from,
            to,
            start,
            incarnation,
            source,
            accuser,
        } => {
            let source = match source {
                ClaimSource::MemberItself => "itself",
                ClaimSource::OwnProbe => "probe",
                ClaimSource::Rumor => "rumor",
                ClaimSource::AntiEntropy => "exchange",
            };
            let from = from.map_or("unknown", |state| state.name());
            let to = to.name();
            format!("member {name} {from} {to} {start} {incarnation} {source} {accuser}")
        }
        Change::BodyReplaced { name } => format!("body {name}"),
        Change::Forgotten { name } => format!("forgotten {name}"),
        Change::Refuted { accuser } => format!("refuted {accuser}"),
        Change::ProcessPaused { duration } => format!("paused {duration}"),
        Change::Joined => "joined".to_string(),
        Change::StartAdvanced { start } => format!("start {start}"),
        Change::Withdrawn { other_address } => format!("withdrew {other_address}"),
        Change::DepartureCompleted { confirmations } => format!("left {confirmations}"),
    }
}

/// The counters of a view.
pub(crate) fn counters_text(view: &View) -> String {
    let counts = &view.counters;
    let numbers = [
        counts.probes,
        counts.failed_probes,
        counts.suspicions,
        counts.refutations,
        counts.deaths_declared,
        counts.datagrams_sent,
        counts.chunks_sent,
        counts.bytes_sent,
        counts.messages_received,
        counts.bytes_received,
        counts.deferred,
    ];
    let mut text = format!("counts {numbers:?}");
    for (reason, count) in &counts.dropped {
        write!(text, " dropped {} {count}", reason.name())
            .expect("writing to a string does not fail");
    }
    for (kind, bytes) in &counts.bytes_sent_by_kind {
        write!(text, " spent {kind} {bytes}").expect("writing to a string does not fail");
    }
    text
}

/// The members, the status and the counters of a view.
pub(crate) fn final_state(view: &View) -> String {
    let mut text = format!(
        "{} {:016x} here {} updates {} settled {:?} joined {} health {} withdrawn {} left {} next {} {}",
        view.name(),
        view.digest(),
        view.present_count(),
        view.body_updates(),
        view.settled_since(),
        view.has_joined(),
        view.health_score(),
        view.is_withdrawn(),
        view.has_left(),
        view.next_timeout(),
        counters_text(view),
    );
    for (name, member) in view.members() {
        let accusers = member
            .suspicion
            .as_ref()
            .map(|suspicion| &suspicion.accusers);
        let claim = member.claim;
        write!(
            text,
            " member {name} {} {} {} since {} rev {} by {:?} accusers {accusers:?} trip {:?}",
            claim.state.name(),
            claim.start,
            claim.incarnation,
            member.state_since,
            member.revision,
            member.declared_dead_by,
            member.round_trip,
        )
        .expect("writing to a string does not fail");
    }
    text
}

/// Compares a trace with its recording, byte for byte.
pub(crate) fn assert_recorded(name: &str, trace: &str) {
    let file = format!("{name}.trace");
    meadowrill_recorded_traces::assert_recorded(
        env!("CARGO_MANIFEST_DIR"),
        &file,
        trace.as_bytes(),
    );
}
