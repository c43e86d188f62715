//! The driver of a run: starts all, tells purges at a steady rate, plays a scenario, and judges what came of it.

use super::check::{PurgeTimes, Timeline};
use super::clock::SharedClock;
use super::costs::{relay_costs, subscriber_costs};
use super::done::{DoneWatch, DoneWord, DONE_LOOK};
use super::faults::RelaySet;
use super::groups::Groups;
use super::outcome::{DoneTimes, Outcome, StepOutcome};
use super::protocol::{Command, GroupPlan, GroupReport, Sabotage};
use super::relays::{ProcessUsage, RelayFleet, RelayStatus, RelayTools, FLEET, PUBLISHER};
use super::scenario::{in_region, in_zone, Action, Scenario};
use super::teller::Teller;
use meadowrill_event_distribution::settings::{DistributionSettings, MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use meadowrill_membership::settings::FleetSettings as MembersPlan;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// A purge has to be in force everywhere so long after it was told.
pub const DONE_WITHIN: Micros = 2_900 * MILLISECOND;
/// A publisher that starts looks so long for what still binds, where no other relay has it.
const RECOVERY_MOST: Micros = 2 * SECOND;
const LOOK: Duration = Duration::from_millis(100);
/// How long a start of all, and the end of a run, may take.
const START_MOST: Micros = 90 * SECOND;
const END_MOST: Micros = 30 * SECOND;
/// Costs count from so long after the first purge.
const WARM_UP: Duration = Duration::from_millis(500);

pub struct Setup {
    pub subscribers: usize,
    /// Processes among which they are shared.
    pub processes: usize,
    pub relays: usize,
    pub purges_per_s: u32,
    pub seed: u64,
    pub scenario: Scenario,
    pub sabotage: Option<Sabotage>,
    /// Stands in `events { ... }` of each relay.
    pub relay_settings: String,
    pub program: PathBuf,
    /// This rig's own tool.
    pub holder: PathBuf,
    pub mutant: Option<String>,
    /// Where the relays' logs are left.
    pub keep: Option<PathBuf>,
}

impl Setup {
    /// The program and this tool stand side by side.
    pub fn new(subscribers: usize, scenario: Scenario, holder: &Path) -> Setup {
        Setup {
            subscribers,
            processes: subscribers.div_ceil(1_000).max(1),
            relays: 8,
            purges_per_s: 120,
            seed: 1,
            scenario,
            sabotage: None,
            relay_settings: String::new(),
            program: holder.with_file_name("meadowrill"),
            holder: holder.into(),
            mutant: None,
            keep: None,
        }
    }
}

/// While the publisher does not run, nobody can say that anything is done: purges of that time count from its return, and
/// where all relays were gone, from when it has stopped looking for what they had.
#[derive(Clone, Copy, Debug)]
struct PublisherGap {
    from: Micros,
    until: Micros,
    all_gone: bool,
}

impl PublisherGap {
    fn publishes_again(&self) -> Micros {
        self.until + if self.all_gone { RECOVERY_MOST } else { 0 }
    }
}

struct Run {
    setup: Setup,
    clock: SharedClock,
    relays: RelayFleet,
    groups: Groups,
    gaps: Vec<PublisherGap>,
    marks: Vec<Micros>,
    rng: fastrand::Rng,
}

/// Costs of a moment, from which those of a span are told.
struct Sample {
    at: Micros,
    group: GroupReport,
    relays: Vec<Option<(RelayStatus, ProcessUsage)>>,
}

/// Plays a run. An error is of the rig; what did not hold is told by [`Outcome::failures`].
pub fn play_run(setup: Setup) -> io::Result<Outcome> {
    let clock = SharedClock::start();
    let tools = RelayTools {
        program: setup.program.clone(),
        holder: setup.holder.clone(),
        mutant: setup.mutant.clone(),
    };
    let mut relays = RelayFleet::new(setup.relays, setup.seed, &setup.relay_settings, tools)?;
    (0..relays.many()).try_for_each(|relay| relays.start(relay))?;
    let begun = clock.now();
    let groups = Groups::start(
        &group_plan(&setup, &relays, clock),
        setup.processes,
        &setup.holder,
    )?;
    let rng = fastrand::Rng::with_seed(setup.seed);
    let mut run = Run {
        setup,
        clock,
        relays,
        groups,
        gaps: Vec::new(),
        marks: Vec::new(),
        rng,
    };
    run.wait_for_all(0, START_MOST)?;
    let joined_after = clock.now() - begun;
    let mut outcome = run.play()?;
    outcome.joined_after = joined_after;
    if let Some(keep) = &run.setup.keep {
        run.relays.keep_logs(keep)?;
    }
    Ok(outcome)
}

fn group_plan(setup: &Setup, relays: &RelayFleet, clock: SharedClock) -> GroupPlan {
    GroupPlan {
        first: 0,
        many: setup.subscribers,
        seed: setup.seed,
        clock_offset: clock.offset(),
        fleet: fleet_number(),
        relays: relays.addresses().to_vec(),
        sabotage: setup.sabotage,
    }
}

/// The name of the fleet as it stands in every message.
fn fleet_number() -> u64 {
    let nowhere = SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0);
    MembersPlan {
        fleet: FLEET.into(),
        ..MembersPlan::new(nowhere)
    }
    .fleet_id()
}

