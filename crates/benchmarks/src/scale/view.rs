//! The view of the fleet at growing sizes: whole fleets of real views in one process, through the events of a year.
//!
//! Processor time includes the model's own queue, so it is an upper bound. Times are those of the model's clock.

use super::fit::Point;
use super::meter::{thread_time, Held};
use super::results::{Budget, Method, Role, Slope};
use super::target;
use meadowrill_fault_injection::model::{address, Config, Fleet};
use meadowrill_fault_injection::proxy_name;
use meadowrill_membership::settings::{FleetSettings, SECOND};
use meadowrill_membership::view::{MemberIdentity, View};
use meadowrill_membership::Micros;

const SIZES: [usize; 5] = [24, 48, 96, 192, 384];
/// Measured for the start, calm, a death and memory only: the other events take minutes there.
const LARGE: usize = 768;
const MEMBERS_MOST: usize = 8192;
/// The longest that the model waits for a fleet to settle; beyond it no figure is told.
const PATIENCE: Micros = 120 * SECOND;
/// How often it is looked at meanwhile: to compare all views with each other is work of its own.
const LOOK: Micros = SECOND / 4;
const CALM: Micros = 20 * SECOND;
/// Time after one restart in which all its extra bytes are sent.
const AFTER_RESTART: Micros = 20 * SECOND;
const REGION_CUT: Micros = 60 * SECOND;
/// Views that are dropped to see what one holds.
const WEIGHED: usize = 4;
/// A target that a settled fleet has to reach soon enough for the next event of its kind.
const SETTLE_BUDGET_S: f64 = 60.0;
const DEATH_BUDGET_S: f64 = 4.0;

/// What every size of fleet shows.
#[derive(Clone, Copy, Debug)]
struct Calm {
    start_s: f64,
    bytes: f64,
    core: f64,
    death_s: f64,
    memory: f64,
}

/// What the larger events show: each with the time until all agree again, and bytes a second at a front meanwhile.
#[derive(Clone, Copy, Debug)]
struct Events {
    /// Further bytes at a front for one restart elsewhere.
    restart_bytes: f64,
    zone: Settled,
    /// Of those that are out of reach, the share that is still held to be there at the end of the cut.
    cut_off_by_others: f64,
    others_by_cut_off: f64,
    healed: Settled,
    release: Settled,
}

#[derive(Clone, Copy, Debug)]
struct Settled {
    seconds: f64,
    bytes: f64,
}

