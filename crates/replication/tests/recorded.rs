//! The output of replicas does not change: random schedules run on several replicas, and every message and other output
//! is compared byte for byte with a recording. A snapshot and messages that an earlier build wrote are read as well.
//!
//! The recordings in `tests/recordings` were made before the crate was rewritten. Their format (`recorded/text.rs`)
//! contains no names of the code's types. `RECORD_TRACES=1 cargo test -p meadowrill-replication --test recorded` writes
//! new recordings.

#[path = "recorded/schedule.rs"]
mod schedule;
#[path = "recorded/text.rs"]
mod text;

use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings, WithoutQuorum};
use meadowrill_replication::{snapshot, wire, Micros, SEC};
use schedule::{Schedule, Setup, FLEET_ID, START};
use std::collections::BTreeMap;
use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    meadowrill_recorded_traces::recording_path(env!("CARGO_MANIFEST_DIR"), name)
}

/// Compares bytes with a recording, or writes the recording if that is requested.
fn assert_recorded(name: &str, bytes: &[u8]) {
    meadowrill_recorded_traces::assert_recorded(env!("CARGO_MANIFEST_DIR"), name, bytes);
}

fn settings(ledger: Option<LedgerSettings>) -> ReplicationSettings {
    ReplicationSettings {
        fleet_id: FLEET_ID,
        zone: "zone-0".into(),
        period: SEC / 5,
        bytes_per_second: 6_000,
        catch_up_bytes_per_second: 40_000,
        max_entries: 60,
        max_bytes: 30_000,
        purge_retention: 12 * SEC,
        endpoint_retention: 20 * SEC,
        observation_retention: 6 * SEC,
        ready_timeout: SEC,
        ledger,
    }
}

fn ledger() -> LedgerSettings {
    LedgerSettings {
        claim_retention: 9 * SEC,
        max_body_bytes: 600,
        ..LedgerSettings::default()
    }
}

fn setup(seed: u64, ledger: Option<LedgerSettings>) -> Setup {
    Setup {
        seed,
        replicas: 5,
        settings: settings(ledger),
        loss_per_mille: 50,
        duplicates_per_mille: 50,
        replica_without_ledger: None,
        seconds: 30,
    }
}

#[test]
fn a_schedule_that_rejects_requests_without_a_quorum_matches_its_recording() {
    let short = Setup {
        seconds: 26,
        ..setup(10, Some(ledger()))
    };
    let schedule = Schedule::new(short).play();
    schedule.assert_covers(&[
        "admit",
        "answer",
        "fail",
        "reject",
        "taken over",
        "conflict",
    ]);
    assert_recorded("reject.txt", schedule.text().as_bytes());
}

#[test]
fn a_schedule_that_sends_requests_without_a_quorum_matches_its_recording() {
    let ledger = LedgerSettings {
        without_quorum: WithoutQuorum::Send,
        min_voters: 3,
        ..ledger()
    };
    let lossy = Setup {
        seconds: 18,
        loss_per_mille: 200,
        duplicates_per_mille: 100,
        replicas: 6,
        replica_without_ledger: Some(5),
        ..setup(2, Some(ledger))
    };
    let schedule = Schedule::new(lossy).play();
    schedule.assert_covers(&["admit", "answer", "fail"]);
    assert_recorded("serve.txt", schedule.text().as_bytes());
}

#[test]
fn a_schedule_without_a_ledger_and_without_evictions_matches_its_recording() {
    let without_evictions = Setup {
        seconds: 20,
        settings: ReplicationSettings {
            max_entries: 5_000,
            max_bytes: 1_000_000,
            bytes_per_second: 100_000,
            ..settings(None)
        },
        replicas: 4,
        ..setup(3, None)
    };
    let schedule = Schedule::new(without_evictions).play();
    schedule.assert_covers(&["purge", "machine", "learned", "caught up"]);
    assert_recorded("no_ledger.txt", schedule.text().as_bytes());
}

const SNAPSHOT_AT: Micros = START + 30 * SEC;

fn restored(bytes: &[u8]) -> (usize, Micros, Map) {
    let mut map = Map::new(MapLimits {
        entries: 5_000,
        bytes: 1_000_000,
    });
    let restored = snapshot::read(bytes, &mut map, FLEET_ID, 60 * SEC, SNAPSHOT_AT + SEC)
        .expect("read the snapshot");
    (restored.records, restored.age, map)
}

// The snapshot that a replica wrote is read into an empty map, written again (without the records that do not survive a
// restart) and read a second time.
#[test]
fn a_snapshot_of_an_earlier_build_is_read_and_written_as_recorded() {
    if meadowrill_recorded_traces::is_recording() {
        let schedule = Schedule::new(setup(4, Some(ledger()))).play();
        let written = schedule.snapshot(SNAPSHOT_AT);
        std::fs::write(path("snapshot.bin"), written).expect("write the recording");
    }
    let recorded = std::fs::read(path("snapshot.bin")).expect("read the recording");
    let (records, age, map) = restored(&recorded);
    assert_eq!(age, SEC);
    assert_recorded("snapshot.txt", text::of_map(&map).as_bytes());
    assert_eq!(records, map.len());
    let again = snapshot::write(&map, FLEET_ID, SNAPSHOT_AT);
    assert_recorded("snapshot-again.bin", &again);
    assert_eq!(
        text::of_map(&restored(&again).2),
        text::of_map(&map),
        "the records differ after the second reading"
    );
    if !meadowrill_recorded_traces::is_recording() {
        let schedule = Schedule::new(setup(4, Some(ledger()))).play();
        assert_eq!(schedule.snapshot(SNAPSHOT_AT), recorded);
    }
}

// One message of each type, as a datagram and on a stream if both were sent, as an earlier build wrote it.
#[test]
fn messages_of_an_earlier_build_are_read_and_written_unchanged() {
    let mut sent: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for seed in 5..8 {
        let schedule = Schedule::new(setup(seed, Some(ledger()))).play();
        for (name, bytes) in schedule.first_messages() {
            sent.entry(name.clone()).or_insert_with(|| bytes.clone());
        }
    }
    let lines: String = sent
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", text::hex(bytes)))
        .collect();
    assert_recorded("messages.txt", lines.as_bytes());
    let datagrams = sent.keys().filter(|name| name.starts_with("datagram"));
    assert_eq!(
        datagrams.count(),
        10,
        "datagrams of all 10 message types expected, got {:?}",
        sent.keys()
    );
    for (name, bytes) in &sent {
        let packet = wire::read(bytes, FLEET_ID).expect("decode the message");
        let mut again = Vec::new();
        if name.starts_with("stream") {
            wire::write_chunk(&packet, &mut again);
        } else {
            wire::write(&packet, &mut again);
        }
        assert_eq!(text::hex(&again), text::hex(bytes), "{name}");
    }
}
