//! Scripts of faults and expectations: small text files with one step per line.
//!
//! - The first lines describe the fleet: `fronts N`, `zones N`, `period MS`, `contacts N`, `remember S`, `clients N`
//!   (default none) and `seed N`.
//! - `relays N` adds event relays, which WHO names as `r0` or `r1-3`. `r0` publishes the purges of `purge`, and no
//!   proxy receives a purge in another way. `events TEXT` adds settings to `events { ... }` of all members.
//! - `tally NAME` measures the requests per second at caches, parent and origin since the mark or the last tally.
//! - `+S verb ...` waits S seconds, then executes a step: `start WHO`, `kill WHO`, `term WHO`, `stop WHO`, `cont WHO`,
//!   `move WHO` (to another address at its next start), `twin WHO` (starts a second process of the same name at another
//!   address), `link A>B FAULT...`, `links WHO FAULT...` (to and from each), `from WHO FAULT...`, `to WHO FAULT...`,
//!   `split WHO|WHO...`, `heal`, `starve WHO S` (gives it a tenth of the processor time), `mark` (starts the period
//!   that later expectations judge) and `wait`.
//! - WHO is `all`, `3`, `1,4,7`, `2-5`, `zone1` or `70%` (drawn from the seed; the same members at each use).
//! - FAULT is `cut`, `loss=0.1`, `burst=5`, `delay=20`, `jitter=10`, `doubled=0.1`, `short=0.1`, `flipped=0.1`,
//!   `slow=2000` (bytes per second), `flap=500` (milliseconds up, then as many down) or, for streams, `reset` and
//!   `half_open`.
//! - `shared TEXT` adds settings to `fleet { ... }` of each proxy. `older` makes every second proxy run an earlier
//!   build. `effects N over S [at WHO]` sends keyed requests with N idempotency keys, each repeated at random proxies.
//!   `purge [all]` and `drain CACHE [all]` are announced to the first proxy alone or to all proxies.
//! - `expect leased WHO within S` and `expect unleased WHO within S`: proxies hold a relay's lease, or none.
//! - `expect same [urgent] within S` (all proxies hold the same shared state, or the same purges, endpoints and
//!   effects), `expect vouching within S` (all can vote on effects), `expect once [N]` (at most N keys ran twice at the
//!   origin), `expect purged` (no request accepted an older copy half a second after a purge, or 2.9 s with relays),
//!   `expect drained CACHE`.
//! - `expect settled within S`, `expect dead WHO within S` (in all other running proxies' views), `expect known WHO
//!   within S` (the latest start is in all other views), `expect nobody dead [but WHO]`, `expect swings N` (at most N
//!   changes of member states), `expect served SHARE` (of the clients' requests, at least), `expect streamed N` (bytes
//!   over streams, at least), `expect answers` (no response late or unexpected), `expect running` (no proxy
//!   crashed), `expect says WHO TEXT` (in its log).

use crate::check::{self, Groups};
use crate::effects::KeyedClients;
use crate::fleet::{Fleet, FleetOptions, RequestCounts};
use crate::relay::Fault;
use crate::serving::{Clients, Counts};
use crate::{proxy_name, unix_time};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const MAX_SCRIPT_DURATION: Duration = Duration::from_secs(180);
/// Interval at which an expectation is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MEAN_CLIENT_PAUSE: Duration = Duration::from_millis(20);
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(6);

/// The step or expectation that failed.
#[derive(Clone, Debug)]
pub struct StepFailure {
    /// Line number in the script; 0 if the fleet could not be set up.
    pub line: usize,
    pub step: String,
    pub reason: String,
}

/// Measurements of a run: a description, such as the words of the line, and a number.
pub type Figures = Vec<(String, f64)>;

