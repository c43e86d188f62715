//! The view of the fleet: whole fleets in one process, beside heartbeats to all and beside itself without the observer's
//! own health; then processes of the program, with faults between them.

use crate::figures::{Figures, Goal};
use meadowrill_fault_injection::baselines::{Heartbeats, Swim};
use meadowrill_fault_injection::model::{Config, Fleet, Network, Peer};
use meadowrill_fault_injection::script::{play, Tools};
use meadowrill_membership::settings::SECOND;
use meadowrill_membership::view::View;

const NEVER: f64 = f64::INFINITY;

fn seconds(span: Option<i64>) -> f64 {
    span.map_or(NEVER, |us| us as f64 / 1e6)
}

fn started(many: usize, seed: u64) -> (Fleet<View>, Option<i64>) {
    let mut fleet = Fleet::views(Config::new(many, seed));
    fleet.start_all();
    let begin = fleet.now;
    let at = fleet.run_until(begin + 120 * SECOND, Fleet::settled);
    (fleet, at.map(|at| at - begin))
}

/// Minutes of loss and short stops: how many were called dead by how many.
fn false_deaths<P: Peer>(mut fleet: Fleet<P>, minutes: usize) -> f64 {
    let many = fleet.config.many;
    fleet.start_all();
    fleet.run(60 * SECOND);
    fleet.network = Network {
        loss: 0.1,
        ..Network::default()
    };
    let begin = fleet.now;
    for round in 0..60 * minutes {
        (0..many)
            .filter(|n| (n + round) % 5 == 0)
            .for_each(|n| fleet.pause(n, SECOND / 2));
        fleet.run(SECOND);
    }
    fleet.called_dead(begin).len() as f64
}

fn calm_bytes<P: Peer>(fleet: &mut Fleet<P>, many: usize) -> f64 {
    fleet.run(20 * SECOND);
    let before = fleet.bytes();
    fleet.run(30 * SECOND);
    (fleet.bytes() - before) as f64 / 30.0 / many as f64
}

pub fn model(figures: &mut Figures) {
    let mut bytes = Vec::new();
    for many in [10, 100, 1000] {
        let (mut fleet, took) = started(many, 3);
        figures.tell(
            &format!("model, {many}: settled after a start of all, s"),
            seconds(took),
            Goal::Baseline,
        );
        bytes.push(calm_bytes(&mut fleet, many));
        figures.tell(
            &format!("model, {many}: bytes a second a member"),
            bytes[bytes.len() - 1],
            Goal::AtMost(4000.0),
        );
        let begin = fleet.now;
        fleet.kill(many / 2);
        let gone = fleet
            .run_until(begin + 30 * SECOND, |f| f.gone(many / 2))
            .map(|at| at - begin);
        figures.tell(
            &format!("model, {many}: a death known to all, s"),
            seconds(gone),
            Goal::AtMost(4.0),
        );
        fleet.start(many / 2);
        fleet.run(20 * SECOND);
        fleet.split(|n| u8::from(n * 5 < many * 2));
        fleet.run(20 * SECOND);
        fleet.heal();
        let begin = fleet.now;
        let healed = fleet
            .run_until(begin + 60 * SECOND, Fleet::settled)
            .map(|at| at - begin);
        figures.tell(
            &format!("model, {many}: settled after a split of 20 s, s"),
            seconds(healed),
            Goal::Baseline,
        );
        fleet.run(10 * SECOND);
        let begin = fleet.now;
        (0..many * 7 / 10).for_each(|n| fleet.kill(n + many / 10));
        let left = fleet
            .run_until(begin + 120 * SECOND, Fleet::settled)
            .map(|at| at - begin);
        figures.tell(
            &format!("model, {many}: settled after 70 % died, s"),
            seconds(left),
            Goal::Baseline,
        );
    }
    figures.tell(
        "model: bytes a member, 1,000 against 100",
        bytes[2] / bytes[1],
        Goal::AtMost(1.3),
    );
    let config = Config::new(100, 3);
    let beats = Fleet::new(
        config.clone(),
        Box::new(|config, n, _, now| Heartbeats::new(config, n, now)),
    );
    baseline("heartbeats to all, 100", beats, figures);
    baseline("SWIM, 100", swim(config), figures);
    let views = |own_health| {
        Fleet::views(Config {
            own_health,
            ..Config::new(100, 21)
        })
    };
    figures.tell(
        "model, 100: called dead in 10 min of loss and stops",
        false_deaths(views(true), 10),
        Goal::AtMost(0.0),
    );
    figures.tell(
        "the same without the observer's own health",
        false_deaths(views(false), 2),
        Goal::Baseline,
    );
    figures.tell(
        "the same by SWIM, in 2 min",
        false_deaths(swim(Config::new(100, 21)), 2),
        Goal::Baseline,
    );
}

