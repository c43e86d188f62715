//! Epochs, recovery, and the position up to which events are in force everywhere.

use crate::fixtures::*;
use crate::simulation::{Network, FLEET, START};
use meadowrill_event_distribution::counters::RejectReason;
use meadowrill_event_distribution::event::{Epoch, LogPosition, PurgeKey};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::settings::{RelayLimits, SECOND};
use meadowrill_event_distribution::subscriber::Subscriber;
use meadowrill_event_distribution::wire::{self, Batch, Body, SnapshotPart};
use meadowrill_event_distribution::Micros;

/// Guards against an age of the last event that is read from the window, which may no longer contain that event.
#[test]
fn with_a_small_window_nothing_is_in_force_before_old_copies_expire() {
    let settings = settings(1);
    let mut publisher = publisher(RelayLimits {
        window_bytes: 10_000,
        ..RelayLimits::default()
    });
    let mut now = START;
    while now < START + 3 * SECOND {
        now += settings.batch_interval;
        publisher.tick(now, &mut Vec::new());
    }
    let published_at = now;
    (0..5_000).for_each(|object| publisher.publish(published_at, purge(object, published_at)));
    let mut out = Vec::new();
    while count_in_force(&out) == 0 {
        now += settings.batch_interval;
        publisher.tick(now, &mut out);
        assert!(now < published_at + settings.in_force_within());
    }
    assert!(
        now - published_at >= settings.max_copy_age,
        "in force after {} us",
        now - published_at
    );
    assert_eq!(count_in_force(&out), 5_000);
}

#[test]
fn a_new_epoch_does_not_put_events_of_the_previous_one_in_force() {
    let settings = settings(1);
    let mut publisher = publisher(RelayLimits::default());
    let mut now = START;
    while now < START + 3 * SECOND {
        now += settings.batch_interval;
        publisher.tick(now, &mut Vec::new());
    }
    let published_at = now;
    publisher.publish(published_at, purge(1, published_at));
    let mut out = Vec::new();
    publisher.tick(now + settings.batch_interval, &mut out);
    let later = LogPosition {
        epoch: Epoch(START as u64 + 77),
        position: 3,
    };
    publisher.receive(
        now + settings.batch_interval,
        &wire::encode(FLEET, Body::Heartbeat(heartbeat(1, Some(later)))),
        &mut out,
    );
    assert!(publisher.published().epoch > later.epoch);
    while count_in_force(&out) == 0 {
        now += settings.batch_interval;
        publisher.tick(now, &mut out);
        assert!(now < published_at + settings.in_force_within());
    }
    assert!(
        now - published_at >= settings.max_copy_age,
        "in force after {} us",
        now - published_at
    );
}

#[test]
fn an_epoch_at_the_maximum_is_rejected() {
    let mut publisher = publisher(RelayLimits::default());
    let before = publisher.published().epoch;
    deliver_heartbeat(
        &mut publisher,
        START,
        heartbeat(
            1,
            Some(LogPosition {
                epoch: Epoch::MAX,
                position: 0,
            }),
        ),
    );
    assert_eq!(rejected(&publisher, START, RejectReason::AheadOfLog), 1);
    let largest = LogPosition {
        epoch: Epoch(u64::MAX),
        position: 0,
    };
    deliver_heartbeat(&mut publisher, START, heartbeat(2, Some(largest)));
    assert_eq!(rejected(&publisher, START, RejectReason::OutOfBounds), 1);
    assert_eq!(publisher.published().epoch, before);
}

/// Two starts learn of the same newer epoch while their clock is behind it. If both chose the same next epoch, a
/// subscriber of the first start would mistake the second start for the first.
#[test]
fn no_two_starts_choose_the_same_epoch() {
    let known = LogPosition {
        epoch: Epoch(START as u64 + 77),
        position: 3,
    };
    let epochs = [1, 2].map(|seed| {
        let identity = identity("relay-0", 0);
        let mut publisher =
            Publisher::new(settings(1), RelayLimits::default(), identity, START, seed);
        deliver_heartbeat(&mut publisher, START, heartbeat(1, Some(known)));
        publisher.published().epoch
    });
    assert!(epochs[0] > known.epoch && epochs[1] > known.epoch);
    assert_ne!(epochs[0], epochs[1]);
}