/// Programs that a script runs, and where its artifacts are written.
pub struct Tools {
    /// The `meadowrill` executable.
    pub program: PathBuf,
    /// The `meadowrill-rig` executable, which ends the processes when the run ends.
    pub rig_program: PathBuf,
    /// Folder in which the logs, the link counters and the timeline of a failed run are written.
    pub artifact_dir: Option<PathBuf>,
    pub mutant: Option<String>,
    /// Program of an earlier version, for scripts with the line `older`.
    pub older: Option<PathBuf>,
}

impl Tools {
    /// The program in the same folder as this tool.
    pub fn beside(rig_program: &Path) -> Tools {
        let folder = rig_program.parent().unwrap_or(Path::new("."));
        Tools {
            program: folder.join("meadowrill"),
            rig_program: rig_program.into(),
            artifact_dir: None,
            mutant: None,
            older: None,
        }
    }
}

struct ScriptRun {
    fleet: Fleet,
    groups: Groups,
    clients: Option<Clients>,
    effects: Option<KeyedClients>,
    /// Number of purges so far, which determines the next object to purge.
    purge_count: u64,
    /// Time and counts of the last tally or mark.
    last_tally: (Instant, RequestCounts),
    /// Time of the last mark, since the Unix epoch, and the client counters at that time.
    marked_at: Duration,
    marked_counts: [u64; 6],
    /// Members that a step other than `start` affected since the mark.
    disturbed: BTreeSet<usize>,
    timeline: String,
    figures: Figures,
}

/// Counters in the order of requests sent, satisfied, rejected, cut off and timed out, and unexpected responses.
fn load_counts(counts: &Counts) -> [u64; 6] {
    let all = [
        &counts.sent,
        &counts.satisfied,
        &counts.rejected,
        &counts.connection_lost,
        &counts.timed_out,
        &counts.unexpected,
    ];
    all.map(|count| count.load(Relaxed))
}

/// Plays a script and returns its measurements.
///
/// # Errors
///
/// The first step or expectation that failed.
pub fn play(text: &str, tools: &Tools) -> Result<Figures, StepFailure> {
    let (mut options, mut clients) = (
        FleetOptions {
            mutant: tools.mutant.clone(),
            ..FleetOptions::default()
        },
        0,
    );
    let mut steps = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or("").trim();
        let failure = |reason: &str| StepFailure {
            line: number,
            step: line.into(),
            reason: reason.into(),
        };
        let words: Vec<&str> = line.split_whitespace().collect();
        let value = |at: usize| {
            words
                .get(at)
                .and_then(|w| w.parse::<u64>().ok())
                .ok_or_else(|| failure("no number"))
        };
        match words.first().copied() {
            None => {}
            Some("fronts") => options.proxies = value(1)? as usize,
            Some("relays") => options.relays = value(1)? as usize,
            Some("events") => options.events_settings = words[1..].join(" "),
            Some("zones") => options.zones = value(1)? as usize,
            Some("period") => options.period_ms = value(1)?,
            Some("contacts") => options.contacts = value(1)? as usize,
            Some("remember") => options.remember_s = value(1)?,
            Some("seed") => options.seed = value(1)?,
            Some("clients") => clients = value(1)? as usize,
            Some("shared") => options.fleet_settings = words[1..].join(" "),
            Some("older") => options.older_program = tools.older.clone(),
            Some(_) => steps.push((number, line.to_string())),
        }
    }
    let all: Vec<usize> = (0..options.proxies).collect();
    let fleet =
        Fleet::new(options, &tools.program, &tools.rig_program).map_err(|e| StepFailure {
            line: 0,
            step: String::new(),
            reason: e.to_string(),
        })?;
    let mut run = ScriptRun {
        fleet,
        groups: vec![all],
        clients: None,
        effects: None,
        purge_count: 0,
        last_tally: (Instant::now(), RequestCounts::default()),
        marked_at: unix_time(),
        marked_counts: [0; 6],
        disturbed: BTreeSet::new(),
        timeline: String::new(),
        figures: Vec::new(),
    };
    let started_at = Instant::now();
    for (line, text) in steps {
        let at = started_at.elapsed().as_secs_f64();
        // Writing to a string cannot fail.
        let _ = writeln!(
            run.timeline,
            "{:017.6} rig: {text}",
            unix_time().as_secs_f64()
        );
        let done = if started_at.elapsed() > MAX_SCRIPT_DURATION {
            Err("the script takes too long".to_string())
        } else {
            run.run_step(&text, clients)
        };
        if let Err(reason) = done {
            let failure = StepFailure {
                line,
                step: text,
                reason: format!("after {at:.1} s: {reason}"),
            };
            run.write_artifacts(tools, &failure);
            return Err(failure);
        }
    }
    Ok(run.figures.clone())
}

