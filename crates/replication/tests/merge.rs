//! Merging: the same in any order and however often; what came over the wire may be anything; snapshots whole or not at all.

use meadowrill_replication::map::{Map, MapLimits, MergeOutcome};
use meadowrill_replication::record::{to_wire, Entry, Key};
use meadowrill_replication::record_type::{RecordType, Tree};
use meadowrill_replication::records::{self, EndpointInfo, EndpointPhase, Observation};
use meadowrill_replication::replica::{Peer, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::snapshot::{self, SnapshotError};
use meadowrill_replication::wire::{read, write, write_chunk, Body, Packet, Record, Records};
use meadowrill_replication::{Micros, SEC};
use proptest::prelude::*;

const NOW: Micros = 1000 * SEC;
const ROOM: MapLimits = MapLimits {
    entries: 1000,
    bytes: 1_000_000,
};

fn records() -> impl Strategy<Value = Vec<Record>> {
    // Kinds that this build knows and one that it does not; few names, so that they meet.
    let kind = prop::sample::select(vec![1u32, 2, 3, 9, 16, 17, 40]);
    let record = (
        kind,
        0u8..6,
        0u64..4,
        0u64..3,
        prop::collection::vec(0u8..3, 0..3),
        1i64..4,
    );
    let record = record.prop_map(|(kind, name, high, low, value, until)| {
        let until = (NOW + until * SEC) as u64;
        Record {
            record_type: kind,
            name: vec![name],
            rank_high: high,
            rank_low: low,
            value,
            expires_at: until,
        }
    });
    prop::collection::vec(record, 0..60)
}

fn merged<'a>(records: impl Iterator<Item = &'a Record>) -> Map {
    let mut map = Map::new(ROOM);
    for record in records {
        map.merge(
            Key {
                record_type: record.record_type,
                name: record.name.clone(),
            },
            Entry::from_wire(record),
            NOW,
        );
    }
    map
}

fn text(map: &Map) -> String {
    format!("{:?} {:x}", map.iter().collect::<Vec<_>>(), map.digest())
}

proptest! {
    #[test]
    fn order_and_repeats_do_not_matter(records in records(), seed in any::<u64>()) {
        let mut other = records.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        let (one, two) = (merged(records.iter()), merged(other.iter().chain(&records)));
        prop_assert_eq!(text(&one), text(&two));
    }

    #[test]
    fn parts_merged_apart_are_the_whole(a in records(), b in records(), c in records()) {
        let all = |parts: [&Vec<Record>; 3]| {
            let each: Vec<Vec<Record>> = parts
                .iter()
                .map(|p| {
                    let map = merged(p.iter());
                    Tree::ALL.into_iter().flat_map(|t| map.records_after(t, None).collect::<Vec<_>>()).collect()
                })
                .collect();
            text(&merged(each.iter().flatten()))
        };
        prop_assert_eq!(all([&a, &b, &c]), all([&c, &a, &b]));
    }

    #[test]
    fn what_is_held_only_grows_in_rank(records in records()) {
        let mut map = Map::new(ROOM);
        for record in &records {
            let key = Key { record_type: record.record_type, name: record.name.clone() };
            let before = map.get(&key).cloned();
            map.merge(key.clone(), Entry::from_wire(record), NOW);
            prop_assert!(map.get(&key).cloned() >= before);
        }
    }

    /// Digests of buckets find each difference, and what they find makes two the same.
    #[test]
    fn comparing_finds_what_differs(a in records(), b in records()) {
        let (mut one, two) = (merged(a.iter()), merged(b.iter()));
        for tree in Tree::ALL {
            for at in one.differing_buckets(tree, &two.bucket_digests(tree)) {
                let more: Vec<u64> = two.bucket_hashes(tree, at).filter(|h| !one.contains_hash(*h)).collect();
                for record in more.into_iter().filter_map(|h| two.record_by_hash(h)) {
                    one.merge(Key { record_type: record.record_type, name: record.name.clone() }, Entry::from_wire(&record), NOW);
                }
            }
        }
        prop_assert_eq!(text(&one), text(&merged(a.iter().chain(&b))));
    }

    #[test]
    fn anything_may_come(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut replica = Replica::new(ReplicationSettings::default(), "front-1", 1, NOW, 1);
        let mut acts = Vec::new();
        let peer = Peer { name: "front-2".into(), incarnation: 1, alive: true, left: false, zone: String::new(), round_trip: None, replicates: true, votes: false };
        replica.update_membership(NOW, true, vec![peer], &mut acts);
        replica.receive_message(NOW, &bytes, &mut acts);
        replica.tick(NOW + SEC, &mut acts);
        prop_assert!(replica.map().is_empty());
    }

    #[test]
    fn a_damaged_snapshot_is_refused_whole(records in records(), at in any::<u32>(), bit in 0u8..8, cut in any::<bool>()) {
        let map = merged(records.iter());
        let mut bytes = snapshot::write(&map, 7, NOW);
        let at = at as usize % bytes.len();
        if cut { bytes.truncate(at) } else { bytes[at] ^= 1 << bit }
        let mut other = Map::new(ROOM);
        prop_assert!(snapshot::read(&bytes, &mut other, 7, 60 * SEC, NOW + SEC).is_err());
        prop_assert!(other.is_empty());
    }
}

