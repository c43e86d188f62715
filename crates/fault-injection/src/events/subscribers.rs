//! A process of many simulated subscribers, each with its own socket, in one event loop.

use super::check::{check_incarnation, Findings, Timeline};
use super::clock::SharedClock;
use super::protocol::{Command, GroupPlan, GroupReport, LeaseRecovery, Reply};
use super::record::IncarnationRecord;
use super::simulated_subscriber::SimulatedSubscriber;
use meadowrill_event_distribution::settings::MILLISECOND;
use meadowrill_event_distribution::Micros;
use mio::{Events, Interest, Poll, Token, Waker};
use rustix::time::{clock_gettime, ClockId};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io::{self, BufRead, Write};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const MAX_POLL_EVENTS: usize = 1_024;
/// Longest wait of the event loop.
const MAX_POLL_WAIT: Micros = 200 * MILLISECOND;
const COMMAND_TOKEN: Token = Token(usize::MAX);

/// Runs the subscribers of the plan until standard input ends.
pub fn run_subscribers(plan: GroupPlan) -> io::Result<()> {
    let poll = Poll::new()?;
    let commands = read_commands(Waker::new(poll.registry(), COMMAND_TOKEN)?);
    let mut group = Group::open(plan, poll)?;
    let mut events = Events::with_capacity(MAX_POLL_EVENTS);
    loop {
        group.wait(&mut events)?;
        loop {
            match commands.try_recv() {
                Ok(command) => group.execute(command)?,
                Err(std::sync::mpsc::TryRecvError::Empty) => break,
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return Ok(()),
            }
        }
        group.tick_due();
    }
}

/// Reads commands in a separate thread, which wakes the event loop for each command and at the end of input.
fn read_commands(waker: Waker) -> Receiver<Command> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                eprintln!("invalid command on standard input: {line}");
                break;
            };
            let woken = sender.send(command).is_ok() && waker.wake().is_ok();
            if !woken {
                return;
            }
        }
        drop(sender);
        // If the wake fails, the event loop notices the end after its longest wait.
        let _ = waker.wake();
    });
    receiver
}