impl Run {
    fn play(&mut self) -> io::Result<Outcome> {
        let journal = self.relays.journal.clone();
        let mut watch = DoneWatch::start(self.relays.publisher_socket(), self.clock);
        let mut teller = Teller::start(journal, self.setup.purges_per_s, self.clock);
        thread::sleep(WARM_UP);
        let before = self.sample()?;
        let scenario = self.setup.scenario.clone();
        for step in &scenario.steps {
            thread::sleep(step.after);
            self.marks.push(self.clock.now());
            self.act(&step.action)?;
        }
        thread::sleep(scenario.calm_after);
        let after = self.sample()?;
        let told = teller.end();
        self.wait_until_done(&watch, told.len());
        let not_back = self.wait_for_all(told.len(), END_MOST)?;
        let words = watch.end();
        let mut outcome = self.judge(&told, &words)?;
        outcome.not_back = not_back;
        outcome.report = self.groups.report(told.len())?;
        outcome.crashed = self.relays.crashed();
        self.cost(&before, &after, &mut outcome);
        Ok(outcome)
    }

    /// Waits until all subscribers hold a lease and have applied so many purges; how many do not.
    fn wait_for_all(&mut self, purges: usize, most: Micros) -> io::Result<usize> {
        let end = self.clock.now() + most;
        loop {
            let report = self.groups.report(purges)?;
            let missing = self.setup.subscribers - report.leased.min(report.complete);
            if missing == 0 || self.clock.now() > end {
                return Ok(missing);
            }
            thread::sleep(LOOK);
        }
    }

    fn wait_until_done(&self, watch: &DoneWatch, purges: usize) {
        let end = self.clock.now() + 2 * DONE_WITHIN;
        while watch.done() < purges && self.clock.now() < end {
            thread::sleep(DONE_LOOK);
        }
    }

    fn act(&mut self, action: &Action) -> io::Result<()> {
        match action {
            Action::KillRelays(some) => {
                let now = self.clock.now();
                if some.contains(&PUBLISHER) {
                    let all_gone = some.len() == self.relays.many();
                    self.gaps.push(PublisherGap {
                        from: now,
                        until: Micros::MAX,
                        all_gone,
                    });
                }
                some.iter().for_each(|relay| self.relays.kill(*relay));
            }
            Action::StartRelays(some) => {
                if let Some(gap) = self.gaps.last_mut().filter(|_| some.contains(&PUBLISHER)) {
                    gap.until = self.clock.now();
                }
                some.iter()
                    .try_for_each(|relay| self.relays.start(*relay))?;
            }
            Action::RestartSubscribers {
                per_second,
                seconds,
            } => self.restart_all(*per_second, *seconds)?,
            Action::CutZone(zone) => {
                let subscribers = in_zone(*zone, self.setup.subscribers);
                self.cut(&in_zone(*zone, self.setup.relays), subscribers)?;
            }
            Action::CutRegion(region) => {
                let subscribers = in_region(*region, self.setup.subscribers);
                self.cut(&in_region(*region, self.setup.relays), subscribers)?;
            }
            Action::Lose(share) => {
                self.relays.lose(*share);
                self.groups.send(&Command::Lose { share: *share })?;
            }
            Action::StopSubscribers { many, span } => {
                let subscribers = self.draw_subscribers(*many);
                self.groups
                    .send(&Command::stop(subscribers, span.as_micros() as Micros))?;
            }
            Action::StopReading { many } => {
                let subscribers = self.draw_subscribers(*many);
                self.groups.send(&Command::StopReading { subscribers })?;
            }
            Action::Heal => {
                self.relays.heal();
                self.groups.send(&Command::Heal)?;
            }
        }
        Ok(())
    }

