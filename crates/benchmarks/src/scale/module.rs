//! Memory of the router against the number of objects that it has seen.

use super::fit::Point;
use super::meter::{self, AllocatedBytes};
use super::results::{Budget, Method, Role, Slope};
use super::scenario::settings;
use super::target;
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;

/// Numbers of objects up to the router's bound on remembered objects, and beyond it.
const WITHIN_BOUND: [u64; 5] = [2_000, 5_000, 10_000, 20_000, 50_000];
const BEYOND_BOUND: [u64; 5] = [100_000, 200_000, 300_000, 400_000, 500_000];
const CACHES: usize = 18;
/// Time between two requests.
const REQUEST_INTERVAL: Micros = 1_000;
const ATTEMPT_TIME: Micros = 5_000;

fn entry(endpoint: EndpointIndex) -> EndpointEntry {
    EndpointEntry {
        address: 0,
        endpoint,
        stable_id: (endpoint as u64 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        endpoint_kind: match endpoint {
            _ if endpoint < CACHES => 0,
            CACHES => 1,
            _ => 2,
        },
        started_at: 0,
        zone: 0,
        cell: 0,
        weight: 4.0,
        status: EndpointStatus::Ready,
    }
}

/// A router after requests for `objects` objects. Each is requested once, and its only attempt is a hit.
fn router_after(objects: u64) -> Router {
    let mut actions = Vec::new();
    let mut router = Router::new(1, &settings(1), &mut actions);
    let list = (0..CACHES + 2).map(entry).collect();
    router.handle_event(
        0,
        Event::EndpointsUpdated(EndpointUpdate::Snapshot(list)),
        &mut actions,
    );
    for n in 0..objects {
        let now = n as Micros * REQUEST_INTERVAL;
        let id = n as u32;
        let object = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = Request {
            id,
            object,
            part: 0,
            size_kb: 2.0,
            group: 0,
            class: 0,
            deadline: now + 4_000_000,
            effect: 0,
        };
        actions.clear();
        router.handle_event(now, Event::RequestArrived(request), &mut actions);
        let started = actions.iter().find_map(|action| match action {
            Action::StartAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = started else { continue };
        let outcome = AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome: AttemptOutcome::Success,
            elapsed: ATTEMPT_TIME,
            finished: true,
            cache_status: CacheStatus::Hit,
            first_byte: Some(ATTEMPT_TIME / 2),
            size_kb: 2.0,
            load_report: Vec::new(),
        };
        router.handle_event(
            now + ATTEMPT_TIME.min(REQUEST_INTERVAL),
            Event::AttemptEnded(outcome),
            &mut actions,
        );
    }
    router
}

fn slope(name: &'static str, cost: &'static str, points: Vec<Point>, target: f64) -> Slope {
    Slope {
        name,
        role: Role::Proxy,
        cost,
        unit: "bytes",
        driver: "objects seen",
        method: Method::Module,
        points,
        target,
        budget: Budget::AtMost(target::MEMORY_BYTES),
    }
}

/// The slopes up to the bound and beyond it.
pub(super) fn measure(allocated_bytes: AllocatedBytes) -> Vec<Slope> {
    let measure_memory = |objects: u64| Point {
        x: objects as f64,
        y: meter::allocated_by(allocated_bytes, || router_after(objects)).0,
    };
    let (within, beyond) = (
        WITHIN_BOUND.map(measure_memory).to_vec(),
        BEYOND_BOUND.map(measure_memory).to_vec(),
    );
    // The objects that a proxy sees within the 300 s for which the router remembers them, if none is requested twice.
    let objects_seen = target::REQUESTS_PER_S * 300.0;
    vec![
        slope(
            "module-memory",
            "decision module, memory up to its bound of 50,000",
            within,
            50_000.0,
        ),
        slope(
            "module-memory-beyond",
            "decision module, memory beyond its bound",
            beyond,
            objects_seen,
        ),
    ]
}
