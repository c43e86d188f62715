//! The driver of a run: starts all, tells purges at a steady rate, plays a scenario, and judges what came of it.

use super::check::{Findings, PurgeTimes, Timeline};
use super::clock::SharedClock;
use super::faults::RelaySet;
use super::groups::Groups;
use super::numbering::object_of;
use super::protocol::{Command, GroupPlan, GroupReport, Return, Sabotage};
use super::relays::{told_done, ProcessUsage, RelayFleet, RelayStatus, RelayTools, FLEET, PUBLISHER};
use super::scenario::{in_region, in_zone, Action, Scenario};
use meadowrill_events::plan::{Plan, MILLISECOND, SECOND};
use meadowrill_events::Micros;
use meadowrill_standins::journal::Speaking;
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A purge has to be in force everywhere so long after it was told.
pub const DONE_WITHIN: Micros = 2_900 * MILLISECOND;
/// Between two questions to the publisher up to where all is done: what a time until done may be told too late by.
const DONE_LOOK: Duration = Duration::from_millis(10);
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
    /// Where logs of the relays of a run that did not hold are left.
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

/// From when a purge was told until the publisher said that it is in force everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DoneTimes {
    pub p50: Micros,
    pub p99: Micros,
    pub p999: Micros,
    pub most: Micros,
    /// Later than [`DONE_WITHIN`] after it was told, or after the publisher was back; and never.
    pub late: u64,
    pub never: u64,
    /// When the first and the last late one were told, since the first of all.
    pub late_from: Micros,
    pub late_until: Micros,
}

/// What a process of its role costs a second, over the time of the purges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    pub sent_bytes: f64,
    pub received_bytes: f64,
    pub sent: f64,
    pub received: f64,
    /// Of one core.
    pub processor_share: f64,
    pub resident_bytes: f64,
}

/// Bytes of IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

impl Costs {
    /// With the headers of each datagram.
    pub fn sent_with_headers(&self) -> f64 {
        self.sent_bytes + self.sent * HEADER_BYTES
    }

    pub fn received_with_headers(&self) -> f64 {
        self.received_bytes + self.received * HEADER_BYTES
    }
}

#[derive(Clone, Debug)]
pub struct StepOutcome {
    pub what: String,
    pub returned: Return,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub purges: usize,
    pub findings: Findings,
    pub done: DoneTimes,
    /// From the start of the subscribers until all held a lease.
    pub joined_after: Micros,
    pub steps: Vec<StepOutcome>,
    /// Subscribers that had no lease, or lacked a purge, half a minute after the last one.
    pub not_back: usize,
    pub crashed: Vec<usize>,
    pub subscriber: Costs,
    /// The publisher, and the dearest of the others by each cost.
    pub publisher: Costs,
    pub relay: Costs,
    pub report: GroupReport,
}

impl Outcome {
    /// What did not hold.
    pub fn failures(&self) -> Vec<String> {
        let findings = &self.findings;
        let counts = [
            ("purges lost", findings.lost),
            ("purges un-heard with a lease", findings.unheard),
            ("said to be done, and not in force with a lease", findings.done_untrue),
            ("said to be done before copies were too old", findings.done_too_soon),
            ("unknown purges", findings.unknown),
            ("times without a lease and without a bound", findings.unbounded),
            ("purges done late", self.done.late),
            ("purges never done", self.done.never),
            ("subscribers not back at the end", self.not_back as u64),
            ("relays that ended by themselves", self.crashed.len() as u64),
        ];
        let wrong = counts.iter().filter(|(_, count)| *count > 0);
        let mut all: Vec<String> = wrong.map(|(what, count)| format!("{count} {what}")).collect();
        if self.done.late > 0 {
            let [from, until] =
                [self.done.late_from, self.done.late_until].map(|at| at as f64 / SECOND as f64);
            all.push(format!("the late ones were told {from:.1} to {until:.1} s after the first"));
        }
        all.extend(findings.first.clone());
        all
    }
}

