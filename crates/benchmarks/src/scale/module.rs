//! The decision module's own memory against the objects that it saw.

use super::fit::Point;
use super::meter::{self, Held};
use super::results::{Budget, Method, Role, Slope};
use super::scenario::settings;
use super::target;
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;

/// Up to the bound of the module's memories, and beyond it.
const WITHIN: [u64; 5] = [2_000, 5_000, 10_000, 20_000, 50_000];
const BEYOND: [u64; 5] = [100_000, 200_000, 300_000, 400_000, 500_000];
const CACHES: usize = 18;
/// Lookups come so far apart.
const GAP: Micros = 1_000;
const TOOK: Micros = 5_000;

fn entry(endpoint: EndpointIndex) -> EndpointEntry {
    EndpointEntry {
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

/// Each object is asked for once, hit, and over.
fn after(objects: u64) -> Router {
    let mut out = Vec::new();
    let mut front = Router::new(1, &settings(1), &mut out);
    let list = (0..CACHES + 2).map(entry).collect();
    front.handle_event(
        0,
        Event::EndpointsUpdated(EndpointUpdate::Snapshot(list)),
        &mut out,
    );
    for n in 0..objects {
        let now = n as Micros * GAP;
        let id = n as u32;
        let object = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let lookup = Request {
            id,
            object,
            part: 0,
            size_kb: 2.0,
            group: 0,
            class: 0,
            deadline: now + 4_000_000,
        };
        out.clear();
        front.handle_event(now, Event::RequestArrived(lookup), &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::StartAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = sent else { continue };
        let outcome = AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome: AttemptOutcome::Success,
            elapsed: TOOK,
            finished: true,
            cache_status: CacheStatus::Hit,
            first_byte: Some(TOOK / 2),
            size_kb: 2.0,
            load_report: Vec::new(),
        };
        front.handle_event(now + TOOK.min(GAP), Event::AttemptEnded(outcome), &mut out);
    }
    front
}

fn slope(name: &'static str, cost: &'static str, points: Vec<Point>, target: f64) -> Slope {
    Slope {
        name,
        role: Role::Front,
        cost,
        unit: "bytes",
        driver: "objects seen",
        method: Method::Module,
        points,
        target,
        budget: Budget::AtMost(target::MEMORY_BYTES),
    }
}

/// Both slopes: up to the bound, and beyond it.
pub(super) fn measure(held: Held) -> Vec<Slope> {
    let weigh = |objects: u64| Point {
        x: objects as f64,
        y: meter::held(held, || after(objects)).0,
    };
    let (within, beyond) = (WITHIN.map(weigh).to_vec(), BEYOND.map(weigh).to_vec());
    // What a front sees within the module's 300 s of memory, were no object asked for twice.
    let seen = target::LOOKUPS_PER_S * 300.0;
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
            seen,
        ),
    ]
}
