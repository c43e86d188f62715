//! The relay that a member follows after a failure.

use crate::fixtures::*;
use crate::simulation::{Network, START};
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::wire::{Batch, Body, Busy, LeaseGrant};

/// Of three relays, only the last one grants leases. Whenever the subscriber tries the preferred relay, which does not
/// answer or is busy, it returns to the granting relay before its lease expires.
#[test]
fn trying_the_preferred_relay_costs_no_lease() {
    [false, true].into_iter().for_each(try_preferred_relay);
}

fn try_preferred_relay(is_busy: bool) {
    let mut subscriber = subscriber_at(3, 5, 7);
    let preferred = subscriber.status(START).relay;
    let (mut now, mut second, mut next_expired_lease) = (START, None, 0);
    while now < START + 120 * SECOND {
        now += 10 * MILLISECOND;
        let Some(heartbeat) = next_heartbeat(&mut subscriber, now) else {
            continue;
        };
        let relay = subscriber.status(now).relay;
        if relay == preferred && is_busy {
            let busy = Busy {
                request: heartbeat.request,
                retry_after_ms: 900,
                full: false,
            };
            deliver(&mut subscriber, now, Body::Busy(busy));
        }
        if relay == preferred || *second.get_or_insert(relay.clone()) == relay {
            continue;
        }
        let grant = Some(LeaseGrant {
            request: heartbeat.request,
            lease_micros: 1_600_000,
            hops: 1,
        });
        deliver(
            &mut subscriber,
            now,
            Body::Batch(Batch {
                epoch: 5,
                first: 7,
                head: 7,
                grant,
                ..Batch::default()
            }),
        );
        if next_expired_lease == 0 {
            next_expired_lease = subscriber.status(now).counters.expired_leases + 1;
        }
    }
    let counters = subscriber.status(now).counters;
    assert!(counters.relay_changes > 6, "{counters:?}");
    assert_eq!(counters.expired_leases + 1, next_expired_lease);
}

/// Relays that follow one another while the publisher is down return to it soon after its restart.
#[test]
fn relays_return_to_the_publisher() {
    let mut network = Network::new(8, 2, 1);
    network.run(3 * SECOND).unwrap();
    network.kill(0);
    network.run(25 * SECOND).unwrap();
    network.start(0);
    network.run(6 * SECOND).unwrap();
    assert_eq!(network.first_lagging(0), None);
}

/// Guards against relays that leave the publisher while it recovers, follow one another with growing timeouts, and
/// return to it late.
#[test]
fn a_full_restart_and_a_publisher_return_settle_within_seconds() {
    for seed in 0..4 {
        let mut network = Network::new(8, 24, seed);
        network.run(6 * SECOND).unwrap();
        network.check_settled().unwrap();
        network.kill(0);
        network.run(10 * SECOND).unwrap();
        network.start(0);
        network.run(6 * SECOND).unwrap();
        network.check_settled().unwrap();
    }
}
