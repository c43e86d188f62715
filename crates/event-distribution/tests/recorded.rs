//! Compares the outputs of members under random faults, and encoded messages, with recordings, to detect unintended
//! changes of behavior or of the wire format.
//!
//! Each line of a trace has the time in milliseconds and the node (0 is the publisher, the other relays follow, then
//! the subscribers). Each call of a node adds up to three lines: the number, length and digest of its datagrams, and
//! the number and digest of the events applied and of those in force. Notices, starts and faults of a node have a line
//! each, and the state of each node is recorded once per second. `RECORD_TRACES=1` writes the recordings anew.

mod deployment;

use deployment::{address, text, Deployment, FLEET, START};
use meadowrill_event_distribution::event::{Event, Purge, PurgeCursor, PurgeKey};
use meadowrill_event_distribution::event_codec::{decode_events, EventEncoder};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits, MILLISECOND, SECOND,
};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{
    self, Batch, Body, Busy, Heartbeat, LeaseGrant, SnapshotPart, WireCursor, WirePosition,
};
use meadowrill_event_distribution::Micros;

/// Compares a text with its recording, byte for byte.
fn assert_recorded(name: &str, text: &str) {
    meadowrill_recorded_traces::assert_recorded(env!("CARGO_MANIFEST_DIR"), name, text.as_bytes());
}

#[test]
fn a_small_window_and_many_snapshots_are_as_recorded() {
    let small = Deployment {
        limits: RelayLimits {
            window_bytes: 2_000,
            ..RelayLimits::default()
        },
        initial_purges: 700,
        ..Deployment::new(71)
    };
    assert_recorded("small_window.trace", &small.run());
}

#[test]
fn a_bound_on_purges_that_is_reached_is_as_recorded() {
    let few = Deployment {
        max_purges: 60,
        max_copy_age: SECOND,
        loss_per_mille: 60,
        ..Deployment::new(72)
    };
    assert_recorded("few_purges.trace", &few.run());
}

#[test]
fn large_snapshots_within_a_byte_rate_are_as_recorded() {
    let large = Deployment {
        initial_purges: 4_000,
        max_delay: 60 * MILLISECOND,
        span: 25 * SECOND,
        limits: RelayLimits {
            window_bytes: 3_000,
            snapshot_bytes_per_second: 90_000,
            ..RelayLimits::default()
        },
        ..Deployment::new(73)
    };
    assert_recorded("large_snapshot.trace", &large.run());
}

#[test]
fn relays_without_room_are_as_recorded() {
    let crowded = Deployment {
        relays: 4,
        subscribers: 6,
        faults_per_mille: 12,
        limits: RelayLimits {
            max_subscribers: 4,
            joins_per_second: 1,
            ..RelayLimits::default()
        },
        ..Deployment::new(74)
    };
    assert_recorded("crowded_relays.trace", &crowded.run());
}

#[test]
fn a_publisher_whose_clock_goes_back_is_as_recorded() {
    let back = Deployment {
        subscribers: 3,
        faults_per_mille: 15,
        clock_back: 3_600 * SECOND,
        ..Deployment::new(75)
    };
    assert_recorded("clock_back.trace", &back.run());
}

#[test]
fn many_faults_at_once_are_as_recorded() {
    let faulty = Deployment {
        relays: 5,
        span: 40 * SECOND,
        loss_per_mille: 100,
        duplicates_per_mille: 50,
        faults_per_mille: 25,
        ..Deployment::new(76)
    };
    assert_recorded("many_faults.trace", &faulty.run());
}

/// The run is long enough for members to return to their preferred relay.
#[test]
fn rare_faults_over_a_long_time_are_as_recorded() {
    let calm = Deployment {
        subscribers: 3,
        span: 80 * SECOND,
        loss_per_mille: 0,
        faults_per_mille: 2,
        ..Deployment::new(77)
    };
    assert_recorded("rare_faults.trace", &calm.run());
}