#[test]
fn a_snapshot_comes_back_but_not_from_elsewhere_or_another_time() {
    let mut map = Map::new(MapLimits {
        entries: 5000,
        bytes: 1_000_000,
    });
    for n in 0..3000u64 {
        let (key, entry) = records::purge_record(Some(n), 0, NOW - n as i64, 900 * SEC);
        map.merge(key, entry, NOW);
    }
    let (key, entry) = records::observation_record(
        RecordType::Observation,
        b"lx",
        1,
        &Observation::default(),
        NOW + 100 * SEC,
    );
    map.merge(key, entry, NOW);
    let bytes = snapshot::write(&map, 7, NOW);
    let read = |fleet, now: Micros| {
        let mut other = Map::new(MapLimits {
            entries: 5000,
            bytes: 1_000_000,
        });
        snapshot::read(&bytes, &mut other, fleet, 60 * SEC, now).map(|taken| (taken, other))
    };
    let (restored, other) = read(7, NOW + SEC).unwrap();
    // What was learned is not kept across a start.
    assert_eq!(
        (restored.records, restored.age, other.len()),
        (3000, SEC, 3000)
    );
    assert_eq!(read(8, NOW).unwrap_err(), SnapshotError::OtherFleet);
    assert_eq!(
        read(7, NOW - 10 * SEC).unwrap_err(),
        SnapshotError::FromFuture
    );
    assert_eq!(read(7, NOW + 90 * SEC).unwrap_err(), SnapshotError::TooOld);
}

#[test]
fn a_kind_that_is_not_known_is_merged_passed_on_and_dropped_when_over() {
    let mut replica = Replica::new(ReplicationSettings::default(), "front-1", 1, NOW, 1);
    let mut acts = Vec::new();
    let peer = Peer {
        name: "front-2".into(),
        incarnation: 1,
        alive: true,
        left: false,
        zone: String::new(),
        round_trip: None,
        replicates: true,
        votes: false,
    };
    replica.update_membership(NOW, true, vec![peer], &mut acts);
    let record = |high, until: Micros| Record {
        record_type: 9,
        name: b"later".to_vec(),
        rank_high: high,
        rank_low: 0,
        value: vec![high as u8],
        expires_at: until as u64,
    };
    let mut bytes = Vec::new();
    for (high, held) in [(3, 3), (5, 5), (4, 5)] {
        let news = Body::Rumors(Records {
            records: vec![record(high, NOW + 10 * SEC)],
        });
        write(
            &Packet {
                fleet_id: 0,
                from: "front-2".into(),
                incarnation: 1,
                body: Some(news),
            },
            &mut bytes,
        );
        replica.receive_message(NOW, &bytes, &mut acts);
        let key = Key {
            record_type: 9,
            name: b"later".to_vec(),
        };
        assert_eq!(replica.map().get(&key).map(|e| e.rank.0), Some(held));
    }
    acts.clear();
    replica.tick(NOW + SEC, &mut acts);
    let passed = acts.iter().any(|act| match act {
        meadowrill_replication::replica::Action::SendDatagram { bytes, .. } => read(bytes, 0).is_ok_and(
            |p| matches!(p.body, Some(Body::Rumors(news)) if news.records.iter().any(|r| r.record_type == 9 && r.rank_high == 5)),
        ),
        _ => false,
    });
    assert!(passed);
    replica.tick(NOW + 11 * SEC, &mut acts);
    assert!(replica.map().is_empty());
}

