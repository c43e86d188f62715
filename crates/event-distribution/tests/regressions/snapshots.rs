//! Snapshots whose parts are late, reordered, refused or out of bounds.

use crate::fixtures::*;
use crate::simulation::START;
use meadowrill_event_distribution::counters::RejectReason;
use meadowrill_event_distribution::event::{Epoch, LogPosition, PurgeKey};
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::wire::{Body, Busy, SnapshotPart};

#[test]
fn a_snapshot_from_a_lagging_relay_never_moves_the_position_back() {
    let mut subscriber = subscriber_at(1, 5, 10);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("a heartbeat")
        .request;
    let part = SnapshotPart {
        position: wire_position(5, 7),
        request,
        ..SnapshotPart::default()
    };
    deliver(&mut subscriber, START, Body::SnapshotPart(part));
    assert_eq!(
        subscriber.position(),
        Some(LogPosition {
            epoch: Epoch(5),
            position: 10
        })
    );
}

#[test]
fn reordered_snapshot_parts_are_all_applied() {
    let mut subscriber = subscriber(1);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("a heartbeat")
        .request;
    let cursor_at = |object| Some(wire_cursor(START, PurgeKey::Object(object)));
    let part = |after, object: u64, next| {
        let (at, events) = (wire_position(5, 7), encoded(&[purge(object, START)]));
        Body::SnapshotPart(SnapshotPart {
            position: at,
            after,
            next,
            events,
            request,
            ..SnapshotPart::default()
        })
    };
    deliver(&mut subscriber, START, part(cursor_at(2), 3, None));
    deliver(&mut subscriber, START, part(cursor_at(1), 2, cursor_at(2)));
    assert_eq!(subscriber.position(), None);
    deliver(&mut subscriber, START, part(None, 1, cursor_at(1)));
    assert_eq!(
        subscriber.position(),
        Some(LogPosition {
            epoch: Epoch(5),
            position: 7
        })
    );
    assert_eq!(subscriber.status(START).purges, 3);
}

/// The snapshot was started in an epoch that no member is in any more.
#[test]
fn a_snapshot_restarts_if_its_epoch_is_gone() {
    let mut subscriber = subscriber(1);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("a heartbeat")
        .request;
    let next = Some(wire_cursor(START, PurgeKey::Object(1)));
    let first = SnapshotPart {
        position: wire_position(9, 3),
        next,
        request,
        ..SnapshotPart::default()
    };
    deliver(&mut subscriber, START, Body::SnapshotPart(first));
    let mut now = START;
    while subscriber.position().is_none() {
        now += 10 * MILLISECOND;
        assert!(now < START + 5 * SECOND, "the fetch does not end");
        if let Some(heartbeat) = next_heartbeat(&mut subscriber, now) {
            let (request, after) = (heartbeat.request, heartbeat.snapshot_cursor);
            let rest = SnapshotPart {
                position: wire_position(5, 7),
                after,
                request,
                ..SnapshotPart::default()
            };
            deliver(&mut subscriber, now, Body::SnapshotPart(rest));
        }
    }
    assert_eq!(
        subscriber.position(),
        Some(LogPosition {
            epoch: Epoch(5),
            position: 7
        })
    );
}

#[test]
fn a_purge_floor_out_of_bounds_is_rejected() {
    let mut subscriber = subscriber(1);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("a heartbeat")
        .request;
    let part = SnapshotPart {
        position: wire_position(5, 7),
        request,
        purge_floor: Some(i64::MAX),
        ..SnapshotPart::default()
    };
    deliver(&mut subscriber, START, Body::SnapshotPart(part));
    subscriber.tick(START + SECOND, &mut Vec::new());
    assert_eq!(subscriber.status(START).purge_floor, None);
    assert_eq!(
        subscriber.status(START).counters.rejected[RejectReason::OutOfBounds as usize],
        1
    );
}

#[test]
fn a_permanently_busy_relay_is_left_during_a_snapshot() {
    let mut subscriber = subscriber(2);
    let request = next_heartbeat(&mut subscriber, START)
        .expect("a heartbeat")
        .request;
    let next = Some(wire_cursor(START, PurgeKey::Object(1)));
    let events = encoded(&[purge(1, START)]);
    let part = SnapshotPart {
        position: wire_position(5, 7),
        request,
        next,
        events,
        ..SnapshotPart::default()
    };
    deliver(&mut subscriber, START, Body::SnapshotPart(part));
    let first = subscriber.status(START).relay;
    let mut now = START;
    while subscriber.status(now).relay == first {
        assert!(now < START + 5 * SECOND, "never leaves {first}");
        now += 10 * MILLISECOND;
        if let Some(heartbeat) = next_heartbeat(&mut subscriber, now) {
            let busy = Busy {
                request: heartbeat.request,
                retry_after_ms: 100,
                full: false,
            };
            deliver(&mut subscriber, now, Body::Busy(busy));
        }
    }
    assert!(subscriber.status(now).fetching_snapshot);
}
