//! Conflict resolution: the result of merging does not depend on order, grouping or repeats, and the rank of a stored
//! record only grows.

#[path = "common/records.rs"]
mod common;

use common::{merged, records, LIMITS, NOW};
use meadowrill_replication::map::{Map, MergeOutcome};
use meadowrill_replication::record::{Entry, Key};
use meadowrill_replication::record_type::{RecordType, Tree};
use meadowrill_replication::records::{
    claim_record, decode_claim, endpoint_record, purge_record, Claim, ClaimState, EndpointInfo,
    EndpointPhase,
};
use meadowrill_replication::wire::Record;
use meadowrill_replication::SEC;
use proptest::prelude::*;

fn describe(map: &Map) -> String {
    format!("{:?} {:x}", map.iter().collect::<Vec<_>>(), map.digest())
}

/// All records of a map, tree by tree.
fn all_records(map: &Map) -> Vec<Record> {
    Tree::ALL
        .into_iter()
        .flat_map(|tree| map.records_after(tree, None).collect::<Vec<_>>())
        .collect()
}

proptest! {
    #[test]
    fn merging_ignores_order_and_repeats(records in records(), seed in any::<u64>()) {
        let mut shuffled = records.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let once = merged(records.iter());
        let repeated = merged(shuffled.iter().chain(&records));
        prop_assert_eq!(describe(&once), describe(&repeated));
    }

    #[test]
    fn merging_is_associative(a in records(), b in records(), c in records()) {
        let merged_in_parts = |parts: [&Vec<Record>; 3]| {
            let parts = parts.map(|part| all_records(&merged(part.iter())));
            describe(&merged(parts.iter().flatten()))
        };
        prop_assert_eq!(merged_in_parts([&a, &b, &c]), merged_in_parts([&c, &a, &b]));
    }

    #[test]
    fn a_stored_entry_only_grows(records in records()) {
        let mut map = Map::new(LIMITS);
        for record in &records {
            let key = Key::from_wire(record);
            let before = map.get(&key).cloned();
            map.merge(key.clone(), Entry::from_wire(record), NOW);
            prop_assert!(map.get(&key).cloned() >= before);
        }
    }

    /// Comparing bucket digests finds all differences, and merging the missing records makes two maps equal.
    #[test]
    fn a_comparison_by_buckets_finds_all_differences(a in records(), b in records()) {
        let (mut one, other) = (merged(a.iter()), merged(b.iter()));
        for tree in Tree::ALL {
            for bucket in one.differing_buckets(tree, &other.bucket_digests(tree)) {
                let missing: Vec<u64> = other
                    .bucket_hashes(tree, bucket)
                    .filter(|hash| !one.contains_hash(*hash))
                    .collect();
                for record in missing.into_iter().filter_map(|hash| other.record_by_hash(hash)) {
                    one.merge(Key::from_wire(&record), Entry::from_wire(&record), NOW);
                }
            }
        }
        prop_assert_eq!(describe(&one), describe(&merged(a.iter().chain(&b))));
    }
}

fn merge(map: &mut Map, (key, entry): (Key, Entry)) -> MergeOutcome {
    map.merge(key, entry, NOW)
}

const REPLACED: MergeOutcome = MergeOutcome::Merged { replaced: true };

#[test]
fn the_latest_purge_wins_and_a_phase_never_goes_back() {
    let mut map = Map::new(LIMITS);
    let purge = |stamp| purge_record(Some(1), 0, stamp, 900 * SEC);
    merge(&mut map, purge(NOW));
    assert_eq!(merge(&mut map, purge(NOW - 5)), MergeOutcome::AlreadyKnown);
    assert_eq!(merge(&mut map, purge(NOW + 5)), REPLACED);

    let endpoint = EndpointInfo {
        address: "127.0.0.1:1".into(),
        ..EndpointInfo::default()
    };
    let in_phase =
        |started_at, phase| endpoint_record("s-1", started_at, phase, &endpoint, NOW + SEC);
    assert_eq!(
        merge(&mut map, in_phase(10, EndpointPhase::Draining)),
        MergeOutcome::Merged { replaced: false }
    );
    assert_eq!(
        merge(&mut map, in_phase(10, EndpointPhase::Ready)),
        MergeOutcome::AlreadyKnown
    );
    assert_eq!(
        merge(&mut map, in_phase(10, EndpointPhase::Removed)),
        REPLACED
    );
    assert_eq!(
        merge(&mut map, in_phase(20, EndpointPhase::Ready)),
        REPLACED
    );
    assert_eq!(
        merge(&mut map, in_phase(10, EndpointPhase::Removed)),
        MergeOutcome::AlreadyKnown
    );
}

#[test]
fn the_state_of_a_claim_only_advances() {
    let mut map = Map::new(LIMITS);
    let claim = Claim {
        holder: "front-1".into(),
        ..Claim::default()
    };
    let mut stored_after = |state: ClaimState| {
        merge(
            &mut map,
            claim_record(b"order-1", (1, 1), state, &claim, NOW + SEC),
        );
        let (_, entry) = map.of_type(RecordType::Claim).next()?;
        decode_claim(entry).map(|(state, _)| state)
    };
    let (may, completed) = (ClaimState::MayHaveRun, ClaimState::Completed);
    assert_eq!(stored_after(may), Some(may));
    assert_eq!(stored_after(ClaimState::Requested), Some(may));
    assert_eq!(stored_after(completed), Some(completed));
    assert_eq!(stored_after(ClaimState::NotRun), Some(completed));
}