impl Outcome {
    /// Names and values of what was measured.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let seconds = |span: Micros| span as f64 / SECOND as f64;
        let lag = |share: f64| self.findings.lags.quantile(share).map_or(f64::NAN, |ms| ms as f64 / 1e3);
        let mut all: Vec<(String, f64)> = vec![
            ("purges".into(), self.purges as f64),
            ("all joined after, s".into(), seconds(self.joined_after)),
            ("done everywhere, 50th percentile, s".into(), seconds(self.done.p50)),
            ("done everywhere, 99th percentile, s".into(), seconds(self.done.p99)),
            ("done everywhere, 99.9th percentile, s".into(), seconds(self.done.p999)),
            ("done everywhere, slowest, s".into(), seconds(self.done.most)),
            ("applied, 50th percentile, s".into(), lag(0.5)),
            ("applied, 99.9th percentile, s".into(), lag(0.999)),
        ];
        for (number, step) in self.steps.iter().enumerate() {
            let name = format!("step {number}, {}", step.what);
            let returned = &step.returned;
            all.push((format!("{name}: subscribers without a lease"), returned.without_lease as f64));
            all.push((format!("{name}: all have a lease after, s"), seconds(returned.leased_after)));
        }
        let roles =
            [("subscriber", &self.subscriber), ("publisher", &self.publisher), ("relay", &self.relay)];
        all.extend(roles.into_iter().flat_map(|(role, costs)| costs.figures(role)));
        let report = &self.report;
        let counted = [
            ("gaps", report.gaps),
            ("snapshots", report.snapshots),
            ("lapses", report.lapses),
            ("switches", report.switches),
            ("datagrams rejected", report.rejected),
            ("datagrams not taken by the kernel", report.unsent),
        ];
        all.extend(counted.map(|(name, count)| (format!("subscribers, {name}"), count as f64)));
        all
    }
}

impl Costs {
    fn figures(&self, role: &str) -> [(String, f64); 6] {
        [
            (format!("{role}, bytes a second sent, with headers"), self.sent_with_headers()),
            (format!("{role}, bytes a second received, with headers"), self.received_with_headers()),
            (format!("{role}, datagrams a second sent"), self.sent),
            (format!("{role}, datagrams a second received"), self.received),
            (format!("{role}, percent of a core"), self.processor_share * 100.0),
            (format!("{role}, MB resident"), self.resident_bytes / 1e6),
        ]
    }
}

/// Tells purges at a steady rate until it is ended.
struct Teller {
    over: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Micros>>>,
    thread: Option<JoinHandle<()>>,
}

impl Teller {
    fn start(journal: Speaking, per_second: u32, clock: SharedClock) -> Teller {
        let (over, told) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Micros>>>::default());
        let (ended, all) = (Arc::clone(&over), Arc::clone(&told));
        let thread = thread::spawn(move || {
            let begun = clock.now();
            for number in 0u64.. {
                let due = begun + number as Micros * SECOND / Micros::from(per_second);
                let wait = (due - clock.now()).max(0);
                thread::sleep(Duration::from_micros(wait.unsigned_abs()));
                if ended.load(Relaxed) {
                    return;
                }
                let now = clock.now();
                if let Ok(mut all) = all.lock() {
                    all.push(now);
                }
                // Stamps of the service are in whole milliseconds.
                let stamp = now.div_euclid(MILLISECOND);
                journal
                    .tell(json!({"expire": {"name": format!("{:016x}", object_of(number)), "stamp": stamp}}));
            }
        });
        Teller { over, told, thread: Some(thread) }
    }

    /// When each purge was told.
    fn end(&mut self) -> Vec<Micros> {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.told.lock().map(|told| told.clone()).unwrap_or_default()
    }
}

impl Drop for Teller {
    fn drop(&mut self) {
        self.end();
    }
}

/// The first moment at which the publisher was heard to say that so many purges are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DoneWord {
    at: Micros,
    purges: usize,
}

/// Asks the publisher again and again up to where all is done.
struct DoneWatch {
    over: Arc<AtomicBool>,
    words: Arc<Mutex<Vec<DoneWord>>>,
    thread: Option<JoinHandle<()>>,
}

