//! The limits of the map: which records are evicted, and that expired records are removed completely.

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

/// Merges `count` records of a type, each of which expires a little later than the previous one.
fn fill(map: &mut Map, record_type: RecordType, count: u8) {
    for number in 0..count {
        let expires_at = SEC + i64::from(number);
        map.merge(Key::new(record_type, [number]), entry(expires_at), 0);
    }
}

#[test]
fn records_over_the_limit_are_evicted_by_expiry_but_claims_never() {
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
    // The limits apply to each type separately, and no claim evicts another.
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

// Guards against a fault by which records grew beyond the limit of bytes: only new records were checked against it.
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
        // The other record, which expires first, is evicted.
        map.merge(key(2), sized(2, 900, 2 * SEC), 0);
        assert_eq!((stored(&map), map.get(&key(1))), (901, None));
        // A record that expires before all others is rejected itself, and its previous version is removed.
        map.merge(key(3), sized(1, 50, SEC), 0);
        let outcome = map.merge(key(3), sized(2, 500, SEC), 0);
        assert_eq!(outcome, MergeOutcome::Rejected);
        assert_eq!((stored(&map), map.get(&key(3))), (901, None));
    }
    // A completed claim contains the response. That it ran must not be lost for lack of capacity.
    let mut map = Map::new(limits);
    let key = Key::new(RecordType::Claim, [1]);
    map.merge(key.clone(), sized(1, 900, SEC), 0);
    map.merge(key.clone(), sized(2, 1100, SEC), 0);
    assert_eq!(map.get(&key).map(|entry| entry.rank.0), Some(2));
}
