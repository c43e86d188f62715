//! A replica processes arbitrary input from the network: random bytes, unknown record types and extreme times.

use meadowrill_replication::ledger::{key_status, KeyStatus, RequestTerms, Voters};
use meadowrill_replication::map::{Map, MapLimits, MAX_RETENTION};
use meadowrill_replication::record::Key;
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::records::{
    claim_prefix, claim_record, observation_record, Claim, ClaimState, Observation,
};
use meadowrill_replication::replica::{Action, Peer, Replica};
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings};
use meadowrill_replication::wire::{
    read, write, Body, CatchUpPage, ClaimReply, ClaimRequest, Delta, Packet, Record, Records,
};
use meadowrill_replication::{Micros, SEC};
use proptest::prelude::*;

const NOW: Micros = 1000 * SEC;
/// A record type that this build does not know. Its number is below 16, so that its records are disseminated.
const UNKNOWN_TYPE: u32 = 9;
const NAME: &[u8] = b"later";

/// A replica with one peer.
fn replica(actions: &mut Vec<Action>) -> Replica {
    replica_with(ReplicationSettings::default(), actions)
}

fn replica_with(settings: ReplicationSettings, actions: &mut Vec<Action>) -> Replica {
    let mut replica = Replica::new(settings, "front-1", 1, NOW, 1);
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
    replica.update_membership(NOW, true, vec![peer], actions);
    replica
}

proptest! {
    #[test]
    fn arbitrary_bytes_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut actions = Vec::new();
        let mut replica = replica(&mut actions);
        replica.receive_message(NOW, &bytes, &mut actions);
        replica.tick(NOW + SEC, &mut actions);
        prop_assert!(replica.map().is_empty());
    }
}

/// A rumor of a record of the unknown type.
fn rumor(rank_high: u64) -> Vec<u8> {
    let record = Record {
        record_type: UNKNOWN_TYPE,
        name: NAME.to_vec(),
        rank_high,
        rank_low: 0,
        value: vec![rank_high as u8],
        expires_at: (NOW + 10 * SEC) as u64,
    };
    let packet = Packet {
        fleet_id: 0,
        from: "front-2".into(),
        incarnation: 1,
        body: Some(Body::Rumors(Records {
            records: vec![record],
        })),
    };
    let mut bytes = Vec::new();
    write(&packet, &mut bytes);
    bytes
}

/// Whether an action sends a rumor of the record with this rank.
fn disseminates(action: &Action, rank_high: u64) -> bool {
    let Action::SendDatagram { bytes, .. } = action else {
        return false;
    };
    let Ok(Some(Body::Rumors(rumors))) = read(bytes, 0).map(|packet| packet.body) else {
        return false;
    };
    let is_expected =
        |record: &Record| record.record_type == UNKNOWN_TYPE && record.rank_high == rank_high;
    rumors.records.iter().any(is_expected)
}

#[test]
fn a_record_of_an_unknown_type_is_merged_disseminated_and_expires() {
    let mut actions = Vec::new();
    let mut replica = replica(&mut actions);
    let key = Key {
        record_type: UNKNOWN_TYPE,
        name: NAME.to_vec(),
    };
    for (received, stored) in [(3, 3), (5, 5), (4, 5)] {
        replica.receive_message(NOW, &rumor(received), &mut actions);
        let rank = replica.map().get(&key).map(|entry| entry.rank.0);
        assert_eq!(rank, Some(stored));
    }
    actions.clear();
    replica.tick(NOW + SEC, &mut actions);
    assert!(actions.iter().any(|action| disseminates(action, 5)));
    replica.tick(NOW + 11 * SEC, &mut actions);
    assert!(replica.map().is_empty());
}

/// The smallest and the largest times, those around the largest signed number, and two plausible times.
const TIMES: [u64; 8] = [
    0,
    1,
    (NOW - SEC) as u64,
    (NOW + 10 * SEC) as u64,
    i64::MAX as u64 - 1,
    i64::MAX as u64,
    i64::MAX as u64 + 1,
    u64::MAX,
];

