//! The driver of a run: it starts relays and subscribers, issues purges at a steady rate, plays a scenario, and checks
//! the records.

use super::check::{PurgeTimes, Timeline};
use super::clock::SharedClock;
use super::costs::{relay_costs, subscriber_costs};
use super::done::{DonePoller, DoneReport, DONE_POLL_INTERVAL};
use super::faults::RelaySet;
use super::groups::Groups;
use super::outcome::{DoneTimes, Outcome, StepOutcome};
use super::protocol::{Command, GroupPlan, GroupReport, Sabotage};
use super::purge_generator::PurgeGenerator;
use super::relays::{LaunchOptions, ProcessUsage, RelayFleet, RelayStatus, FLEET, PUBLISHER};
use super::scenario::{in_region, in_zone, Action, Scenario};
use meadowrill_event_distribution::settings::{DistributionSettings, MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use meadowrill_membership::settings::FleetSettings as MembershipSettings;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Longest time from the issue of a purge until it has to be in force everywhere.
pub const DONE_WITHIN: Micros = 2_900 * MILLISECOND;
/// How long a publisher that starts searches for purges in force, if no other relay has them.
const RECOVERY_TIMEOUT: Micros = 2 * SECOND;
/// Interval between two polls of the subscriber processes.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long it may take until all subscribers hold a lease after the start.
const START_TIMEOUT: Micros = 90 * SECOND;
/// How long it may take until all subscribers hold a lease and have all purges at the end of a run.
const END_TIMEOUT: Micros = 30 * SECOND;
/// Delay from the first purge until costs are measured.
const WARM_UP: Duration = Duration::from_millis(500);

/// The parameters of a run.
pub struct Setup {
    /// Number of simulated subscribers.
    pub subscribers: usize,
    /// Number of processes among which the subscribers are divided.
    pub processes: usize,
    /// Number of relays.
    pub relays: usize,
    /// Purges issued per second.
    pub purges_per_s: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// The faults.
    pub scenario: Scenario,
    /// A deliberate fault of all subscribers, which the checks have to find.
    pub sabotage: Option<Sabotage>,
    /// Additional settings in `events { ... }` of each relay.
    pub relay_settings: String,
    /// The program that runs as a relay.
    pub program: PathBuf,
    /// This crate's own program. It runs the subscribers, and ends child processes when the driver ends.
    pub tool: PathBuf,
    /// The mutant that relays play, in builds with the feature `mutants`.
    pub mutant: Option<String>,
    /// Where the relays' logs are copied after the run.
    pub log_directory: Option<PathBuf>,
}

impl Setup {
    /// A run with default parameters. The program of the relays is expected in the same directory as `tool`.
    pub fn new(subscribers: usize, scenario: Scenario, tool: &Path) -> Setup {
        Setup {
            subscribers,
            processes: subscribers.div_ceil(1_000).max(1),
            relays: 8,
            purges_per_s: 120,
            seed: 1,
            scenario,
            sabotage: None,
            relay_settings: String::new(),
            program: tool.with_file_name("meadowrill"),
            tool: tool.into(),
            mutant: None,
            log_directory: None,
        }
    }
}

/// A time in which the publisher does not run, so that no purge can be reported as done. The deadline of purges from
/// that time counts from the return of the publisher. If all relays were down, it counts from the end of the
/// publisher's recovery.
#[derive(Clone, Copy, Debug)]
struct PublisherOutage {
    from: Micros,
    until: Micros,
    all_relays_down: bool,
}

impl PublisherOutage {
    fn publication_resumes_at(&self) -> Micros {
        self.until
            + if self.all_relays_down {
                RECOVERY_TIMEOUT
            } else {
                0
            }
    }
}

struct Run {
    setup: Setup,
    clock: SharedClock,
    relays: RelayFleet,
    groups: Groups,
    outages: Vec<PublisherOutage>,
    step_starts: Vec<Micros>,
    rng: fastrand::Rng,
}

/// Counters at one moment. The difference of two samples gives the costs of the time between them.
struct Sample {
    at: Micros,
    group: GroupReport,
    relays: Vec<Option<(RelayStatus, ProcessUsage)>>,
}

/// Plays a run. Violations are reported by [`Outcome::failures`].
///
/// # Errors
///
/// The run could not be played, for example because a process could not be started.
pub fn play_run(setup: Setup) -> io::Result<Outcome> {
    let clock = SharedClock::start();
    let launch = LaunchOptions {
        program: setup.program.clone(),
        tool: setup.tool.clone(),
        mutant: setup.mutant.clone(),
    };
    let mut relays = RelayFleet::new(setup.relays, setup.seed, &setup.relay_settings, launch)?;
    (0..relays.count()).try_for_each(|relay| relays.start(relay))?;
    let started_at = clock.now();
    let groups = Groups::start(
        &group_plan(&setup, &relays, clock),
        setup.processes,
        &setup.tool,
    )?;
    let rng = fastrand::Rng::with_seed(setup.seed);
    let mut run = Run {
        setup,
        clock,
        relays,
        groups,
        outages: Vec::new(),
        step_starts: Vec::new(),
        rng,
    };
    run.wait_for_all(0, START_TIMEOUT)?;
    let joined_after = clock.now() - started_at;
    let mut outcome = run.play()?;
    outcome.joined_after = joined_after;
    if let Some(directory) = &run.setup.log_directory {
        run.relays.copy_logs(directory)?;
    }
    Ok(outcome)
}

fn group_plan(setup: &Setup, relays: &RelayFleet, clock: SharedClock) -> GroupPlan {
    GroupPlan {
        first: 0,
        count: setup.subscribers,
        seed: setup.seed,
        clock_offset: clock.offset(),
        fleet: fleet_hash(),
        relays: relays.addresses().to_vec(),
        sabotage: setup.sabotage,
    }
}

/// The hash of the fleet's name, as in every message.
fn fleet_hash() -> u64 {
    let unspecified = SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0);
    MembershipSettings {
        fleet: FLEET.into(),
        ..MembershipSettings::new(unspecified)
    }
    .fleet_id()
}

