//! Handling of arbitrary datagrams: invalid ones are rejected and counted, and cause no loss of events.

mod simulation;

use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::event::{Epoch, Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::event_codec::{decode_events, EventEncoder, MAX_EVENT_BYTES};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::{Identity, RelayLimits, MILLISECOND, SECOND};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{
    self, Batch, Body, Busy, Heartbeat, LeaseGrant, SnapshotPart, WireCursor, WireKey,
    WirePosition, MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;
use simulation::node::Member;
use simulation::{address, Network, FLEET, START};

/// Maximum number of datagrams that a member may send for one that it receives: the parts of a snapshot, and heartbeats
/// or answers that are due.
const MAX_ANSWERS: usize = 64;

fn key() -> impl Strategy<Value = PurgeKey> {
    prop_oneof![
        any::<u64>().prop_map(PurgeKey::Object),
        any::<u32>().prop_map(PurgeKey::Group)
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let timestamp = prop_oneof![START - SECOND..START + SECOND, any::<i64>()];
    (key(), timestamp).prop_map(|(key, timestamp)| Event::Purge(Purge { key, timestamp }))
}

fn epoch_or_position() -> impl Strategy<Value = u64> {
    prop_oneof![0..20u64, START as u64..START as u64 + 20, any::<u64>()]
}

fn wire_position() -> impl Strategy<Value = WirePosition> {
    (epoch_or_position(), epoch_or_position())
        .prop_map(|(epoch, position)| WirePosition { epoch, position })
}

fn wire_cursor() -> impl Strategy<Value = WireCursor> {
    let key = proptest::option::of(prop_oneof![
        any::<u64>().prop_map(WireKey::Object),
        any::<u32>().prop_map(WireKey::Group)
    ]);
    (any::<i64>(), key).prop_map(|(timestamp, key)| WireCursor { timestamp, key })
}

fn encoded_events() -> impl Strategy<Value = Vec<u8>> {
    let valid = proptest::collection::vec(event(), 0..20).prop_map(|events| {
        let mut encoder = EventEncoder::default();
        events
            .iter()
            .take_while(|event| encoder.push(event))
            .for_each(drop);
        encoder.finish()
    });
    prop_oneof![valid, proptest::collection::vec(any::<u8>(), 0..60)]
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let name = prop_oneof!["relay-1", "front-3", ".{0,80}"];
    let address = prop_oneof!["127.0.0.3:7100", ".{0,80}"];
    let positions = proptest::array::uniform2(proptest::option::of(wire_position()));
    let rest = (
        epoch_or_position(),
        any::<u32>(),
        any::<bool>(),
        any::<bool>(),
        epoch_or_position(),
    );
    let cursor = proptest::option::of(wire_cursor());
    (name, address, positions, cursor, rest).prop_map(
        |(name, address, [position, acknowledged], snapshot_cursor, rest)| {
            let (incarnation, request, resend, fetching_snapshot, newer_epoch) = rest;
            Heartbeat {
                name,
                incarnation,
                address,
                request,
                position,
                acknowledged,
                resend,
                snapshot_cursor,
                fetching_snapshot,
                newer_epoch,
            }
        },
    )
}

fn grant() -> impl Strategy<Value = LeaseGrant> {
    let request = prop_oneof![0..1u32 << 21, any::<u32>()];
    (request, any::<u32>(), any::<u32>()).prop_map(|(request, lease_micros, hops)| LeaseGrant {
        request,
        lease_micros,
        hops,
    })
}

fn batch() -> impl Strategy<Value = Batch> {
    let options = (
        proptest::option::of(grant()),
        proptest::option::of(wire_position()),
    );
    (
        epoch_or_position(),
        epoch_or_position(),
        epoch_or_position(),
        encoded_events(),
        options,
        any::<u32>(),
    )
        .prop_map(
            |(epoch, first, head, events, (grant, continues_from), age_ms)| Batch {
                epoch,
                first,
                head,
                events,
                grant,
                continues_from,
                age_ms,
            },
        )
}

fn snapshot_part() -> impl Strategy<Value = SnapshotPart> {
    let cursors = proptest::array::uniform2(proptest::option::of(wire_cursor()));
    let position = proptest::option::of(wire_position());
    (
        position,
        cursors,
        encoded_events(),
        proptest::option::of(any::<i64>()),
        any::<bool>(),
        any::<u32>(),
    )
        .prop_map(
            |(position, [after, next], events, purge_floor, is_paused, request)| SnapshotPart {
                position,
                after,
                next,
                events,
                purge_floor,
                is_paused,
                request,
            },
        )
}

fn body() -> impl Strategy<Value = Body> {
    let busy =
        (any::<u32>(), any::<u32>(), any::<bool>()).prop_map(|(request, retry_after_ms, full)| {
            Busy {
                request,
                retry_after_ms,
                full,
            }
        });
    prop_oneof![
        heartbeat().prop_map(Body::Heartbeat),
        batch().prop_map(Body::Batch),
        snapshot_part().prop_map(Body::SnapshotPart),
        busy.prop_map(Body::Busy),
    ]
}

/// A datagram: validly encoded, with one byte changed and possibly a matching checksum, truncated, or arbitrary bytes.
fn datagram() -> impl Strategy<Value = Vec<u8>> {
    let valid = body().prop_map(|body| wire::encode(FLEET, body));
    let changed = (
        body(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<bool>(),
    )
        .prop_map(|(body, at, byte, is_resealed)| {
            let mut bytes = wire::encode(FLEET, body);
            let at = at.index(bytes.len());
            bytes[at] = byte;
            if is_resealed && bytes.len() > HEADER_BYTES {
                let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
                bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
            }
            bytes
        });
    let truncated = (body(), any::<prop::sample::Index>()).prop_map(|(body, at)| {
        let bytes = wire::encode(FLEET, body);
        bytes[..at.index(bytes.len())].to_vec()
    });
    prop_oneof![4 => valid, 2 => changed, 1 => truncated, 1 => proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES)]
}

/// Size of the envelope's magic bytes, version and checksum.
const HEADER_BYTES: usize = 7;

fn identity(name: &str, node: usize) -> Identity {
    let (region, zone) = ("region".into(), "zone".into());
    Identity {
        name: name.into(),
        incarnation: 1,
        address: address(node),
        region,
        zone,
    }
}

/// One member of each kind, and a second publisher that has no other relays to recover from.
fn members(network: &Network) -> Vec<Member> {
    let settings = network.settings.clone();
    let without_other_relays = meadowrill_event_distribution::settings::DistributionSettings {
        relays: settings.relays[..1].to_vec(),
        ..settings.clone()
    };
    let limits = RelayLimits {
        max_subscribers: 8,
        window_bytes: 10_000,
        ..RelayLimits::default()
    };
    let publisher =
        |settings| Publisher::new(settings, limits.clone(), identity("relay-0", 0), START, 1);
    let relay = Relay::new(
        settings.clone(),
        limits.clone(),
        identity("relay-1", 1),
        START,
        1,
    );
    let subscriber = Subscriber::new(settings.clone(), identity("front-3", 3), START, 1);
    vec![
        Member::Publisher(Box::new(publisher(settings.clone()))),
        Member::Publisher(Box::new(publisher(without_other_relays))),
        Member::Relay(Box::new(relay)),
        Member::Subscriber(Box::new(subscriber)),
    ]
}

fn check_sent(out: &[Output]) -> Result<(), TestCaseError> {
    for output in out {
        if let Output::Send { bytes, .. } = output {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            prop_assert!(
                wire::decode(FLEET, bytes).is_ok(),
                "sent a datagram that cannot be decoded"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn encoded_messages_are_decoded_alike_or_rejected(body in body()) {
        let bytes = wire::encode(FLEET, body.clone());
        match wire::decode(FLEET, &bytes) {
            Ok(decoded) => prop_assert_eq!(decoded, body),
            Err(reason) => prop_assert_eq!(reason, RejectReason::OutOfBounds),
        }
        prop_assert_eq!(wire::decode(FLEET + 1, &bytes).err(), Some(RejectReason::OtherFleet));
    }

    #[test]
    fn a_flipped_bit_is_rejected(
        body in body(), at in any::<prop::sample::Index>(), bit in 0..8u8,
    ) {
        let mut bytes = wire::encode(FLEET, body);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        prop_assert_eq!(wire::decode(FLEET, &bytes).err(), Some(RejectReason::Envelope));
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = wire::decode(FLEET, &bytes);
        if let Ok(events) = decode_events(&bytes) {
            prop_assert!(events.len() <= bytes.len() / 2);
        }
    }

    /// Encoding makes no timestamp earlier, and makes it later by less than a millisecond.
    #[test]
    fn encoded_events_are_decoded_completely(events in proptest::collection::vec(event(), 0..200)) {
        let mut encoder = EventEncoder::default();
        let count = events.iter().take_while(|event| encoder.push(event)).count();
        let bytes = encoder.finish();
        prop_assert!(bytes.len() <= MAX_EVENT_BYTES);
        let decoded = decode_events(&bytes).unwrap();
        prop_assert_eq!(decoded.len(), count);
        for (Event::Purge(sent), Event::Purge(received)) in events.iter().zip(&decoded) {
            prop_assert_eq!(sent.key, received.key);
            if (-1_i64 << 55..1 << 55).contains(&sent.timestamp) {
                prop_assert!((0..MILLISECOND).contains(&(received.timestamp - sent.timestamp)));
            }
        }
    }

    /// Members that receive any bytes in any order do not panic, send at most [`MAX_ANSWERS`] datagrams per received
    /// one, and send only datagrams that can be decoded.
    #[test]
    fn members_survive_any_datagrams(datagrams in proptest::collection::vec((datagram(), 0..400i64), 1..40)) {
        let network = Network::new(3, 1, 1);
        for mut member in members(&network) {
            let mut now = START;
            let mut out = Vec::new();
            member.tick(now, &mut out);
            for (bytes, pause) in &datagrams {
                out.clear();
                member.receive(now, bytes, &mut out);
                let sent = out.iter().filter(|output| matches!(output, Output::Send { .. })).count();
                prop_assert!(sent <= MAX_ANSWERS, "{sent} answers");
                now += pause * MILLISECOND;
                if member.next_wake() <= now {
                    member.tick(now, &mut out);
                }
                check_sent(&out)?;
            }
        }
    }

    /// A network that receives invalid datagrams in addition to its own ones loses no events. Valid messages are left
    /// out, because forged epochs, positions or leases cannot be distinguished from real ones.
    #[test]
    fn invalid_datagrams_are_harmless(datagrams in proptest::collection::vec((datagram(), 0..6usize), 0..60)) {
        let mut network = Network::new(2, 4, 1);
        network.run(2 * SECOND).unwrap();
        for (bytes, to) in datagrams {
            if wire::decode(FLEET, &bytes).is_err() {
                network.deliver(to, &bytes);
            }
            network.publish_next();
            network.run(50 * MILLISECOND).unwrap();
        }
        network.run(4 * SECOND).unwrap();
        prop_assert_eq!(network.check_settled(), Ok(()));
    }
}

fn rejected(counters: &Counters, reason: RejectReason) -> u64 {
    counters.rejected[reason as usize]
}

/// A publisher without other relays that has published ten purges, and its position.
fn publisher_with_ten_purges() -> (Publisher, LogPosition) {
    let settings = Network::new(1, 0, 1).settings;
    let mut publisher = Publisher::new(
        settings,
        RelayLimits::default(),
        identity("relay-0", 0),
        START,
        1,
    );
    for object in 0..10 {
        publisher.publish(
            START,
            Event::Purge(Purge {
                key: PurgeKey::Object(object),
                timestamp: START,
            }),
        );
    }
    publisher.tick(START, &mut Vec::new());
    let head = publisher.published();
    (publisher, head)
}

fn heartbeat_of(name: &str, request: u32, position: LogPosition) -> Heartbeat {
    let (name, address) = (name.into(), address(3).to_string());
    Heartbeat {
        name,
        address,
        incarnation: 1,
        request,
        position: Some(position.into()),
        ..Heartbeat::default()
    }
}

/// A heartbeat of the subscriber `front-3` as a datagram.
fn heartbeat_datagram(request: u32, position: LogPosition) -> Vec<u8> {
    let heartbeat = heartbeat_of("front-3", request, position);
    wire::encode(FLEET, Body::Heartbeat(heartbeat))
}

/// Datagrams that a publisher at `head` has to reject after `front-3` has reported position 7 with request 5.
fn bad_datagrams(head: LogPosition) -> [(Vec<u8>, RejectReason); 9] {
    let position = |position| LogPosition { position, ..head };
    let mut corrupt = heartbeat_datagram(1, head);
    corrupt[20] ^= 0x40;
    let mut unknown_version = heartbeat_datagram(1, head);
    unknown_version[2] += 1;
    let truncated = heartbeat_datagram(1, head)[..30].to_vec();
    let other_fleet = Body::Heartbeat(heartbeat_of("front-3", 6, head));
    let bad_address = Body::Heartbeat(Heartbeat {
        address: "nowhere".into(),
        ..heartbeat_of("front-4", 1, head)
    });
    let long_name = Body::Heartbeat(heartbeat_of(&"n".repeat(65), 1, head));
    let older = LogPosition {
        epoch: Epoch(head.epoch.0 - 1),
        position: 900,
    };
    [
        (corrupt, RejectReason::Envelope),
        (unknown_version, RejectReason::Envelope),
        (truncated, RejectReason::Envelope),
        (
            wire::encode(FLEET + 1, other_fleet),
            RejectReason::OtherFleet,
        ),
        (wire::encode(FLEET, bad_address), RejectReason::OutOfBounds),
        (wire::encode(FLEET, long_name), RejectReason::OutOfBounds),
        (
            heartbeat_datagram(6, position(11)),
            RejectReason::AheadOfLog,
        ),
        (
            heartbeat_datagram(6, position(3)),
            RejectReason::PositionRegressed,
        ),
        (
            heartbeat_datagram(7, older),
            RejectReason::PositionRegressed,
        ),
    ]
}

/// Whether one of these outputs sends a lease.
fn grants_lease(out: &[Output]) -> bool {
    let has_lease = |body| matches!(body, Body::Batch(Batch { grant: Some(grant), .. }) if grant.lease_micros > 0);
    out.iter().any(|output| match output {
        Output::Send { bytes, .. } => wire::decode(FLEET, bytes).is_ok_and(has_lease),
        _ => false,
    })
}

#[test]
fn every_kind_of_bad_datagram_is_counted_and_harmless() {
    let (mut publisher, head) = publisher_with_ten_purges();
    let reported = LogPosition {
        position: 7,
        ..head
    };
    publisher.receive(START, &heartbeat_datagram(5, reported), &mut Vec::new());
    for (bytes, reason) in bad_datagrams(head) {
        let before = rejected(&publisher.status(START).counters, reason);
        publisher.receive(START, &bytes, &mut Vec::new());
        assert_eq!(
            rejected(&publisher.status(START).counters, reason),
            before + 1,
            "{reason:?}"
        );
    }
    // The datagrams did not affect the subscriber whose name they used.
    let mut out = Vec::new();
    publisher.receive(START, &heartbeat_datagram(8, head), &mut out);
    publisher.tick(START + SECOND, &mut out);
    assert!(grants_lease(&out));
}

#[test]
fn subscribers_reject_an_older_epoch() {
    let mut network = Network::new(2, 1, 1);
    network.run(3 * SECOND).unwrap();
    let position = network
        .subscriber(2)
        .and_then(Subscriber::position)
        .unwrap();
    let batch = Batch {
        epoch: position.epoch.0 - 1,
        first: 0,
        head: 0,
        ..Batch::default()
    };
    network.deliver(2, &wire::encode(FLEET, Body::Batch(batch)));
    let part = SnapshotPart {
        position: Some(WirePosition {
            epoch: position.epoch.0 - 1,
            position: 50,
        }),
        ..SnapshotPart::default()
    };
    network.deliver(2, &wire::encode(FLEET, Body::SnapshotPart(part)));
    let status = network.subscriber(2).unwrap().status(network.now);
    assert_eq!(rejected(&status.counters, RejectReason::OldEpoch), 2);
    assert_eq!(status.position, Some(position));
}

/// A member admits no subscribers beyond its maximum, and does not remove existing ones for new ones.
#[test]
fn subscribers_beyond_the_bound_are_rejected() {
    let (mut publisher, head) = publisher_with_ten_purges();
    let max_subscribers = RelayLimits::default().max_subscribers;
    let mut now = START;
    let mut answers = 0;
    for n in 0..100_000u32 {
        now += SECOND / 10_000;
        let heartbeat = heartbeat_of(&format!("front-{n}"), 1, head);
        let mut out = Vec::new();
        publisher.receive(
            now,
            &wire::encode(FLEET, Body::Heartbeat(heartbeat)),
            &mut out,
        );
        assert!(out.len() <= 1);
        answers += out.len();
        if n % 1_000 == 0 {
            assert!(publisher.status(now).subscribers <= max_subscribers);
        }
    }
    let counters = publisher.status(now).counters;
    assert_eq!(publisher.status(now).subscribers, max_subscribers);
    assert_eq!(counters.busy, 100_000 - max_subscribers as u64);
    assert_eq!(answers as u64, counters.busy);
    // Before the maximum was reached, those that exceeded the rate of new subscribers per second received a
    // Retry-After.
    assert!(
        rejected(&counters, RejectReason::Full) > 85_000,
        "{counters:?}"
    );
}
