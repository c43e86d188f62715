//! The fault scenarios, by name.

use super::layout::{region_of, zone_of, REGIONS};
use super::relays::PUBLISHER;
use std::time::Duration;

/// A fault that is injected into the fleet, or the end of faults.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kills these relays.
    KillRelays(Vec<usize>),
    /// Starts these relays.
    StartRelays(Vec<usize>),
    /// Restarts subscribers one after the other at this rate, in a random order that starts over after the last one.
    RestartSubscribers {
        /// Restarts per second.
        per_second: usize,
        /// How long the restarts go on.
        seconds: usize,
    },
    /// Partitions the relays and subscribers of the zone from all others.
    CutZone(usize),
    /// Partitions the relays and subscribers of the region from all others.
    CutRegion(usize),
    /// Loses this share of all datagrams.
    Lose(f64),
    /// Stops randomly chosen subscribers for a time.
    StopSubscribers {
        /// Number of subscribers.
        count: usize,
        /// How long they do nothing.
        span: Duration,
    },
    /// Randomly chosen subscribers read no datagrams until the next [`Action::Heal`].
    StopReading {
        /// Number of subscribers.
        count: usize,
    },
    /// Ends all network faults, and lets all subscribers read again.
    Heal,
}

/// One action of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Delay after the previous action.
    pub after: Duration,
    /// What happens.
    pub action: Action,
}

/// A named sequence of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// One of [`NAMES`].
    pub name: String,
    /// The actions, in their order.
    pub steps: Vec<Step>,
    /// How long purges continue after the last step.
    pub calm_after: Duration,
}

/// Length of the faults and of the times between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// As long as in production, for measurements.
    Full,
    /// As short as shows the same behavior, for tests.
    Short,
}

/// The names of all scenarios.
pub const NAMES: [&str; 11] = [
    "calm",
    "relay-restart",
    "two-relays-restart",
    "all-relays-restart",
    "publisher-restart",
    "rolling-restart",
    "zone-cut",
    "region-cut",
    "loss",
    "stopped",
    "not-reading",
];

/// A zone with one relay, which is not the publisher.
const CUT_ZONE: usize = 3;
/// A region with one relay, which is not the publisher.
const CUT_REGION: usize = 3;
/// Share of datagrams that `loss` loses.
const LOSS_SHARE: f64 = 0.05;
/// Enough subscribers that for some of them the answer to the last heartbeat arrives while they are stopped.
const STOPPED_SUBSCRIBERS: usize = 20;
/// Rate of `rolling-restart`.
const RESTARTS_PER_SECOND: usize = 20;

/// Durations of the parts of a scenario.
struct Spans {
    /// Until the first fault.
    before: Duration,
    /// Between a fault and its end.
    fault: Duration,
    cut: Duration,
    rolling: Duration,
    stop: Duration,
    calm: Duration,
    after: Duration,
}

impl Spans {
    fn of(length: Length) -> Spans {
        let seconds = Duration::from_secs;
        match length {
            Length::Full => Spans {
                before: seconds(5),
                fault: seconds(10),
                cut: seconds(60),
                rolling: seconds(60),
                stop: seconds(8),
                calm: seconds(120),
                after: seconds(10),
            },
            Length::Short => Spans {
                before: seconds(1),
                fault: seconds(3),
                cut: seconds(4),
                rolling: seconds(3),
                // Longer than a lease and the age of copies together.
                stop: seconds(5),
                calm: seconds(3),
                after: seconds(2),
            },
        }
    }
}

impl Scenario {
    /// The scenario with this name, for this number of relays.
    pub fn named(name: &str, length: Length, relays: usize) -> Option<Scenario> {
        let spans = Spans::of(length);
        let all: Vec<usize> = (0..relays).collect();
        let followers: Vec<usize> = all
            .iter()
            .copied()
            .filter(|relay| *relay != PUBLISHER)
            .collect();
        let restart = |affected: Vec<usize>| {
            vec![
                (spans.before, Action::KillRelays(affected.clone())),
                (spans.fault, Action::StartRelays(affected)),
            ]
        };
        let fault_then_heal =
            |span: Duration, fault: Action| vec![(spans.before, fault), (span, Action::Heal)];
        let stop = Action::StopSubscribers {
            count: STOPPED_SUBSCRIBERS,
            span: spans.stop,
        };
        let rolling_seconds = spans.rolling.as_secs() as usize;
        let rolling = Action::RestartSubscribers {
            per_second: RESTARTS_PER_SECOND,
            seconds: rolling_seconds,
        };
        let steps = match name {
            "calm" => Vec::new(),
            "relay-restart" => restart(followers.first().copied().into_iter().collect()),
            "two-relays-restart" => restart(followers.iter().copied().take(2).collect()),
            "all-relays-restart" => restart(all),
            "publisher-restart" => restart(vec![PUBLISHER]),
            "rolling-restart" => vec![(spans.before, rolling)],
            "zone-cut" => fault_then_heal(spans.fault, Action::CutZone(CUT_ZONE)),
            "region-cut" => fault_then_heal(spans.cut, Action::CutRegion(CUT_REGION)),
            "loss" => fault_then_heal(spans.rolling, Action::Lose(LOSS_SHARE)),
            "stopped" => vec![(spans.before, stop), (spans.stop, Action::Heal)],
            "not-reading" => fault_then_heal(spans.fault, Action::StopReading { count: 1 }),
            _ => return None,
        };
        let steps = steps
            .into_iter()
            .map(|(after, action)| Step { after, action })
            .collect();
        let calm_after = if name == "calm" {
            spans.calm
        } else {
            spans.after
        };
        Some(Scenario {
            name: name.into(),
            steps,
            calm_after,
        })
    }
}

/// The numbers of those of the first `count` members that are in the zone.
pub fn in_zone(zone: usize, count: usize) -> Vec<usize> {
    (0..count)
        .filter(|member| zone_of(*member) == zone)
        .collect()
}

/// The numbers of those of the first `count` members that are in the region.
pub fn in_region(region: usize, count: usize) -> Vec<usize> {
    debug_assert!(region < REGIONS);
    (0..count)
        .filter(|member| region_of(*member) == region)
        .collect()
}

impl Action {
    /// The action as it appears in the names of figures.
    pub fn description(&self) -> String {
        match self {
            Action::KillRelays(relays) => format!("relays {relays:?} killed"),
            Action::StartRelays(relays) => format!("relays {relays:?} started"),
            Action::RestartSubscribers {
                per_second,
                seconds,
            } => {
                format!("{per_second} subscribers a second restarted, {seconds} s")
            }
            Action::CutZone(zone) => format!("zone {zone} cut"),
            Action::CutRegion(region) => format!("region {region} cut"),
            Action::Lose(share) => format!("{:.0} % of datagrams lost", share * 100.0),
            Action::StopSubscribers { count, span } => {
                format!("{count} subscribers stopped for {} s", span.as_secs())
            }
            Action::StopReading { count } => format!("{count} subscribers read nothing"),
            Action::Heal => "healed".into(),
        }
    }
}
