//! Timestamps and the order of purges.

use crate::fixtures::*;
use crate::simulation::START;
use meadowrill_event_distribution::event::Event;
use meadowrill_event_distribution::event_codec::decode_events;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::purge_set::PurgeSet;
use meadowrill_event_distribution::settings::{RelayLimits, SECOND};

/// Members that got a timestamp from the service, and members that read it from the wire, keep one order: otherwise a snapshot that another
/// member continues would pass over some.
#[test]
fn all_members_order_purges_alike() {
    let published = [(9, 1_200), (1, 1_500), (5, 1_900)]
        .map(|(object, timestamp)| purge(object, START + timestamp));
    let read = decode_events(&encoded(&published)).unwrap();
    let listed = |events: &[Event]| {
        let mut set = PurgeSet::new(10, SECOND);
        for Event::Purge(purge) in events {
            set.insert(*purge);
        }
        set.after(None).collect::<Vec<_>>()
    };
    assert_eq!(listed(&published), listed(&read));
}

/// Its clock is hours ahead of the one that timestamps.
#[test]
fn a_clock_running_ahead_expires_no_purge_early() {
    let ahead = START + 5 * 3_600 * SECOND;
    let mut publisher = Publisher::new(
        settings(1),
        RelayLimits::default(),
        identity("relay-0", 0),
        ahead,
        1,
    );
    publisher.publish(ahead, purge(1, START));
    publisher.tick(ahead + SECOND, &mut Vec::new());
    publisher.tick(ahead + 2 * SECOND, &mut Vec::new());
    assert_eq!(publisher.status(ahead).head.position, 1);
    assert_eq!(publisher.status(ahead).purges, 1);
    // Those that are old beside the latest one go.
    publisher.publish(ahead, purge(2, START + 1_000 * SECOND));
    publisher.tick(ahead + 3 * SECOND, &mut Vec::new());
    publisher.tick(ahead + 4 * SECOND, &mut Vec::new());
    assert_eq!(publisher.status(ahead).purges, 1);
}

#[test]
fn a_timestamp_out_of_bounds_leaves_the_batch_readable() {
    for timestamp in [i64::MAX, i64::MIN] {
        assert_eq!(
            decode_events(&encoded(&[purge(1, timestamp), purge(2, START)]))
                .unwrap()
                .len(),
            2
        );
    }
}