#[test]
fn a_purge_is_never_unheard_and_a_phase_never_goes_back() {
    let mut map = Map::new(ROOM);
    let put = |map: &mut Map, (key, entry): (Key, Entry)| map.merge(key, entry, NOW);
    put(&mut map, records::purge_record(Some(1), 0, NOW, 900 * SEC));
    assert_eq!(
        put(
            &mut map,
            records::purge_record(Some(1), 0, NOW - 5, 900 * SEC)
        ),
        MergeOutcome::AlreadyKnown
    );
    assert_eq!(
        put(
            &mut map,
            records::purge_record(Some(1), 0, NOW + 5, 900 * SEC)
        ),
        MergeOutcome::Merged { replaced: true }
    );
    let machine = EndpointInfo {
        address: "127.0.0.1:1".into(),
        ..EndpointInfo::default()
    };
    let at = |start, phase| {
        records::endpoint_record(
            "s-1",
            start,
            EndpointPhase::from_rank(phase),
            &machine,
            NOW + SEC,
        )
    };
    assert_eq!(
        put(&mut map, at(10, 1)),
        MergeOutcome::Merged { replaced: false }
    );
    assert_eq!(put(&mut map, at(10, 0)), MergeOutcome::AlreadyKnown);
    assert_eq!(
        put(&mut map, at(10, 2)),
        MergeOutcome::Merged { replaced: true }
    );
    assert_eq!(
        put(&mut map, at(20, 0)),
        MergeOutcome::Merged { replaced: true }
    );
    assert_eq!(put(&mut map, at(10, 2)), MergeOutcome::AlreadyKnown);
}

/// Kept as version 1 wrote it: a later build that cannot read it cannot talk to fronts that are not replaced yet.
#[test]
fn version_1_is_read_for_ever() {
    let hex = |text: &str| -> Vec<u8> {
        let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
        digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
            .collect()
    };
    for kept in [
        include_str!("kept/v1-news.hex"),
        include_str!("kept/v1-news-chunk.hex"),
    ] {
        assert_eq!(read(&hex(kept), 7), Ok(packet()));
    }
}

fn packet() -> Packet {
    let (key, entry) = records::purge_record(Some(0x7f3a), 0, NOW, 900 * SEC);
    let records = vec![to_wire(&key, &entry)];
    Packet {
        fleet_id: 7,
        from: "front-1".into(),
        incarnation: 5,
        body: Some(Body::Rumors(Records { records })),
    }
}

#[test]
#[ignore = "writes the kept set of a new version"]
fn write_the_kept_set() {
    let (mut plain, mut chunk) = (Vec::new(), Vec::new());
    write(&packet(), &mut plain);
    write_chunk(&packet(), &mut chunk);
    for (kind, bytes) in [("news", plain), ("news-chunk", chunk)] {
        let text: String = bytes.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n";
        let path = format!("{}/tests/kept/v1-{kind}.hex", env!("CARGO_MANIFEST_DIR"));
        std::fs::write(path, text).unwrap();
    }
}
