//! The decision module's own memory against the objects that it saw.

use super::fit::Point;
use super::meter::{self, Held};
use super::results::{Budget, Method, Role, Slope};
use super::scenario::settings;
use super::target;
use meadowrill_routing::control::Front;
use meadowrill_routing::interface::*;

/// Up to the bound of the module's memories, and beyond it.
const WITHIN: [u64; 5] = [2_000, 5_000, 10_000, 20_000, 50_000];
const BEYOND: [u64; 5] = [100_000, 200_000, 300_000, 400_000, 500_000];
const CACHES: usize = 18;
/// Lookups come so far apart.
const GAP: Micros = 1_000;
const TOOK: Micros = 5_000;

fn entry(peer: PeerIx) -> Entry {
    Entry {
        peer,
        stable: (peer as u64 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        machine: match peer {
            _ if peer < CACHES => 0,
            CACHES => 1,
            _ => 2,
        },
        since: 0,
        zone: 0,
        cell: 0,
        weight: 4.0,
        standing: Standing::Ready,
    }
}

/// Each object is asked for once, hit, and over.
fn after(objects: u64) -> Front {
    let mut out = Vec::new();
    let mut front = Front::start(1, settings(1), 0, &mut out);
    let list = (0..CACHES + 2).map(entry).collect();
    front.hear(0, Event::Listed(Listing::Full(list)), &mut out);
    for n in 0..objects {
        let now = n as Micros * GAP;
        let id = n as u32;
        let object = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let lookup =
            Lookup { id, object, part: 0, size_kb: 2.0, group: 0, kind: 0, expires: now + 4_000_000 };
        out.clear();
        front.hear(now, Event::Asked(lookup), &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::Send { peer, .. } => Some(*peer),
            _ => None,
        });
        let Some(peer) = sent else { continue };
        let outcome = Outcome {
            id,
            send: 0,
            peer,
            ending: Ending::Satisfied,
            took: TOOK,
            finished: true,
            remark: Remark::Hit,
            first_byte: Some(TOOK / 2),
            size_kb: 2.0,
            report: Vec::new(),
        };
        front.hear(now + TOOK.min(GAP), Event::Ended(outcome), &mut out);
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
pub fn measure(held: Held) -> Vec<Slope> {
    let weigh = |objects: u64| Point { x: objects as f64, y: meter::held(held, || after(objects)).0 };
    let (within, beyond) = (WITHIN.map(weigh).to_vec(), BEYOND.map(weigh).to_vec());
    // What a front sees within the module's 300 s of memory, were no object asked for twice.
    let seen = target::LOOKUPS_PER_S * 300.0;
    vec![
        slope("module-memory", "decision module, memory up to its bound of 50,000", within, 50_000.0),
        slope("module-memory-beyond", "decision module, memory beyond its bound", beyond, seen),
    ]
}