fn wire_cursor(timestamp: Micros, key: PurgeKey) -> WireCursor {
    PurgeCursor { timestamp, key }.into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).expect("hex digits"))
        .collect()
}

fn purges() -> [Event; 4] {
    let purge = |key, timestamp| Event::Purge(Purge { key, timestamp });
    [
        purge(PurgeKey::Object(0x0102_0304_0506_0708), START + 1_500),
        purge(PurgeKey::Group(77), START - 3 * SECOND),
        purge(PurgeKey::Object(u64::MAX), -5 * SECOND),
        purge(PurgeKey::Group(u32::MAX), START),
    ]
}

fn encoded(events: &[Event]) -> Vec<u8> {
    let mut encoder = EventEncoder::default();
    assert!(events.iter().all(|event| encoder.push(event)));
    encoder.finish()
}

fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        name: "relay-3".into(),
        incarnation: START as u64,
        address: "10.0.0.3:7100".into(),
        request: 1_234,
        position: Some(WirePosition {
            epoch: START as u64,
            position: 900,
        }),
        acknowledged: Some(WirePosition {
            epoch: START as u64,
            position: 890,
        }),
        resend: true,
        snapshot_cursor: Some(wire_cursor(START - 1, PurgeKey::Object(9))),
        fetching_snapshot: true,
        newer_epoch: START as u64 + 5,
    }
}

fn full_batch() -> Batch {
    Batch {
        epoch: START as u64,
        first: 900,
        head: 905,
        events: encoded(&purges()),
        grant: Some(LeaseGrant {
            request: 1_234,
            lease_micros: 1_600_000,
            hops: 1,
        }),
        continues_from: Some(WirePosition {
            epoch: START as u64 - 7,
            position: 40,
        }),
        age_ms: 250,
    }
}

fn full_part() -> SnapshotPart {
    SnapshotPart {
        position: Some(WirePosition {
            epoch: START as u64,
            position: 905,
        }),
        after: Some(wire_cursor(START - 9, PurgeKey::Group(4))),
        next: Some(wire_cursor(START + 2_000, PurgeKey::Object(9))),
        events: encoded(&purges()),
        purge_floor: Some(START - 600 * SECOND),
        is_paused: true,
        request: 1_235,
    }
}

/// Messages of each kind, with all fields and with few fields.
fn messages() -> Vec<(&'static str, Body)> {
    let first_heartbeat = Heartbeat {
        name: "front-9".into(),
        incarnation: 1,
        address: "10.0.0.9:7100".into(),
        request: 1,
        ..Heartbeat::default()
    };
    let refused = Batch {
        epoch: 5,
        first: 7,
        head: 7,
        grant: Some(LeaseGrant::default()),
        ..Batch::default()
    };
    let empty_part = SnapshotPart {
        position: Some(WirePosition {
            epoch: 5,
            position: 0,
        }),
        ..SnapshotPart::default()
    };
    let busy = |full| Busy {
        request: 1_236,
        retry_after_ms: 640,
        full,
    };
    vec![
        ("heartbeat, all fields", Body::Heartbeat(full_heartbeat())),
        ("heartbeat, the first", Body::Heartbeat(first_heartbeat)),
        ("batch, all fields", Body::Batch(full_batch())),
        ("batch, no lease", Body::Batch(refused)),
        ("part, all fields", Body::SnapshotPart(full_part())),
        ("part, without purges", Body::SnapshotPart(empty_part)),
        ("busy, full", Body::Busy(busy(true))),
        ("busy, later", Body::Busy(busy(false))),
    ]
}

