//! Random schedules of consecutive faults, determined by a seed, while purges are published.

use super::{Network, Setup};
use meadowrill_event_distribution::settings::{RelayLimits, MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;

const FAULTS_PER_SCHEDULE: usize = 6;
const PURGES_PER_SECOND: i64 = 20;
/// Maximum time after the last fault until all subscribers have caught up.
const MAX_CATCH_UP: Micros = 20 * SECOND;
/// Maximum number of datagrams that a slow subscriber reads in one step of 5 ms.
const SLOW_READS_PER_STEP: usize = 1;
const BURST_PURGES: usize = 5_000;
const HOUR: Micros = 3_600 * SECOND;
/// Half of the difference between two clocks that `clock_drift_per_mille` allows, less rounding. Each clock drifts by
/// up to this much in either direction.
const MAX_DRIFT_PPM: i64 = 4_900;

/// Measurements of a run.
#[derive(Default)]
pub(crate) struct Measured {
    /// Times from the publication of a purge until it was announced as in force everywhere.
    pub times_to_in_force: Vec<Micros>,
    /// Times from the end of a fault until all subscribers hold a lease and lack none of the purges published by then.
    pub catch_up_times: Vec<Micros>,
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
    /// No member is left from which the publisher could recover the purges in force.
    KillPublisherAndRelays,
    /// The clock of the publisher is an hour behind at its next start.
    StepPublisherClockBack,
    /// The clock of a node is an hour ahead or behind at its next start.
    StepClock,
    /// The event source delivers nothing for a while after a start of the publisher.
    LateEventSource,
    SlowSubscribers,
    /// Some members continue to exchange heartbeats, but receive no events.
    WithholdEvents,
    RestartSubscribers,
    Burst,
}

const ALL_FAULTS: [Fault; 17] = [
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
    Fault::LateEventSource,
    Fault::SlowSubscribers,
    Fault::WithholdEvents,
    Fault::RestartSubscribers,
    Fault::Burst,
];

/// Publishes purges at a constant rate for this long.
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
    let mut network = Network::with_setup(setup);
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

/// Runs the fault schedule of one seed, with up to this many subscribers.
pub(crate) fn run_schedule(seed: u64, max_subscribers: u64) -> Result<Measured, String> {
    let mut network = random_network(seed, max_subscribers);
    let mut measured = Measured::default();
    network.run(4 * SECOND)?;
    for _ in 0..FAULTS_PER_SCHEDULE {
        let fault = network.rng.choice(ALL_FAULTS).unwrap_or(Fault::KillOne);
        inject(&mut network, fault).map_err(|why| format!("{fault:?}: {why}"))?;
        let pause = network.rng.i64(0..=4_000) * MILLISECOND;
        catch_up(&mut network, pause, &mut measured)
            .map_err(|why| format!("after {fault:?}: {why}"))?;
    }
    (network.loss_per_mille, network.replay_per_mille) = (0, 0);
    catch_up(&mut network, MAX_CATCH_UP, &mut measured)?;
    // A relay that returns to its preferred relay in the meantime counts as failed.
    let within = network.in_force_within(network.now)
        + network.settings.with_drift(network.settings.lease_duration);
    network.run(within)?;
    network.check_settled()?;
    measured
        .times_to_in_force
        .extend(network.history.times_to_in_force());
    Ok(measured)
}

/// Publishes purges for this long, and records when all subscribers have caught up with the purges published before.
fn catch_up(network: &mut Network, span: Micros, measured: &mut Measured) -> Result<(), String> {
    let (started_at, published) = (network.now, network.history.published.len());
    let mut is_behind = true;
    while network.now < started_at + span {
        publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)?;
        if is_behind && network.first_lagging(published).is_none() {
            is_behind = false;
            measured.catch_up_times.push(network.now - started_at);
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

/// Injects a fault, for a random time in most cases.
fn inject(network: &mut Network, fault: Fault) -> Result<(), String> {
    let count = network.nodes.len();
    let node = network.rng.usize(0..count);
    let relays: Vec<usize> = (1..network.relays).collect();
    match fault {
        Fault::KillOne => kill_for_a_while(network, &[node]),
        Fault::PauseOne => pause_for_a_while(network, &[node]),
        Fault::PartitionOne => partition_for_a_while(network, &[node]),
        Fault::PartitionHalf => {
            let nodes: Vec<usize> = (0..count).filter(|_| network.rng.bool()).collect();
            partition_for_a_while(network, &nodes)
        }
        Fault::KillTwoRelays => kill_for_a_while(network, &relays[..relays.len().min(2)]),
        Fault::KillAllRelays => kill_for_a_while(network, &relays),
        Fault::PauseAllRelays => pause_for_a_while(network, &relays),
        Fault::KillPublisher => kill_for_a_while(network, &[0]),
        Fault::PausePublisher => pause_for_a_while(network, &[0]),
        Fault::KillPublisherAndRelays => {
            let mut killed: Vec<usize> = (0..network.relays).collect();
            network.rng.shuffle(&mut killed);
            kill_for_a_while(network, &killed)
        }
        Fault::StepPublisherClockBack => {
            network.nodes[0].clock_offset -= HOUR;
            let killed: Vec<usize> = if network.rng.bool() {
                vec![0]
            } else {
                (0..network.relays).collect()
            };
            kill_for_a_while(network, &killed)
        }
        Fault::StepClock => {
            let step = if network.rng.bool() { HOUR } else { -HOUR };
            network.nodes[node].clock_offset += step;
            kill_for_a_while(network, &[node])
        }
        Fault::LateEventSource => {
            network.event_source_delay = network.rng.i64(1..=6) * SECOND;
            kill_for_a_while(network, &[0])?;
            network.event_source_delay = 0;
            publish(network, PURGES_PER_SECOND, 7 * SECOND)
        }
        Fault::SlowSubscribers => slow_subscribers(network),
        Fault::WithholdEvents => withhold_events(network),
        Fault::RestartSubscribers => network.subscribers().try_for_each(|subscriber| {
            network.kill(subscriber);
            network.start(subscriber);
            publish(network, PURGES_PER_SECOND, SECOND / PURGES_PER_SECOND)
        }),
        Fault::Burst => {
            (0..BURST_PURGES).for_each(|_| network.publish_next());
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
        let pause = network.rng.i64(0..=200) * MILLISECOND;
        network.run(pause)?;
    }
    Ok(())
}

fn pause_for_a_while(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = random_span(network);
    nodes.iter().for_each(|node| network.pause(*node));
    publish(network, PURGES_PER_SECOND, span)?;
    nodes.iter().for_each(|node| network.resume(*node));
    Ok(())
}

fn partition_for_a_while(network: &mut Network, nodes: &[usize]) -> Result<(), String> {
    let span = random_span(network);
    network.partition(nodes);
    publish(network, PURGES_PER_SECOND, span)?;
    network.partitions.clear();
    Ok(())
}

fn slow_subscribers(network: &mut Network) -> Result<(), String> {
    let span = random_span(network);
    for subscriber in network.subscribers() {
        if network.rng.u8(0..4) == 0 {
            network.limit_reads(subscriber, Some(SLOW_READS_PER_STEP));
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    network
        .subscribers()
        .for_each(|subscriber| network.limit_reads(subscriber, None));
    Ok(())
}

fn withhold_events(network: &mut Network) -> Result<(), String> {
    let span = random_span(network);
    for node in 1..network.nodes.len() {
        if network.rng.u8(0..4) == 0 {
            network.record_failure(node);
            network.events_withheld_from.insert(node);
        }
    }
    publish(network, PURGES_PER_SECOND, span)?;
    let affected = std::mem::take(&mut network.events_withheld_from);
    affected
        .into_iter()
        .for_each(|node| network.record_failure(node));
    Ok(())
}
