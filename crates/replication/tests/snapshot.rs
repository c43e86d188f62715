//! Snapshots are either read completely or rejected.

#[path = "common/records.rs"]
mod common;

use common::{merged, records, LIMITS, NOW};
use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::records::{observation_record, purge_record, Observation};
use meadowrill_replication::snapshot::{self, Restored, SnapshotError};
use meadowrill_replication::{Micros, SEC};
use proptest::prelude::*;

const FLEET: u64 = 7;
const MAX_AGE: Micros = 60 * SEC;
/// Number of purges, so that the snapshot has more than one part.
const PURGES: usize = 3000;

proptest! {
    #[test]
    fn a_damaged_snapshot_is_rejected_completely(
        records in records(), at in any::<u32>(), bit in 0u8..8, truncate in any::<bool>()
    ) {
        let mut bytes = snapshot::write(&merged(records.iter()), FLEET, NOW);
        let at = at as usize % bytes.len();
        if truncate { bytes.truncate(at) } else { bytes[at] ^= 1 << bit }
        let mut map = Map::new(LIMITS);
        prop_assert!(snapshot::read(&bytes, &mut map, FLEET, MAX_AGE, NOW + SEC).is_err());
        prop_assert!(map.is_empty());
    }
}

/// A map of purges and one observation.
fn filled() -> Map {
    let mut map = empty();
    for object in 0..PURGES as u64 {
        let (key, entry) = purge_record(Some(object), 0, NOW - object as i64, 900 * SEC);
        map.merge(key, entry, NOW);
    }
    let observation = Observation::default();
    let (key, entry) = observation_record(
        RecordType::Observation,
        b"lx",
        1,
        &observation,
        NOW + 100 * SEC,
    );
    map.merge(key, entry, NOW);
    map
}

fn empty() -> Map {
    Map::new(MapLimits {
        entries: 5000,
        bytes: 1_000_000,
    })
}

#[test]
fn a_snapshot_is_restored_unless_it_is_of_another_fleet_too_old_or_from_the_future() {
    let bytes = snapshot::write(&filled(), FLEET, NOW);
    let read = |fleet_id, now: Micros| {
        let mut map = empty();
        let restored = snapshot::read(&bytes, &mut map, fleet_id, MAX_AGE, now)?;
        Ok::<_, SnapshotError>((restored, map))
    };
    let (restored, map) = read(FLEET, NOW + SEC).unwrap();
    // Observations are not restored.
    let expected = Restored {
        records: PURGES,
        age: SEC,
    };
    assert_eq!((restored, map.len()), (expected, PURGES));
    assert_eq!(read(8, NOW).unwrap_err(), SnapshotError::OtherFleet);
    assert_eq!(
        read(FLEET, NOW - 10 * SEC).unwrap_err(),
        SnapshotError::FromFuture
    );
    assert_eq!(
        read(FLEET, NOW + 90 * SEC).unwrap_err(),
        SnapshotError::TooOld
    );
}

// Guards against an overflow when the age of a snapshot with an impossible time is computed.
#[test]
fn a_snapshot_with_an_impossible_time_is_from_the_future() {
    let map = Map::new(LIMITS);
    // Encoded as an unsigned number, the smallest value is half of the range.
    for written_at in [Micros::MIN, Micros::MIN + 1, -1, Micros::MAX] {
        let bytes = snapshot::write(&map, FLEET, written_at);
        let restored = snapshot::read(&bytes, &mut Map::new(LIMITS), FLEET, SEC, NOW);
        assert_eq!(restored, Err(SnapshotError::FromFuture));
    }
}
