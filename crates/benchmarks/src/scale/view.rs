//! Membership at growing fleet sizes: complete fleets of real views in one process, which go through the kinds of
//! events of a year.
//!
//! Processor time includes the model's own queue, so it is an upper bound. Other times are measured by the model's
//! clock.

use super::fit::Point;
use super::meter::{thread_time, AllocatedBytes};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_fault_injection::model::{address, Config, Fleet};
use meadowrill_fault_injection::proxy_name;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{MemberIdentity, View};
use meadowrill_membership::Micros;

const SIZES: [usize; 5] = [24, 48, 96, 192, 384];
/// At this size only the start, normal operation, a death and memory are measured, because the other events take
/// minutes.
const LARGE_SIZE: usize = 768;
const MAX_MEMBERS: usize = 8192;
/// How long the model waits for a fleet to settle; after that there is no figure.
const SETTLE_TIMEOUT: Micros = 120 * SECOND;
/// How often the model checks whether the fleet has settled. The check compares all views, which is expensive.
const CHECK_INTERVAL: Micros = SECOND / 4;
const NORMAL_OPERATION_TIME: Micros = 20 * SECOND;
/// Time after a restart within which all additional bytes for it are sent.
const AFTER_RESTART_TIME: Micros = 20 * SECOND;
const REGION_SPLIT_TIME: Micros = 60 * SECOND;
/// Number of views that are dropped to measure the memory of one.
const MEMORY_SAMPLES: usize = 4;
/// A fleet has to settle within this time, before the next event of the same kind.
const SETTLE_BUDGET_S: f64 = 60.0;
const DEATH_BUDGET_S: f64 = 4.0;

/// Figures that are measured at every fleet size.
#[derive(Clone, Copy, Debug)]
struct Calm {
    start_s: f64,
    bytes: f64,
    core: f64,
    death_s: f64,
    memory: f64,
}

/// Figures of larger events. Each has the time until all views agree again, and the bytes a second that a proxy sends
/// until then.
#[derive(Clone, Copy, Debug)]
struct Events {
    /// Additional bytes that a proxy sends because of one restart in the fleet.
    restart_bytes: f64,
    zone: Settled,
    /// The share of the minority that the majority still considers present at the end of the network split.
    minority_present_at_majority: f64,
    majority_present_at_minority: f64,
    healed: Settled,
    release: Settled,
}

#[derive(Clone, Copy, Debug)]
struct Settled {
    seconds: f64,
    bytes: f64,
}

fn fleet(members: usize) -> Fleet<View> {
    let config = Config {
        bytes_per_s: target::BYTES_PER_S as u64,
        ..Config::new(members, 3)
    };
    let make = |config: &Config, n: usize, start: u64, now: Micros| {
        let mut settings = FleetSettings::new(address(n));
        settings.probe_period = config.period;
        settings.contacts = (0..config.contacts.min(config.proxies))
            .map(address)
            .collect();
        settings.departed_retention = config.departed_retention;
        settings.bytes_per_second = config.bytes_per_s;
        settings.max_members = MAX_MEMBERS;
        settings.zone = format!("zone-{}", n % target::ZONES);
        View::new(
            settings,
            MemberIdentity {
                name: proxy_name(n),
                version: "0.1.0".into(),
                start,
            },
            now,
            config.seed ^ start,
        )
    };
    Fleet::new(config, Box::new(make))
}

/// Seconds until `condition` holds; not a number if that takes longer than the timeout.
fn seconds_until(fleet: &mut Fleet<View>, condition: impl Fn(&Fleet<View>) -> bool) -> f64 {
    let started_at = fleet.now;
    while fleet.now < started_at + SETTLE_TIMEOUT {
        fleet.run(CHECK_INTERVAL);
        fleet.observations.clear();
        if condition(fleet) {
            return (fleet.now - started_at) as f64 / SECOND as f64;
        }
    }
    f64::NAN
}

/// The mean bytes a second that a proxy sends while the fleet runs for `span`.
fn bytes_during(fleet: &mut Fleet<View>, span: Micros) -> f64 {
    let before = fleet.sent_bytes();
    fleet.run(span);
    (fleet.sent_bytes() - before) as f64
        / (span as f64 / SECOND as f64)
        / fleet.config.proxies as f64
}

