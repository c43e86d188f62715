//! A view hears anything: bytes as they come, and behind a good head, so that what lies behind the checksum is reached.
//! It may not panic, grow past its bounds or send more than its answers.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_membership::plan::{Plan, SEC};
use meadowrill_membership::view::{Act, Me, View};
use meadowrill_membership::wire::{CHUNK_MOST, MOST};

fuzz_target!(|bytes: &[u8]| {
    let mut plan = Plan::new("127.0.0.2:7000".parse().expect("an address"));
    plan.members_most = 16;
    let me = Me {
        name: "front-2".into(),
        version: "0.1.0".into(),
        start: 50,
    };
    let mut view = View::new(plan, me, SEC, 1);
    let mut out = Vec::new();
    view.hear(SEC, bytes, &mut out);
    // The first byte tells how the rest is cut into messages, each with a head of its own.
    if let Some((cut, rest)) = bytes.split_first() {
        for (at, part) in rest.chunks(usize::from(*cut).max(8)).enumerate() {
            let mut whole = if at % 2 == 0 {
                vec![b'm', b'r', 1]
            } else {
                vec![b'm', b'z', 1]
            };
            whole.extend(crc32fast::hash(part).to_le_bytes());
            whole.extend(part);
            view.hear(SEC + at as i64, &whole, &mut out);
        }
    }
    for step in 1..8 {
        view.tick(SEC + step * SEC / 2, &mut out);
    }
    assert!(view.members().count() < 16);
    for act in out {
        match act {
            Act::Send { bytes, .. } => assert!(bytes.len() <= MOST),
            Act::Stream { bytes, .. } => assert!(bytes.len() <= CHUNK_MOST),
            Act::Tell(_) => {}
        }
    }
});
