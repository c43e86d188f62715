//! Shared state by kind: what a record takes, how many there are at the target, and what purges by rumors cost.

use super::fit::Point;
use super::meter::{self, thread_time, timed, Held};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_fault_injection::proxy_name;
use meadowrill_fault_injection::shared::Shared;
use meadowrill_replication::map::{Map, MapLimits};
use meadowrill_replication::record::{to_wire, Entry, Key};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::records::{
    self, Claim, ClaimState, EndpointInfo, EndpointPhase, Observation,
};
use meadowrill_replication::replica::{endpoint_subject, Replica};
use meadowrill_replication::settings::ReplicationSettings;
use meadowrill_replication::wire::Record;
use meadowrill_replication::{Micros, SEC};

const FLEETS: [usize; 5] = [16, 32, 64, 128, 256];
const RATES: [u64; 7] = [1, 2, 5, 15, 30, 60, 120];
/// Size of the fleet at which the purges a second are varied.
const FLEET: usize = 64;
const WARM: Micros = 3 * SEC;
const SPAN: i64 = 5;
const STEPS_PER_S: u64 = 20;
const COUNTS: [u64; 5] = [2_000, 5_000, 10_000, 20_000, 50_000];
const NOW: Micros = 1_700_000_000 * SEC;
/// Until when records of the memory measurement last: beyond its end.
const UNTIL: Micros = NOW + 3_600 * SEC;
/// The longest that a purge is waited for.
const PATIENCE: Micros = 60 * SEC;

/// What a fleet shows under so many purges a second.
#[derive(Clone, Copy, Debug)]
struct Rumors {
    bytes: f64,
    core: f64,
    /// The last of them known at all fronts, seconds after it was told to one.
    known_s: f64,
}

fn rumors(many: usize, per_second: u64) -> Rumors {
    let plan = ReplicationSettings {
        bytes_per_second: target::BYTES_PER_S as u64,
        ..ReplicationSettings::default()
    };
    let mut shared = Shared::new(many, plan, 3);
    shared.start_all();
    shared.run(WARM);
    // What the model itself and the calm fleet take is no part of the purges' cost.
    let idle = timed(|| shared.run(SPAN * SEC)).0;
    let (before, begun) = (shared.sent_bytes(), thread_time());
    let (mut object, mut due) = (0, 0);
    for _ in 0..SPAN as u64 * STEPS_PER_S {
        due += per_second;
        while due >= STEPS_PER_S {
            due -= STEPS_PER_S;
            object += 1;
            let told = object as usize % many;
            shared.say(told, |replica, now| {
                replica.publish_purge(now, Some(object), 0, now)
            });
        }
        shared.run(SEC / STEPS_PER_S as i64);
    }
    let each = (SPAN as f64 * many as f64).recip();
    let bytes = (shared.sent_bytes() - before) as f64 * each;
    let core = ((thread_time() - begun).as_secs_f64() - idle) * each;
    let last = Some(object + 1);
    let at = shared.now;
    shared.say(0, |replica, now| replica.publish_purge(now, last, 0, now));
    let (key, _) = records::purge_record(last, 0, at, SEC);
    let known = shared.run_until(at + PATIENCE, |s| {
        s.maps().all(|map| map.get(&key).is_some())
    });
    let known_s = known.map_or(f64::NAN, |known| (known - at) as f64 / SEC as f64);
    Rumors {
        bytes,
        core,
        known_s,
    }
}

