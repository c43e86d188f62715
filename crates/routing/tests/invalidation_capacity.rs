//! Freshness with more invalidations than the router remembers: the latest evicted invalidation bounds the age of all
//! copies.

#[path = "common/settings.rs"]
mod settings;

use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;

const SECOND: Micros = 1_000_000;
/// Number of invalidations that the router remembers (`freshness::CAPACITY`).
const CAPACITY: u64 = 50_000;

/// A cache, a parent and the origin.
fn endpoints() -> Vec<EndpointEntry> {
    let entry = |endpoint: EndpointIndex| EndpointEntry {
        address: 0,
        endpoint,
        stable_id: endpoint as u64 + 9,
        endpoint_kind: endpoint as u8,
        started_at: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        status: EndpointStatus::Ready,
    };
    (0..3).map(entry).collect()
}

/// The maximum age of a copy of the object that was invalidated first, one second after `count` invalidations that the
/// host passed on at the same time.
fn max_age_after_invalidations(count: u64) -> Micros {
    max_age_after(1..=count, 1)
}

/// The maximum age of a copy of the object `requested`, one second after the objects of `invalidated` were
/// invalidated, in this order and at the same time; 0 for the freshness lifetime of the class.
fn max_age_after(invalidated: impl IntoIterator<Item = u64>, requested: u64) -> Micros {
    let mut actions = Vec::new();
    let mut router = Router::new(1, &settings::settings(&[]), &mut actions);
    let snapshot = EndpointUpdate::Snapshot(endpoints());
    router.handle_event(SECOND, Event::EndpointsUpdated(snapshot), &mut actions);
    for object in invalidated {
        let invalidated = Event::Invalidated {
            object: Some(object),
            group: 0,
            age: 0,
        };
        router.handle_event(2 * SECOND, invalidated, &mut actions);
    }
    let now = 3 * SECOND;
    let request = Request {
        id: 5,
        object: requested,
        part: 0,
        size_kb: 1.0,
        group: 9,
        class: 0,
        deadline: now + SECOND,
        effect: 0,
    };
    actions.clear();
    router.handle_event(now, Event::RequestArrived(request), &mut actions);
    let fill = actions.iter().find_map(|action| match action {
        Action::StartAttempt { fill, .. } => *fill,
        _ => None,
    });
    fill.expect("an attempt with a fill").max_age
}

#[test]
fn one_evicted_invalidation_bounds_all_copies() {
    assert_eq!(max_age_after_invalidations(CAPACITY + 1), SECOND);
}

#[test]
fn several_invalidations_evicted_at_the_same_time_bound_all_copies() {
    assert_eq!(max_age_after_invalidations(CAPACITY + 2), SECOND);
}

// Guards against the eviction of an entry together with an earlier insertion of its own key at the same time.
#[test]
fn an_invalidation_renewed_at_the_same_time_is_still_remembered() {
    let others = 2..=CAPACITY;
    let invalidated = || [1, 1].into_iter().chain(others.clone());
    assert_eq!(max_age_after(invalidated(), 1), SECOND);
    // No invalidation was evicted, so copies of other objects are not bounded.
    assert_eq!(max_age_after(invalidated(), CAPACITY + 1), 0);
}
