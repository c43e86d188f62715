//! Runs the scenarios of this folder. A scenario is a text file with one step per line; times are in seconds:
//!
//! - `use FILE` runs another file first; `set NAME VALUE` changes a setting; `T start` starts the router.
//! - `T list NAME=KIND[,ZONE[,STARTED_AT]] ...` sends a complete endpoint list, `T drain NAME` and `T remove NAME`
//!   send a delta, and `T list-failed` reports a failed poll.
//! - `T request ID [object=] [part=] [size=] [class=] [group=] [deadline=]` sends a request; `T burst FROM N SPAN ...`
//!   sends N requests over SPAN seconds, each for an object of its own.
//! - `T end ID ATTEMPT OUTCOME [elapsed=] [status=] [first_byte=] [size=] [report=]` ends an attempt; `T answer FROM N
//!   NAME,... OUTCOME ...` ends those first attempts of N requests that were sent to one of the NAMEs.
//! - `T left ID` and `T half-closed ID` are events of the client; `T connected ID ATTEMPT` reports that the
//!   connection of an attempt is established.
//! - `T discovery-lags SINCE` and `T discovery-current` report whether discovery lags; `T invalidate object=|group=
//!   age=`, `T invalidate-many FROM N`, `T invalidations-missed` and `T freshness-bound [not_before=] [max_age=]`
//!   concern the freshness of copies.
//! - `expect ID attempt [to=] [from=] [retention=] [cached_only=] [max_age=] [max_age<=] [timeout<=]` checks and
//!   removes the next action for the request, and so do `expect ID reject [retry_after>=]`, `expect ID fail` and
//!   `expect ID write`. `expect ID nothing` checks that there is no such action, `expect ID cancel` that one attempt
//!   was cancelled since the last check. `?x` binds an endpoint's name, `$x` is the bound name, `!$x` any other name.
//! - `expect poll` checks that discovery was polled once since the last check, `expect released NAME ...` which indices
//!   were released since.
//! - `count NAME FROM TO LEAST MOST` bounds the number of attempts that were sent to an endpoint, or named it as
//!   source, between two times.
//!
//! The actions of each scenario are also compared with its recording (`tests/trace/mod.rs`).

mod expectation;
#[path = "../trace/mod.rs"]
mod trace;
mod words;

use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, VecDeque};
use words::{attempt_outcome, cache_status, option, parsed, time, time_option};

/// A running scenario.
#[derive(Default)]
struct Scenario {
    settings: Settings,
    router: Option<Router>,
    names: Vec<String>,
    bound_names: BTreeMap<String, String>,
    entries: BTreeMap<EndpointIndex, EndpointEntry>,
    /// Endpoints of the attempts of each request.
    attempts: BTreeMap<u32, Vec<EndpointIndex>>,
    /// The actions for each request that no expectation has checked yet.
    unchecked: BTreeMap<u32, VecDeque<Action>>,
    /// Times at which an attempt used each endpoint, as target or as source.
    uses: Vec<(Micros, EndpointIndex)>,
    timers: Vec<(Micros, u32)>,
    polls: usize,
    released: Vec<EndpointIndex>,
    cancelled: BTreeMap<u32, usize>,
    trace: String,
}

impl Scenario {
    /// The endpoint name that a word denotes: the bound name for `$x`, otherwise the word itself.
    fn name(&self, word: &str) -> String {
        let bound = word
            .strip_prefix('$')
            .map(|variable| self.bound_names[variable].clone());
        bound.unwrap_or_else(|| word.to_string())
    }

    fn endpoint(&mut self, word: &str) -> EndpointIndex {
        let name = self.name(word);
        let known = self.names.iter().position(|known| *known == name);
        known.unwrap_or_else(|| {
            self.names.push(name);
            self.names.len() - 1
        })
    }