/// A record of each type except usage, with these times in all its fields.
fn records_at(rank: u64, value: u64, expires_at: u64) -> Vec<Record> {
    let claim = Claim {
        holder: "front-2".into(),
        incarnation: 1,
        first_sent_at: value,
        deadline: value,
        ..Claim::default()
    };
    let observation = Observation {
        writer: "front-2".into(),
        values: vec![1.0],
        observed_at: value,
        ..Observation::default()
    };
    let claim = claim_record(b"key", (2, rank), ClaimState::MayHaveRun, &claim, 0);
    let observation =
        observation_record(RecordType::Observation, b"subject", rank, &observation, 0);
    let purge = (
        Key::new(RecordType::Purge, *b"g\0\0\0\x01"),
        (rank, 0),
        Vec::new(),
    );
    let endpoint = (
        Key::new(RecordType::Endpoint, *b"s-a"),
        (rank, 1),
        Vec::new(),
    );
    let parts = [claim, observation].map(|(key, entry)| (key, entry.rank, entry.value));
    let all = parts.into_iter().chain([purge, endpoint]);
    let record = |(key, rank, value): (Key, (u64, u64), Vec<u8>)| Record {
        record_type: key.record_type,
        name: key.name,
        rank_high: rank.0,
        rank_low: rank.1,
        value,
        expires_at,
    };
    all.map(record).collect()
}

/// One message of each type that contains records.
fn messages_with(records: &[Record], time: u64) -> Vec<Body> {
    let all = records.to_vec();
    vec![
        Body::Rumors(Records {
            records: all.clone(),
        }),
        Body::Delta(Delta {
            records: all.clone(),
            no_longer_stored: vec![time],
        }),
        Body::CatchUpPage(CatchUpPage {
            tree: 0,
            records: all.clone(),
            last: true,
        }),
        Body::ClaimRequest(ClaimRequest {
            number: time,
            claim: all.first().cloned(),
            owners: vec!["front-1".into(), "front-2".into()],
            takeover_until: time,
        }),
        Body::ClaimReply(ClaimReply {
            number: time,
            vote: 2,
            conflicting_claims: all,
        }),
    ]
}

fn terms() -> RequestTerms {
    RequestTerms {
        deadline: NOW + SEC,
        latency_budget: SEC / 2,
        dedup_window: 3 * SEC,
    }
}

// Guards against overflows in sums with times from the wire, and against records that never expire.
#[test]
fn extreme_times_in_any_field_cause_no_overflow_and_no_unlimited_retention() {
    let mut actions = Vec::new();
    let ledger = ReplicationSettings {
        ledger: Some(LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    for (rank, value, expires_at) in TIMES
        .iter()
        .flat_map(|rank| TIMES.iter().map(move |value| (*rank, *value)))
        .flat_map(|(rank, value)| TIMES.iter().map(move |expires| (rank, value, *expires)))
    {
        let mut replica = replica_with(ledger.clone(), &mut actions);
        for body in messages_with(&records_at(rank, value, expires_at), value) {
            let packet = Packet {
                fleet_id: 0,
                from: "front-2".into(),
                incarnation: 1,
                body: Some(body),
            };
            let mut bytes = Vec::new();
            write(&packet, &mut bytes);
            replica.receive_message(NOW, &bytes, &mut actions);
        }
        replica.begin_request(NOW, 1, b"key", terms(), &mut actions);
        replica.shared_estimate(b"subject");
        replica.endpoint_phase("s-a");
        let latest_expiry = replica
            .map()
            .iter()
            .map(|(_, entry)| entry.expires_at)
            .max();
        assert!(latest_expiry.is_none_or(|until| until <= NOW + MAX_RETENTION));
        replica.tick(NOW + SEC, &mut actions);
        actions.clear();
    }
}

// Guards against a side effect that runs twice. If the time of a claim's first attempt is in the future, it is wrong,
// and the origin's deduplication window may have ended long ago.
#[test]
fn a_claim_that_was_sent_in_the_future_is_not_taken_over() {
    let claim = Claim {
        holder: "front-2".into(),
        incarnation: 1,
        first_sent_at: (NOW + 3600 * SEC) as u64,
        deadline: (NOW - SEC) as u64,
        ..Claim::default()
    };
    let (key, entry) = claim_record(
        b"key",
        (2, 1),
        ClaimState::OutcomeLost,
        &claim,
        NOW + 600 * SEC,
    );
    let mut map = Map::new(MapLimits {
        entries: 10,
        bytes: 100_000,
    });
    map.merge(key, entry, NOW);
    let prefix = claim_prefix(b"key");
    let status = key_status(&map, &prefix, None, &Voters::default(), NOW);
    assert_eq!(status, KeyStatus::OutcomeLost { first_sent_at: 0 });
}
