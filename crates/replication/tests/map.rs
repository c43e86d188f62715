//! The bounds of the map: which records are evicted, and that nothing is left of those that expired.

use meadowrill_replication::map::{Map, MapLimits, MergeOutcome};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::{Micros, SEC};

fn entry(rank: u64, expires_at: Micros) -> Entry {
    Entry {
        rank: (rank, 0),
        value: vec![rank as u8; 4],
        expires_at,
    }
}

#[test]
fn of_too_many_those_go_that_are_over_first() {
    let mut map = Map::new(MapLimits {
        entries: 3,
        bytes: 1000,
    });
    for n in 0..5u8 {
        map.merge(
            Key::new(RecordType::Observation, [n]),
            entry(1, SEC + i64::from(n)),
            0,
        );
    }
    let left: Vec<u8> = map
        .of_type(RecordType::Observation)
        .map(|(key, _)| key.name[0])
        .collect();
    assert_eq!(left, [2, 3, 4]);
    assert_eq!(
        map.merge(Key::new(RecordType::Observation, [0]), entry(1, SEC), 0),
        MergeOutcome::Rejected
    );
    // Kinds have rooms of their own, and an effect pushes out none.
    for n in 0..4u8 {
        map.merge(
            Key::new(RecordType::Claim, [n]),
            entry(1, SEC + i64::from(n)),
            0,
        );
    }
    assert_eq!(map.of_type(RecordType::Claim).count(), 3);
    map.remove_expired(10 * SEC);
    assert!(map.is_empty());
    assert_eq!(
        map.digest(),
        Map::new(MapLimits {
            entries: 1,
            bytes: 1
        })
        .digest()
    );
}