impl ScriptRun {
    /// Member numbers that a WHO of the script names.
    fn select_members(&self, words: &str) -> Result<Vec<usize>, String> {
        let proxy_count = self.fleet.options.proxies;
        if words == "all" {
            return Ok((0..proxy_count).collect());
        }
        if let Some(zone) = words.strip_prefix("zone") {
            let zone: usize = zone.parse().map_err(|_| format!("no zone: {words}"))?;
            return Ok((0..proxy_count)
                .filter(|n| self.fleet.zone_of(*n) == zone)
                .collect());
        }
        if let Some(share) = words.strip_suffix('%') {
            let share: f64 = share.parse().map_err(|_| format!("no share: {words}"))?;
            let mut all: Vec<usize> = (0..proxy_count).collect();
            fastrand::Rng::with_seed(self.fleet.options.seed).shuffle(&mut all);
            all.truncate((proxy_count as f64 * share / 100.0).round() as usize);
            return Ok(all);
        }
        let mut all = Vec::new();
        for part in words.split(',') {
            // The member numbers of relays follow those of the proxies.
            let (begin, end, part) = match part.strip_prefix('r') {
                Some(relays) => (proxy_count, self.fleet.members(), relays),
                None => (0, proxy_count, part),
            };
            let (from, to) = part.split_once('-').unwrap_or((part, part));
            let number = |n: &str| {
                n.parse::<usize>()
                    .ok()
                    .map(|n| begin + n)
                    .filter(|n| *n < end)
            };
            let known = |n: &str| number(n).ok_or(format!("no proxy or relay: {n}"));
            all.extend(known(from)?..=known(to)?);
        }
        Ok(all)
    }

    fn parse_fault(words: &[&str]) -> Result<Fault, String> {
        let mut fault = Fault::default();
        for word in words {
            let (key, value) = word.split_once('=').unwrap_or((word, "1"));
            let value: f64 = value.parse().map_err(|_| format!("no number: {word}"))?;
            match key {
                "cut" => fault.cut = true,
                "loss" => fault.loss = value,
                "burst" => fault.burst = value as u32,
                "delay" => fault.delay_ms = value,
                "jitter" => fault.jitter_ms = value,
                "doubled" => fault.duplicated = value,
                "short" => fault.truncated = value,
                "flipped" => fault.corrupted = value,
                "slow" => fault.bytes_per_s = value,
                "flap" => fault.flap_ms = value,
                "reset" => fault.reset = true,
                "half_open" => fault.half_open = true,
                other => return Err(format!("no fault: {other}")),
            }
        }
        Ok(fault)
    }

