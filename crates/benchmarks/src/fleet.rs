//! Membership: models of complete fleets in one process, compared with heartbeats to all members, with SWIM, and with
//! the same protocol without local health; then processes of the program, with faults between them.

use crate::figures::{Figures, Goal};
use meadowrill_fault_injection::baselines::{Heartbeats, Swim};
use meadowrill_fault_injection::model::{Config, Fleet, MembershipProtocol, Network};
use meadowrill_fault_injection::script::{play, Tools};
use meadowrill_membership::settings::SECOND;
use meadowrill_membership::view::View;

/// The figure of an event that did not happen.
const NOT_REACHED: f64 = f64::INFINITY;

fn seconds(span: Option<i64>) -> f64 {
    span.map_or(NOT_REACHED, |us| us as f64 / 1e6)
}

/// Starts all members. Also returns the time until the fleet settled.
fn started_fleet(members: usize, seed: u64) -> (Fleet<View>, Option<i64>) {
    let mut fleet = Fleet::views(Config::new(members, seed));
    fleet.start_all();
    let begin = fleet.now;
    let at = fleet.run_until(begin + 120 * SECOND, Fleet::settled);
    (fleet, at.map(|at| at - begin))
}

/// Runs a fleet for some minutes with packet loss and short pauses. Returns how often an observer declared a running
/// member dead.
fn false_deaths<P: MembershipProtocol>(mut fleet: Fleet<P>, minutes: usize) -> f64 {
    let members = fleet.config.proxies;
    fleet.start_all();
    fleet.run(60 * SECOND);
    fleet.network = Network {
        loss: 0.1,
        ..Network::default()
    };
    let begin = fleet.now;
    for round in 0..60 * minutes {
        (0..members)
            .filter(|member| (member + round) % 5 == 0)
            .for_each(|member| fleet.pause(member, SECOND / 2));
        fleet.run(SECOND);
    }
    fleet.declared_dead(begin).len() as f64
}

/// Bytes that each member sends a second while there are no faults.
fn calm_bytes<P: MembershipProtocol>(fleet: &mut Fleet<P>, members: usize) -> f64 {
    fleet.run(20 * SECOND);
    let before = fleet.sent_bytes();
    fleet.run(30 * SECOND);
    (fleet.sent_bytes() - before) as f64 / 30.0 / members as f64
}

/// Measures and reports the figures of the models in one process.
pub fn model(figures: &mut Figures) {
    let mut bytes = Vec::new();
    for members in [10, 100, 1000] {
        let (mut fleet, settled_after) = started_fleet(members, 3);
        figures.report(
            &format!("model, {members}: settled after a start of all, s"),
            seconds(settled_after),
            Goal::Baseline,
        );
        bytes.push(calm_bytes(&mut fleet, members));
        figures.report(
            &format!("model, {members}: bytes a second a member"),
            bytes[bytes.len() - 1],
            Goal::AtMost(4000.0),
        );
        let begin = fleet.now;
        fleet.kill(members / 2);
        let detection_time = fleet
            .run_until(begin + 30 * SECOND, |f| f.is_absent_everywhere(members / 2))
            .map(|at| at - begin);
        figures.report(
            &format!("model, {members}: a death known to all, s"),
            seconds(detection_time),
            Goal::AtMost(4.0),
        );
        fleet.start(members / 2);
        fleet.run(20 * SECOND);
        fleet.split(|n| u8::from(n * 5 < members * 2));
        fleet.run(20 * SECOND);
        fleet.heal();
        let begin = fleet.now;
        let healed = fleet
            .run_until(begin + 60 * SECOND, Fleet::settled)
            .map(|at| at - begin);
        figures.report(
            &format!("model, {members}: settled after a split of 20 s, s"),
            seconds(healed),
            Goal::Baseline,
        );
        fleet.run(10 * SECOND);
        let begin = fleet.now;
        (0..members * 7 / 10).for_each(|n| fleet.kill(n + members / 10));
        let settled = fleet
            .run_until(begin + 120 * SECOND, Fleet::settled)
            .map(|at| at - begin);
        figures.report(
            &format!("model, {members}: settled after 70 % died, s"),
            seconds(settled),
            Goal::Baseline,
        );
    }
    figures.report(
        "model: bytes a member, 1,000 against 100",
        bytes[2] / bytes[1],
        Goal::AtMost(1.3),
    );
    let config = Config::new(100, 3);
    let heartbeats = Fleet::new(
        config.clone(),
        Box::new(|config, member, _, now| Heartbeats::new(config, member, now)),
    );
    baseline("heartbeats to all, 100", heartbeats, figures);
    baseline("SWIM, 100", swim_fleet(config), figures);
    let fleet = |local_health| {
        Fleet::views(Config {
            local_health,
            ..Config::new(100, 21)
        })
    };
    figures.report(
        "model, 100: called dead in 10 min of loss and stops",
        false_deaths(fleet(true), 10),
        Goal::AtMost(0.0),
    );
    figures.report(
        "the same without the observer's own health",
        false_deaths(fleet(false), 2),
        Goal::Baseline,
    );
    figures.report(
        "the same by SWIM, in 2 min",
        false_deaths(swim_fleet(Config::new(100, 21)), 2),
        Goal::Baseline,
    );
}