/// The second part of the snapshot was written at a later position than the first. It may contain purges that other
/// members at the position of the first part have not applied.
#[test]
fn recovery_ends_at_the_position_of_the_latest_fetched_purge() {
    let mut publisher = Publisher::new(
        settings(2),
        RelayLimits::default(),
        identity("relay-0", 0),
        START,
        1,
    );
    let mut out = Vec::new();
    publisher.tick(START, &mut out);
    let request = first_request(&out);
    let mut deliver =
        |now, body| publisher.receive(now, &wire::encode(FLEET, body), &mut Vec::new());
    let cursor = Some(wire_cursor(START - SECOND, PurgeKey::Object(1)));
    let events = encoded(&[purge(1, START - SECOND)]);
    let at = wire_position(5, 10);
    let first = SnapshotPart {
        position: at,
        next: cursor,
        events,
        request,
        ..SnapshotPart::default()
    };
    let last_events = encoded(&[purge(2, START)]);
    let at = wire_position(5, 11);
    let last = SnapshotPart {
        position: at,
        after: cursor,
        events: last_events.clone(),
        request,
        ..SnapshotPart::default()
    };
    deliver(START, Body::SnapshotPart(first));
    deliver(START, Body::SnapshotPart(last));
    assert_eq!(publisher.published().epoch, Epoch::default());
    let mut deliver =
        |now, body| publisher.receive(now, &wire::encode(FLEET, body), &mut Vec::new());
    deliver(
        START,
        Body::Batch(Batch {
            epoch: 5,
            first: 10,
            head: 11,
            events: last_events,
            ..Batch::default()
        }),
    );
    assert!(publisher.published().epoch > Epoch(5));
}

/// With long network delays, a snapshot takes longer than the timeout for its first part.
#[test]
fn recovery_waits_for_a_snapshot_in_progress() {
    let mut publisher = Publisher::new(
        settings(2),
        RelayLimits::default(),
        identity("relay-0", 0),
        START,
        1,
    );
    let mut out = Vec::new();
    publisher.tick(START, &mut out);
    let request = first_request(&out);
    let next = Some(wire_cursor(START - SECOND, PurgeKey::Object(1)));
    let part = SnapshotPart {
        position: wire_position(5, 10),
        next,
        request,
        ..SnapshotPart::default()
    };
    let received_at = START + 3 * SECOND / 2;
    publisher.receive(
        received_at,
        &wire::encode(FLEET, Body::SnapshotPart(part)),
        &mut out,
    );
    publisher.tick(received_at + SECOND, &mut out);
    assert_eq!(publisher.published().epoch, Epoch::default());
    publisher.tick(received_at + 3 * SECOND, &mut out);
    assert!(publisher.published().epoch > Epoch(5));
}

/// The publisher and all relays restart, and the publisher's clock is behind the epoch of the subscribers.
#[test]
fn a_relay_reports_a_newer_epoch_to_the_publisher() {
    let mut network = Network::new(4, 3, 1);
    network.run(3 * SECOND).unwrap();
    network.nodes[0].clock_offset = -3_600 * SECOND;
    (0..4).for_each(|node| network.kill(node));
    (0..4).for_each(|node| network.start(node));
    publish(&mut network, 7 * SECOND);
    assert_eq!(network.first_lagging(0), None);
}

/// Wakes a publisher and a subscriber once, and delivers all datagrams between them.
fn exchange(publisher: &mut Publisher, subscriber: &mut Subscriber, now: Micros) {
    let (mut from_publisher, mut from_subscriber) = (Vec::new(), Vec::new());
    subscriber.tick(now, &mut from_subscriber);
    publisher.tick(now, &mut from_publisher);
    while !(from_publisher.is_empty() && from_subscriber.is_empty()) {
        for bytes in sent_datagrams(&std::mem::take(&mut from_subscriber)) {
            publisher.receive(now, &bytes, &mut from_publisher);
        }
        for bytes in sent_datagrams(&std::mem::take(&mut from_publisher)) {
            subscriber.receive(now, &bytes, &mut from_subscriber);
        }
    }
}

fn sent_datagrams(out: &[Output]) -> Vec<Vec<u8>> {
    let datagrams = out.iter().filter_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    datagrams.collect()
}

// Guards against subscribers that serve old copies under a lease after the publisher has missed events of its source.
#[test]
fn events_that_the_publisher_missed_bound_the_copies_of_all_subscribers() {
    let settings = settings(1);
    let mut publisher = publisher(RelayLimits::default());
    let mut subscriber = subscriber(1);
    let mut now = START;
    while !subscriber.has_lease(now) {
        now += settings.batch_interval;
        exchange(&mut publisher, &mut subscriber, now);
        assert!(now < START + 10 * SECOND, "no lease was granted");
    }
    assert_eq!(subscriber.freshness_bound(now).not_before, None);
    let missed_at = now;
    publisher.handle_missed_events(now, &mut Vec::new());
    let is_bounded = |subscriber: &Subscriber, now| {
        let bound = subscriber.freshness_bound(now).not_before;
        bound.is_some_and(|not_before| not_before >= missed_at)
    };
    while !(is_bounded(&subscriber, now) && subscriber.has_lease(now)) {
        now += settings.batch_interval;
        exchange(&mut publisher, &mut subscriber, now);
        let is_former_lease_over = now > missed_at + settings.lease_duration;
        let is_safe = is_bounded(&subscriber, now) || !subscriber.has_lease(now);
        assert!(
            is_safe || !is_former_lease_over,
            "a lease is held without the bound on copies"
        );
        assert!(now < missed_at + 10 * SECOND, "no lease was granted again");
    }
}