fn settle(fleet: &mut Fleet<View>) -> Settled {
    let before = fleet.sent_bytes();
    let seconds = seconds_until(fleet, Fleet::settled);
    let bytes =
        fleet.sent_bytes().saturating_sub(before) as f64 / seconds / fleet.config.proxies as f64;
    Settled { seconds, bytes }
}

/// The mean share of `members` that `observers` still consider present.
fn considered_present(fleet: &Fleet<View>, observers: &[usize], members: &[usize]) -> f64 {
    let names: Vec<String> = members.iter().map(|n| proxy_name(*n)).collect();
    let count_present = |view: &View| {
        let is_present = |name: &&String| {
            view.member(name)
                .is_some_and(|member| member.claim.state.is_present())
        };
        names.iter().filter(is_present).count()
    };
    let present: usize = observers
        .iter()
        .filter_map(|n| fleet.view(*n))
        .map(count_present)
        .sum();
    present as f64 / (observers.len() * members.len()).max(1) as f64
}

fn started_fleet(members: usize) -> (Fleet<View>, f64) {
    let mut fleet = fleet(members);
    fleet.start_all();
    let start_s = seconds_until(&mut fleet, Fleet::settled);
    (fleet, start_s)
}

fn calm(members: usize, allocated_bytes: AllocatedBytes) -> Calm {
    let (mut fleet, start_s) = started_fleet(members);
    fleet.run(NORMAL_OPERATION_TIME);
    let started_at = thread_time();
    let bytes = bytes_during(&mut fleet, NORMAL_OPERATION_TIME);
    let core = (thread_time() - started_at).as_secs_f64()
        / (NORMAL_OPERATION_TIME as f64 / SECOND as f64)
        / members as f64;
    let killed = members / 2;
    fleet.kill(killed);
    let started_at = fleet.now;
    let absent_at = fleet.run_until(started_at + SETTLE_TIMEOUT, |fleet| {
        fleet.is_absent_everywhere(killed)
    });
    let death_s = absent_at.map_or(f64::NAN, |at| (at - started_at) as f64 / SECOND as f64);
    fleet.observations = Vec::new();
    let before = allocated_bytes();
    (0..MEMORY_SAMPLES).for_each(|n| fleet.kill(1 + n * members / MEMORY_SAMPLES));
    let memory = before.saturating_sub(allocated_bytes()) as f64 / MEMORY_SAMPLES as f64;
    Calm {
        start_s,
        bytes,
        core,
        death_s,
        memory,
    }
}

fn events(members: usize, calm_bytes: f64) -> Events {
    let (mut fleet, _) = started_fleet(members);
    fleet.run(NORMAL_OPERATION_TIME);
    let restarted = members / 2;
    fleet.kill(restarted);
    fleet.run(NORMAL_OPERATION_TIME);
    fleet.start(restarted);
    let extra_bytes_per_s = bytes_during(&mut fleet, AFTER_RESTART_TIME) - calm_bytes;
    let restart_bytes = extra_bytes_per_s * (AFTER_RESTART_TIME as f64 / SECOND as f64);

    let zone: Vec<usize> = (0..members).filter(|n| n % target::ZONES == 1).collect();
    zone.iter().for_each(|n| fleet.kill(*n));
    let zone_settled = settle(&mut fleet);
    zone.iter().for_each(|n| fleet.start(*n));
    seconds_until(&mut fleet, Fleet::settled);
    fleet.run(NORMAL_OPERATION_TIME);

    let first_cut = members - members / target::REGIONS;
    let (majority, minority): (Vec<usize>, Vec<usize>) = (0..members).partition(|n| *n < first_cut);
    fleet.split(|n| u8::from(n >= first_cut));
    fleet.run(REGION_SPLIT_TIME);
    let minority_present_at_majority = considered_present(&fleet, &majority, &minority);
    let majority_present_at_minority = considered_present(&fleet, &minority, &majority);
    fleet.heal();
    let healed = settle(&mut fleet);
    fleet.run(NORMAL_OPERATION_TIME);

    let tenth: Vec<usize> = (0..members).filter(|n| n % 10 == 7).collect();
    tenth.iter().for_each(|n| fleet.kill(*n));
    fleet.run(SECOND);
    tenth.iter().for_each(|n| fleet.start(*n));
    let release = settle(&mut fleet);
    Events {
        restart_bytes,
        zone: zone_settled,
        minority_present_at_majority,
        majority_present_at_minority,
        healed,
        release,
    }
}