impl Run {
    fn play(&mut self) -> io::Result<Outcome> {
        let journal = self.relays.journal.clone();
        let mut poller = DonePoller::start(self.relays.publisher_socket(), self.clock);
        let mut generator = PurgeGenerator::start(journal, self.setup.purges_per_s, self.clock);
        thread::sleep(WARM_UP);
        let before = self.sample()?;
        let scenario = self.setup.scenario.clone();
        for step in &scenario.steps {
            thread::sleep(step.after);
            self.step_starts.push(self.clock.now());
            self.execute(&step.action)?;
        }
        thread::sleep(scenario.calm_after);
        let after = self.sample()?;
        let issued_at = generator.stop();
        self.wait_until_done(&poller, issued_at.len());
        let not_recovered = self.wait_for_all(issued_at.len(), END_TIMEOUT)?;
        let reports = poller.stop();
        let mut outcome = self.evaluate(&issued_at, &reports)?;
        outcome.not_recovered = not_recovered;
        outcome.report = self.groups.report(issued_at.len())?;
        outcome.crashed = self.relays.crashed();
        self.record_costs(&before, &after, &mut outcome);
        Ok(outcome)
    }

    /// Waits until all subscribers hold a lease and have applied the first `purges` purges. Returns how many do not at
    /// the end.
    fn wait_for_all(&mut self, purges: usize, timeout: Micros) -> io::Result<usize> {
        let end = self.clock.now() + timeout;
        loop {
            let report = self.groups.report(purges)?;
            let missing = self.setup.subscribers - report.leased.min(report.complete);
            if missing == 0 || self.clock.now() > end {
                return Ok(missing);
            }
            thread::sleep(REPORT_POLL_INTERVAL);
        }
    }

    fn wait_until_done(&self, poller: &DonePoller, purges: usize) {
        let end = self.clock.now() + 2 * DONE_WITHIN;
        while poller.done() < purges && self.clock.now() < end {
            thread::sleep(DONE_POLL_INTERVAL);
        }
    }

    fn execute(&mut self, action: &Action) -> io::Result<()> {
        match action {
            Action::KillRelays(killed) => {
                let now = self.clock.now();
                if killed.contains(&PUBLISHER) {
                    let all_relays_down = killed.len() == self.relays.count();
                    self.outages.push(PublisherOutage {
                        from: now,
                        until: Micros::MAX,
                        all_relays_down,
                    });
                }
                killed.iter().for_each(|relay| self.relays.kill(*relay));
            }
            Action::StartRelays(started) => {
                if let Some(outage) = self
                    .outages
                    .last_mut()
                    .filter(|_| started.contains(&PUBLISHER))
                {
                    outage.until = self.clock.now();
                }
                started
                    .iter()
                    .try_for_each(|relay| self.relays.start(*relay))?;
            }
            Action::RestartSubscribers {
                per_second,
                seconds,
            } => self.rolling_restart(*per_second, *seconds)?,
            Action::CutZone(zone) => {
                let subscribers = in_zone(*zone, self.setup.subscribers);
                self.partition(&in_zone(*zone, self.setup.relays), subscribers)?;
            }
            Action::CutRegion(region) => {
                let subscribers = in_region(*region, self.setup.subscribers);
                self.partition(&in_region(*region, self.setup.relays), subscribers)?;
            }
            Action::Lose(share) => {
                self.relays.set_loss(*share);
                self.groups.send(&Command::Lose { share: *share })?;
            }
            Action::StopSubscribers { count, span } => {
                let subscribers = self.draw_subscribers(*count);
                self.groups
                    .send(&Command::stop(subscribers, span.as_micros() as Micros))?;
            }
            Action::StopReading { count } => {
                let subscribers = self.draw_subscribers(*count);
                self.groups.send(&Command::StopReading { subscribers })?;
            }
            Action::Heal => {
                self.relays.heal();
                self.groups.send(&Command::Heal)?;
            }
        }
        Ok(())
    }