#[test]
fn recorded_messages_are_encoded_and_decoded_alike() {
    let text: String = messages()
        .into_iter()
        .map(|(name, body)| format!("{name}: {}\n", hex(&wire::encode(FLEET, body))))
        .collect();
    assert_recorded("messages.hex", &text);
    for (line, (name, body)) in text.lines().zip(messages()) {
        let (recorded, bytes) = line.split_once(": ").expect("a name and a message");
        assert_eq!(recorded, name);
        assert_eq!(wire::decode(FLEET, &decode_hex(bytes)), Ok(body), "{name}");
    }
    assert_eq!(
        decode_events(&full_batch().events).map(|all| all.len()),
        Ok(4)
    );
    let read = decode_events(&full_batch().events).expect("the events are decoded");
    let read: String = read
        .into_iter()
        .map(|event| text::event(event) + "\n")
        .collect();
    assert_recorded("events.txt", &read);
}

/// A subscriber, and a publisher with 2,500 purges.
fn subscriber_and_publisher() -> (Subscriber, Publisher) {
    let relay = RelayAddress {
        name: "relay-0".into(),
        address: address(0),
        region: "region".into(),
        zone: "zone".into(),
        publishes: true,
    };
    let settings = DistributionSettings::new(FLEET, vec![relay]);
    let identity = |name: &str, node| Identity {
        name: name.into(),
        incarnation: 1,
        address: address(node),
        region: "region".into(),
        zone: "zone".into(),
    };
    let publisher_identity = identity("relay-0", 0);
    let mut publisher = Publisher::new(
        settings.clone(),
        RelayLimits::default(),
        publisher_identity,
        START,
        1,
    );
    for number in 0..2_500_u64 {
        let key = match number % 7 {
            0 => PurgeKey::Group(number as u32),
            _ => PurgeKey::Object(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        };
        let timestamp = START - (number % 90) as i64 * 111_111;
        publisher.publish(START, Event::Purge(Purge { key, timestamp }));
    }
    publisher.tick(START, &mut Vec::new());
    let subscriber = Subscriber::new(settings, identity("front-9", 9), START, 1);
    (subscriber, publisher)
}

fn datagrams(out: &[Output]) -> Vec<Vec<u8>> {
    let datagrams = out.iter().filter_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    datagrams.collect()
}

/// All datagrams of a snapshot are encoded as recorded, and the recorded ones lead a subscriber to the same state.
#[test]
fn a_recorded_snapshot_is_encoded_and_decoded_alike() {
    let (mut subscriber, mut publisher) = subscriber_and_publisher();
    let mut written = String::new();
    let mut now = START;
    while subscriber.position().is_none() {
        now += 10 * MILLISECOND;
        let mut requests = Vec::new();
        subscriber.tick(now, &mut requests);
        let mut answers = Vec::new();
        for bytes in datagrams(&requests) {
            written += &format!("front {}\n", hex(&bytes));
            publisher.receive(now, &bytes, &mut answers);
        }
        for bytes in datagrams(&answers) {
            written += &format!("relay {}\n", hex(&bytes));
            subscriber.receive(now, &bytes, &mut Vec::new());
        }
        assert!(now < START + SECOND, "the snapshot does not end");
    }
    assert_recorded("snapshot.hex", &written);
    let (mut subscriber, _) = subscriber_and_publisher();
    let mut outputs = String::new();
    for line in written.lines() {
        let (from, bytes) = line.split_once(' ').expect("a sender and a datagram");
        let mut out = Vec::new();
        match from {
            "front" => subscriber.tick(now, &mut out),
            _ => subscriber.receive(now, &decode_hex(bytes), &mut out),
        }
        for output in out {
            match output {
                Output::Send { bytes, .. } => outputs += &format!("sends {}\n", hex(&bytes)),
                Output::Apply(event) => outputs += &format!("applies {}\n", text::event(event)),
                Output::Notice(notice) => outputs += &format!("{}\n", text::notice(&notice)),
                Output::InForce { .. } => outputs += "in force\n",
            }
        }
    }
    outputs += &text::subscriber_status(&subscriber.status(now));
    assert_recorded("snapshot.txt", &outputs);
}
