//! Feeds arbitrary bytes to a replica: once unchanged, and once in messages with a valid header, from a proxy that is
//! in the membership. The replica must not panic or exceed its bounds.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_replication::ledger::RequestTerms;
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings};
use meadowrill_replication::replica::{Peer, Replica};
use meadowrill_replication::SEC;

const NOW: i64 = 1000 * SEC;

fuzz_target!(|bytes: &[u8]| {
    let settings = ReplicationSettings {
        max_entries: 100,
        max_bytes: 100_000,
        ledger: Some(LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    let mut replica = Replica::new(settings, "front-1", 1, NOW, 1);
    let mut actions = Vec::new();
    let peer = |name: &str| Peer {
        name: name.into(),
        incarnation: 1,
        alive: true,
        left: false,
        zone: String::new(),
        round_trip: None,
        replicates: true,
        votes: true,
    };
    replica.update_membership(NOW, true, vec![peer("front-2"), peer("front-3")], &mut actions);
    let terms = RequestTerms {
        deadline: NOW + 2 * SEC,
        latency_budget: SEC,
        dedup_window: SEC,
    };
    replica.begin_request(NOW, 1, b"mark", terms, &mut actions);
    replica.receive_message(NOW, bytes, &mut actions);
    if let Some((length, rest)) = bytes.split_first() {
        for (index, part) in rest.chunks(usize::from(*length).max(16)).enumerate() {
            let mut message = if index % 2 == 0 {
                vec![b'm', b'p', 1]
            } else {
                vec![b'm', b'q', 1]
            };
            message.extend(crc32fast::hash(part).to_le_bytes());
            message.extend(part);
            replica.receive_message(NOW + index as i64, &message, &mut actions);
        }
    }
    for step in 1..8 {
        replica.tick(NOW + step * SEC / 2, &mut actions);
    }
    assert!(replica
        .map()
        .sizes()
        .values()
        .all(|size| size.entries <= 100 && size.bytes <= 100_000));
});
