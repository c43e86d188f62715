//! Freshness where more invalidations come than are remembered: the bound of those that were forgotten stands for all.

#[path = "common/settings.rs"]
mod settings;

use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;

const SECOND: Micros = 1_000_000;
/// Invalidations that are remembered (`freshness::CAPACITY`).
const REMEMBERED: u64 = 50_000;

/// A cache, a parent and the origin.
fn endpoints() -> Vec<EndpointEntry> {
    let entry = |endpoint: EndpointIndex| EndpointEntry {
        endpoint,
        stable_id: endpoint as u64 + 9,
        machine_kind: endpoint as u8,
        started_at: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        status: EndpointStatus::Ready,
    };
    (0..3).map(entry).collect()
}

/// The oldest copy that will do for an object that was invalidated first, one second after so many invalidations that
/// the host handed over in one round, at one value of its clock.
fn max_age_after_invalidations(count: u64) -> Micros {
    max_age_after(1..=count, 1)
}

/// The oldest copy that will do for an object, one second after the objects of `invalidated` were invalidated in this
/// order at one value of the host's clock; 0 for any that its class allows.
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
    };
    actions.clear();
    router.handle_event(now, Event::RequestArrived(request), &mut actions);
    let fill = actions.iter().find_map(|action| match action {
        Action::StartAttempt { fill, .. } => *fill,
        _ => None,
    });
    fill.expect("an attempt").max_age
}

#[test]
fn one_forgotten_invalidation_bounds_all_copies() {
    assert_eq!(max_age_after_invalidations(REMEMBERED + 1), SECOND);
}

#[test]
fn several_invalidations_forgotten_in_one_moment_bound_all_copies() {
    assert_eq!(max_age_after_invalidations(REMEMBERED + 2), SECOND);
}

// Guards against an entry that leaves with an earlier insertion of its own key, made at the same moment.
#[test]
fn an_invalidation_renewed_within_one_moment_is_still_remembered() {
    let others = 2..=REMEMBERED;
    let invalidated = || [1, 1].into_iter().chain(others.clone());
    assert_eq!(max_age_after(invalidated(), 1), SECOND);
    // Nothing was forgotten, so no other object is bounded.
    assert_eq!(max_age_after(invalidated(), REMEMBERED + 1), 0);
}
