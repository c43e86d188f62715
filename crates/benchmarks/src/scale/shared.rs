//! Replicated state by type of record: the bytes of a record, the number of records at the target, and the cost of
//! purges that are distributed as rumors.

use super::fit::Point;
use super::meter::{self, thread_time, timed, AllocatedBytes};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_fault_injection::proxy_name;
use meadowrill_fault_injection::shared::ReplicaFleet;
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

const FLEET_SIZES: [usize; 5] = [16, 32, 64, 128, 256];
const PURGE_RATES: [u64; 7] = [1, 2, 5, 15, 30, 60, 120];
/// Size of the fleet for which the rate of purges is varied.
const RATE_FLEET_SIZE: usize = 64;
const WARM_UP: Micros = 3 * SEC;
const MEASURE_TIME_S: i64 = 5;
const STEPS_PER_S: u64 = 20;
const RECORD_COUNTS: [u64; 5] = [2_000, 5_000, 10_000, 20_000, 50_000];
const NOW: Micros = 1_700_000_000 * SEC;
/// Expiry of the records whose memory is measured, after the end of the measurement.
const EXPIRES_AT: Micros = NOW + 3_600 * SEC;
/// How long the model waits for a purge to be known everywhere.
const PURGE_TIMEOUT: Micros = 60 * SEC;

/// Figures of a fleet for a rate of purges.
#[derive(Clone, Copy, Debug)]
struct Rumors {
    bytes: f64,
    core: f64,
    /// Seconds from the publication of the last purge at one proxy until all proxies know it.
    known_s: f64,
}