fn swim_fleet(config: Config) -> Fleet<Swim> {
    Fleet::new(
        config,
        Box::new(|config, member, start, now| Swim::new(config, member, now, start)),
    )
}

fn baseline<P: MembershipProtocol>(name: &str, mut fleet: Fleet<P>, figures: &mut Figures) {
    let members = fleet.config.proxies;
    fleet.start_all();
    let bytes = calm_bytes(&mut fleet, members);
    figures.report(
        &format!("{name}: bytes a second a member"),
        bytes,
        Goal::Baseline,
    );
    let begin = fleet.now;
    fleet.kill(members / 2);
    let detection_time = fleet
        .run_until(begin + 60 * SECOND, |f| f.is_absent_everywhere(members / 2))
        .map(|at| at - begin);
    figures.report(
        &format!("{name}: a death known to all, s"),
        seconds(detection_time),
        Goal::Baseline,
    );
}

/// The first figure whose name begins with `prefix`.
fn figure(figures: &[(String, f64)], prefix: &str) -> f64 {
    figures
        .iter()
        .find(|(name, _)| name.starts_with(prefix))
        .map_or(NOT_REACHED, |(_, value)| *value)
}

/// Measures and reports the figures of `proxies` processes of the program.
pub fn processes(figures: &mut Figures, proxies: usize) {
    let own_path = std::env::current_exe().unwrap_or_default();
    let tools = Tools::beside(&own_path.with_file_name("meadowrill-rig"));
    let period = 500;
    let header = format!("fronts {proxies}\nperiod {period}\ncontacts 3\n");
    let run_script = |script: &str, name: &str, figures: &mut Figures| -> Vec<(String, f64)> {
        let result = play(&(header.clone() + script), &tools);
        let passed = result.as_ref().map_or(0.0, |_| 1.0);
        if let Err(failed) = &result {
            println!(
                "{name}: line {}: {}: {}",
                failed.line, failed.step, failed.reason
            );
        }
        figures.report(
            &format!("processes, {proxies}: {name} held"),
            passed,
            Goal::AtLeast(1.0),
        );
        result.unwrap_or_default()
    };
    let mut script = "+0 start all\nexpect settled within 30\n+2 mark\n".to_string();
    for n in (3..proxies).step_by((proxies / 6).max(1)).take(6) {
        script += &format!("+0 mark\n+0 kill {n}\nexpect dead {n} within 8\nexpect nobody dead\n+0 start {n}\nexpect known {n} within 5\n+1 wait\n");
    }
    let steps = run_script(&script, "deaths one by one", figures);
    let mut deaths: Vec<f64> = steps
        .iter()
        .filter(|(name, _)| name.starts_with("death of"))
        .map(|(_, seconds)| *seconds)
        .collect();
    deaths.sort_by(f64::total_cmp);
    let p99 = deaths
        .get(deaths.len().saturating_sub(1) * 99 / 100)
        .copied()
        .unwrap_or(NOT_REACHED);
    let periods = p99 * 1e3 / f64::from(period);
    figures.report(
        &format!("processes, {proxies}: a death known, 99th percentile, periods"),
        periods,
        Goal::AtMost(4.0),
    );
    let known = steps
        .iter()
        .filter(|(name, _)| name.starts_with("expect known"))
        .map(|(_, seconds)| *seconds)
        .fold(0.0, f64::max);
    let known = if deaths.is_empty() {
        NOT_REACHED
    } else {
        known * 1e3 / f64::from(period)
    };
    figures.report(
        &format!("processes, {proxies}: a restart known, slowest, periods"),
        known,
        Goal::AtMost(1.0),
    );
    let steps = run_script(
        "+0 start all\nexpect settled within 30\n+1 mark\n+0 kill 70%\n+1 start 70%\nexpect settled within 30\n",
        "70 % killed and restarted",
        figures,
    );
    let settled = figure(&steps[steps.len().min(1)..], "expect settled");
    figures.report(
        &format!("processes, {proxies}: settled after that, s"),
        settled,
        Goal::AtMost(10.0),
    );
    let half = proxies / 2;
    let steps = run_script(
        &format!("+0 start all\nexpect settled within 30\n+1 split 0-{}|{half}-{}\n+20 heal\nexpect settled within 30\n", half - 1, proxies - 1),
        "a split of 20 s",
        figures,
    );
    let healed = figure(&steps[steps.len().min(1)..], "expect settled");
    figures.report(
        &format!("processes, {proxies}: settled after it heals, s"),
        healed,
        Goal::AtMost(5.0),
    );
    let steps = run_script(
        &format!(
            "+0 start 3-{}\n+3 start 0-2\nexpect settled within 30\n",
            proxies - 1
        ),
        "contacts down at a cold start",
        figures,
    );
    let settled = figure(&steps, "expect settled");
    figures.report(
        &format!("processes, {proxies}: settled after they are back, s"),
        settled,
        Goal::AtMost(10.0),
    );
    run_script(
        "+0 start all\nexpect settled within 30\n+1 mark\n+0 stop 5\n+8 cont 5\nexpect settled within 10\nexpect nobody dead\n",
        "one stopped for 8 s",
        figures,
    );
}