fn slope<T>(
    measured: &[(usize, T)],
    (name, cost, unit): (&'static str, &'static str, &'static str),
    budget: Budget,
    value: impl Fn(&T) -> f64,
) -> Slope {
    let points = measured.iter().map(|(members, figures)| Point {
        x: *members as f64,
        y: value(figures),
    });
    Slope {
        name,
        role: Role::Proxy,
        cost,
        unit,
        driver: "fronts",
        method: Method::FleetInOneProcess,
        points: points.filter(|p| p.y.is_finite()).collect(),
        target: target::PROXIES,
        budget,
    }
}

/// All slopes of the view.
pub(super) fn measure(allocated_bytes: AllocatedBytes) -> Vec<Slope> {
    let mut calms = Vec::new();
    let mut all_events = Vec::new();
    for members in SIZES {
        let calm = calm(members, allocated_bytes);
        println!("view, {members}: {calm:?}");
        let events = events(members, calm.bytes);
        println!("view, {members}: {events:?}");
        calms.push((members, calm));
        all_events.push((members, events));
    }
    let large = calm(LARGE_SIZE, allocated_bytes);
    println!("view, {LARGE_SIZE}: {large:?}");
    calms.push((LARGE_SIZE, large));

    let bytes = Budget::AtMost(target::BYTES_PER_S);
    let core = Budget::AtMost(target::CORE_SHARE);
    let memory = Budget::AtMost(target::MEMORY_BYTES);
    let settled = Budget::AtMost(SETTLE_BUDGET_S);
    let death = Budget::AtMost(DEATH_BUDGET_S);
    let (calms, all) = (calms.as_slice(), all_events.as_slice());
    let restarts = |e: &Events| e.restart_bytes * target::RESTARTS_PER_DAY / target::DAY_S;
    vec![
        slope(
            calms,
            ("view-calm-bytes", "view in calm, sent", "bytes/s"),
            bytes,
            |c| c.bytes,
        ),
        slope(
            calms,
            ("view-calm-core", "view in calm, processor", "cores"),
            core,
            |c| c.core,
        ),
        slope(
            calms,
            ("view-memory", "view, memory", "bytes"),
            memory,
            |c| c.memory,
        ),
        slope(
            calms,
            ("view-start", "view settled after a start of all", "s"),
            settled,
            |c| c.start_s,
        ),
        slope(
            calms,
            ("view-death", "a death known at all", "s"),
            death,
            |c| c.death_s,
        ),
        slope(
            all,
            (
                "view-restarts",
                "1,400 restarts a day, sent for them",
                "bytes/s",
            ),
            bytes,
            restarts,
        ),
        slope(
            all,
            ("view-zone", "settled after a zone (1/37) died", "s"),
            settled,
            |e| e.zone.seconds,
        ),
        slope(
            all,
            ("view-zone-bytes", "meanwhile (zone), sent", "bytes/s"),
            bytes,
            |e| e.zone.bytes,
        ),
        slope(
            all,
            (
                "view-cut-off",
                "a cut region (1/10) held to be there after 60 s",
                "share",
            ),
            Budget::None,
            |e| e.minority_present_at_majority,
        ),
        slope(
            all,
            (
                "view-cut-others",
                "the others held to be there by it after 60 s",
                "share",
            ),
            Budget::None,
            |e| e.majority_present_at_minority,
        ),
        slope(
            all,
            ("view-healed", "settled after that cut healed", "s"),
            settled,
            |e| e.healed.seconds,
        ),
        slope(
            all,
            ("view-healed-bytes", "meanwhile (healed), sent", "bytes/s"),
            bytes,
            |e| e.healed.bytes,
        ),
        slope(
            all,
            ("view-release", "settled after a tenth restarted", "s"),
            settled,
            |e| e.release.seconds,
        ),
        slope(
            all,
            ("view-release-bytes", "meanwhile (release), sent", "bytes/s"),
            bytes,
            |e| e.release.bytes,
        ),
    ]
}