fn write_reply(reply: &Reply) -> io::Result<()> {
    let mut line = serde_json::to_string(reply).map_err(io::Error::other)?;
    line.push('\n');
    let mut output = io::stdout().lock();
    output.write_all(line.as_bytes())?;
    output.flush()
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

fn processor_micros() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

struct Group {
    plan: GroupPlan,
    clock: SharedClock,
    poll: Poll,
    subscribers: Vec<SimulatedSubscriber>,
    /// Due times of subscribers. An entry that is no longer in `next_wakes` is skipped.
    wake_queue: BinaryHeap<Reverse<(Micros, usize)>>,
    /// The earliest entry of each subscriber in `wake_queue`.
    next_wakes: Vec<Micros>,
    initial_resident_bytes: u64,
}

impl Group {
    fn open(plan: GroupPlan, poll: Poll) -> io::Result<Group> {
        let clock = SharedClock::with_offset(plan.clock_offset);
        let settings = plan.distribution_settings();
        let mut group = Group {
            initial_resident_bytes: resident_bytes(),
            clock,
            poll,
            subscribers: Vec::with_capacity(plan.count),
            wake_queue: BinaryHeap::new(),
            next_wakes: vec![Micros::MAX; plan.count],
            plan,
        };
        for index in 0..group.plan.count {
            let number = group.plan.first + index;
            let seed = group.plan.seed ^ (number as u64) << 20;
            let (now, sabotage) = (group.clock.now(), group.plan.sabotage);
            let subscriber = SimulatedSubscriber::open(&settings, number, now, seed, sabotage)?;
            group.subscribers.push(subscriber);
            group.register(index)?;
            group.schedule(index);
        }
        Ok(group)
    }

    fn register(&mut self, index: usize) -> io::Result<()> {
        let socket = &mut self.subscribers[index].socket;
        self.poll
            .registry()
            .register(socket, Token(index), Interest::READABLE)
    }

    fn schedule(&mut self, index: usize) {
        let wake = self.subscribers[index].next_wake();
        if wake < self.next_wakes[index] {
            self.next_wakes[index] = wake;
            self.wake_queue.push(Reverse((wake, index)));
        }
    }

    /// Waits for datagrams, commands or the next due time, and handles the datagrams that have arrived.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let next = self
            .wake_queue
            .peek()
            .map_or(Micros::MAX, |Reverse((at, _))| *at);
        let wait = next.saturating_sub(now).clamp(0, MAX_POLL_WAIT);
        match self
            .poll
            .poll(events, Some(Duration::from_micros(wait.unsigned_abs())))
        {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        for event in events.iter().filter(|event| event.token() != COMMAND_TOKEN) {
            self.receive(event.token().0);
        }
        Ok(())
    }

    fn receive(&mut self, index: usize) {
        let now = self.clock.now();
        if !self.subscribers[index].is_stopped(now) {
            self.subscribers[index].receive_all(now);
            self.schedule(index);
        }
    }

    fn tick_due(&mut self) {
        loop {
            let now = self.clock.now();
            let Some(Reverse((at, index))) = self
                .wake_queue
                .peek()
                .copied()
                .filter(|Reverse((at, _))| *at <= now)
            else {
                return;
            };
            self.wake_queue.pop();
            if at != self.next_wakes[index] {
                continue;
            }
            self.next_wakes[index] = Micros::MAX;
            self.tick(index, now);
        }
    }

    fn tick(&mut self, index: usize, now: Micros) {
        let subscriber = &mut self.subscribers[index];
        if !subscriber.is_stopped(now) {
            // Reads the datagrams that arrived during a stop: the readiness event of the socket was ignored then.
            if std::mem::replace(&mut subscriber.stopped_until, Micros::MIN) != Micros::MIN {
                subscriber.receive_all(now);
            }
            subscriber.tick(now);
        }
        self.schedule(index);
    }

    /// The indices of those of the subscribers that belong to this process.
    fn local_indices(&self, numbers: &[usize]) -> Vec<usize> {
        let own = self.plan.first..self.plan.first + self.plan.count;
        numbers
            .iter()
            .filter(|number| own.contains(number))
            .map(|number| number - self.plan.first)
            .collect()
    }

    fn execute(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Restart { subscribers } => {
                for index in self.local_indices(&subscribers) {
                    self.restart(index)?;
                }
            }
            Command::Stop {
                subscribers,
                span_ms,
            } => {
                let until = self.clock.now() + span_ms * MILLISECOND;
                for index in self.local_indices(&subscribers) {
                    self.subscribers[index].stopped_until = until;
                }
            }
            Command::StopReading { subscribers } => {
                for index in self.local_indices(&subscribers) {
                    self.subscribers[index].is_reading = false;
                }
            }
            Command::CutOff {
                subscribers,
                relays,
            } => {
                for index in self.local_indices(&subscribers) {
                    let faults = &mut self.subscribers[index].faults;
                    faults.cut_off = faults.cut_off.union(relays);
                }
            }
            Command::Lose { share } => {
                self.subscribers
                    .iter_mut()
                    .for_each(|subscriber| subscriber.faults.loss = share);
            }
            Command::Heal => self.heal(),
            Command::Report { purges } => write_reply(&Reply::Report(self.report(purges)))?,
            Command::Check {
                timeline,
                step_starts,
            } => {
                let findings = self.check(&timeline);
                let recoveries = self.lease_recoveries(&step_starts, timeline.end);
                write_reply(&Reply::Checked {
                    findings,
                    recoveries,
                })?;
            }
        }
        Ok(())
    }

    fn restart(&mut self, index: usize) -> io::Result<()> {
        let now = self.clock.now();
        self.subscribers[index].restart(now)?;
        self.register(index)?;
        self.next_wakes[index] = Micros::MAX;
        self.schedule(index);
        Ok(())
    }

    fn heal(&mut self) {
        for index in 0..self.subscribers.len() {
            let subscriber = &mut self.subscribers[index];
            subscriber.faults.heal();
            if !std::mem::replace(&mut subscriber.is_reading, true) {
                self.receive(index);
            }
        }
    }

    fn report(&self, purges: usize) -> GroupReport {
        let now = self.clock.now();
        let mut report = GroupReport {
            subscribers: self.subscribers.len(),
            processor_micros: processor_micros(),
            resident_bytes: resident_bytes(),
            initial_resident_bytes: self.initial_resident_bytes,
            ..GroupReport::default()
        };
        for subscriber in &self.subscribers {
            report.leased += usize::from(subscriber.has_lease(now));
            report.complete +=
                usize::from(subscriber.latest_record().count_applied(purges) == purges);
            report.traffic.add(subscriber.traffic);
            report.unsent += subscriber.unsent;
            report.record_bytes += subscriber
                .records()
                .iter()
                .map(|record| record.heap_bytes() as u64)
                .sum::<u64>();
            for counters in subscriber.counters(now) {
                report.gaps += counters.gaps;
                report.snapshots += counters.snapshots;
                report.expired_leases += counters.expired_leases;
                report.relay_changes += counters.relay_changes;
                report.rejected += counters.rejected.iter().sum::<u64>();
            }
        }
        report
    }

    fn check(&self, timeline: &Timeline) -> Findings {
        let mut findings = Findings::default();
        for subscriber in &self.subscribers {
            for record in subscriber.records() {
                check_incarnation(&subscriber.name(), record, timeline, &mut findings);
            }
        }
        findings
    }

    /// The lease recovery for each step, up to the next one.
    fn lease_recoveries(&self, step_starts: &[Micros], end: Micros) -> Vec<LeaseRecovery> {
        let ends = step_starts.iter().skip(1).copied().chain([end]);
        let spans = step_starts.iter().copied().zip(ends);
        spans
            .map(|(from, until)| self.lease_recovery(from, until))
            .collect()
    }

    fn lease_recovery(&self, from: Micros, until: Micros) -> LeaseRecovery {
        let mut without_lease = BTreeSet::new();
        let mut leased_after = 0;
        for (index, subscriber) in self.subscribers.iter().enumerate() {
            if let Some(at) = subscriber
                .records()
                .iter()
                .filter_map(|record| last_lease_recovery(record, from, until))
                .max()
            {
                without_lease.insert(index);
                leased_after = leased_after.max(at - from);
            }
        }
        LeaseRecovery {
            without_lease: without_lease.len() as u64,
            leased_after,
        }
    }
}

/// When the last time without a lease that reaches into the span ended; `None` if a lease was held all the time, or the
/// subscriber did not run.
fn last_lease_recovery(record: &IncarnationRecord, from: Micros, until: Micros) -> Option<Micros> {
    let end = record.ended_at.unwrap_or(until).min(until);
    let start = record.started_at.max(from);
    if start >= end {
        return None;
    }
    let mut leased_until = record.started_at;
    let mut last = None;
    for lease in record.leases() {
        let gap_overlaps = leased_until < end && lease.from > start && lease.from > leased_until;
        if gap_overlaps {
            last = Some(lease.from.min(end));
        }
        leased_until = lease.until;
    }
    if leased_until < end {
        last = Some(end);
    }
    last
}
