//! The conditions under which a lease is granted.

use crate::fixtures::*;
use crate::simulation::{Network, FLEET, START};
use meadowrill_event_distribution::counters::RejectReason;
use meadowrill_event_distribution::event::{Epoch, LogPosition};
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::{RelayLimits, MILLISECOND, SECOND};
use meadowrill_event_distribution::wire::{self, Batch, Body, Heartbeat, LeaseGrant, SnapshotPart};

/// Guards against requiring the head of the log for a first lease: while every batch carries a purge, no subscriber has
/// applied the head, so none would get a lease.
#[test]
fn first_leases_are_granted_while_every_batch_carries_a_purge() {
    let mut network = Network::new(2, 4, 1);
    network.run(3 * SECOND).unwrap();
    network.kill(0);
    network.run(3 * SECOND).unwrap();
    network.start(0);
    publish(&mut network, 8 * SECOND);
    let leased = (2..6).filter(|node| network.has_lease(*node)).count();
    assert_eq!(leased, 4);
}

/// Guards against the same failure for a distant subscriber: its acknowledged position is always a round trip old.
#[test]
fn a_distant_subscriber_gets_a_lease_while_purges_continue() {
    let mut network = Network::new(2, 1, 1);
    network.max_delay = 90 * MILLISECOND;
    network.kill(2);
    publish(&mut network, 4 * SECOND);
    network.start(2);
    publish(&mut network, 4 * SECOND);
    assert!(network.has_lease(2));
}

/// Events that an earlier start announced as in force may be among those that the event source has not delivered again
/// yet.
#[test]
fn no_lease_before_the_event_source_has_delivered_everything() {
    let mut publisher = publisher(RelayLimits::default());
    publisher.set_behind_since(Some(START));
    let head = publisher.published();
    deliver_heartbeat(&mut publisher, START, heartbeat(1, Some(head)));
    let mut out = Vec::new();
    publisher.tick(START + SECOND, &mut out);
    assert!(
        grants(&out).iter().all(|grant| grant.lease_micros == 0),
        "{:?}",
        grants(&out)
    );
    publisher.publish(START + SECOND, purge(1, START - 60 * SECOND));
    publisher.set_behind_since(None);
    deliver_heartbeat(&mut publisher, START + SECOND, heartbeat(2, Some(head)));
    let mut out = Vec::new();
    publisher.tick(START + 2 * SECOND, &mut out);
    assert_eq!(
        grants(&out)
            .iter()
            .map(|grant| grant.lease_micros)
            .collect::<Vec<_>>(),
        [0]
    );
    let head = publisher.published();
    deliver_heartbeat(&mut publisher, START + 2 * SECOND, heartbeat(3, Some(head)));
    let mut out = Vec::new();
    publisher.tick(START + 3 * SECOND, &mut out);
    assert!(grants(&out)[0].lease_micros > 0);
}

/// The lag of a subscriber counts from the publication of an event, even if its relay received the event late.
#[test]
fn lag_counts_from_publication() {
    let mut relay = relay_with_lease_and_late_purge();
    let behind = LogPosition {
        epoch: Epoch(5),
        position: 7,
    };
    let report = Body::Heartbeat(heartbeat(1, Some(behind)));
    relay.receive(
        START + 3 * MILLISECOND,
        &wire::encode(FLEET, report),
        &mut Vec::new(),
    );
    let mut out = Vec::new();
    relay.tick(START + 200 * MILLISECOND, &mut out);
    assert_eq!(
        grants(&out)
            .iter()
            .map(|grant| grant.lease_micros)
            .collect::<Vec<_>>(),
        [0]
    );
}

/// A relay at position 8 that holds a lease, 2 ms after its start. It received its last purge 590 ms after publication.
fn relay_with_lease_and_late_purge() -> Relay {
    let settings = settings(2);
    let identity = identity("relay-1", 1);
    let limits = RelayLimits::default();
    let mut relay = Relay::new(settings.clone(), limits, identity, START, 1);
    let mut out = Vec::new();
    relay.tick(START, &mut out);
    let snapshot = SnapshotPart {
        position: wire_position(5, 7),
        request: first_request(&out),
        ..SnapshotPart::default()
    };
    let snapshot = wire::encode(FLEET, Body::SnapshotPart(snapshot));
    relay.receive(START, &snapshot, &mut Vec::new());
    let mut out = Vec::new();
    relay.tick(START + MILLISECOND, &mut out);
    let late_batch = Batch {
        epoch: 5,
        first: 7,
        head: 8,
        events: encoded(&[purge(1, START)]),
        grant: Some(LeaseGrant {
            request: first_request(&out),
            lease_micros: settings.lease_duration as u32,
            hops: 0,
        }),
        age_ms: 590,
        ..Batch::default()
    };
    let datagram = wire::encode(FLEET, Body::Batch(late_batch));
    relay.receive(START + 2 * MILLISECOND, &datagram, &mut Vec::new());
    relay
}

#[test]
fn a_position_ahead_of_the_log_is_rejected_and_not_stored() {
    let mut publisher = publisher(RelayLimits::default());
    publisher.tick(START, &mut Vec::new());
    let head = publisher.published();
    let mut now = START;
    deliver_heartbeat(&mut publisher, now, heartbeat(1, Some(head)));
    let beyond = LogPosition {
        position: 900,
        ..head
    };
    deliver_heartbeat(&mut publisher, now, heartbeat(2, Some(beyond)));
    assert_eq!(rejected(&publisher, now, RejectReason::AheadOfLog), 1);
    let huge = LogPosition {
        position: u64::MAX,
        ..head
    };
    deliver_heartbeat(&mut publisher, now, heartbeat(3, Some(huge)));
    let acknowledged = Some(beyond.into());
    deliver_heartbeat(
        &mut publisher,
        now,
        Heartbeat {
            acknowledged,
            ..heartbeat(4, Some(head))
        },
    );
    assert_eq!(rejected(&publisher, now, RejectReason::OutOfBounds), 2);
    // A heartbeat with the actual position is still accepted and gets a lease.
    deliver_heartbeat(&mut publisher, now, heartbeat(5, Some(head)));
    now += SECOND;
    let mut out = Vec::new();
    publisher.tick(now, &mut out);
    assert!(grants(&out).iter().all(|grant| grant.lease_micros > 0));
    assert_eq!(grants(&out).len(), 1);
}
