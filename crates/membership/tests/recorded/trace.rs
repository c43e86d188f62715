//! The text form of what a view reports, a hash that is the same everywhere, and the comparison with a recording.

use meadowrill_membership::view::{Change, View, Why};
use std::fmt::Write;
use std::path::PathBuf;

/// FNV-1a, chained over several pieces.
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
        Change::Member {
            name,
            from,
            to,
            start,
            incarnation,
            why,
            by,
        } => {
            let source = match why {
                Why::Said => "itself",
                Why::Seen => "probe",
                Why::Heard => "rumor",
                Why::Caught => "exchange",
            };
            let from = from.map_or("unknown", |state| state.name());
            let to = to.name();
            format!("member {name} {from} {to} {start} {incarnation} {source} {by}")
        }
        Change::Values { name } => format!("body {name}"),
        Change::Forgotten { name } => format!("forgotten {name}"),
        Change::Refuted { by } => format!("refuted {by}"),
        Change::WasAway { span } => format!("paused {span}"),
        Change::Joined => "joined".to_string(),
        Change::Passed { start } => format!("start {start}"),
        Change::GaveWay { to } => format!("withdrew {to}"),
        Change::Gone { confirmed } => format!("left {confirmed}"),
    }
}

/// What a view has counted.
pub(crate) fn counts(view: &View) -> String {
    let counts = &view.counts;
    let numbers = [
        counts.probes,
        counts.failures,
        counts.suspicions,
        counts.refutations,
        counts.deaths,
        counts.sent,
        counts.chunks,
        counts.sent_bytes,
        counts.heard,
        counts.heard_bytes,
        counts.held_back,
    ];
    let mut text = format!("counts {numbers:?}");
    for (reason, count) in &counts.dropped {
        write!(text, " dropped {} {count}", reason.name()).expect("a string takes all");
    }
    for (kind, bytes) in &counts.spent {
        write!(text, " spent {kind} {bytes}").expect("a string takes all");
    }
    text
}

/// What a view holds and has counted.
pub(crate) fn end(view: &View) -> String {
    let mut text = format!(
        "{} {:016x} here {} updates {} settled {:?} joined {} health {} withdrawn {} left {} next {} {}",
        view.name(),
        view.digest(),
        view.here(),
        view.worded(),
        view.settled_since(),
        view.joined(),
        view.health(),
        view.gave_way(),
        view.left(),
        view.next(),
        counts(view),
    );
    for (name, member) in view.members() {
        let accusers = member.suspicion.as_ref().map(|suspicion| &suspicion.by);
        let claim = member.claim;
        write!(
            text,
            " member {name} {} {} {} since {} rev {} by {:?} accusers {accusers:?} trip {:?}",
            claim.state.name(),
            claim.start,
            claim.incarnation,
            member.since,
            member.rev,
            member.by,
            member.round_trip,
        )
        .expect("a string takes all");
    }
    text
}

/// Compares a trace with its recording, byte for byte; names the first line that differs.
pub(crate) fn assert_recorded(name: &str, trace: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recordings");
    let path = path.join(format!("{name}.trace"));
    if std::env::var_os("RECORD_TRACES").is_some() {
        std::fs::write(&path, trace).expect("the recording is written");
        return;
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording is there");
    for (number, (was, is)) in recorded.lines().zip(trace.lines()).enumerate() {
        assert_eq!(was, is, "{name}: line {} differs", number + 1);
    }
    assert!(recorded == trace, "{name}: the length differs");
}
