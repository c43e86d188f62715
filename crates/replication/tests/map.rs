//! The bounds of the map: which records are evicted, and that nothing is left of those that expired.

use meadowrill_replication::map::{Map, MapLimits, MergeOutcome};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::{Micros, SEC};

fn entry(expires_at: Micros) -> Entry {
    Entry {
        rank: (1, 0),
        value: vec![1; 4],
        expires_at,
    }
}

/// Merges so many records of a type, each of which expires a little later than the one before.
fn fill(map: &mut Map, record_type: RecordType, count: u8) {
    for number in 0..count {
        let expires_at = SEC + i64::from(number);
        map.merge(Key::new(record_type, [number]), entry(expires_at), 0);
    }
}

#[test]
fn over_its_limits_a_type_loses_the_records_that_expire_first_but_no_claim() {
    let mut map = Map::new(MapLimits {
        entries: 3,
        bytes: 1000,
    });
    fill(&mut map, RecordType::Observation, 5);
    let stored: Vec<u8> = map
        .of_type(RecordType::Observation)
        .map(|(key, _)| key.name[0])
        .collect();
    assert_eq!(stored, [2, 3, 4]);
    assert_eq!(
        map.merge(Key::new(RecordType::Observation, [0]), entry(SEC), 0),
        MergeOutcome::Rejected
    );
    // The limits hold for each type by itself, and no claim evicts another.
    fill(&mut map, RecordType::Claim, 4);
    assert_eq!(map.of_type(RecordType::Claim).count(), 3);
    map.remove_expired(10 * SEC);
    assert!(map.is_empty());
    let empty = Map::new(MapLimits {
        entries: 1,
        bytes: 1,
    });
    assert_eq!(map.digest(), empty.digest());
}

// Guards against memory beyond the limit by records that grow: only new ones were checked against it.
#[test]
fn a_record_that_grows_stays_within_the_limit_of_bytes() {
    const BYTES: usize = 1000;
    let limits = MapLimits {
        entries: 10,
        bytes: BYTES,
    };
    let sized = |rank: u64, length: usize, expires_at: Micros| Entry {
        rank: (rank, 0),
        value: vec![1; length],
        expires_at,
    };
    for record_type in [RecordType::Observation, RecordType::Endpoint] {
        let mut map = Map::new(limits);
        let stored = |map: &Map| map.sizes()[&(record_type as u32)].bytes;
        let key = |number: u8| Key::new(record_type, [number]);
        map.merge(key(1), sized(1, 400, SEC), 0);
        map.merge(key(2), sized(1, 400, 2 * SEC), 0);
        // The other one, which expires first, makes room.
        map.merge(key(2), sized(2, 900, 2 * SEC), 0);
        assert_eq!((stored(&map), map.get(&key(1))), (901, None));
        // One that expires first of all goes itself, its former form with it.
        map.merge(key(3), sized(1, 50, SEC), 0);
        let outcome = map.merge(key(3), sized(2, 500, SEC), 0);
        assert_eq!(outcome, MergeOutcome::Rejected);
        assert_eq!((stored(&map), map.get(&key(3))), (901, None));
    }
    // A claim that has run holds its answer: that it ran must not be forgotten for want of room.
    let mut map = Map::new(limits);
    let key = Key::new(RecordType::Claim, [1]);
    map.merge(key.clone(), sized(1, 900, SEC), 0);
    map.merge(key.clone(), sized(2, 1100, SEC), 0);
    assert_eq!(map.get(&key).map(|entry| entry.rank.0), Some(2));
}