fn purge(n: u64) -> (Key, Entry) {
    records::purge_record(
        Some(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        0,
        NOW + n as i64,
        UNTIL - NOW,
    )
}

fn machine(n: u64) -> (Key, Entry) {
    let about = EndpointInfo {
        address: format!("10.{}.{}.{}:8080", n >> 16 & 255, n >> 8 & 255, n & 255),
        locality: format!("zone-{}", n % target::ZONES as u64),
        flavor: "std".into(),
        cell: 1,
        size: 1.0,
    };
    records::endpoint_record(
        &format!("s-{n:08x}"),
        NOW,
        EndpointPhase::Ready,
        &about,
        UNTIL,
    )
}

fn learned(n: u64) -> (Key, Entry) {
    let front = (n / target::CACHES as u64) as usize;
    let what = endpoint_subject(&format!("s-{:08x}", n % target::CACHES as u64));
    let zone = format!("zone-{}", front % target::ZONES);
    let sight = Observation {
        writer: proxy_name(front),
        zone,
        values: vec![0.01, 2300.0, 17.0],
        observed_at: NOW as u64,
    };
    records::observation_record(RecordType::Observation, &what, NOW as u64, &sight, UNTIL)
}

fn effect(n: u64) -> (Key, Entry) {
    let claim = Claim {
        holder: proxy_name(n as usize % target::FRONTS as usize),
        incarnation: NOW as u64,
        first_sent_at: NOW as u64,
        deadline: NOW as u64 + 3_000_000,
        body: Some(vec![7; 64]),
        current: false,
    };
    records::claim_record(
        format!("{n:032x}").as_bytes(),
        (NOW as u64, n),
        ClaimState::Completed,
        &claim,
        UNTIL,
    )
}

type Make = fn(u64) -> (Key, Entry);

/// A map that holds so many records, with no bound in the way.
fn filled(make: Make, count: u64) -> Map {
    let mut map = Map::new(MapLimits {
        entries: usize::MAX,
        bytes: usize::MAX,
    });
    for n in 0..count {
        let (key, entry) = make(n);
        map.merge(key, entry, NOW);
    }
    map
}

fn wire_bytes(make: Make, count: u64) -> f64 {
    use prost::Message;
    let bytes = |n| {
        let (key, entry) = make(n);
        let record: Record = to_wire(&key, &entry);
        record.encoded_len()
    };
    (0..count).map(bytes).sum::<usize>() as f64
}

struct KindRow {
    make: Make,
    memory: (&'static str, &'static str),
    wire: (&'static str, &'static str),
    target: f64,
}

/// Records at the target; `learned` has one for each front and machine, and effects are as many as the bound lets in.
fn kinds_measured() -> Vec<KindRow> {
    let keep_s = ReplicationSettings::default().purge_retention as f64 / SEC as f64;
    let bound = ReplicationSettings::default().max_entries as f64;
    vec![
        KindRow {
            make: purge,
            memory: ("shared-purge-memory", "purges held, memory"),
            wire: ("shared-purge-wire", "purges held, on the wire once"),
            target: target::PURGES_PER_S * keep_s,
        },
        KindRow {
            make: machine,
            memory: ("shared-machine-memory", "machines held, memory"),
            wire: ("shared-machine-wire", "machines held, on the wire once"),
            target: target::CACHES,
        },
        KindRow {
            make: learned,
            memory: ("shared-learned-memory", "learned of machines, memory"),
            wire: (
                "shared-learned-wire",
                "learned of machines, on the wire once",
            ),
            target: target::FRONTS * target::CACHES,
        },
        KindRow {
            make: effect,
            memory: (
                "shared-effect-memory",
                "effects held, memory (at the bound of records)",
            ),
            wire: (
                "shared-effect-wire",
                "effects held, on the wire once (at the bound of records)",
            ),
            target: bound,
        },
    ]
}

/// A replica after purges at this rate for the whole keep time: how many it holds, and how long ago the oldest came.
fn kept(per_second: u64, bound: usize) -> (f64, f64) {
    let plan = ReplicationSettings {
        max_entries: bound,
        max_bytes: usize::MAX,
        ..ReplicationSettings::default()
    };
    let keep = plan.purge_retention;
    let mut replica = Replica::new(plan, "front-0", 1, NOW, 1);
    let gap = SEC / per_second as i64;
    let many = keep / gap;
    for n in 0..many {
        let at = NOW + n * gap;
        replica.publish_purge(at, Some(n as u64 + 1), 0, at);
    }
    let end = NOW + many * gap;
    replica.tick(end, &mut Vec::new());
    let stamps = || {
        replica
            .map()
            .of_type(RecordType::Purge)
            .map(|(_, entry)| entry.rank.0 as i64)
    };
    let oldest = stamps()
        .min()
        .map_or(0.0, |oldest| (end - oldest) as f64 / SEC as f64);
    (stamps().count() as f64, oldest)
}

fn base(name: &'static str, cost: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Front,
        cost,
        unit: "bytes",
        driver: "records",
        method: Method::Module,
        points,
        target: 0.0,
        budget: Budget::None,
    }
}

