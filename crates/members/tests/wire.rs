//! What comes over the wire: anything may, and what version 1 wrote has to be read by each later build.

use meadowrill_members::plan::{Plan, SEC};
use meadowrill_members::rings::hash;
use meadowrill_members::view::{Act, Me, View};
use meadowrill_members::wire::{read, write, Body, Dropped, Packet, Ping, Record, Said, MOST};
use proptest::prelude::*;
use prost::Message;

fn fleet() -> u64 {
    hash("meadowrill", 98)
}

fn body(n: u64) -> Vec<u8> {
    let address = format!("127.0.0.{}:7000", n % 250 + 1);
    Body { address, zone: "east".into(), weight: 1, version: "0.1.0".into(), nonce: n, values: Vec::new() }
        .encode_to_vec()
}

fn packet() -> Packet {
    let record = |n: u64| Record {
        name: format!("front-{n}"),
        start: 100 + n,
        incarnation: n,
        state: (n % 4) as u32,
        by: "front-9".into(),
        rev: 1,
        body: body(n),
    };
    Packet {
        fleet: fleet(),
        from: "front-1".into(),
        start: 7,
        incarnation: 2,
        nonce: 77,
        address: "127.0.0.1:7000".into(),
        rev: 1,
        you: None,
        said: Some(Said::Ping(Ping { seq: 5, to: "front-2".into() })),
        records: (2..5).map(record).collect(),
    }
}

fn view() -> View {
    let plan = Plan::new("127.0.0.2:7000".parse().unwrap());
    View::new(plan, Me { name: "front-2".into(), version: "0.1.0".into(), start: 50 }, SEC, 1)
}

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Kept as version 1 wrote it; a build that cannot read it cannot talk to fronts that are not replaced yet.
#[test]
fn version_1_is_read_for_ever() {
    let kept = include_str!("kept/v1-ping.hex");
    assert_eq!(read(&hex(kept), fleet()), Ok(packet()));
}

#[test]
fn what_a_later_build_says_of_itself_is_passed_on_untouched() {
    let mut view = view();
    let mut later = body(3);
    // A field 90 that this build does not know.
    later.extend([0xd2, 0x05, 3, b'n', b'e', b'w']);
    let told = Record { name: "front-3".into(), start: 9, rev: 1, body: later.clone(), ..Record::default() };
    let mut bytes = Vec::new();
    write(&Packet { records: vec![told], ..packet() }, &mut bytes);
    let mut out = Vec::new();
    view.hear(SEC, &bytes, &mut out);
    for step in 0..40 {
        view.tick(SEC + step * SEC / 10, &mut out);
    }
    let passed = out.iter().any(|act| match act {
        Act::Send { bytes, .. } => {
            read(bytes, fleet()).is_ok_and(|p| p.records.iter().any(|r| r.body == later))
        }
        Act::Tell(_) => false,
    });
    assert!(passed);
}

#[test]
fn others_are_dropped_by_reason() {
    let mut bytes = Vec::new();
    write(&packet(), &mut bytes);
    let with = |at: usize, byte: u8| {
        let mut bytes = bytes.clone();
        bytes[at] = byte;
        read(&bytes, fleet())
    };
    assert_eq!(with(0, b'x'), Err(Dropped::Mark));
    assert_eq!(with(2, 9), Err(Dropped::Version));
    assert_eq!(with(bytes.len() - 1, !bytes[bytes.len() - 1]), Err(Dropped::Checksum));
    assert_eq!(read(&bytes, fleet() + 1), Err(Dropped::Fleet));
    assert_eq!(read(&bytes[..4], fleet()), Err(Dropped::Short));
    let long = Packet { from: "x".repeat(65), ..packet() };
    write(&long, &mut bytes);
    assert_eq!(read(&bytes, fleet()), Err(Dropped::Bounds));
}

/// A flood of made-up members fills the view to its bound and no further, and who was there stays there.
#[test]
fn made_up_members_are_bounded() {
    let mut plan = Plan::new("127.0.0.2:7000".parse().unwrap());
    plan.members_most = 20;
    let mut view = View::new(plan, Me { name: "front-2".into(), version: String::new(), start: 50 }, SEC, 1);
    let (mut bytes, mut out) = (Vec::new(), Vec::new());
    for n in 0..1000u64 {
        let record =
            Record { name: format!("made-up-{n}"), start: 1, rev: 1, body: body(n), ..Record::default() };
        write(&Packet { records: vec![record], ..packet() }, &mut bytes);
        view.hear(SEC + n as i64, &bytes, &mut out);
    }
    assert_eq!(view.members().count(), 19);
    assert!(view.members().any(|(name, _)| name == "front-1"));
    assert!(view.counts.dropped[&Dropped::Full] > 900);
}

proptest! {
    #[test]
    fn anything_may_come(bytes in prop::collection::vec(any::<u8>(), 0..MOST)) {
        let mut view = view();
        let digest = view.digest();
        view.hear(SEC, &bytes, &mut Vec::new());
        prop_assert_eq!(view.digest(), digest);
    }

    /// Garbled behind a good checksum: read or dropped, never more.
    #[test]
    fn a_good_checksum_over_anything(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut whole = vec![b'm', b'r', 1];
        whole.extend(crc32fast::hash(&bytes).to_le_bytes());
        whole.extend(&bytes);
        let mut view = view();
        let mut out = Vec::new();
        view.hear(SEC, &whole, &mut out);
        view.tick(2 * SEC, &mut out);
    }

    #[test]
    fn a_flipped_bit_is_noticed(at in 0usize..100, bit in 0u8..8) {
        let mut bytes = Vec::new();
        write(&packet(), &mut bytes);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(read(&bytes, fleet()).is_err());
    }
}

#[test]
#[ignore = "writes the kept set of a new version"]
fn write_the_kept_set() {
    let mut bytes = Vec::new();
    write(&packet(), &mut bytes);
    let text: String =
        bytes.chunks(32).map(|l| l.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n").collect();
    let path =
        format!("{}/tests/kept/v{}-ping.hex", env!("CARGO_MANIFEST_DIR"), meadowrill_members::wire::VERSION);
    std::fs::write(path, text).unwrap();
}
