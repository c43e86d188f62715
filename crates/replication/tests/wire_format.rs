//! Messages recorded from version 1 of the format. A later build has to decode them to communicate with proxies that
//! have not been upgraded yet.

use meadowrill_replication::record::to_wire;
use meadowrill_replication::records::purge_record;
use meadowrill_replication::wire::{read, write, write_chunk, Body, Packet, Records};
use meadowrill_replication::{Micros, SEC};

const NOW: Micros = 1000 * SEC;
const FLEET: u64 = 7;

fn packet() -> Packet {
    let (key, entry) = purge_record(Some(0x7f3a), 0, NOW, 900 * SEC);
    Packet {
        fleet_id: FLEET,
        from: "front-1".into(),
        incarnation: 5,
        body: Some(Body::Rumors(Records {
            records: vec![to_wire(&key, &entry)],
        })),
    }
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn messages_of_version_1_can_be_decoded() {
    for recorded in [
        include_str!("kept/v1-news.hex"),
        include_str!("kept/v1-news-chunk.hex"),
    ] {
        assert_eq!(read(&decode_hex(recorded), FLEET), Ok(packet()));
    }
}

#[test]
#[ignore = "writes the recorded messages of a new version"]
fn record_the_messages_of_this_version() {
    let (mut plain, mut compressed) = (Vec::new(), Vec::new());
    write(&packet(), &mut plain);
    write_chunk(&packet(), &mut compressed);
    for (name, bytes) in [("news", plain), ("news-chunk", compressed)] {
        let text: String = bytes.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n";
        let path = format!("{}/tests/kept/v1-{name}.hex", env!("CARGO_MANIFEST_DIR"));
        std::fs::write(path, text).unwrap();
    }
}