impl DoneWatch {
    fn start(socket: PathBuf, clock: SharedClock) -> DoneWatch {
        let (over, words) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<DoneWord>>>::default());
        let (ended, all) = (Arc::clone(&over), Arc::clone(&words));
        let thread = thread::spawn(move || {
            while !ended.load(Relaxed) {
                let purges = told_done(&socket);
                let at = clock.now();
                if let (Some(purges), Ok(mut all)) = (purges, all.lock()) {
                    if all.last().is_none_or(|last| last.purges < purges) {
                        all.push(DoneWord { at, purges });
                    }
                }
                thread::sleep(DONE_LOOK);
            }
        });
        DoneWatch { over, words, thread: Some(thread) }
    }

    fn done(&self) -> usize {
        self.words.lock().ok().and_then(|words| words.last().map(|word| word.purges)).unwrap_or(0)
    }

    fn end(&mut self) -> Vec<DoneWord> {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.words.lock().map(|words| words.clone()).unwrap_or_default()
    }
}

impl Drop for DoneWatch {
    fn drop(&mut self) {
        self.end();
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
    let groups = Groups::start(&group_plan(&setup, &relays, clock), setup.processes, &setup.holder)?;
    let rng = fastrand::Rng::with_seed(setup.seed);
    let mut run = Run { setup, clock, relays, groups, gaps: Vec::new(), marks: Vec::new(), rng };
    run.wait_for_all(0, START_MOST)?;
    let joined_after = clock.now() - begun;
    let mut outcome = run.play()?;
    outcome.joined_after = joined_after;
    if let Some(keep) = run.setup.keep.as_ref().filter(|_| !outcome.failures().is_empty()) {
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
        fleet: meadowrill_members::rings::hash(FLEET, 98),
        relays: relays.addresses().to_vec(),
        sabotage: setup.sabotage,
    }
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
                    self.gaps.push(PublisherGap { from: now, until: Micros::MAX, all_gone });
                }
                some.iter().for_each(|relay| self.relays.kill(*relay));
            }
            Action::StartRelays(some) => {
                if let Some(gap) = self.gaps.last_mut().filter(|_| some.contains(&PUBLISHER)) {
                    gap.until = self.clock.now();
                }
                some.iter().try_for_each(|relay| self.relays.start(*relay))?;
            }
            Action::RestartSubscribers { per_second, seconds } => self.restart_all(*per_second, *seconds)?,
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
                self.groups.send(&Command::stop(subscribers, span.as_micros() as Micros))?;
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
            thread::sleep(Duration::from_micros((due - self.clock.now()).max(0).unsigned_abs()));
            let subscribers = vec![order[turn % order.len()]];
            self.groups.send(&Command::Restart { subscribers })?;
        }
        Ok(())
    }

    /// Parts these relays and subscribers from all others.
    fn cut(&mut self, relays: &[usize], inside: Vec<usize>) -> io::Result<()> {
        self.relays.cut_off(relays);
        let outside = (0..self.setup.subscribers).filter(|subscriber| !inside.contains(subscriber)).collect();
        let far = RelaySet::of((0..self.setup.relays).filter(|relay| !relays.contains(relay)));
        self.groups.send(&Command::CutOff { subscribers: inside, relays: far })?;
        let near = RelaySet::of(relays.iter().copied());
        self.groups.send(&Command::CutOff { subscribers: outside, relays: near })
    }

    fn judge(&mut self, told: &[Micros], words: &[DoneWord]) -> io::Result<Outcome> {
        let mut word = words.iter().peekable();
        let done_at = |number: usize| {
            while word.next_if(|word| word.purges <= number).is_some() {}
            word.peek().map(|word| word.at)
        };
        let done: Vec<Option<Micros>> = (0..told.len()).map(done_at).collect();
        let purges: Vec<PurgeTimes> =
            told.iter().zip(&done).map(|(told, done)| PurgeTimes { told: *told, done: *done }).collect();
        let done = self.done_times(&purges);
        let copy_age = Plan::new(0, Vec::new()).copy_age;
        let timeline = Timeline { purges, done_within: DONE_WITHIN, copy_age, end: self.clock.now() };
        let (findings, returns) = self.groups.check(&timeline, &self.marks)?;
        let texts = self.setup.scenario.steps.iter().map(|step| step.action.text());
        let steps = texts.zip(returns).map(|(what, returned)| StepOutcome { what, returned }).collect();
        Ok(Outcome { purges: told.len(), findings, done, steps, ..Outcome::default() })
    }

    fn done_times(&self, purges: &[PurgeTimes]) -> DoneTimes {
        let mut spans: Vec<Micros> =
            purges.iter().filter_map(|purge| Some(purge.done? - purge.told)).collect();
        spans.sort_unstable();
        let quantile = |share: f64| {
            let rank = (spans.len() as f64 * share).ceil() as usize;
            spans.get(rank.saturating_sub(1)).copied().unwrap_or(0)
        };
        let begun = purges.first().map_or(0, |first| first.told);
        let late: Vec<Micros> =
            purges.iter().filter(|purge| self.is_late(purge)).map(|purge| purge.told - begun).collect();
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
        let in_gap =
            |gap: &&PublisherGap| purge.told + DONE_WITHIN > gap.from && purge.told < gap.publishes_again();
        let counts_from = self.gaps.iter().find(in_gap).map_or(purge.told, PublisherGap::publishes_again);
        done - counts_from > DONE_WITHIN
    }

    fn sample(&mut self) -> io::Result<Sample> {
        let relays = (0..self.relays.many())
            .map(|relay| Some((self.relays.status(relay)?, self.relays.usage(relay)?)))
            .collect();
        Ok(Sample { at: self.clock.now(), group: self.groups.report(0)?, relays })
    }

    fn cost(&self, before: &Sample, after: &Sample, outcome: &mut Outcome) {
        let seconds = (after.at - before.at) as f64 / SECOND as f64;
        outcome.subscriber = subscriber_costs(&before.group, &after.group, seconds);
        for relay in 0..self.relays.many() {
            let (Some(begin), Some(end)) = (&before.relays[relay], &after.relays[relay]) else { continue };
            let costs = relay_costs(begin, end, seconds);
            if relay == PUBLISHER {
                outcome.publisher = costs;
            } else {
                outcome.relay = outcome.relay.dearest(&costs);
            }
        }
    }
}

