//! What is shared hears anything: as it comes, and behind a good head, from a front that the view knows. It may not panic,
//! and holds no more than its bounds.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_replication::ledger::Terms;
use meadowrill_replication::plan::{Ledger, Plan};
use meadowrill_replication::replica::{Peer, Replica};
use meadowrill_replication::SEC;

const NOW: i64 = 1000 * SEC;

fuzz_target!(|bytes: &[u8]| {
    let plan = Plan {
        entries: 100,
        bytes: 100_000,
        ledger: Some(Ledger::default()),
        ..Plan::default()
    };
    let mut replica = Replica::new(plan, "front-1", 1, NOW, 1);
    let mut acts = Vec::new();
    let peer = |name: &str| Peer {
        name: name.into(),
        start: 1,
        here: true,
        left: false,
        zone: String::new(),
        round_trip: None,
        shares: true,
        ledger: true,
    };
    replica.fleet(NOW, true, vec![peer("front-2"), peer("front-3")], &mut acts);
    let terms = Terms {
        expires: NOW + 2 * SEC,
        budget: SEC,
        window: SEC,
    };
    replica.ask(NOW, 1, b"mark", terms, &mut acts);
    replica.hear(NOW, bytes, &mut acts);
    if let Some((cut, rest)) = bytes.split_first() {
        for (at, part) in rest.chunks(usize::from(*cut).max(16)).enumerate() {
            let mut whole = if at % 2 == 0 {
                vec![b'm', b'p', 1]
            } else {
                vec![b'm', b'q', 1]
            };
            whole.extend(crc32fast::hash(part).to_le_bytes());
            whole.extend(part);
            replica.hear(NOW + at as i64, &whole, &mut acts);
        }
    }
    for step in 1..8 {
        replica.tick(NOW + step * SEC / 2, &mut acts);
    }
    assert!(replica
        .map()
        .held()
        .values()
        .all(|held| held.entries <= 100 && held.bytes <= 100_000));
});
