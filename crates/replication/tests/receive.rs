//! What comes over the wire may be anything.

use meadowrill_replication::record::Key;
use meadowrill_replication::replica::{Action, Peer, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::wire::{read, write, Body, Packet, Record, Records};
use meadowrill_replication::{Micros, SEC};
use proptest::prelude::*;

const NOW: Micros = 1000 * SEC;
/// The number of no record type of this build; below 16, so that it is disseminated.
const UNKNOWN_TYPE: u32 = 9;
const NAME: &[u8] = b"later";

/// A replica that knows one other proxy.
fn replica(actions: &mut Vec<Action>) -> Replica {
    let mut replica = Replica::new(ReplicationSettings::default(), "front-1", 1, NOW, 1);
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
    let is_sought =
        |record: &Record| record.record_type == UNKNOWN_TYPE && record.rank_high == rank_high;
    rumors.records.iter().any(is_sought)
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