fn fleet(many: usize) -> Fleet<View> {
    let config = Config {
        bytes_per_s: target::BYTES_PER_S as u64,
        ..Config::new(many, 3)
    };
    let make = |config: &Config, n: usize, start: u64, now: Micros| {
        let mut plan = FleetSettings::new(address(n));
        plan.probe_period = config.period;
        plan.contacts = (0..config.contacts.min(config.many)).map(address).collect();
        plan.departed_retention = config.remember;
        plan.bytes_per_second = config.bytes_per_s;
        plan.max_members = MEMBERS_MOST;
        plan.zone = format!("zone-{}", n % target::ZONES);
        View::new(
            plan,
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

/// Seconds until the fleet is as wanted; not a number where that took too long.
fn until(fleet: &mut Fleet<View>, done: impl Fn(&Fleet<View>) -> bool) -> f64 {
    let begun = fleet.now;
    while fleet.now < begun + PATIENCE {
        fleet.run(LOOK);
        fleet.seen.clear();
        if done(fleet) {
            return (fleet.now - begun) as f64 / SECOND as f64;
        }
    }
    f64::NAN
}

/// Bytes a second that each front sent while the fleet ran so long.
fn bytes_during(fleet: &mut Fleet<View>, span: Micros) -> f64 {
    let before = fleet.bytes();
    fleet.run(span);
    (fleet.bytes() - before) as f64 / (span as f64 / SECOND as f64) / fleet.config.many as f64
}

fn settle(fleet: &mut Fleet<View>) -> Settled {
    let before = fleet.bytes();
    let seconds = until(fleet, Fleet::settled);
    let bytes = fleet.bytes().saturating_sub(before) as f64 / seconds / fleet.config.many as f64;
    Settled { seconds, bytes }
}

/// The mean share of `of` that the fronts `by` hold to be there.
fn still_held(fleet: &Fleet<View>, by: &[usize], of: &[usize]) -> f64 {
    let names: Vec<String> = of.iter().map(|n| proxy_name(*n)).collect();
    let held = |view: &View| {
        let there = |name: &&String| {
            view.member(name)
                .is_some_and(|m| m.claim.state.is_present())
        };
        names.iter().filter(there).count()
    };
    let held: usize = by.iter().filter_map(|n| fleet.view(*n)).map(held).sum();
    held as f64 / (by.len() * of.len()).max(1) as f64
}

fn started(many: usize) -> (Fleet<View>, f64) {
    let mut fleet = fleet(many);
    fleet.start_all();
    let start_s = until(&mut fleet, Fleet::settled);
    (fleet, start_s)
}

fn calm(many: usize, held: Held) -> Calm {
    let (mut fleet, start_s) = started(many);
    fleet.run(CALM);
    let begun = thread_time();
    let bytes = bytes_during(&mut fleet, CALM);
    let core = (thread_time() - begun).as_secs_f64() / (CALM as f64 / SECOND as f64) / many as f64;
    let one = many / 2;
    fleet.kill(one);
    let begun = fleet.now;
    let gone = fleet.run_until(begun + PATIENCE, |f| f.gone(one));
    let death_s = gone.map_or(f64::NAN, |at| (at - begun) as f64 / SECOND as f64);
    fleet.seen = Vec::new();
    let before = held();
    (0..WEIGHED).for_each(|n| fleet.kill(1 + n * many / WEIGHED));
    let memory = before.saturating_sub(held()) as f64 / WEIGHED as f64;
    Calm {
        start_s,
        bytes,
        core,
        death_s,
        memory,
    }
}

fn events(many: usize, calm_bytes: f64) -> Events {
    let (mut fleet, _) = started(many);
    fleet.run(CALM);
    let one = many / 2;
    fleet.kill(one);
    fleet.run(CALM);
    fleet.start(one);
    let extra = bytes_during(&mut fleet, AFTER_RESTART) - calm_bytes;
    let restart_bytes = extra * (AFTER_RESTART as f64 / SECOND as f64);

    let zone: Vec<usize> = (0..many).filter(|n| n % target::ZONES == 1).collect();
    zone.iter().for_each(|n| fleet.kill(*n));
    let zone_settled = settle(&mut fleet);
    zone.iter().for_each(|n| fleet.start(*n));
    until(&mut fleet, Fleet::settled);
    fleet.run(CALM);

    let first_cut = many - many / target::REGIONS;
    let (others, cut_off): (Vec<usize>, Vec<usize>) = (0..many).partition(|n| *n < first_cut);
    fleet.split(|n| u8::from(n >= first_cut));
    fleet.run(REGION_CUT);
    let cut_off_by_others = still_held(&fleet, &others, &cut_off);
    let others_by_cut_off = still_held(&fleet, &cut_off, &others);
    fleet.heal();
    let healed = settle(&mut fleet);
    fleet.run(CALM);

    let tenth: Vec<usize> = (0..many).filter(|n| n % 10 == 7).collect();
    tenth.iter().for_each(|n| fleet.kill(*n));
    fleet.run(SECOND);
    tenth.iter().for_each(|n| fleet.start(*n));
    let release = settle(&mut fleet);
    Events {
        restart_bytes,
        zone: zone_settled,
        cut_off_by_others,
        others_by_cut_off,
        healed,
        release,
    }
}

fn slope<T>(
    measured: &[(usize, T)],
    (name, cost, unit): (&'static str, &'static str, &'static str),
    budget: Budget,
    of: impl Fn(&T) -> f64,
) -> Slope {
    let points = measured.iter().map(|(many, seen)| Point {
        x: *many as f64,
        y: of(seen),
    });
    Slope {
        name,
        role: Role::Front,
        cost,
        unit,
        driver: "fronts",
        method: Method::FleetInOneProcess,
        points: points.filter(|p| p.y.is_finite()).collect(),
        target: target::FRONTS,
        budget,
    }
}

/// All slopes of the view.
pub(super) fn measure(held: Held) -> Vec<Slope> {
    let mut calms = Vec::new();
    let mut all_events = Vec::new();
    for many in SIZES {
        let seen = calm(many, held);
        println!("view, {many}: {seen:?}");
        let events = events(many, seen.bytes);
        println!("view, {many}: {events:?}");
        calms.push((many, seen));
        all_events.push((many, events));
    }
    let large = calm(LARGE, held);
    println!("view, {LARGE}: {large:?}");
    calms.push((LARGE, large));

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
            |e| e.cut_off_by_others,
        ),
        slope(
            all,
            (
                "view-cut-others",
                "the others held to be there by it after 60 s",
                "share",
            ),
            Budget::None,
            |e| e.others_by_cut_off,
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
