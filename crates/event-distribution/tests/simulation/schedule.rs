//! Schedules of faults that a seed draws, one after the other, while purges go on.

use super::{Network, Setting};
use meadowrill_event_distribution::settings::{RelayLimits, MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;

const FAULTS: usize = 6;
const PURGES_PER_SECOND: i64 = 20;
/// After the last fault all is well again within this.
const CATCH_UP_MOST: Micros = 20 * SECOND;
/// Datagrams that a slow subscriber reads in one step of 5 ms, at the most.
const SLOW_READS: usize = 1;
const BURST: usize = 5_000;
const HOUR: Micros = 3_600 * SECOND;
/// The largest difference between two clocks that the plan allows, less rounding: half of it to each side.
const DRIFT_PPM_MOST: i64 = 4_900;

/// What a run has measured.
#[derive(Default)]
pub(crate) struct Measured {
    /// From when a purge was told until it was said to be in force everywhere.
    pub done: Vec<Micros>,
    /// From the end of a fault until all fronts hold a lease and know all that was told by then.
    pub caught_up: Vec<Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillOne,
    PauseOne,
    CutOne,
    Split,
    KillTwoRelays,
    KillAllRelays,
    PauseAllRelays,
    KillPublisher,
    PausePublisher,
    /// Nobody is left of whom the publisher could learn what still binds.
    KillPublisherAndRelays,
    /// Its clock is behind at its next start.
    StepBackPublisher,
    /// A clock is an hour ahead or behind at the next start.
    StepClock,
    /// The service tells nothing for a while after a start.
    LateService,
    SlowFronts,
    /// Some go on with their heartbeats, and hear no events.
    WithoutEvents,
    RestartFronts,
    Burst,
}

const ALL: [Fault; 17] = [
    Fault::KillOne,
    Fault::PauseOne,
    Fault::CutOne,
    Fault::Split,
    Fault::KillTwoRelays,
    Fault::KillAllRelays,
    Fault::PauseAllRelays,
    Fault::KillPublisher,
    Fault::PausePublisher,
    Fault::KillPublisherAndRelays,
    Fault::StepBackPublisher,
    Fault::StepClock,
    Fault::LateService,
    Fault::SlowFronts,
    Fault::WithoutEvents,
    Fault::RestartFronts,
    Fault::Burst,
];

/// Purges at an even rate for so long.
pub(crate) fn publish(network: &mut Network, per_second: i64, span: Micros) -> Result<(), String> {
    let pause = SECOND / per_second;
    for _ in 0..span / pause {
        network.publish_next();
        network.run(pause)?;
    }
    Ok(())
}

fn draw(seed: u64, max_subscribers: u64) -> Network {
    let relays = 2 + (seed % 4) as usize;
    let subscribers = 1 + (seed * 7 % max_subscribers) as usize;
    let mut setting = Setting::new(relays, subscribers, seed);
    if seed % 3 == 1 {
        setting.max_purges = 1_000;
    }
    if seed % 5 == 2 {
        setting.relay_plan = RelayLimits {
            window_bytes: 10_000,
            ..RelayLimits::default()
        };
    }
    if seed % 4 == 3 {
        setting.max_copy_age = SECOND;
    }
    let mut network = Network::with(setting);
    let drift = if seed.is_multiple_of(2) {
        DRIFT_PPM_MOST
    } else {
        400
    };
    for node in 0..network.nodes.len() {
        network.nodes[node].drift_ppm = network.rng.i64(-drift..=drift);
    }
    network.loss_per_mille = [0, 20, 50][(seed % 3) as usize];
    network.replay_per_mille = 5;
    network.delay_most = [20, 60][(seed / 2 % 2) as usize] * MILLISECOND;
    network
}

/// The faults of one seed, with up to so many subscribers.
pub(crate) fn schedule(seed: u64, max_subscribers: u64) -> Result<Measured, String> {
    let mut network = draw(seed, max_subscribers);
    let mut measured = Measured::default();
    network.run(4 * SECOND)?;
    for _ in 0..FAULTS {
        let fault = network.rng.choice(ALL).unwrap_or(Fault::KillOne);
        play(&mut network, fault).map_err(|why| format!("{fault:?}: {why}"))?;
        let pause = network.rng.i64(0..=4_000) * MILLISECOND;
        catch_up(&mut network, pause, &mut measured)
            .map_err(|why| format!("after {fault:?}: {why}"))?;
    }
    (network.loss_per_mille, network.replay_per_mille) = (0, 0);
    catch_up(&mut network, CATCH_UP_MOST, &mut measured)?;
    // A relay that returns to its preferred one meanwhile counts as one that fails.
    let within =
        network.in_force_within(network.now) + network.plan.with_drift(network.plan.lease_duration);
    network.run(within)?;
    network.settled()?;
    measured.done.extend(network.history.spans());
    Ok(measured)
}

/// Goes on for so long, with purges; notes when all have what was told until now.
fn catch_up(network: &mut Network, span: Micros, measured: &mut Measured) -> Result<(), String> {
    let (began, told) = (network.now, network.history.told.len());
    let mut is_behind = true;
    while network.now < began + span {
        publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)?;
        if is_behind && network.first_behind(told).is_none() {
            is_behind = false;
            measured.caught_up.push(network.now - began);
        }
    }
    match network
        .first_behind(told)
        .filter(|_| span >= CATCH_UP_MOST && is_behind)
    {
        Some(behind) => Err(format!("not caught up after {span} us: {behind}")),
        None => Ok(()),
    }
}

