//! Timestamps and the order of purges.

use crate::fixtures::*;
use crate::simulation::START;
use meadowrill_event_distribution::event::Event;
use meadowrill_event_distribution::event_codec::decode_events;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::purge_set::PurgeSet;
use meadowrill_event_distribution::settings::{RelayLimits, SECOND};

/// Guards against members that order purges differently, because some received the timestamps from the event source and
/// others decoded them from the wire. A snapshot that another member continues would then skip purges.
#[test]
fn all_members_order_purges_equally() {
    let published = [(9, 1_200), (1, 1_500), (5, 1_900)]
        .map(|(object, timestamp)| purge(object, START + timestamp));
    let decoded = decode_events(&encoded(&published)).unwrap();
    let ordered = |events: &[Event]| {
        let mut set = PurgeSet::new(10, SECOND);
        for Event::Purge(purge) in events {
            set.insert(*purge);
        }
        set.after(None).collect::<Vec<_>>()
    };
    assert_eq!(ordered(&published), ordered(&decoded));
}

/// The clock of the publisher is hours ahead of the clock that sets the timestamps.
#[test]
fn a_clock_running_ahead_expires_no_purge_early() {
    let now = START + 5 * 3_600 * SECOND;
    let mut publisher = Publisher::new(
        settings(1),
        RelayLimits::default(),
        identity("relay-0", 0),
        now,
        1,
    );
    publisher.publish(now, purge(1, START));
    publisher.tick(now + SECOND, &mut Vec::new());
    publisher.tick(now + 2 * SECOND, &mut Vec::new());
    assert_eq!(publisher.status(now).head.position, 1);
    assert_eq!(publisher.status(now).purges, 1);
    // Purges that are too old relative to the latest one are removed.
    publisher.publish(now, purge(2, START + 1_000 * SECOND));
    publisher.tick(now + 3 * SECOND, &mut Vec::new());
    publisher.tick(now + 4 * SECOND, &mut Vec::new());
    assert_eq!(publisher.status(now).purges, 1);
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
