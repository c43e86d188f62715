//! One message of each kind, recorded before the code was renamed: the current code must encode each message to the
//! same bytes, and decode it again.

use crate::trace::{assert_recorded, hex};
use meadowrill_membership::wire::{
    decode, encode, encode_chunk, Body, BucketDigests, Inventory, Packet, Payload, Ping,
    PingRequest, ReceiverClaim, Record, RecordTransfer, RootDigest, SequenceNumber, Value,
};
use prost::Message;

const FLEET: u64 = 0x1234_5678_9abc_def0;

fn record(number: u64) -> Record {
    let value = Value {
        kind: 2,
        version: number,
        bytes: vec![1, 2, 3],
    };
    let body = Body {
        address: format!("127.0.0.{number}:7000"),
        zone: "east".into(),
        weight: 3,
        version: "0.1.0".into(),
        nonce: 1 << number,
        values: vec![value],
    };
    Record {
        name: format!("front-{number}"),
        start: 100 + number,
        incarnation: number,
        state: (number % 4) as u32,
        accuser: "front-9".into(),
        revision: 4,
        body: body.encode_to_vec(),
    }
}

fn payloads() -> Vec<(&'static str, Option<Payload>)> {
    let inventory = Inventory {
        buckets: vec![0, 5, 63],
        items: vec![record(4), record(5)],
    };
    let transfer = RecordTransfer {
        names: vec!["front-6".into(), "front-7".into()],
        records: vec![record(1)],
    };
    let request = PingRequest {
        sequence: 9,
        target: "front-3".into(),
        address: "127.0.0.3:7000".into(),
    };
    let ping = Ping {
        sequence: 8,
        target: "front-2".into(),
    };
    let root = RootDigest {
        digest: 0xfeed,
        count: 12,
    };
    let digests = (0..64).map(|bucket| bucket * 7919).collect();
    vec![
        ("none", None),
        ("ping", Some(Payload::Ping(ping))),
        ("ack", Some(Payload::Ack(SequenceNumber { sequence: 8 }))),
        ("ping_request", Some(Payload::PingRequest(request))),
        ("nack", Some(Payload::Nack(SequenceNumber { sequence: 9 }))),
        (
            "leaving",
            Some(Payload::Leaving(SequenceNumber { sequence: 0 })),
        ),
        (
            "confirmed",
            Some(Payload::Confirmed(SequenceNumber { sequence: 0 })),
        ),
        ("root_digest", Some(Payload::RootDigest(root))),
        (
            "bucket_digests",
            Some(Payload::BucketDigests(BucketDigests { digests })),
        ),
        ("inventory", Some(Payload::Inventory(inventory))),
        ("want", Some(Payload::RecordTransfer(transfer))),
    ]
}

fn packet(payload: Option<Payload>) -> Packet {
    Packet {
        fleet: FLEET,
        sender: "front-1".into(),
        start: 7,
        incarnation: 2,
        nonce: 77,
        address: "127.0.0.1:7000".into(),
        revision: 5,
        receiver_claim: Some(ReceiverClaim {
            start: 6,
            incarnation: 3,
            state: 1,
            forgotten: true,
        }),
        payload,
        records: vec![record(2), record(3)],
    }
}

#[test]
fn messages_of_each_kind_are_read_and_written_as_recorded() {
    let mut text = String::new();
    for (kind, payload) in payloads() {
        let packet = packet(payload);
        let (mut datagram, mut chunk) = (Vec::new(), Vec::new());
        encode(&packet, &mut datagram);
        encode_chunk(&packet, &mut chunk);
        assert_eq!(decode(&datagram, FLEET), Ok(packet.clone()));
        assert_eq!(decode(&chunk, FLEET), Ok(packet));
        text += &format!("{kind} datagram {}\n", hex(&datagram));
        text += &format!("{kind} chunk {}\n", hex(&chunk));
    }
    assert_recorded("messages", &text);
}