/// Those nodes fail in one way, for a drawn time.
fn play(network: &mut Network, fault: Fault) -> Result<(), String> {
    let all = network.nodes.len();
    let one = network.rng.usize(0..all);
    let relays: Vec<usize> = (1..network.relays).collect();
    match fault {
        Fault::KillOne => killed(network, &[one]),
        Fault::PauseOne => paused(network, &[one]),
        Fault::CutOne => cut(network, &[one]),
        Fault::Split => {
            let side: Vec<usize> = (0..all).filter(|_| network.rng.bool()).collect();
            cut(network, &side)
        }
        Fault::KillTwoRelays => killed(network, &relays[..relays.len().min(2)]),
        Fault::KillAllRelays => killed(network, &relays),
        Fault::PauseAllRelays => paused(network, &relays),
        Fault::KillPublisher => killed(network, &[0]),
        Fault::PausePublisher => paused(network, &[0]),
        Fault::KillPublisherAndRelays => {
            let mut gone: Vec<usize> = (0..network.relays).collect();
            network.rng.shuffle(&mut gone);
            killed(network, &gone)
        }
        Fault::StepBackPublisher => {
            network.nodes[0].clock_offset -= HOUR;
            let gone: Vec<usize> = if network.rng.bool() {
                vec![0]
            } else {
                (0..network.relays).collect()
            };
            killed(network, &gone)
        }
        Fault::StepClock => {
            let ahead = if network.rng.bool() { HOUR } else { -HOUR };
            network.nodes[one].clock_offset += ahead;
            killed(network, &[one])
        }
        Fault::LateService => {
            network.service_delay = network.rng.i64(1..=6) * SECOND;
            killed(network, &[0])?;
            network.service_delay = 0;
            publish(network, PURGES_PER_SECOND, 7 * SECOND)
        }
        Fault::SlowFronts => slow(network),
        Fault::WithoutEvents => without_events(network),
        Fault::RestartFronts => network.fronts().try_for_each(|front| {
            network.kill(front);
            network.start(front);
            publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)
        }),
        Fault::Burst => {
            (0..BURST).for_each(|_| network.publish_next());
            publish(network, PURGES_PER_SECOND, 3 * SECOND)
        }
    }
}

fn drawn_span(network: &mut Network) -> Micros {
    network.rng.i64(100..=4_000) * MILLISECOND
}

fn killed(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = drawn_span(network);
    nodes.iter().for_each(|node| network.kill(*node));
    publish(network, PURGES_PER_SECOND, span)?;
    for node in nodes {
        network.start(*node);
        let apart = network.rng.i64(0..=200) * MILLISECOND;
        network.run(apart)?;
    }
    Ok(())
}

fn paused(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = drawn_span(network);
    nodes.iter().for_each(|node| network.pause(*node));
    publish(network, PURGES_PER_SECOND, span)?;
    nodes.iter().for_each(|node| network.resume(*node));
    Ok(())
}

fn cut(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = drawn_span(network);
    network.cut(nodes);
    publish(network, PURGES_PER_SECOND, span)?;
    network.groups.clear();
    Ok(())
}

fn slow(network: &mut Network) -> Result<(), String> {
    let span = drawn_span(network);
    for front in network.fronts() {
        if network.rng.u8(0..4) == 0 {
            network.slow_down(front, Some(SLOW_READS));
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    network
        .fronts()
        .for_each(|front| network.slow_down(front, None));
    Ok(())
}

fn without_events(network: &mut Network) -> Result<(), String> {
    let span = drawn_span(network);
    for node in 1..network.nodes.len() {
        if network.rng.u8(0..4) == 0 {
            network.note_failure(node);
            network.without_events.insert(node);
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    let affected = std::mem::take(&mut network.without_events);
    affected
        .into_iter()
        .for_each(|node| network.note_failure(node));
    Ok(())
}
