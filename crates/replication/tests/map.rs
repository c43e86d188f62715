//! The bounds of the map: which records are evicted, and that nothing is left of those that expired.

use meadowrill_replication::kinds::Kind;
use meadowrill_replication::map::{Entry, Key, Map, Room, Took};
use meadowrill_replication::{Micros, SEC};

fn entry(rank: u64, until: Micros) -> Entry {
    Entry {
        rank: (rank, 0),
        value: vec![rank as u8; 4],
        until,
    }
}

#[test]
fn of_too_many_those_go_that_are_over_first() {
    let mut map = Map::new(Room {
        entries: 3,
        bytes: 1000,
    });
    for n in 0..5u8 {
        map.merge(
            Key::new(Kind::Learned, [n]),
            entry(1, SEC + i64::from(n)),
            0,
        );
    }
    let left: Vec<u8> = map
        .of_kind(Kind::Learned)
        .map(|(key, _)| key.name[0])
        .collect();
    assert_eq!(left, [2, 3, 4]);
    assert_eq!(
        map.merge(Key::new(Kind::Learned, [0]), entry(1, SEC), 0),
        Took::Refused
    );
    // Kinds have rooms of their own, and an effect pushes out none.
    for n in 0..4u8 {
        map.merge(Key::new(Kind::Effect, [n]), entry(1, SEC + i64::from(n)), 0);
    }
    assert_eq!(map.of_kind(Kind::Effect).count(), 3);
    map.sweep(10 * SEC);
    assert!(map.is_empty());
    assert_eq!(
        map.digest(),
        Map::new(Room {
            entries: 1,
            bytes: 1
        })
        .digest()
    );
}
