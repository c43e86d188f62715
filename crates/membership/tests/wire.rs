//! Received messages: arbitrary bytes must be handled safely, and every later build must decode messages of version 1.

use meadowrill_membership::hash::stable_hash;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{Action, MemberIdentity, View};
use meadowrill_membership::wire::{
    decode, encode, encode_chunk, Body, DropReason, Packet, Payload, Ping, Record, RecordTransfer,
    MAX_CHUNK_LENGTH, MAX_DATAGRAM_LENGTH,
};
use proptest::prelude::*;
use prost::Message;

fn fleet() -> u64 {
    stable_hash("meadowrill", 98)
}

fn body(n: u64) -> Vec<u8> {
    let address = format!("127.0.0.{}:7000", n % 250 + 1);
    Body {
        address,
        zone: "east".into(),
        weight: 1,
        version: "0.1.0".into(),
        nonce: n,
        values: Vec::new(),
    }
    .encode_to_vec()
}

fn packet() -> Packet {
    let record = |n: u64| Record {
        name: format!("front-{n}"),
        start: 100 + n,
        incarnation: n,
        state: (n % 4) as u32,
        accuser: "front-9".into(),
        revision: 1,
        body: body(n),
    };
    Packet {
        fleet: fleet(),
        sender: "front-1".into(),
        start: 7,
        incarnation: 2,
        nonce: 77,
        address: "127.0.0.1:7000".into(),
        revision: 1,
        receiver_claim: None,
        payload: Some(Payload::Ping(Ping {
            sequence: 5,
            target: "front-2".into(),
        })),
        records: (2..5).map(record).collect(),
    }
}

fn view() -> View {
    let settings = FleetSettings::new("127.0.0.2:7000".parse().unwrap());
    View::new(
        settings,
        MemberIdentity {
            name: "front-2".into(),
            version: "0.1.0".into(),
            start: 50,
        },
        SECOND,
        1,
    )
}

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// The datagram was recorded from version 1. A build that cannot decode it cannot communicate with proxies that have
/// not been upgraded yet.
#[test]
fn datagrams_of_version_1_are_decoded() {
    let recorded = include_str!("kept/v1-ping.hex");
    assert_eq!(decode(&hex(recorded), fleet()), Ok(packet()));
}

#[test]
fn chunks_of_version_1_are_decoded() {
    let recorded = include_str!("kept/v1-chunk.hex");
    assert_eq!(decode(&hex(recorded), fleet()), Ok(packet()));
    let mut bytes = Vec::new();
    encode_chunk(&packet(), &mut bytes);
    assert_eq!(decode(&bytes, fleet()), Ok(packet()));
}

/// Guards against a small chunk that decompresses to a large message: it is dropped before it is decompressed
/// completely.
#[test]
fn oversized_decompression_is_dropped() {
    let compressed = miniz_oxide::deflate::compress_to_vec(&vec![0; 64 << 20], 9);
    let mut message = vec![b'm', b'z', 1];
    message.extend(crc32fast::hash(&compressed).to_le_bytes());
    message.extend(&compressed);
    assert!(message.len() < MAX_CHUNK_LENGTH * 2);
    assert_eq!(decode(&message, fleet()), Err(DropReason::Malformed));
}

/// After a stream failed, the same exchange uses datagrams for a while, and then streams again.
#[test]
fn datagrams_replace_streams_that_fail() {
    let mut view = view();
    let mut actions = Vec::new();
    let mut bytes = Vec::new();
    let records = (10..40).map(|n| Record {
        name: format!("front-{n}"),
        start: 9,
        revision: 1,
        body: body(n),
        ..Record::default()
    });
    encode(
        &Packet {
            records: records.collect(),
            payload: None,
            ..packet()
        },
        &mut bytes,
    );
    view.receive(SECOND, &bytes, &mut actions);
    let transfer = RecordTransfer {
        names: (10..40).map(|n| format!("front-{n}")).collect(),
        records: Vec::new(),
    };
    let request_packet = Packet {
        payload: Some(Payload::RecordTransfer(transfer)),
        records: Vec::new(),
        ..packet()
    };
    let mut request = Vec::new();
    encode(&request_packet, &mut request);
    let response_to_request = |at: i64, view: &mut View| {
        let mut actions = Vec::new();
        view.receive(at, &request, &mut actions);
        let datagram_count = actions
            .iter()
            .filter(|action| matches!(action, Action::SendDatagram { .. }))
            .count();
        (
            actions
                .iter()
                .any(|action| matches!(action, Action::SendStream { .. })),
            datagram_count,
        )
    };
    assert_eq!(response_to_request(2 * SECOND, &mut view), (true, 0));
    view.stream_failed(2 * SECOND, "127.0.0.1:7000".parse().unwrap());
    let (stream, datagrams) = response_to_request(3 * SECOND, &mut view);
    assert!(!stream && datagrams > 1, "{datagrams}");
    let mut actions = Vec::new();
    (0..400).for_each(|step| view.handle_timeout(3 * SECOND + step * SECOND / 10, &mut actions));
    assert!(response_to_request(50 * SECOND, &mut view).0);
}

