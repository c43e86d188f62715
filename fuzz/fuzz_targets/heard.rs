//! Feeds arbitrary bytes to a membership view: once unchanged, and once in datagrams with a valid header, so that the
//! code after the checksum is reached. The view must not panic, exceed its bound on members or send datagrams or chunks
//! longer than their limits.

#![no_main]

use libfuzzer_sys::fuzz_target;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, MemberIdentity, View};
use meadowrill_membership::wire::{MAX_CHUNK_LENGTH, MAX_DATAGRAM_LENGTH};

fuzz_target!(|bytes: &[u8]| {
    let mut settings = FleetSettings::new("127.0.0.2:7000".parse().expect("valid address"));
    settings.max_members = 16;
    let identity = MemberIdentity {
        name: "front-2".into(),
        version: "0.1.0".into(),
        start: 50,
    };
    let mut view = View::new(settings, identity, SECOND, 1);
    let mut actions = Vec::new();
    view.receive(SECOND, bytes, &mut actions);
    // The first byte is the length of the parts into which the rest is split. Each part gets a header.
    if let Some((length, rest)) = bytes.split_first() {
        for (index, part) in rest.chunks(usize::from(*length).max(8)).enumerate() {
            let mut datagram = if index % 2 == 0 {
                vec![b'm', b'r', 1]
            } else {
                vec![b'm', b'z', 1]
            };
            datagram.extend(crc32fast::hash(part).to_le_bytes());
            datagram.extend(part);
            view.receive(SECOND + index as i64, &datagram, &mut actions);
        }
    }
    for step in 1..8 {
        view.handle_timeout(SECOND + step * SECOND / 2, &mut actions);
    }
    assert!(view.members().count() < 16);
    for action in actions {
        match action {
            Action::SendDatagram { bytes, .. } => assert!(bytes.len() <= MAX_DATAGRAM_LENGTH),
            Action::SendStream { bytes, .. } => assert!(bytes.len() <= MAX_CHUNK_LENGTH),
            Action::Notify(_) => {}
        }
    }
});