    fn run_step(&mut self, text: &str, clients: usize) -> Result<(), String> {
        let mut words: Vec<&str> = text.split_whitespace().collect();
        if words[0] == "expect" {
            return self.check_expectation(text, &words[1..]);
        }
        if let Some(wait) = words[0].strip_prefix('+') {
            let wait: f64 = wait.parse().map_err(|_| format!("no time: {}", words[0]))?;
            std::thread::sleep(Duration::from_secs_f64(
                wait.clamp(0.0, MAX_SCRIPT_DURATION.as_secs_f64()),
            ));
            words.remove(0);
        }
        let verb = *words.first().ok_or("no step after the time")?;
        let target = words.get(1).copied().unwrap_or("");
        match verb {
            "wait" => {}
            "tally" => self.record_request_rates(&words[1..].join(" ")),
            "mark" => {
                self.last_tally = (Instant::now(), self.fleet.request_counts());
                self.marked_at = unix_time();
                self.disturbed.clear();
                self.marked_counts = self
                    .clients
                    .as_ref()
                    .map_or([0; 6], |c| load_counts(&c.counts));
            }
            "effects" => {
                let key_count: u64 = target.parse().map_err(|_| "no number".to_string())?;
                let over: f64 = words
                    .get(3)
                    .and_then(|w| w.parse().ok())
                    .ok_or("effects N over S [at WHO]")?;
                let at = self.select_members(words.get(5).copied().unwrap_or("all"))?;
                let addresses: Vec<_> = at
                    .into_iter()
                    .map(|n| self.fleet.client_address(n))
                    .collect();
                let seed = self.fleet.options.seed;
                let effects = self
                    .effects
                    .get_or_insert_with(|| KeyedClients::start(&addresses, seed));
                effects.schedule_keys(key_count, Duration::from_secs_f64(over));
            }
            // Purges the objects that the clients request, one after the other.
            "purge" => {
                self.purge_count += 1;
                self.fleet
                    .purge(&format!("{:016x}", self.purge_count % 400), target == "all");
            }
            "drain" => {
                let cache: usize = target.parse().map_err(|_| "no cache".to_string())?;
                self.fleet.drain_cache(cache, words.get(2) == Some(&"all"));
            }
            "heal" => {
                self.fleet.links.heal();
                self.groups = vec![(0..self.fleet.options.proxies).collect()];
            }
            "split" => {
                let sides = target
                    .split('|')
                    .map(|side| self.select_members(side))
                    .collect::<Result<Vec<_>, _>>()?;
                for (a, side) in sides.iter().enumerate() {
                    for (_, other) in sides.iter().enumerate().filter(|(b, _)| *b != a) {
                        for (from, to) in ordered_pairs(side, other) {
                            self.fleet.links.set(
                                from,
                                to,
                                Fault {
                                    cut: true,
                                    ..Fault::default()
                                },
                            );
                        }
                    }
                }
                let proxies = self.fleet.options.proxies;
                let only_fronts =
                    |side: Vec<usize>| side.into_iter().filter(|n| *n < proxies).collect();
                self.groups = sides.into_iter().map(only_fronts).collect();
            }
            "link" => {
                let (from, to) = target.split_once('>').ok_or("a link is written A>B")?;
                let fault = ScriptRun::parse_fault(&words[2..])?;
                for (from, to) in
                    ordered_pairs(&self.select_members(from)?, &self.select_members(to)?)
                {
                    self.fleet.links.set(from, to, fault.clone());
                }
            }
            "links" | "from" | "to" => {
                let members = self.select_members(target)?;
                let all: Vec<usize> = (0..self.fleet.members()).collect();
                let fault = ScriptRun::parse_fault(&words[2..])?;
                let outgoing = ordered_pairs(&members, &all);
                let incoming = ordered_pairs(&all, &members);
                let links = match verb {
                    "from" => outgoing,
                    "to" => incoming,
                    _ => [outgoing, incoming].concat(),
                };
                links
                    .into_iter()
                    .for_each(|(from, to)| self.fleet.links.set(from, to, fault.clone()));
            }
            "start" | "kill" | "term" | "stop" | "cont" | "move" | "twin" | "starve" => {
                let members = self.select_members(target)?;
                self.disturbed
                    .extend(members.iter().copied().filter(|_| verb != "start"));
                if verb == "starve" {
                    let seconds: f64 =
                        words.get(2).and_then(|w| w.parse().ok()).ok_or("no time")?;
                    self.starve(&members, seconds);
                    return Ok(());
                }
                for proxy in members {
                    match verb {
                        "start" => self.fleet.start(proxy).map_err(|e| e.to_string())?,
                        "kill" => self.fleet.kill(proxy),
                        "twin" => self
                            .fleet
                            .start_duplicate(proxy)
                            .map_err(|e| e.to_string())?,
                        "stop" => self.fleet.pause(proxy),
                        "cont" => self.fleet.resume(proxy),
                        "move" => self.fleet.switch_address(proxy),
                        _ => {
                            if !self.fleet.terminate(proxy, TERMINATION_TIMEOUT) {
                                return Err(format!("proxy {proxy} did not end"));
                            }
                        }
                    }
                }
                if clients > 0 && self.clients.is_none() && verb == "start" {
                    let addresses = (0..self.fleet.options.proxies)
                        .map(|n| self.fleet.client_address(n))
                        .collect();
                    self.clients = Some(Clients::start(clients, addresses, MEAN_CLIENT_PAUSE));
                }
            }
            other => return Err(format!("no such step: {other}")),
        }
        Ok(())
    }

