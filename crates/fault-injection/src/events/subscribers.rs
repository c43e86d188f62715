//! A process of many hollow subscribers, each with a socket of its own, in one loop.

use super::check::{check_life, Findings, Timeline};
use super::clock::SharedClock;
use super::hollow::HollowSubscriber;
use super::protocol::{Command, GroupPlan, GroupReport, Reply, Return};
use super::record::Life;
use meadowrill_event_distribution::settings::MILLISECOND;
use meadowrill_event_distribution::Micros;
use mio::{Events, Interest, Poll, Token, Waker};
use rustix::time::{clock_gettime, ClockId};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io::{self, BufRead, Write};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const EVENTS_MOST: usize = 1_024;
/// The loop looks so often at least.
const LOOK: Micros = 200 * MILLISECOND;
const COMMANDS: Token = Token(usize::MAX);

/// Holds the subscribers of the plan until standard input ends.
pub fn hold_subscribers(plan: GroupPlan) -> io::Result<()> {
    let poll = Poll::new()?;
    let commands = read_commands(Waker::new(poll.registry(), COMMANDS)?);
    let mut group = Group::open(plan, poll)?;
    let mut events = Events::with_capacity(EVENTS_MOST);
    loop {
        group.wait(&mut events)?;
        loop {
            match commands.try_recv() {
                Ok(command) => group.obey(command)?,
                Err(std::sync::mpsc::TryRecvError::Empty) => break,
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return Ok(()),
            }
        }
        group.tick_due();
    }
}

/// Reads commands in a thread of its own, which wakes the loop for each and for the end.
fn read_commands(waker: Waker) -> Receiver<Command> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                eprintln!("no command: {line}");
                break;
            };
            let woken = sender.send(command).is_ok() && waker.wake().is_ok();
            if !woken {
                return;
            }
        }
        drop(sender);
        // Without it the loop still looks now and then.
        let _ = waker.wake();
    });
    receiver
}

fn answer(reply: &Reply) -> io::Result<()> {
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
    subscribers: Vec<HollowSubscriber>,
    /// Due times by subscriber; those that no longer count are passed over.
    wakes: BinaryHeap<Reverse<(Micros, usize)>>,
    /// The earliest one in `wakes` of each.
    wake_of: Vec<Micros>,
    resident_at_first: u64,
}

impl Group {
    fn open(plan: GroupPlan, poll: Poll) -> io::Result<Group> {
        let clock = SharedClock::with_offset(plan.clock_offset);
        let events_plan = plan.events_plan();
        let mut group = Group {
            resident_at_first: resident_bytes(),
            clock,
            poll,
            subscribers: Vec::with_capacity(plan.many),
            wakes: BinaryHeap::new(),
            wake_of: vec![Micros::MAX; plan.many],
            plan,
        };
        for index in 0..group.plan.many {
            let number = group.plan.first + index;
            let seed = group.plan.seed ^ (number as u64) << 20;
            let (now, sabotage) = (group.clock.now(), group.plan.sabotage);
            let subscriber = HollowSubscriber::open(&events_plan, number, now, seed, sabotage)?;
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
        if wake < self.wake_of[index] {
            self.wake_of[index] = wake;
            self.wakes.push(Reverse((wake, index)));
        }
    }

    /// Waits for datagrams, commands and the next due time, and takes in what has come.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let next = self
            .wakes
            .peek()
            .map_or(Micros::MAX, |Reverse((at, _))| *at);
        let wait = next.saturating_sub(now).clamp(0, LOOK);
        match self
            .poll
            .poll(events, Some(Duration::from_micros(wait.unsigned_abs())))
        {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        for event in events.iter().filter(|event| event.token() != COMMANDS) {
            self.receive(event.token().0);
        }
        Ok(())
    }

    fn receive(&mut self, index: usize) {
        let now = self.clock.now();
        if !self.subscribers[index].stopped(now) {
            self.subscribers[index].receive_all(now);
            self.schedule(index);
        }
    }

    fn tick_due(&mut self) {
        loop {
            let now = self.clock.now();
            let Some(Reverse((at, index))) = self
                .wakes
                .peek()
                .copied()
                .filter(|Reverse((at, _))| *at <= now)
            else {
                return;
            };
            self.wakes.pop();
            if at != self.wake_of[index] {
                continue;
            }
            self.wake_of[index] = Micros::MAX;
            self.tick(index, now);
        }
    }

    fn tick(&mut self, index: usize, now: Micros) {
        let subscriber = &mut self.subscribers[index];
        if !subscriber.stopped(now) {
            // One that was stopped finds what came meanwhile; its socket was told to be readable long ago.
            if std::mem::replace(&mut subscriber.stopped_until, Micros::MIN) != Micros::MIN {
                subscriber.receive_all(now);
            }
            subscriber.tick(now);
        }
        self.schedule(index);
    }

    /// Those of the numbers that are held here, by their places.
    fn held(&self, numbers: &[usize]) -> Vec<usize> {
        let own = self.plan.first..self.plan.first + self.plan.many;
        numbers
            .iter()
            .filter(|number| own.contains(number))
            .map(|number| number - self.plan.first)
            .collect()
    }

    fn obey(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Restart { subscribers } => {
                for index in self.held(&subscribers) {
                    self.restart(index)?;
                }
            }
            Command::Stop {
                subscribers,
                span_ms,
            } => {
                let until = self.clock.now() + span_ms * MILLISECOND;
                for index in self.held(&subscribers) {
                    self.subscribers[index].stopped_until = until;
                }
            }
            Command::StopReading { subscribers } => {
                for index in self.held(&subscribers) {
                    self.subscribers[index].reads = false;
                }
            }
            Command::CutOff {
                subscribers,
                relays,
            } => {
                for index in self.held(&subscribers) {
                    let faults = &mut self.subscribers[index].faults;
                    faults.cut_off = faults.cut_off.with(relays);
                }
            }
            Command::Lose { share } => {
                self.subscribers
                    .iter_mut()
                    .for_each(|subscriber| subscriber.faults.loss = share);
            }
            Command::Heal => self.heal(),
            Command::Report { purges } => answer(&Reply::Report(self.report(purges)))?,
            Command::Check { timeline, marks } => {
                let findings = self.check(&timeline);
                let returns = self.returns(&marks, timeline.end);
                answer(&Reply::Checked { findings, returns })?;
            }
        }
        Ok(())
    }