fn measure_rumors(proxies: usize, purges_per_s: u64) -> Rumors {
    let settings = ReplicationSettings {
        bytes_per_second: target::BYTES_PER_S as u64,
        ..ReplicationSettings::default()
    };
    let mut shared = ReplicaFleet::new(proxies, settings, 3);
    shared.start_all();
    shared.run(WARM_UP);
    // The processor time of the model itself and of a fleet without purges is subtracted below.
    let idle_s = timed(|| shared.run(MEASURE_TIME_S * SEC)).0;
    let (before, started_at) = (shared.sent_bytes(), thread_time());
    let (mut object, mut due) = (0, 0);
    for _ in 0..MEASURE_TIME_S as u64 * STEPS_PER_S {
        due += purges_per_s;
        while due >= STEPS_PER_S {
            due -= STEPS_PER_S;
            object += 1;
            let publisher = object as usize % proxies;
            shared.update_replica(publisher, |replica, now| {
                replica.publish_purge(now, Some(object), 0, now)
            });
        }
        shared.run(SEC / STEPS_PER_S as i64);
    }
    let per_proxy_and_s = (MEASURE_TIME_S as f64 * proxies as f64).recip();
    let bytes = (shared.sent_bytes() - before) as f64 * per_proxy_and_s;
    let core = ((thread_time() - started_at).as_secs_f64() - idle_s) * per_proxy_and_s;
    let last_object = Some(object + 1);
    let at = shared.now;
    shared.update_replica(0, |replica, now| {
        replica.publish_purge(now, last_object, 0, now)
    });
    let (key, _) = records::purge_record(last_object, 0, at, SEC);
    let known = shared.run_until(at + PURGE_TIMEOUT, |shared| {
        shared.maps().all(|map| map.get(&key).is_some())
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
        EXPIRES_AT - NOW,
    )
}

fn endpoint(n: u64) -> (Key, Entry) {
    let info = EndpointInfo {
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
        &info,
        EXPIRES_AT,
    )
}

fn observation(n: u64) -> (Key, Entry) {
    let proxy = (n / target::CACHES as u64) as usize;
    let subject = endpoint_subject(&format!("s-{:08x}", n % target::CACHES as u64));
    let zone = format!("zone-{}", proxy % target::ZONES);
    let observation = Observation {
        writer: proxy_name(proxy),
        zone,
        values: vec![0.01, 2300.0, 17.0],
        observed_at: NOW as u64,
    };
    records::observation_record(
        RecordType::Observation,
        &subject,
        NOW as u64,
        &observation,
        EXPIRES_AT,
    )
}

fn claim(n: u64) -> (Key, Entry) {
    let claim = Claim {
        holder: proxy_name(n as usize % target::PROXIES as usize),
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
        EXPIRES_AT,
    )
}

type MakeRecord = fn(u64) -> (Key, Entry);

/// A map of `count` records, without bounds on entries and bytes.
fn filled_map(make: MakeRecord, count: u64) -> Map {
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

fn wire_bytes(make: MakeRecord, count: u64) -> f64 {
    use prost::Message;
    let bytes = |n| {
        let (key, entry) = make(n);
        let record: Record = to_wire(&key, &entry);
        record.encoded_len()
    };
    (0..count).map(bytes).sum::<usize>() as f64
}

/// A type of record, with the names and costs of its two slopes and the number of records at the target.
struct RecordTypeRow {
    make: MakeRecord,
    memory: (&'static str, &'static str),
    wire: (&'static str, &'static str),
    target: f64,
}

/// The measured types of records. At the target there is one observation for each pair of proxy and cache, and as many
/// claims as the bound on records allows.
fn record_types() -> Vec<RecordTypeRow> {
    let retention_s = ReplicationSettings::default().purge_retention as f64 / SEC as f64;
    let bound = ReplicationSettings::default().max_entries as f64;
    vec![
        RecordTypeRow {
            make: purge,
            memory: ("shared-purge-memory", "purges held, memory"),
            wire: ("shared-purge-wire", "purges held, on the wire once"),
            target: target::PURGES_PER_S * retention_s,
        },
        RecordTypeRow {
            make: endpoint,
            memory: ("shared-machine-memory", "machines held, memory"),
            wire: ("shared-machine-wire", "machines held, on the wire once"),
            target: target::CACHES,
        },
        RecordTypeRow {
            make: observation,
            memory: ("shared-learned-memory", "learned of machines, memory"),
            wire: (
                "shared-learned-wire",
                "learned of machines, on the wire once",
            ),
            target: target::PROXIES * target::CACHES,
        },
        RecordTypeRow {
            make: claim,
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

/// Publishes purges at a replica for the complete retention time. Returns how many the replica then stores, and the age
/// of the oldest in seconds.
fn retained_purges(purges_per_s: u64, max_entries: usize) -> (f64, f64) {
    let settings = ReplicationSettings {
        max_entries,
        max_bytes: usize::MAX,
        ..ReplicationSettings::default()
    };
    let retention = settings.purge_retention;
    let mut replica = Replica::new(settings, "front-0", 1, NOW, 1);
    let interval = SEC / purges_per_s as i64;
    let count = retention / interval;
    for n in 0..count {
        let at = NOW + n * interval;
        replica.publish_purge(at, Some(n as u64 + 1), 0, at);
    }
    let end = NOW + count * interval;
    replica.tick(end, &mut Vec::new());
    let stamps = || {
        replica
            .map()
            .of_type(RecordType::Purge)
            .map(|(_, entry)| entry.rank.0 as i64)
    };
    let oldest_age_s = stamps()
        .min()
        .map_or(0.0, |oldest| (end - oldest) as f64 / SEC as f64);
    (stamps().count() as f64, oldest_age_s)
}

fn base_slope(name: &'static str, cost: &'static str, points: Vec<Point>) -> Slope {
    Slope {
        name,
        role: Role::Proxy,
        cost,
        unit: "bytes",
        driver: "records",
        method: Method::Module,
        points,
        target: 0.0,
        budget: Budget::None,
    }
}

fn record_slopes(allocated_bytes: AllocatedBytes, slopes: &mut Vec<Slope>) {
    for row in record_types() {
        let measure_memory =
            |count: u64| meter::allocated_by(allocated_bytes, || filled_map(row.make, count)).0;
        let memory = RECORD_COUNTS
            .map(|n| Point {
                x: n as f64,
                y: measure_memory(n),
            })
            .to_vec();
        let wire = RECORD_COUNTS
            .map(|n| Point {
                x: n as f64,
                y: wire_bytes(row.make, n),
            })
            .to_vec();
        let budget = Budget::AtMost(target::MEMORY_BYTES);
        slopes.push(Slope {
            target: row.target,
            budget,
            ..base_slope(row.memory.0, row.memory.1, memory)
        });
        slopes.push(Slope {
            target: row.target,
            ..base_slope(row.wire.0, row.wire.1, wire)
        });
    }
}

fn rumor_slopes(slopes: &mut Vec<Slope>) {
    let points = |measured: &[(f64, Rumors)], value: fn(&Rumors) -> f64| {
        let points = measured.iter().map(|(x, rumors)| Point {
            x: *x,
            y: value(rumors),
        });
        points
            .filter(|point| point.y.is_finite())
            .collect::<Vec<_>>()
    };
    let fleets = FLEET_SIZES.map(|proxies| {
        (
            proxies as f64,
            measure_rumors(proxies, target::PURGES_PER_S as u64),
        )
    });
    println!("rumors by fronts: {fleets:?}");
    let rates = PURGE_RATES.map(|rate| (rate as f64, measure_rumors(RATE_FLEET_SIZE, rate)));
    println!("rumors by purges a second: {rates:?}");
    let method = Method::FleetInOneProcess;
    let by_proxies = |name, cost, unit, budget, value| Slope {
        unit,
        driver: "fronts",
        method,
        target: target::PROXIES,
        budget,
        ..base_slope(name, cost, points(&fleets, value))
    };
    let by_rates = |name, cost, unit, budget, value| Slope {
        unit,
        driver: "purges/s, 64 fronts",
        method,
        target: target::PURGES_PER_S,
        budget,
        ..base_slope(name, cost, points(&rates, value))
    };
    let bytes = Budget::AtMost(target::BYTES_PER_S);
    let core = Budget::AtMost(target::CORE_SHARE);
    let delay = Budget::AtMost(target::MAX_PURGE_DELAY_S);
    slopes.extend([
        by_proxies(
            "rumors-bytes",
            "120 purges/s by rumors, sent",
            "bytes/s",
            bytes,
            |r| r.bytes,
        ),
        by_proxies(
            "rumors-core",
            "120 purges/s by rumors, processor",
            "cores",
            core,
            |r| r.core,
        ),
        by_proxies(
            "rumors-known",
            "120 purges/s by rumors, one known at all",
            "s",
            delay,
            |r| r.known_s,
        ),
        by_rates(
            "rumors-rate-bytes",
            "purges by rumors, sent",
            "bytes/s",
            bytes,
            |r| r.bytes,
        ),
        by_rates(
            "rumors-rate-core",
            "purges by rumors, processor",
            "cores",
            core,
            |r| r.core,
        ),
    ]);
}

/// The slopes of the replicated state.
pub(super) fn measure(allocated_bytes: AllocatedBytes) -> Vec<Slope> {
    let mut slopes = Vec::new();
    rumor_slopes(&mut slopes);
    record_slopes(allocated_bytes, &mut slopes);
    let bound = ReplicationSettings::default().max_entries;
    let retained_s = PURGE_RATES.map(|rate| (rate, retained_purges(rate, bound).1));
    println!(
        "seconds that a purge is remembered within the bound of {bound}, by purges a second: {retained_s:?}"
    );
    let points = PURGE_RATES
        .map(|rate| Point {
            x: rate as f64,
            y: retained_purges(rate, usize::MAX).0,
        })
        .to_vec();
    slopes.push(Slope {
        unit: "records",
        driver: "purges/s",
        target: target::PURGES_PER_S,
        budget: Budget::AtMost(bound as f64),
        ..base_slope(
            "purges-kept",
            "purges to be remembered for 900 s, beside the bound of records",
            points,
        )
    });
    slopes
}