    fn draw_subscribers(&mut self, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.setup.subscribers).collect();
        self.rng.shuffle(&mut all);
        all.truncate(many);
        all
    }

    /// A release: in the order of a shuffle, so many each second.
    fn restart_all(&mut self, per_second: usize, seconds: usize) -> io::Result<()> {
        let order = self.draw_subscribers(self.setup.subscribers);
        let begun = self.clock.now();
        for turn in 0..per_second * seconds {
            let due = begun + turn as Micros * SECOND / per_second as Micros;
            thread::sleep(Duration::from_micros(
                (due - self.clock.now()).max(0).unsigned_abs(),
            ));
            let subscribers = vec![order[turn % order.len()]];
            self.groups.send(&Command::Restart { subscribers })?;
        }
        Ok(())
    }

    /// Parts these relays and subscribers from all others.
    fn cut(&mut self, relays: &[usize], inside: Vec<usize>) -> io::Result<()> {
        self.relays.cut_off(relays);
        let outside = (0..self.setup.subscribers)
            .filter(|subscriber| !inside.contains(subscriber))
            .collect();
        let far = RelaySet::of((0..self.setup.relays).filter(|relay| !relays.contains(relay)));
        self.groups.send(&Command::CutOff {
            subscribers: inside,
            relays: far,
        })?;
        let near = RelaySet::of(relays.iter().copied());
        self.groups.send(&Command::CutOff {
            subscribers: outside,
            relays: near,
        })
    }

    fn judge(&mut self, told: &[Micros], words: &[DoneWord]) -> io::Result<Outcome> {
        let mut word = words.iter().peekable();
        let done_at = |number: usize| {
            while word.next_if(|word| word.purges <= number).is_some() {}
            word.peek().map(|word| word.at)
        };
        let done: Vec<Option<Micros>> = (0..told.len()).map(done_at).collect();
        let purges: Vec<PurgeTimes> = told
            .iter()
            .zip(&done)
            .map(|(told, done)| PurgeTimes {
                told: *told,
                done: *done,
            })
            .collect();
        let done = self.done_times(&purges);
        let copy_age = DistributionSettings::new(0, Vec::new()).max_copy_age;
        let timeline = Timeline {
            purges,
            done_within: DONE_WITHIN,
            copy_age,
            end: self.clock.now(),
        };
        let (findings, returns) = self.groups.check(&timeline, &self.marks)?;
        let texts = self
            .setup
            .scenario
            .steps
            .iter()
            .map(|step| step.action.text());
        let steps = texts
            .zip(returns)
            .map(|(what, returned)| StepOutcome { what, returned })
            .collect();
        Ok(Outcome {
            purges: told.len(),
            findings,
            done,
            steps,
            ..Outcome::default()
        })
    }

    fn done_times(&self, purges: &[PurgeTimes]) -> DoneTimes {
        let mut spans: Vec<Micros> = purges
            .iter()
            .filter_map(|purge| Some(purge.done? - purge.told))
            .collect();
        spans.sort_unstable();
        let quantile = |share: f64| {
            let rank = (spans.len() as f64 * share).ceil() as usize;
            spans.get(rank.saturating_sub(1)).copied().unwrap_or(0)
        };
        let begun = purges.first().map_or(0, |first| first.told);
        let late: Vec<Micros> = purges
            .iter()
            .filter(|purge| self.is_late(purge))
            .map(|purge| purge.told - begun)
            .collect();
        DoneTimes {
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            most: quantile(1.0),
            late: late.len() as u64,
            late_from: late.first().copied().unwrap_or(0),
            late_until: late.last().copied().unwrap_or(0),
            never: (purges.len() - spans.len()) as u64,
        }
    }

    fn is_late(&self, purge: &PurgeTimes) -> bool {
        let Some(done) = purge.done else { return false };
        let in_gap = |gap: &&PublisherGap| {
            purge.told + DONE_WITHIN > gap.from && purge.told < gap.publishes_again()
        };
        let counts_from = self
            .gaps
            .iter()
            .find(in_gap)
            .map_or(purge.told, PublisherGap::publishes_again);
        done - counts_from > DONE_WITHIN
    }

    fn sample(&mut self) -> io::Result<Sample> {
        let relays = (0..self.relays.many())
            .map(|relay| Some((self.relays.status(relay)?, self.relays.usage(relay)?)))
            .collect();
        Ok(Sample {
            at: self.clock.now(),
            group: self.groups.report(0)?,
            relays,
        })
    }

    fn cost(&self, before: &Sample, after: &Sample, outcome: &mut Outcome) {
        let seconds = (after.at - before.at) as f64 / SECOND as f64;
        outcome.subscriber = subscriber_costs(&before.group, &after.group, seconds);
        for relay in 0..self.relays.many() {
            let (Some(begin), Some(end)) = (&before.relays[relay], &after.relays[relay]) else {
                continue;
            };
            let costs = relay_costs(begin, end, seconds);
            if relay == PUBLISHER {
                outcome.publisher = costs;
            } else {
                outcome.relay = outcome.relay.dearest(&costs);
            }
        }
    }
}