impl Costs {
    fn dearest(&self, other: &Costs) -> Costs {
        Costs {
            sent_bytes: self.sent_bytes.max(other.sent_bytes),
            received_bytes: self.received_bytes.max(other.received_bytes),
            sent: self.sent.max(other.sent),
            received: self.received.max(other.received),
            processor_share: self.processor_share.max(other.processor_share),
            resident_bytes: self.resident_bytes.max(other.resident_bytes),
        }
    }
}

/// Of one subscriber, on the average; its memory without what is recorded.
fn subscriber_costs(before: &GroupReport, after: &GroupReport, seconds: f64) -> Costs {
    let many = after.subscribers as f64;
    let per_second = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds / many;
    let (first, last) = (before.traffic, after.traffic);
    let resident = after.resident_bytes.saturating_sub(after.record_bytes + after.resident_at_first);
    Costs {
        sent_bytes: per_second(first.sent_bytes, last.sent_bytes),
        received_bytes: per_second(first.received_bytes, last.received_bytes),
        sent: per_second(first.sent, last.sent),
        received: per_second(first.received, last.received),
        processor_share: per_second(before.processor_micros, after.processor_micros) / SECOND as f64,
        resident_bytes: resident as f64 / many,
    }
}

/// Of one that was not started anew meanwhile; else the counters are of the time since.
fn relay_costs(
    (status, usage): &(RelayStatus, ProcessUsage),
    (status_after, usage_after): &(RelayStatus, ProcessUsage),
    seconds: f64,
) -> Costs {
    let per_second = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    Costs {
        sent_bytes: per_second(status.sent_bytes, status_after.sent_bytes),
        received_bytes: per_second(status.received_bytes, status_after.received_bytes),
        sent: per_second(status.sent, status_after.sent),
        received: per_second(status.received, status_after.received),
        processor_share: per_second(usage.processor_micros, usage_after.processor_micros) / SECOND as f64,
        resident_bytes: usage_after.resident_bytes as f64,
    }
}
