//! Random records, and maps that contain them.

use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::wire::Record;
use meadowrill_replication::{Micros, SEC};
use proptest::prelude::*;

pub(crate) const NOW: Micros = 1000 * SEC;
pub(crate) const LIMITS: MapLimits = MapLimits {
    entries: 1000,
    bytes: 1_000_000,
};

/// Records of types that this build knows and of two types that it does not. There are few names, so that many records
/// have the same key.
pub(crate) fn records() -> impl Strategy<Value = Vec<Record>> {
    let record_type = prop::sample::select(vec![1u32, 2, 3, 9, 16, 17, 40]);
    let record = (
        record_type,
        0u8..6,
        0u64..4,
        0u64..3,
        prop::collection::vec(0u8..3, 0..3),
        1i64..4,
    );
    let record = record.prop_map(
        |(record_type, name, rank_high, rank_low, value, seconds_left)| Record {
            record_type,
            name: vec![name],
            rank_high,
            rank_low,
            value,
            expires_at: (NOW + seconds_left * SEC) as u64,
        },
    );
    prop::collection::vec(record, 0..60)
}

/// A map into which these records were merged in this order.
pub(crate) fn merged<'a>(records: impl Iterator<Item = &'a Record>) -> Map {
    let mut map = Map::new(LIMITS);
    for record in records {
        map.merge(Key::from_wire(record), Entry::from_wire(record), NOW);
    }
    map
}
