//! A view hears anything: bytes as they come, and behind a good head, so that what lies behind the checksum is reached.
//! It may not panic, grow past its bounds or send more than its answers.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, MemberIdentity, View};
use meadowrill_membership::wire::{MAX_CHUNK_LENGTH, MAX_DATAGRAM_LENGTH};

fuzz_target!(|bytes: &[u8]| {
    let mut plan = FleetSettings::new("127.0.0.2:7000".parse().expect("an address"));
    plan.max_members = 16;
    let me = MemberIdentity {
        name: "front-2".into(),
        version: "0.1.0".into(),
        start: 50,
    };
    let mut view = View::new(plan, me, SECOND, 1);
    let mut out = Vec::new();
    view.receive(SECOND, bytes, &mut out);
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
            view.receive(SECOND + at as i64, &whole, &mut out);
        }
    }
    for step in 1..8 {
        view.handle_timeout(SECOND + step * SECOND / 2, &mut out);
    }
    assert!(view.members().count() < 16);
    for act in out {
        match act {
            Action::SendDatagram { bytes, .. } => assert!(bytes.len() <= MAX_DATAGRAM_LENGTH),
            Action::SendStream { bytes, .. } => assert!(bytes.len() <= MAX_CHUNK_LENGTH),
            Action::Notify(_) => {}
        }
    }
});