    /// Fires the timers that were due before `now`, then passes the event to the router.
    fn handle(&mut self, now: Micros, event: Event) {
        self.timers.sort();
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at < now) {
            self.timers.remove(0);
            self.handle_now(at, Event::TimerFired { timer });
        }
        self.handle_now(now, event);
    }

    fn handle_now(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let router = self.router.as_mut().expect("the router has started");
        router.handle_event(now, event, &mut actions);
        self.record(now, actions);
    }

    fn record(&mut self, now: Micros, actions: Vec<Action>) {
        for action in actions {
            self.trace.push_str(&format!("{now} "));
            trace::write_action(&mut self.trace, &action);
            match action {
                Action::StartAttempt {
                    id, endpoint, fill, ..
                } => {
                    self.attempts.entry(id).or_default().push(endpoint);
                    self.uses.push((now, endpoint));
                    let source = fill
                        .map(|fill| fill.source)
                        .filter(|source| *source != endpoint);
                    self.uses.extend(source.map(|source| (now, source)));
                    self.unchecked.entry(id).or_default().push_back(action);
                }
                Action::Reject { id, .. }
                | Action::Fail { id }
                | Action::WriteAttempt { id, .. } => {
                    self.unchecked.entry(id).or_default().push_back(action);
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                Action::PollDiscovery => self.polls += 1,
                Action::ReleaseEndpoint { endpoint } => self.released.push(endpoint),
                Action::CancelAttempt { id, .. } => *self.cancelled.entry(id).or_default() += 1,
                Action::Log(_) => {}
            }
        }
    }

    fn request(&self, id: u32, now: Micros, words: &[&str]) -> Request {
        let number = |name, default: f64| option(words, name).map_or(default, parsed);
        Request {
            id,
            object: number("object", 1.0) as u64,
            part: number("part", 0.0) as u32,
            size_kb: number("size", 0.0),
            group: number("group", 0.0) as u32,
            class: number("class", 0.0) as usize,
            deadline: now + (number("deadline", 5.0) * 1e6) as Micros,
            effect: 0,
        }
    }

    fn entry(&mut self, word: &str) -> EndpointEntry {
        let (name, rest) = word.split_once('=').expect("NAME=KIND");
        let fields: Vec<&str> = rest.split(',').collect();
        let hash = |hash: u64, byte| hash.wrapping_mul(1_000_003) ^ u64::from(byte);
        EndpointEntry {
            address: 0,
            endpoint: self.endpoint(name),
            stable_id: name.bytes().fold(7, hash),
            endpoint_kind: parsed(fields[0]),
            zone: fields.get(1).copied().map_or(0, parsed),
            started_at: fields.get(2).copied().map_or(0, time),
            cell: 0,
            weight: 4.0,
            status: EndpointStatus::Ready,
        }
    }

    fn attempt_end(&self, id: u32, attempt: u8, words: &[&str]) -> Event {
        let outcome = attempt_outcome(words[0]);
        let report = option(words, "report");
        let load_report = report.map_or(Vec::new(), |r| r.split(',').map(parsed).collect());
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint: self.attempts[&id][usize::from(attempt)],
            outcome,
            elapsed: time(option(words, "elapsed").unwrap_or("0.05")),
            finished: outcome == AttemptOutcome::Success,
            cache_status: cache_status(option(words, "status")),
            first_byte: time_option(words, "first_byte"),
            size_kb: option(words, "size").map_or(0.0, parsed),
            load_report,
        })
    }

    /// Runs a line. Returns false if an expectation is not met.
    fn step(&mut self, line: &str) -> bool {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[0] {
            "use" => self.run_file(words[1]),
            "set" => {
                let value = words.get(2).copied().unwrap_or("");
                self.settings.insert(words[1].into(), value.into());
            }
            "expect" => return self.expect(&words[1..]),
            "count" => return self.count(&words[1..]),
            at => self.run_event(time(at), words[1], &words[2..]),
        }
        true
    }

    fn run_event(&mut self, now: Micros, verb: &str, words: &[&str]) {
        match verb {
            "start" => self.start_router(now),
            "burst" => self.burst(now, words),
            "answer" => self.answer_first_attempts(now, words),
            "invalidate-many" => self.invalidate_many(now, words),
            "list" => {
                let entries: Vec<EndpointEntry> = words.iter().map(|w| self.entry(w)).collect();
                self.entries = entries
                    .iter()
                    .map(|entry| (entry.endpoint, *entry))
                    .collect();
                self.handle(
                    now,
                    Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries)),
                );
            }
            "drain" => self.change_status(now, words[0], EndpointStatus::Draining),
            "remove" => self.change_status(now, words[0], EndpointStatus::Removed),
            _ => {
                let event = self.event(now, verb, words);
                self.handle(now, event);
            }
        }
    }

    fn event(&self, now: Micros, verb: &str, words: &[&str]) -> Event {
        match verb {
            "list-failed" => Event::EndpointsUpdated(EndpointUpdate::Unavailable),
            "request" => Event::RequestArrived(self.request(parsed(words[0]), now, words)),
            "end" => self.attempt_end(parsed(words[0]), parsed(words[1]), &words[2..]),
            "left" => Event::ClientLeft {
                id: parsed(words[0]),
            },
            "half-closed" => Event::ClientHalfClosed {
                id: parsed(words[0]),
            },
            "connected" => Event::AttemptConnected {
                id: parsed(words[0]),
                attempt: parsed(words[1]),
            },
            "discovery-lags" => Event::DiscoveryLag {
                since: Some(time(words[0])),
            },
            "discovery-current" => Event::DiscoveryLag { since: None },
            "invalidations-missed" => Event::InvalidationsMissed,
            "freshness-bound" => Event::FreshnessBound {
                not_before: time_option(words, "not_before"),
                max_age: time_option(words, "max_age"),
            },
            "invalidate" => Event::Invalidated {
                object: option(words, "object").map(parsed),
                group: option(words, "group").map_or(0, parsed),
                age: time(option(words, "age").unwrap_or("0")),
            },
            other => panic!("unknown verb {other}"),
        }
    }

    fn start_router(&mut self, now: Micros) {
        let mut actions = Vec::new();
        self.router = Some(Router::new(1, &self.settings, &mut actions));
        self.record(now, actions);
    }

    fn change_status(&mut self, now: Micros, name: &str, status: EndpointStatus) {
        let endpoint = self.endpoint(name);
        let entry = EndpointEntry {
            status,
            ..self.entries[&endpoint]
        };
        self.handle(
            now,
            Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])),
        );
    }

    fn burst(&mut self, now: Micros, words: &[&str]) {
        let (from, count): (u32, u32) = (parsed(words[0]), parsed(words[1]));
        for number in 0..count {
            let at = now + time(words[2]) * i64::from(number) / i64::from(count);
            let id = from + number;
            let request = Request {
                object: u64::from(id),
                ..self.request(id, at, words)
            };
            self.handle(at, Event::RequestArrived(request));
        }
    }

    fn answer_first_attempts(&mut self, now: Micros, words: &[&str]) {
        let (from, count): (u32, u32) = (parsed(words[0]), parsed(words[1]));
        let endpoints: Vec<_> = words[2]
            .split(',')
            .map(|name| self.endpoint(name))
            .collect();
        for id in from..from + count {
            let first = self.attempts.get(&id).map(|attempts| attempts[0]);
            if first.is_some_and(|first| endpoints.contains(&first)) {
                let event = self.attempt_end(id, 0, &words[3..]);
                self.handle(now, event);
            }
        }
    }

    fn invalidate_many(&mut self, now: Micros, words: &[&str]) {
        let (from, count): (u64, u64) = (parsed(words[0]), parsed(words[1]));
        for object in from..from + count {
            self.handle(
                now,
                Event::Invalidated {
                    object: Some(object),
                    group: 0,
                    age: 0,
                },
            );
        }
    }

    fn run_file(&mut self, name: &str) {
        let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or("").trim();
            assert!(
                line.is_empty() || self.step(line),
                "{name}.txt line {number}: {line}"
            );
        }
    }

    fn run(mut self, name: &str) {
        self.run_file(name);
        trace::assert_recorded(&format!("scenarios/{name}"), &self.trace);
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                Scenario::default().run(stringify!($name));
            }
        )*
    };
}

scenarios! {
    one_answer answer_in_time no_effect_twice drains warming_cache warming_parent unreachable_endpoint
    invalidations tail_retention repeat_window source_choice unresponsive_parent overload_of_fills
    cache_at_its_limit failing_cache many_proxies emptied_caches full_link few_proxies fill_under_way
    shared_sequential_scan refusing_origin slow_outlier recovered_endpoint shared_failures parent_copies
    max_attempts failing_parent slack_within_the_objective unresponsive_cache all_caches_ejected
    answer_after_silence copies_past_the_caches restarted_proxy discovery replaced_endpoint bare_settings
    sizes_in_answers partly_failing_cache resets stalling_cache half_closed connected discovery_lag
    freshness_bound forgotten_invalidations missed_invalidations first_samples odd_settings unreachable_for_small_proxies
}