    fn restart(&mut self, index: usize) -> io::Result<()> {
        let now = self.clock.now();
        self.subscribers[index].restart(now)?;
        self.register(index)?;
        self.wake_of[index] = Micros::MAX;
        self.schedule(index);
        Ok(())
    }

    fn heal(&mut self) {
        for index in 0..self.subscribers.len() {
            let subscriber = &mut self.subscribers[index];
            subscriber.faults.heal();
            if !std::mem::replace(&mut subscriber.reads, true) {
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
            resident_at_first: self.resident_at_first,
            ..GroupReport::default()
        };
        for subscriber in &self.subscribers {
            report.leased += usize::from(subscriber.leased(now));
            report.complete +=
                usize::from(subscriber.latest_life().count_applied(purges) == purges);
            report.traffic.add(subscriber.traffic);
            report.unsent += subscriber.unsent;
            report.record_bytes += subscriber
                .lives()
                .iter()
                .map(|life| life.bytes() as u64)
                .sum::<u64>();
            for counters in subscriber.counters(now) {
                report.gaps += counters.gaps;
                report.snapshots += counters.snapshots;
                report.lapses += counters.expired_leases;
                report.switches += counters.relay_changes;
                report.rejected += counters.rejected.iter().sum::<u64>();
            }
        }
        report
    }

    fn check(&self, timeline: &Timeline) -> Findings {
        let mut findings = Findings::default();
        for subscriber in &self.subscribers {
            for life in subscriber.lives() {
                check_life(&subscriber.name(), life, timeline, &mut findings);
            }
        }
        findings
    }

    /// For each mark, up to the next one.
    fn returns(&self, marks: &[Micros], end: Micros) -> Vec<Return> {
        let ends = marks.iter().skip(1).copied().chain([end]);
        let spans = marks.iter().copied().zip(ends);
        spans
            .map(|(from, until)| self.returned(from, until))
            .collect()
    }

    fn returned(&self, from: Micros, until: Micros) -> Return {
        let mut without_lease = BTreeSet::new();
        let mut leased_after = 0;
        for (index, subscriber) in self.subscribers.iter().enumerate() {
            if let Some(at) = subscriber
                .lives()
                .iter()
                .filter_map(|life| last_return(life, from, until))
                .max()
            {
                without_lease.insert(index);
                leased_after = leased_after.max(at - from);
            }
        }
        Return {
            without_lease: without_lease.len() as u64,
            leased_after,
        }
    }
}

/// The end of the last time without a lease that reached into the span; none where a lease was held all along.
fn last_return(life: &Life, from: Micros, until: Micros) -> Option<Micros> {
    let end = life.ended.unwrap_or(until).min(until);
    let begun = life.begun.max(from);
    if begun >= end {
        return None;
    }
    let mut leased_until = life.begun;
    let mut last = None;
    for lease in life.leases() {
        let gap_reaches_in = leased_until < end && lease.from > begun && lease.from > leased_until;
        if gap_reaches_in {
            last = Some(lease.from.min(end));
        }
        leased_until = lease.until;
    }
    if leased_until < end {
        last = Some(end);
    }
    last
}