    fn draw_subscribers(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.setup.subscribers).collect();
        self.rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Restarts subscribers in a random order at this rate, as a release does.
    fn rolling_restart(&mut self, per_second: usize, seconds: usize) -> io::Result<()> {
        let order = self.draw_subscribers(self.setup.subscribers);
        let started_at = self.clock.now();
        for index in 0..per_second * seconds {
            let due = started_at + index as Micros * SECOND / per_second as Micros;
            thread::sleep(Duration::from_micros(
                (due - self.clock.now()).max(0).unsigned_abs(),
            ));
            let subscribers = vec![order[index % order.len()]];
            self.groups.send(&Command::Restart { subscribers })?;
        }
        Ok(())
    }

    /// Partitions these relays and subscribers from all others.
    fn partition(&mut self, relays: &[usize], inside: Vec<usize>) -> io::Result<()> {
        self.relays.partition(relays);
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

    fn evaluate(&mut self, issued_at: &[Micros], reports: &[DoneReport]) -> io::Result<Outcome> {
        let mut reports = reports.iter().peekable();
        let first_done = |number: usize| {
            while reports.next_if(|report| report.purges <= number).is_some() {}
            reports.peek().map(|report| report.at)
        };
        let done_at: Vec<Option<Micros>> = (0..issued_at.len()).map(first_done).collect();
        let purges: Vec<PurgeTimes> = issued_at
            .iter()
            .zip(&done_at)
            .map(|(issued_at, done_at)| PurgeTimes {
                issued_at: *issued_at,
                done_at: *done_at,
            })
            .collect();
        let done = self.done_times(&purges);
        let max_copy_age = DistributionSettings::new(0, Vec::new()).max_copy_age;
        let timeline = Timeline {
            purges,
            done_within: DONE_WITHIN,
            max_copy_age,
            end: self.clock.now(),
        };
        let (findings, recoveries) = self.groups.check(&timeline, &self.step_starts)?;
        let actions = self
            .setup
            .scenario
            .steps
            .iter()
            .map(|step| step.action.description());
        let steps = actions
            .zip(recoveries)
            .map(|(action, recovery)| StepOutcome { action, recovery })
            .collect();
        Ok(Outcome {
            purges: issued_at.len(),
            findings,
            done,
            steps,
            ..Outcome::default()
        })
    }

    fn done_times(&self, purges: &[PurgeTimes]) -> DoneTimes {
        let mut spans: Vec<Micros> = purges
            .iter()
            .filter_map(|purge| Some(purge.done_at? - purge.issued_at))
            .collect();
        spans.sort_unstable();
        let quantile = |share: f64| {
            let rank = (spans.len() as f64 * share).ceil() as usize;
            spans.get(rank.saturating_sub(1)).copied().unwrap_or(0)
        };
        let first_issued_at = purges.first().map_or(0, |first| first.issued_at);
        let late: Vec<Micros> = purges
            .iter()
            .filter(|purge| self.is_late(purge))
            .map(|purge| purge.issued_at - first_issued_at)
            .collect();
        DoneTimes {
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: quantile(1.0),
            late: late.len() as u64,
            late_from: late.first().copied().unwrap_or(0),
            late_until: late.last().copied().unwrap_or(0),
            never: (purges.len() - spans.len()) as u64,
        }
    }

    fn is_late(&self, purge: &PurgeTimes) -> bool {
        let Some(done_at) = purge.done_at else {
            return false;
        };
        let overlaps_deadline = |outage: &&PublisherOutage| {
            purge.issued_at + DONE_WITHIN > outage.from
                && purge.issued_at < outage.publication_resumes_at()
        };
        let counts_from = self
            .outages
            .iter()
            .find(overlaps_deadline)
            .map_or(purge.issued_at, PublisherOutage::publication_resumes_at);
        done_at - counts_from > DONE_WITHIN
    }

    fn sample(&mut self) -> io::Result<Sample> {
        let relays = (0..self.relays.count())
            .map(|relay| Some((self.relays.status(relay)?, self.relays.usage(relay)?)))
            .collect();
        Ok(Sample {
            at: self.clock.now(),
            group: self.groups.report(0)?,
            relays,
        })
    }

    fn record_costs(&self, before: &Sample, after: &Sample, outcome: &mut Outcome) {
        let seconds = (after.at - before.at) as f64 / SECOND as f64;
        outcome.subscriber = subscriber_costs(&before.group, &after.group, seconds);
        for relay in 0..self.relays.count() {
            let (Some(begin), Some(end)) = (&before.relays[relay], &after.relays[relay]) else {
                continue;
            };
            let costs = relay_costs(begin, end, seconds);
            if relay == PUBLISHER {
                outcome.publisher = costs;
            } else {
                outcome.relay = outcome.relay.max_of_each(&costs);
            }
        }
    }
}