fn swim(config: Config) -> Fleet<Swim> {
    Fleet::new(
        config,
        Box::new(|config, n, start, now| Swim::new(config, n, now, start)),
    )
}

fn baseline<P: Peer>(name: &str, mut fleet: Fleet<P>, figures: &mut Figures) {
    let many = fleet.config.many;
    fleet.start_all();
    let bytes = calm_bytes(&mut fleet, many);
    figures.tell(
        &format!("{name}: bytes a second a member"),
        bytes,
        Goal::Baseline,
    );
    let begin = fleet.now;
    fleet.kill(many / 2);
    let gone = fleet
        .run_until(begin + 60 * SECOND, |f| f.gone(many / 2))
        .map(|at| at - begin);
    figures.tell(
        &format!("{name}: a death known to all, s"),
        seconds(gone),
        Goal::Baseline,
    );
}

/// The figure of the line that begins so.
fn figure(figures: &[(String, f64)], line: &str) -> f64 {
    figures
        .iter()
        .find(|(what, _)| what.starts_with(line))
        .map_or(NEVER, |(_, value)| *value)
}

pub fn processes(figures: &mut Figures, fronts: usize) {
    let here = std::env::current_exe().unwrap_or_default();
    let tools = Tools::beside(&here.with_file_name("meadowrill-rig"));
    let period = 500;
    let head = format!("fronts {fronts}\nperiod {period}\ncontacts 3\n");
    let whole = |script: &str, name: &str, figures: &mut Figures| -> Vec<(String, f64)> {
        let played = play(&(head.clone() + script), &tools);
        let held = played.as_ref().map_or(0.0, |_| 1.0);
        if let Err(failed) = &played {
            println!(
                "{name}: line {}: {}: {}",
                failed.line, failed.step, failed.reason
            );
        }
        figures.tell(
            &format!("processes, {fronts}: {name} held"),
            held,
            Goal::AtLeast(1.0),
        );
        played.unwrap_or_default()
    };
    let mut script = "+0 start all\nexpect settled within 30\n+2 mark\n".to_string();
    for n in (3..fronts).step_by((fronts / 6).max(1)).take(6) {
        script += &format!("+0 mark\n+0 kill {n}\nexpect dead {n} within 8\nexpect nobody dead\n+0 start {n}\nexpect known {n} within 5\n+1 wait\n");
    }
    let seen = whole(&script, "deaths one by one", figures);
    let mut deaths: Vec<f64> = seen
        .iter()
        .filter(|(w, _)| w.starts_with("death of"))
        .map(|(_, s)| *s)
        .collect();
    deaths.sort_by(f64::total_cmp);
    let p99 = deaths
        .get(deaths.len().saturating_sub(1) * 99 / 100)
        .copied()
        .unwrap_or(NEVER);
    let periods = p99 * 1e3 / f64::from(period);
    figures.tell(
        &format!("processes, {fronts}: a death known, 99th percentile, periods"),
        periods,
        Goal::AtMost(4.0),
    );
    let known = seen
        .iter()
        .filter(|(w, _)| w.starts_with("expect known"))
        .map(|(_, s)| *s)
        .fold(0.0, f64::max);
    let known = if deaths.is_empty() {
        NEVER
    } else {
        known * 1e3 / f64::from(period)
    };
    figures.tell(
        &format!("processes, {fronts}: a restart known, slowest, periods"),
        known,
        Goal::AtMost(1.0),
    );
    let seen = whole(
        "+0 start all\nexpect settled within 30\n+1 mark\n+0 kill 70%\n+1 start 70%\nexpect settled within 30\n",
        "70 % killed and restarted",
        figures,
    );
    let again = figure(&seen[seen.len().min(1)..], "expect settled");
    figures.tell(
        &format!("processes, {fronts}: settled after that, s"),
        again,
        Goal::AtMost(10.0),
    );
    let half = fronts / 2;
    let seen = whole(
        &format!("+0 start all\nexpect settled within 30\n+1 split 0-{}|{half}-{}\n+20 heal\nexpect settled within 30\n", half - 1, fronts - 1),
        "a split of 20 s",
        figures,
    );
    let healed = figure(&seen[seen.len().min(1)..], "expect settled");
    figures.tell(
        &format!("processes, {fronts}: settled after it heals, s"),
        healed,
        Goal::AtMost(5.0),
    );
    let seen = whole(
        &format!(
            "+0 start 3-{}\n+3 start 0-2\nexpect settled within 30\n",
            fronts - 1
        ),
        "contacts down at a cold start",
        figures,
    );
    let back = figure(&seen, "expect settled");
    figures.tell(
        &format!("processes, {fronts}: settled after they are back, s"),
        back,
        Goal::AtMost(10.0),
    );
    whole(
        "+0 start all\nexpect settled within 30\n+1 mark\n+0 stop 5\n+8 cont 5\nexpect settled within 10\nexpect nobody dead\n",
        "one stopped for 8 s",
        figures,
    );
}
