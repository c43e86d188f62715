//! Schedules of faults that a seed draws, one after the other, while purges go on.

use super::{Network, Setup};
use meadowrill_event_distribution::settings::{RelayLimits, MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;

const FAULTS: usize = 6;
const PURGES_PER_SECOND: i64 = 20;
/// After the last fault all is well again within this.
const MAX_CATCH_UP: Micros = 20 * SECOND;
/// Datagrams that a slow subscriber reads in one step of 5 ms, at the most.
const SLOW_READS: usize = 1;
const BURST: usize = 5_000;
const HOUR: Micros = 3_600 * SECOND;
/// The largest difference between two clocks that the plan allows, less rounding: half of it to each side.
const MAX_DRIFT_PPM: i64 = 4_900;

/// What a run has measured.
#[derive(Default)]
pub(crate) struct Measured {
    /// From when a purge was published until it was announced as in force everywhere.
    pub done: Vec<Micros>,
    /// From the end of a fault until all subscribers hold a lease and know all that was published by then.
    pub caught_up: Vec<Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillOne,
    PauseOne,
    PartitionOne,
    PartitionHalf,
    KillTwoRelays,
    KillAllRelays,
    PauseAllRelays,
    KillPublisher,
    PausePublisher,
    /// Nobody is left of whom the publisher could learn what still binds.
    KillPublisherAndRelays,
    /// Its clock is behind at its next start.
    StepPublisherClockBack,
    /// A clock is an hour ahead or behind at the next start.
    StepClock,
    /// The service delivers nothing for a while after a start.
    LateService,
    SlowSubscribers,
    /// Some continue their heartbeats, and receive no events.
    WithoutEvents,
    RestartSubscribers,
    Burst,
}

const ALL: [Fault; 17] = [
    Fault::KillOne,
    Fault::PauseOne,
    Fault::PartitionOne,
    Fault::PartitionHalf,
    Fault::KillTwoRelays,
    Fault::KillAllRelays,
    Fault::PauseAllRelays,
    Fault::KillPublisher,
    Fault::PausePublisher,
    Fault::KillPublisherAndRelays,
    Fault::StepPublisherClockBack,
    Fault::StepClock,
    Fault::LateService,
    Fault::SlowSubscribers,
    Fault::WithoutEvents,
    Fault::RestartSubscribers,
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

fn random_network(seed: u64, max_subscribers: u64) -> Network {
    let relays = 2 + (seed % 4) as usize;
    let subscribers = 1 + (seed * 7 % max_subscribers) as usize;
    let mut setup = Setup::new(relays, subscribers, seed);
    if seed % 3 == 1 {
        setup.max_purges = 1_000;
    }
    if seed % 5 == 2 {
        setup.limits = RelayLimits {
            window_bytes: 10_000,
            ..RelayLimits::default()
        };
    }
    if seed % 4 == 3 {
        setup.max_copy_age = SECOND;
    }
    let mut network = Network::with(setup);
    let drift = if seed.is_multiple_of(2) {
        MAX_DRIFT_PPM
    } else {
        400
    };
    for node in 0..network.nodes.len() {
        network.nodes[node].drift_ppm = network.rng.i64(-drift..=drift);
    }
    network.loss_per_mille = [0, 20, 50][(seed % 3) as usize];
    network.replay_per_mille = 5;
    network.max_delay = [20, 60][(seed / 2 % 2) as usize] * MILLISECOND;
    network
}

/// The faults of one seed, with up to so many subscribers.
pub(crate) fn schedule(seed: u64, max_subscribers: u64) -> Result<Measured, String> {
    let mut network = random_network(seed, max_subscribers);
    let mut measured = Measured::default();
    network.run(4 * SECOND)?;
    for _ in 0..FAULTS {
        let fault = network.rng.choice(ALL).unwrap_or(Fault::KillOne);
        inject(&mut network, fault).map_err(|why| format!("{fault:?}: {why}"))?;
        let pause = network.rng.i64(0..=4_000) * MILLISECOND;
        catch_up(&mut network, pause, &mut measured)
            .map_err(|why| format!("after {fault:?}: {why}"))?;
    }
    (network.loss_per_mille, network.replay_per_mille) = (0, 0);
    catch_up(&mut network, MAX_CATCH_UP, &mut measured)?;
    // A relay that returns to its preferred one meanwhile counts as one that fails.
    let within = network.in_force_within(network.now)
        + network.settings.with_drift(network.settings.lease_duration);
    network.run(within)?;
    network.settled()?;
    measured.done.extend(network.history.spans());
    Ok(measured)
}

/// Runs for so long, with purges; records when all have what was published until now.
fn catch_up(network: &mut Network, span: Micros, measured: &mut Measured) -> Result<(), String> {
    let (began, published) = (network.now, network.history.published.len());
    let mut is_behind = true;
    while network.now < began + span {
        publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)?;
        if is_behind && network.first_lagging(published).is_none() {
            is_behind = false;
            measured.caught_up.push(network.now - began);
        }
    }
    match network
        .first_lagging(published)
        .filter(|_| span >= MAX_CATCH_UP && is_behind)
    {
        Some(behind) => Err(format!("not caught up after {span} us: {behind}")),
        None => Ok(()),
    }
}

/// Those nodes fail in one way, for a drawn time.
fn inject(network: &mut Network, fault: Fault) -> Result<(), String> {
    let all = network.nodes.len();
    let one = network.rng.usize(0..all);
    let relays: Vec<usize> = (1..network.relays).collect();
    match fault {
        Fault::KillOne => kill_for_a_while(network, &[one]),
        Fault::PauseOne => paused(network, &[one]),
        Fault::PartitionOne => partition(network, &[one]),
        Fault::PartitionHalf => {
            let side: Vec<usize> = (0..all).filter(|_| network.rng.bool()).collect();
            partition(network, &side)
        }
        Fault::KillTwoRelays => kill_for_a_while(network, &relays[..relays.len().min(2)]),
        Fault::KillAllRelays => kill_for_a_while(network, &relays),
        Fault::PauseAllRelays => paused(network, &relays),
        Fault::KillPublisher => kill_for_a_while(network, &[0]),
        Fault::PausePublisher => paused(network, &[0]),
        Fault::KillPublisherAndRelays => {
            let mut gone: Vec<usize> = (0..network.relays).collect();
            network.rng.shuffle(&mut gone);
            kill_for_a_while(network, &gone)
        }
        Fault::StepPublisherClockBack => {
            network.nodes[0].clock_offset -= HOUR;
            let gone: Vec<usize> = if network.rng.bool() {
                vec![0]
            } else {
                (0..network.relays).collect()
            };
            kill_for_a_while(network, &gone)
        }
        Fault::StepClock => {
            let ahead = if network.rng.bool() { HOUR } else { -HOUR };
            network.nodes[one].clock_offset += ahead;
            kill_for_a_while(network, &[one])
        }
        Fault::LateService => {
            network.service_delay = network.rng.i64(1..=6) * SECOND;
            kill_for_a_while(network, &[0])?;
            network.service_delay = 0;
            publish(network, PURGES_PER_SECOND, 7 * SECOND)
        }
        Fault::SlowSubscribers => slow_subscribers(network),
        Fault::WithoutEvents => without_events(network),
        Fault::RestartSubscribers => network.subscribers().try_for_each(|subscriber| {
            network.kill(subscriber);
            network.start(subscriber);
            publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)
        }),
        Fault::Burst => {
            (0..BURST).for_each(|_| network.publish_next());
            publish(network, PURGES_PER_SECOND, 3 * SECOND)
        }
    }
}

