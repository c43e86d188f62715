//! Batches that are lost, reordered or of another epoch.

use crate::fixtures::*;
use crate::simulation::START;
use meadowrill_event_distribution::event::{Epoch, Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::event_log::{EventLog, NextInLog};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::purge_set::PurgeSet;
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::wire::{Batch, Body};

#[test]
fn a_lost_epoch_start_is_requested_again() {
    let mut subscriber = subscriber_at(1, 5, 10);
    let batch = Batch {
        epoch: 6,
        first: 3,
        head: 3,
        ..Batch::default()
    };
    deliver(&mut subscriber, START + 1, Body::Batch(batch));
    let request =
        next_heartbeat(&mut subscriber, START + 60 * MILLISECOND).expect("a heartbeat at once");
    assert!(request.resend);
}

#[test]
fn reordered_batches_are_all_applied() {
    let mut subscriber = subscriber_at(1, 5, 10);
    let batch = |first, object| {
        let events = encoded(&[purge(object, START), purge(object + 1, START)]);
        Body::Batch(Batch {
            epoch: 5,
            first,
            head: 16,
            events,
            ..Batch::default()
        })
    };
    let applied = [(14, 5), (12, 3), (10, 1)].map(|(first, object)| {
        let out = deliver(&mut subscriber, START, batch(first, object));
        out.iter()
            .filter(|output| matches!(output, Output::Apply(_)))
            .count()
    });
    assert_eq!(applied, [0, 0, 6]);
    assert_eq!(subscriber.position().map(|at| at.position), Some(16));
    // No resend is requested.
    assert!(
        next_heartbeat(&mut subscriber, START + SECOND).is_some_and(|heartbeat| !heartbeat.resend)
    );
}

/// A resend is not requested again before the requested events can arrive.
#[test]
fn a_gap_is_requested_once_per_retry_interval() {
    let mut subscriber = subscriber_at(1, 5, 10);
    let mut requests = 0;
    for step in 0..40 {
        let now = START + step * 10 * MILLISECOND;
        deliver(
            &mut subscriber,
            now,
            Body::Batch(Batch {
                epoch: 5,
                first: 12,
                head: 12,
                ..Batch::default()
            }),
        );
        requests += usize::from(
            next_heartbeat(&mut subscriber, now).is_some_and(|heartbeat| heartbeat.resend),
        );
    }
    assert_eq!(requests, 2);
}

/// The batches of the previous epoch that a relay still stores are sent first, also to a subscriber that could already
/// enter the current epoch.
#[test]
fn the_rest_of_the_previous_epoch_is_sent_first() {
    let mut log = EventLog::new(10_000, PurgeSet::new(1_000, 900 * SECOND));
    log.begin_epoch(Epoch(1), None);
    let events: Vec<Event> = (0..5).map(|object| purge(object, START)).collect();
    log.append(START, &events, encoded(&events));
    let end_of_previous = LogPosition {
        epoch: Epoch(1),
        position: 2,
    };
    log.begin_epoch(Epoch(2), Some(end_of_previous));
    let from = |position| LogPosition {
        position,
        ..end_of_previous
    };
    assert!(matches!(
        log.next_after(from(3)),
        NextInLog::Batch {
            epoch: Epoch(1),
            ..
        }
    ));
    assert_eq!(
        log.next_after(from(5)),
        NextInLog::EpochStart {
            epoch: Epoch(2),
            continues_from: end_of_previous
        }
    );
}

// Guards against events that do not fit when the rest of a batch is encoded again: they would be counted twice, then
// and when they are received again.
#[test]
fn the_rest_of_a_batch_is_never_longer_than_the_batch() {
    // Differences of timestamps in milliseconds, on both sides of each change of their encoded length.
    let steps = (0..47).map(|bit| 1i64 << bit);
    let timestamps: Vec<i64> = [0]
        .into_iter()
        .chain(steps.flat_map(|step| [step - 1, step, -step, 1 - step]))
        .collect();
    let group = |milliseconds: i64| {
        let (key, timestamp) = (PurgeKey::Group(0), milliseconds * MILLISECOND);
        Event::Purge(Purge { key, timestamp })
    };
    for first in &timestamps {
        for second in &timestamps {
            let batch = encoded(&[group(*first), group(*second)]);
            let rest = encoded(&[group(*second)]);
            assert!(rest.len() <= batch.len(), "{first}, {second}");
        }
    }
}