    /// Records the requests per second since the last tally.
    fn record_request_rates(&mut self, name: &str) {
        let (now, requests) = (Instant::now(), self.fleet.request_counts());
        let (tallied_at, before) = std::mem::replace(&mut self.last_tally, (now, requests));
        let seconds = (now - tallied_at).as_secs_f64();
        let counts = [
            ("requests at caches", requests.caches - before.caches),
            ("fills of caches", requests.fills - before.fills),
            ("requests at the parent", requests.parent - before.parent),
            ("requests at the origin", requests.origin - before.origin),
        ];
        for (what, count) in counts {
            self.figures
                .push((format!("{name}: {what} a second"), count as f64 / seconds));
        }
    }

    /// Gives the proxies a tenth of the processor time, in periods of a twentieth of a second.
    fn starve(&mut self, members: &[usize], seconds: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            members.iter().for_each(|n| self.fleet.pause(*n));
            std::thread::sleep(Duration::from_millis(45));
            members.iter().for_each(|n| self.fleet.resume(*n));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the check finds no violation any more, and records how long that took.
    fn wait_until_none(
        &mut self,
        text: &str,
        seconds: &str,
        violation: impl Fn(&Fleet) -> Option<String>,
    ) -> Result<(), String> {
        let seconds: f64 = seconds.parse().map_err(|_| format!("no time: {seconds}"))?;
        let started_at = Instant::now();
        loop {
            let at = started_at.elapsed().as_secs_f64();
            let Some(reason) = violation(&self.fleet) else {
                self.figures.push((text.to_string(), at));
                return Ok(());
            };
            if at > seconds {
                return Err(reason);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn check_expectation(&mut self, text: &str, words: &[&str]) -> Result<(), String> {
        let word = |at: usize| words.get(at).copied().unwrap_or("");
        match word(0) {
            "settled" => {
                let groups = self.groups.clone();
                self.wait_until_none(text, word(2), |fleet| check::unsettled(fleet, &groups))
            }
            "dead" => {
                let (members, marked_at) = (self.select_members(word(1))?, self.marked_at);
                self.wait_until_none(text, word(3), |fleet| {
                    let log_entries = check::log_entries(fleet);
                    let others = (0..fleet.options.proxies)
                        .filter(|n| fleet.is_running(*n) && !members.contains(n));
                    let others: Vec<usize> = others.collect();
                    members.iter().find_map(|dead| {
                        let known = check::death_detection_times(&log_entries, *dead, marked_at);
                        let lagging: Vec<_> =
                            others.iter().filter(|n| !known.contains_key(n)).collect();
                        (!lagging.is_empty()).then(|| {
                            format!("proxy {dead} is not dead in the views of {lagging:?}")
                        })
                    })
                })?;
                let log_entries = check::log_entries(&self.fleet);
                for dead in members {
                    for took in
                        check::death_detection_times(&log_entries, dead, marked_at).into_values()
                    {
                        self.figures
                            .push((format!("death of {dead}"), took.as_secs_f64()));
                    }
                }
                Ok(())
            }
            "known" => {
                let members = self.select_members(word(1))?;
                self.wait_until_none(text, word(3), |fleet| {
                    members.iter().find_map(|restarted| {
                        let (member, started_at) = (
                            proxy_name(*restarted),
                            fleet.started_at(*restarted).as_micros() as u64,
                        );
                        let knows = |n: &usize| {
                            let view = fleet.fleet_view(*n);
                            view.is_some_and(|s| {
                                s.present.contains(&member)
                                    && s.start_times.get(&member).is_some_and(|s| *s >= started_at)
                            })
                        };
                        let others = (0..fleet.options.proxies)
                            .filter(|n| n != restarted && fleet.is_running(*n));
                        let lagging: Vec<usize> = others.filter(|n| !knows(n)).collect();
                        (!lagging.is_empty()).then(|| {
                            format!(
                                "the latest start of {member} is not known to proxies {lagging:?}"
                            )
                        })
                    })
                })
            }
            "nobody" => {
                let mut except = self.disturbed.clone();
                if word(2) == "but" {
                    except = self.select_members(word(3))?.into_iter().collect();
                }
                let reports = check::false_death_reports(
                    &check::log_entries(&self.fleet),
                    self.marked_at,
                    &except,
                );
                match reports.first() {
                    Some(entry) => Err(format!(
                        "{} false reports of a death, first: proxy {} {}",
                        reports.len(),
                        entry.observer,
                        entry.text
                    )),
                    None => Ok(()),
                }
            }
            "swings" => {
                let maximum: usize = word(1).parse().map_err(|_| "no number".to_string())?;
                let observed =
                    check::state_change_count(&check::log_entries(&self.fleet), self.marked_at);
                self.figures.push((text.to_string(), observed as f64));
                (observed <= maximum)
                    .then_some(())
                    .ok_or(format!("{observed} changes of member states"))
            }
            "served" | "answers" => {
                let now = self
                    .clients
                    .as_ref()
                    .map(|c| load_counts(&c.counts))
                    .ok_or("no clients")?;
                let [sent, satisfied, rejected, connection_lost, timed_out, unexpected] =
                    [0, 1, 2, 3, 4, 5].map(|at| now[at] - self.marked_counts[at]);
                let all = format!("{sent} requests: {satisfied} satisfied, {rejected} rejected, {connection_lost} connections lost, {timed_out} timed out, {unexpected} unexpected responses");
                if word(0) == "answers" {
                    return (timed_out + unexpected == 0).then_some(()).ok_or(all);
                }
                let minimum: f64 = word(1).parse().map_err(|_| "no share".to_string())?;
                let share = satisfied as f64 / sent.max(1) as f64;
                self.figures.push((text.to_string(), share));
                (sent > 0 && share >= minimum).then_some(()).ok_or(all)
            }
            "same" => self.wait_until_none(text, words.last().copied().unwrap_or(""), |fleet| {
                check::shared_state_difference(fleet, word(1) == "urgent")
            }),
            "vouching" => self.wait_until_none(
                text,
                words.get(2).copied().unwrap_or(""),
                check::unable_to_vote,
            ),
            "once" => {
                let effects = self.effects.as_ref().ok_or("no effects")?;
                if !effects.wait_until_sent(Duration::from_secs(40)) {
                    return Err("not all scheduled requests were sent".into());
                }
                let runs = self.fleet.origin.executions();
                let repeated = runs.values().filter(|n| **n > 1).count();
                let maximum: usize = word(1).parse().unwrap_or(0);
                let summary = effects.counts.summary();
                let share = effects.counts.served.load(Relaxed) as f64
                    / effects.counts.sent.load(Relaxed).max(1) as f64;
                let _ = writeln!(
                    self.timeline,
                    "{:017.6} rig: {summary}",
                    unix_time().as_secs_f64()
                );
                self.figures
                    .push(("marks that ran".into(), runs.len() as f64));
                self.figures
                    .push(("marks that ran twice".into(), repeated as f64));
                self.figures.push((
                    "keyed lookups asked".into(),
                    effects.counts.sent.load(Relaxed) as f64,
                ));
                self.figures.push(("share served".into(), share));
                let violations = effects.counts.unexpected.load(Relaxed)
                    + effects.counts.timed_out.load(Relaxed);
                let passed = repeated <= maximum && violations == 0 && !runs.is_empty();
                passed.then_some(()).ok_or(format!(
                    "{repeated} of {} keys ran twice; {summary}",
                    runs.len()
                ))
            }
            "leased" | "unleased" => {
                let (members, expected) = (self.select_members(word(1))?, word(0) == "leased");
                self.wait_until_none(text, word(3), |fleet| {
                    let lagging = members
                        .iter()
                        .find(|proxy| fleet.holds_lease(**proxy) != Some(expected));
                    lagging.map(|proxy| {
                        format!(
                            "proxy {proxy} is not {}",
                            if expected { "leased" } else { "unleased" }
                        )
                    })
                })
            }
            "purged" => {
                let old = self.fleet.stale_copies_allowed();
                (old == 0).then_some(()).ok_or(format!(
                    "{old} requests accepted a copy from before a purge"
                ))
            }
            "drained" => {
                let cache: usize = word(1).parse().map_err(|_| "no cache".to_string())?;
                let before = self.fleet.cache_requests(cache);
                std::thread::sleep(Duration::from_secs(1));
                let more = self.fleet.cache_requests(cache) - before;
                (more == 0)
                    .then_some(())
                    .ok_or(format!("{more} requests to the cache within a second"))
            }
            "streamed" => {
                let minimum: u64 = word(1).parse().map_err(|_| "no number".to_string())?;
                let observed: u64 = self
                    .fleet
                    .links
                    .counts()
                    .values()
                    .map(|count| count.streamed)
                    .sum();
                self.figures.push((text.to_string(), observed as f64));
                (observed >= minimum)
                    .then_some(())
                    .ok_or(format!("{observed} bytes over streams"))
            }
            "running" => {
                let crashed = self.fleet.crashed();
                crashed
                    .is_empty()
                    .then_some(())
                    .ok_or(format!("proxies crashed: {crashed:?}"))
            }
            "says" => {
                let expected = words[2..].join(" ");
                for proxy in self.select_members(word(1))? {
                    let log =
                        std::fs::read_to_string(self.fleet.log_path(proxy)).unwrap_or_default();
                    if !log.contains(&expected) {
                        return Err(format!(
                            "the log of proxy {proxy} does not contain {expected:?}"
                        ));
                    }
                }
                Ok(())
            }
            other => Err(format!("no such expectation: {other}")),
        }
    }

    /// Writes the logs, the link counters and one timeline of all steps and log lines.
    fn write_artifacts(&mut self, tools: &Tools, failure: &StepFailure) {
        let Some(artifact_dir) = &tools.artifact_dir else {
            return;
        };
        let mut timeline: Vec<(f64, String)> = Vec::new();
        for line in self.timeline.lines() {
            let at = line
                .split(' ')
                .next()
                .and_then(|t| t.parse().ok())
                .unwrap_or(0.0);
            timeline.push((at, line.to_string()));
        }
        for entry in check::log_entries(&self.fleet) {
            let at = entry.at.as_secs_f64();
            timeline.push((
                at,
                format!("{at:017.6} front-{}: {}", entry.observer, entry.text),
            ));
        }
        timeline.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text: String = timeline.into_iter().map(|(_, line)| line + "\n").collect();
        let _ = writeln!(
            text,
            "failed at line {}: {}: {}",
            failure.line, failure.step, failure.reason
        );
        let links: String = self
            .fleet
            .links
            .counts()
            .into_iter()
            .map(|((from, to), count)| format!("{from}>{to} {count:?}\n"))
            .collect();
        let written = std::fs::create_dir_all(artifact_dir)
            .and_then(|()| std::fs::write(artifact_dir.join("story.txt"), text))
            .and_then(|()| std::fs::write(artifact_dir.join("links.txt"), links))
            .and_then(|()| {
                (0..self.fleet.options.proxies)
                    .filter(|n| self.fleet.log_path(*n).exists())
                    .try_for_each(|n| {
                        std::fs::copy(
                            self.fleet.log_path(n),
                            artifact_dir.join(format!("front-{n}.log")),
                        )
                        .map(|_| ())
                    })
            });
        if let Err(e) = written {
            eprintln!("{}: {e}", artifact_dir.display());
        }
    }
}

fn ordered_pairs(members: &[usize], others: &[usize]) -> Vec<(usize, usize)> {
    let pairs = members
        .iter()
        .flat_map(|a| others.iter().map(move |b| (*a, *b)));
    pairs.filter(|(a, b)| a != b).collect()
}

/// Generates a random script from a seed: transient faults, then a period without faults, then expectations.
pub fn draw(seed: u64, proxies: usize) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut text = format!(
        "fronts {proxies}\nperiod 200\nseed {seed}\nclients 2\nshared replica {{ period_ms: 200 ledger {{ }} }}\n+0 start all\n\
         expect settled within 10\nexpect vouching within 10\n+0 mark\n+0 effects 150 over 6\n"
    );
    let mut down = BTreeSet::new();
    for _ in 0..rng.usize(3..8) {
        let wait = f64::from(rng.u32(0..15)) / 10.0;
        let (a, b) = (rng.usize(0..proxies), rng.usize(0..proxies));
        let line = match rng.usize(0..9) {
            0 => {
                // Records held by two of three proxies survive the loss of one of them, but not of two.
                if down.insert(a) && down.len() > 1 {
                    down.remove(&a);
                    continue;
                }
                format!("kill {a}")
            }
            // Shorter than the time limit of clients, as a stopped proxy answers no request.
            1 => format!("stop {a}\n+{} cont {a}", f64::from(rng.u32(2..20)) / 10.0),
            2 => format!("cont {a}"),
            3 => {
                down.remove(&a);
                format!("start {a}")
            }
            4 => format!("link {a}>{b} cut"),
            5 => format!("links {a} loss=0.{} jitter=30", rng.usize(1..6)),
            6 => format!("from {a} flap=300"),
            7 => "purge".to_string(),
            _ => format!(
                "split 0-{}|{}-{}",
                proxies / 2 - 1,
                proxies / 2,
                proxies - 1
            ),
        };
        let _ = writeln!(text, "+{wait} {line}");
    }
    text + "+1 heal\n+0 cont all\n+0 start all\nexpect settled within 12\nexpect once\nexpect same urgent within 5\n\
            expect answers\nexpect running\n"
}

/// Removes steps from a failing script as long as it still fails. `fails` plays a script.
pub fn shrink(text: &str, mut fails: impl FnMut(&str) -> bool) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    let mut at = lines.len();
    while at > 0 {
        at -= 1;
        let without: Vec<&str> = lines
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != at)
            .map(|(_, l)| *l)
            .collect();
        if lines[at].starts_with('+') && fails(&(without.join("\n") + "\n")) {
            lines = without;
        }
    }
    lines.join("\n") + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failing_script_shrinks_to_what_fails() {
        let text =
            "fronts 4\n+0 start all\n+1 kill 2\n+0 stop 3\n+1 cont 3\nexpect settled within 1\n";
        let short = shrink(text, |text| {
            text.contains("kill 2") && text.contains("start all")
        });
        assert_eq!(
            short,
            "fronts 4\n+0 start all\n+1 kill 2\nexpect settled within 1\n"
        );
    }

    #[test]
    fn one_seed_draws_one_schedule() {
        assert_eq!(draw(7, 8), draw(7, 8));
        assert_ne!(draw(7, 8), draw(8, 8));
    }
}
