//! What is shared hears anything: as it comes, and behind a good head, from a front that the view knows. It may not panic,
//! and holds no more than its bounds.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_replication::ledger::RequestTerms;
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings};
use meadowrill_replication::replica::{Peer, Replica};
use meadowrill_replication::SEC;

const NOW: i64 = 1000 * SEC;

fuzz_target!(|bytes: &[u8]| {
    let plan = ReplicationSettings {
        max_entries: 100,
        max_bytes: 100_000,
        ledger: Some(LedgerSettings::default()),
        ..ReplicationSettings::default()
    };
    let mut replica = Replica::new(plan, "front-1", 1, NOW, 1);
    let mut acts = Vec::new();
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
    replica.update_membership(NOW, true, vec![peer("front-2"), peer("front-3")], &mut acts);
    let terms = RequestTerms {
        deadline: NOW + 2 * SEC,
        latency_budget: SEC,
        dedup_window: SEC,
    };
    replica.begin_request(NOW, 1, b"mark", terms, &mut acts);
    replica.receive_message(NOW, bytes, &mut acts);
    if let Some((cut, rest)) = bytes.split_first() {
        for (at, part) in rest.chunks(usize::from(*cut).max(16)).enumerate() {
            let mut whole = if at % 2 == 0 {
                vec![b'm', b'p', 1]
            } else {
                vec![b'm', b'q', 1]
            };
            whole.extend(crc32fast::hash(part).to_le_bytes());
            whole.extend(part);
            replica.receive_message(NOW + at as i64, &whole, &mut acts);
        }
    }
    for step in 1..8 {
        replica.tick(NOW + step * SEC / 2, &mut acts);
    }
    assert!(replica
        .map()
        .sizes()
        .values()
        .all(|held| held.entries <= 100 && held.bytes <= 100_000));
});