fn records(held: Held, slopes: &mut Vec<Slope>) {
    for row in kinds_measured() {
        let weigh = |count: u64| meter::held(held, || filled(row.make, count)).0;
        let memory = COUNTS
            .map(|n| Point {
                x: n as f64,
                y: weigh(n),
            })
            .to_vec();
        let wire = COUNTS
            .map(|n| Point {
                x: n as f64,
                y: wire_bytes(row.make, n),
            })
            .to_vec();
        let budget = Budget::AtMost(target::MEMORY_BYTES);
        slopes.push(Slope {
            target: row.target,
            budget,
            ..base(row.memory.0, row.memory.1, memory)
        });
        slopes.push(Slope {
            target: row.target,
            ..base(row.wire.0, row.wire.1, wire)
        });
    }
}

fn by_rumors(slopes: &mut Vec<Slope>) {
    let points = |seen: &[(f64, Rumors)], of: fn(&Rumors) -> f64| {
        let all = seen.iter().map(|(x, seen)| Point { x: *x, y: of(seen) });
        all.filter(|p| p.y.is_finite()).collect::<Vec<_>>()
    };
    let fleets = FLEETS.map(|many| (many as f64, rumors(many, target::PURGES_PER_S as u64)));
    println!("rumors by fronts: {fleets:?}");
    let rates = RATES.map(|rate| (rate as f64, rumors(FLEET, rate)));
    println!("rumors by purges a second: {rates:?}");
    let method = Method::FleetInOneProcess;
    let of_fronts = |name, cost, unit, budget, of| Slope {
        unit,
        driver: "fronts",
        method,
        target: target::FRONTS,
        budget,
        ..base(name, cost, points(&fleets, of))
    };
    let of_rates = |name, cost, unit, budget, of| Slope {
        unit,
        driver: "purges/s, 64 fronts",
        method,
        target: target::PURGES_PER_S,
        budget,
        ..base(name, cost, points(&rates, of))
    };
    let bytes = Budget::AtMost(target::BYTES_PER_S);
    let core = Budget::AtMost(target::CORE_SHARE);
    let done = Budget::AtMost(target::PURGE_DONE_S);
    slopes.extend([
        of_fronts(
            "rumors-bytes",
            "120 purges/s by rumors, sent",
            "bytes/s",
            bytes,
            |r| r.bytes,
        ),
        of_fronts(
            "rumors-core",
            "120 purges/s by rumors, processor",
            "cores",
            core,
            |r| r.core,
        ),
        of_fronts(
            "rumors-known",
            "120 purges/s by rumors, one known at all",
            "s",
            done,
            |r| r.known_s,
        ),
        of_rates(
            "rumors-rate-bytes",
            "purges by rumors, sent",
            "bytes/s",
            bytes,
            |r| r.bytes,
        ),
        of_rates(
            "rumors-rate-core",
            "purges by rumors, processor",
            "cores",
            core,
            |r| r.core,
        ),
    ]);
}

/// All slopes of the shared state.
pub(super) fn measure(held: Held) -> Vec<Slope> {
    let mut slopes = Vec::new();
    by_rumors(&mut slopes);
    records(held, &mut slopes);
    let bound = ReplicationSettings::default().max_entries;
    let remembered = RATES.map(|rate| (rate, kept(rate, bound).1));
    println!(
        "seconds that a purge is remembered within the bound of {bound}, by purges a second: {remembered:?}"
    );
    let points = RATES
        .map(|rate| Point {
            x: rate as f64,
            y: kept(rate, usize::MAX).0,
        })
        .to_vec();
    slopes.push(Slope {
        unit: "records",
        driver: "purges/s",
        target: target::PURGES_PER_S,
        budget: Budget::AtMost(bound as f64),
        ..base(
            "purges-kept",
            "purges to be remembered for 900 s, beside the bound of records",
            points,
        )
    });
    slopes
}