fn random_span(network: &mut Network) -> Micros {
    network.rng.i64(100..=4_000) * MILLISECOND
}

fn kill_for_a_while(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = random_span(network);
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
    let span = random_span(network);
    nodes.iter().for_each(|node| network.pause(*node));
    publish(network, PURGES_PER_SECOND, span)?;
    nodes.iter().for_each(|node| network.resume(*node));
    Ok(())
}

fn partition(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = random_span(network);
    network.partition(nodes);
    publish(network, PURGES_PER_SECOND, span)?;
    network.groups.clear();
    Ok(())
}

fn slow_subscribers(network: &mut Network) -> Result<(), String> {
    let span = random_span(network);
    for subscriber in network.subscribers() {
        if network.rng.u8(0..4) == 0 {
            network.limit_reads(subscriber, Some(SLOW_READS));
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    network
        .subscribers()
        .for_each(|subscriber| network.limit_reads(subscriber, None));
    Ok(())
}

fn without_events(network: &mut Network) -> Result<(), String> {
    let span = random_span(network);
    for node in 1..network.nodes.len() {
        if network.rng.u8(0..4) == 0 {
            network.record_failure(node);
            network.without_events.insert(node);
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    let affected = std::mem::take(&mut network.without_events);
    affected
        .into_iter()
        .for_each(|node| network.record_failure(node));
    Ok(())
}