#[test]
fn bodies_of_later_builds_are_forwarded_unchanged() {
    let mut view = view();
    let mut later = body(3);
    // Field 90, which this build does not know.
    later.extend([0xd2, 0x05, 3, b'n', b'e', b'w']);
    let record = Record {
        name: "front-3".into(),
        start: 9,
        revision: 1,
        body: later.clone(),
        ..Record::default()
    };
    let mut bytes = Vec::new();
    encode(
        &Packet {
            records: vec![record],
            ..packet()
        },
        &mut bytes,
    );
    let mut actions = Vec::new();
    view.receive(SECOND, &bytes, &mut actions);
    for step in 0..40 {
        view.handle_timeout(SECOND + step * SECOND / 10, &mut actions);
    }
    let forwarded = actions.iter().any(|action| match action {
        Action::SendDatagram { bytes, .. } => {
            decode(bytes, fleet()).is_ok_and(|p| p.records.iter().any(|r| r.body == later))
        }
        Action::SendStream { .. } | Action::Notify(_) => false,
    });
    assert!(forwarded);
}

#[test]
fn invalid_messages_are_dropped_by_reason() {
    let mut bytes = Vec::new();
    encode(&packet(), &mut bytes);
    let with = |at: usize, byte: u8| {
        let mut bytes = bytes.clone();
        bytes[at] = byte;
        decode(&bytes, fleet())
    };
    assert_eq!(with(0, b'x'), Err(DropReason::UnknownMagic));
    assert_eq!(with(2, 9), Err(DropReason::UnknownVersion));
    assert_eq!(
        with(bytes.len() - 1, !bytes[bytes.len() - 1]),
        Err(DropReason::WrongChecksum)
    );
    assert_eq!(decode(&bytes, fleet() + 1), Err(DropReason::OtherFleet));
    assert_eq!(decode(&bytes[..4], fleet()), Err(DropReason::TooShort));
    let long = Packet {
        sender: "x".repeat(65),
        ..packet()
    };
    encode(&long, &mut bytes);
    assert_eq!(decode(&bytes, fleet()), Err(DropReason::OutOfBounds));
}

/// A flood of fabricated members fills the view only up to its limit, and members that were known before remain.
#[test]
fn fabricated_members_are_bounded() {
    let mut settings = FleetSettings::new("127.0.0.2:7000".parse().unwrap());
    settings.max_members = 20;
    let mut view = View::new(
        settings,
        MemberIdentity {
            name: "front-2".into(),
            version: String::new(),
            start: 50,
        },
        SECOND,
        1,
    );
    let (mut bytes, mut actions) = (Vec::new(), Vec::new());
    for n in 0..1000u64 {
        let record = Record {
            name: format!("made-up-{n}"),
            start: 1,
            revision: 1,
            body: body(n),
            ..Record::default()
        };
        encode(
            &Packet {
                records: vec![record],
                ..packet()
            },
            &mut bytes,
        );
        view.receive(SECOND + n as i64, &bytes, &mut actions);
    }
    assert_eq!(view.members().count(), 19);
    assert!(view.members().any(|(name, _)| name == "front-1"));
    assert!(view.counters.dropped[&DropReason::ViewFull] > 900);
}

proptest! {
    #[test]
    fn arbitrary_bytes_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_LENGTH)) {
        let mut view = view();
        let digest = view.digest();
        view.receive(SECOND, &bytes, &mut Vec::new());
        prop_assert_eq!(view.digest(), digest);
    }

    /// A message that is malformed although its checksum is valid is decoded or dropped, without a panic.
    #[test]
    fn arbitrary_bytes_after_a_valid_header_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut message = vec![b'm', b'r', 1];
        message.extend(crc32fast::hash(&bytes).to_le_bytes());
        message.extend(&bytes);
        let mut view = view();
        let mut actions = Vec::new();
        view.receive(SECOND, &message, &mut actions);
        view.handle_timeout(2 * SECOND, &mut actions);
    }

    #[test]
    fn a_flipped_bit_is_detected(at in 0usize..100, bit in 0u8..8) {
        let mut bytes = Vec::new();
        encode(&packet(), &mut bytes);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(decode(&bytes, fleet()).is_err());
    }
}

#[test]
#[ignore = "writes the recorded messages of a new version"]
fn write_the_recorded_messages() {
    let (mut datagram, mut chunk) = (Vec::new(), Vec::new());
    encode(&packet(), &mut datagram);
    encode_chunk(&packet(), &mut chunk);
    for (kind, bytes) in [("ping", datagram), ("chunk", chunk)] {
        let line = |l: &[u8]| l.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n";
        let text: String = bytes.chunks(32).map(line).collect();
        let version = meadowrill_membership::wire::FORMAT_VERSION;
        let path = format!(
            "{}/tests/kept/v{version}-{kind}.hex",
            env!("CARGO_MANIFEST_DIR")
        );
        std::fs::write(path, text).unwrap();
    }
}
