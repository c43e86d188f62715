//! Members with default settings, hand-written messages, and access to the messages that members send.

use crate::simulation::{address, Network, FLEET, START};
use meadowrill_event_distribution::counters::RejectReason;
use meadowrill_event_distribution::event::{
    Epoch, Event, LogPosition, Purge, PurgeCursor, PurgeKey,
};
use meadowrill_event_distribution::event_codec::EventEncoder;
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::settings::{
    DistributionSettings, Identity, RelayAddress, RelayLimits, MILLISECOND,
};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{
    self, Body, Heartbeat, LeaseGrant, SnapshotPart, WireCursor, WirePosition,
};
use meadowrill_event_distribution::Micros;

/// Node number of the subscriber in these tests.
const SUBSCRIBER: usize = 9;

pub(crate) fn settings(relays: usize) -> DistributionSettings {
    let listed = (0..relays).map(|node| RelayAddress {
        name: format!("relay-{node}"),
        address: address(node),
        region: "region".into(),
        zone: "zone".into(),
        publishes: node == 0,
    });
    DistributionSettings::new(FLEET, listed.collect())
}

pub(crate) fn identity(name: &str, node: usize) -> Identity {
    let (region, zone) = ("region".into(), "zone".into());
    Identity {
        name: name.into(),
        incarnation: 1,
        address: address(node),
        region,
        zone,
    }
}

/// A publisher without other relays to recover from, which begins its epoch at once.
pub(crate) fn publisher(limits: RelayLimits) -> Publisher {
    Publisher::new(settings(1), limits, identity("relay-0", 0), START, 1)
}

pub(crate) fn subscriber(relays: usize) -> Subscriber {
    Subscriber::new(settings(relays), identity("front", SUBSCRIBER), START, 1)
}

pub(crate) fn purge(object: u64, timestamp: Micros) -> Event {
    Event::Purge(Purge {
        key: PurgeKey::Object(object),
        timestamp,
    })
}

pub(crate) fn wire_position(epoch: u64, position: u64) -> Option<WirePosition> {
    Some(WirePosition { epoch, position })
}

pub(crate) fn wire_cursor(timestamp: Micros, key: PurgeKey) -> WireCursor {
    PurgeCursor { timestamp, key }.into()
}

pub(crate) fn heartbeat(request: u32, at: Option<LogPosition>) -> Heartbeat {
    let (name, address) = ("front".into(), address(SUBSCRIBER).to_string());
    Heartbeat {
        name,
        address,
        incarnation: 1,
        request,
        position: at.map(Into::into),
        ..Heartbeat::default()
    }
}

pub(crate) fn encoded(events: &[Event]) -> Vec<u8> {
    let mut encoder = EventEncoder::default();
    assert!(events.iter().all(|event| encoder.push(event)));
    encoder.finish()
}

/// The messages that these outputs send.
pub(crate) fn messages(out: &[Output]) -> Vec<Body> {
    let sent = out.iter().filter_map(|output| match output {
        Output::Send { bytes, .. } => wire::decode(FLEET, bytes).ok(),
        _ => None,
    });
    sent.collect()
}

pub(crate) fn grants(out: &[Output]) -> Vec<LeaseGrant> {
    let batches = messages(out).into_iter().filter_map(|body| match body {
        Body::Batch(batch) => batch.grant,
        _ => None,
    });
    batches.collect()
}

pub(crate) fn count_in_force(out: &[Output]) -> usize {
    out.iter()
        .filter(|output| matches!(output, Output::InForce { .. }))
        .count()
}

/// The heartbeat that is sent by a tick, if any.
pub(crate) fn next_heartbeat(subscriber: &mut Subscriber, now: Micros) -> Option<Heartbeat> {
    let mut out = Vec::new();
    subscriber.tick(now, &mut out);
    messages(&out).into_iter().find_map(|body| match body {
        Body::Heartbeat(heartbeat) => Some(heartbeat),
        _ => None,
    })
}

pub(crate) fn deliver(subscriber: &mut Subscriber, now: Micros, body: Body) -> Vec<Output> {
    let mut out = Vec::new();
    subscriber.receive(now, &wire::encode(FLEET, body), &mut out);
    out
}

/// A subscriber that has fetched a snapshot without purges.
pub(crate) fn subscriber_at(relays: usize, epoch: u64, position: u64) -> Subscriber {
    let mut subscriber = subscriber(relays);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("the first heartbeat")
        .request;
    let part = SnapshotPart {
        position: wire_position(epoch, position),
        request,
        ..SnapshotPart::default()
    };
    deliver(&mut subscriber, START, Body::SnapshotPart(part));
    assert_eq!(
        subscriber.position(),
        Some(LogPosition {
            epoch: Epoch(epoch),
            position
        })
    );
    subscriber
}

/// Publishes a purge every 50 ms for this long, so that each batch contains at least one.
pub(crate) fn publish(network: &mut Network, span: Micros) {
    for _ in 0..span / (50 * MILLISECOND) {
        network.publish_next();
        network.run(50 * MILLISECOND).unwrap();
    }
}

pub(crate) fn deliver_heartbeat(
    publisher: &mut Publisher,
    now: Micros,
    heartbeat: Heartbeat,
) -> Vec<Output> {
    let mut out = Vec::new();
    publisher.receive(
        now,
        &wire::encode(FLEET, Body::Heartbeat(heartbeat)),
        &mut out,
    );
    out
}

pub(crate) fn rejected(publisher: &Publisher, now: Micros, reason: RejectReason) -> u64 {
    publisher.status(now).counters.rejected[reason as usize]
}

/// The request number of the first heartbeat that these outputs send.
pub(crate) fn first_request(out: &[Output]) -> u32 {
    messages(out)
        .into_iter()
        .find_map(|body| match body {
            Body::Heartbeat(heartbeat) => Some(heartbeat.request),
            _ => None,
        })
        .expect("a heartbeat")
}
