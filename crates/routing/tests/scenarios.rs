//! Plays the scenarios of `tests/scenarios`, small text files of one step a line, times in seconds:
//!
//! - `use FILE` plays another file first; `set NAME VALUE` lays a setting; `T start` starts the front.
//! - `T list NAME=MACHINE[,ZONE[,SINCE]] ...` gives a full list, `T drain NAME` and `T gone NAME` a change,
//!   `T unlisted` a failed call.
//! - `T ask ID [object=] [part=] [size=] [kind=] [group=] [until=]` brings a lookup, `T flood FROM N SPAN
//!   ...` N of them, each for an object of its own, over SPAN seconds.
//! - `T end ID SEND ENDING [took=] [remark=] [byte=] [size=] [report=]` ends a send, `T answer FROM N NAME,...
//!   ENDING ...` the first sends of N lookups as far as they went to a NAME; `T left ID`, `T half-closed ID`;
//!   `T connected ID SEND` tells that its connection is up, `T out-of-touch SINCE` and `T in-touch` how the list stands; `T purge object=|group= ago=`.
//! - `expect ID send [to=] [from=] [keep=] [held=] [age=] [age<=] [out<=]` takes the next action for the
//!   lookup, as do `expect ID nack [back>=]`, `expect ID fail`, `expect ID write`; `expect ID nothing` holds when
//!   there is none, `expect ID cancel` when one send was called back since.
//!   `?x` binds a machine's name, `$x` is the name bound, `!$x` any other.
//! - `expect subscribe` counts a call, `expect forgotten NAME ...` what was forgotten since.
//! - `count NAME FROM TO LEAST MOST` bounds the sends that reached a machine, or named it as source, between
//!   two moments.
//!
//! All actions of a scenario are compared with its recording, too (`trace/mod.rs`).

mod trace;

use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::{BTreeMap, VecDeque};

#[derive(Default)]
struct Play {
    settings: Settings,
    front: Option<Router>,
    names: Vec<String>,
    bound: BTreeMap<String, String>,
    entries: BTreeMap<EndpointIndex, EndpointEntry>,
    sends: BTreeMap<u32, Vec<EndpointIndex>>,
    queue: BTreeMap<u32, VecDeque<Action>>,
    log: Vec<(Micros, EndpointIndex)>,
    rings: Vec<(Micros, u32)>,
    subscribed: usize,
    forgotten: Vec<EndpointIndex>,
    cancelled: BTreeMap<u32, usize>,
    trace: String,
}

fn time(text: &str) -> Micros {
    (text
        .parse::<f64>()
        .unwrap_or_else(|_| panic!("not a time: {text}"))
        * 1e6)
        .round() as Micros
}

fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

impl Play {
    fn name(&self, word: &str) -> String {
        word.strip_prefix('$')
            .map_or(word.to_string(), |b| self.bound[b].clone())
    }

    fn endpoint(&mut self, word: &str) -> EndpointIndex {
        let name = self.name(word);
        self.names
            .iter()
            .position(|n| *n == name)
            .unwrap_or_else(|| {
                self.names.push(name);
                self.names.len() - 1
            })
    }

    fn hear(&mut self, now: Micros, event: Event) {
        self.rings.sort();
        while let Some(&(at, timer)) = self.rings.first().filter(|r| r.0 < now) {
            self.rings.remove(0);
            self.act(at, Event::TimerFired { timer });
        }
        self.act(now, event);
    }

    fn act(&mut self, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.front
            .as_mut()
            .expect("started")
            .handle_event(now, event, &mut out);
        self.note(now, out);
    }

    fn note(&mut self, now: Micros, out: Vec<Action>) {
        for action in out {
            self.trace.push_str(&format!("{now} "));
            trace::write_action(&mut self.trace, &action);
            match action {
                Action::StartAttempt {
                    id, endpoint, fill, ..
                } => {
                    self.sends.entry(id).or_default().push(endpoint);
                    self.log.push((now, endpoint));
                    self.log.extend(
                        fill.filter(|f| f.source != endpoint)
                            .map(|f| (now, f.source)),
                    );
                    self.queue.entry(id).or_default().push_back(action);
                }
                Action::Reject { id, .. }
                | Action::Fail { id }
                | Action::WriteAttempt { id, .. } => {
                    self.queue.entry(id).or_default().push_back(action);
                }
                Action::SetTimer { at, timer } => self.rings.push((at, timer)),
                Action::PollDiscovery => self.subscribed += 1,
                Action::ReleaseEndpoint { endpoint } => self.forgotten.push(endpoint),
                Action::CancelAttempt { id, .. } => *self.cancelled.entry(id).or_default() += 1,
                Action::Log(_) => {}
            }
        }
    }

    fn lookup(&self, id: u32, now: Micros, words: &[&str]) -> Request {
        let num = |name, default: f64| option(words, name).map_or(default, |v| v.parse().unwrap());
        Request {
            id,
            object: num("object", 1.0) as u64,
            part: num("part", 0.0) as u32,
            size_kb: num("size", 0.0),
            group: num("group", 0.0) as u32,
            class: num("kind", 0.0) as usize,
            deadline: now + (num("until", 5.0) * 1e6) as Micros,
        }
    }

    fn entry(&mut self, word: &str) -> EndpointEntry {
        let (name, rest) = word.split_once('=').expect("NAME=MACHINE");
        let parts: Vec<&str> = rest.split(',').collect();
        let endpoint = self.endpoint(name);
        EndpointEntry {
            endpoint,
            stable_id: name
                .bytes()
                .fold(7, |h: u64, b| h.wrapping_mul(1_000_003) ^ u64::from(b)),
            machine_kind: parts[0].parse().unwrap(),
            zone: parts.get(1).map_or(0, |z| z.parse().unwrap()),
            started_at: parts.get(2).map_or(0, |s| time(s)),
            cell: 0,
            weight: 4.0,
            status: EndpointStatus::Ready,
        }
    }

    fn same(&mut self, want: &str, endpoint: EndpointIndex) -> bool {
        if let Some(variable) = want.strip_prefix('?') {
            self.bound
                .insert(variable.to_string(), self.names[endpoint].clone());
            return true;
        }
        match want.strip_prefix('!') {
            Some(other) => self.name(other) != self.names[endpoint],
            None => self.name(want) == self.names[endpoint],
        }
    }

    fn expect(&mut self, words: &[&str]) -> bool {
        if words[0] == "subscribe" {
            return std::mem::take(&mut self.subscribed) == 1;
        }
        if words[0] == "forgotten" {
            let names: Vec<&str> = self
                .forgotten
                .drain(..)
                .map(|ix| self.names[ix].as_str())
                .collect();
            return names == words[1..];
        }
        let id: u32 = words[0].parse().unwrap();
        if words[1] == "cancel" {
            return self.cancelled.remove(&id) == Some(1);
        }
        let next = self.queue.entry(id).or_default().pop_front();
        match (words[1], next) {
            ("nothing", next) => next.is_none(),
            ("fail", Some(Action::Fail { .. })) => true,
            ("write", Some(Action::WriteAttempt { .. })) => true,
            ("nack", Some(Action::Reject { retry_after, .. })) => words[2..].iter().all(|w| {
                w.strip_prefix("back>=")
                    .is_some_and(|b| retry_after >= time(b))
            }),
            (
                "send",
                Some(Action::StartAttempt {
                    endpoint,
                    timeout,
                    fill,
                    ..
                }),
            ) => words[2..].iter().all(|w| {
                let (key, value) = w.split_once('=').expect("KEY=VALUE");
                let fill = fill.expect("an OBTAIN");
                match key {
                    "to" => self.same(value, endpoint),
                    "from" => self.same(value, fill.source),
                    "keep" => fill.retention.to_string() == value,
                    "held" => fill.cached_only.to_string() == value,
                    "age" => fill.max_age == time(value),
                    "age<" => fill.max_age > 0 && fill.max_age <= time(value),
                    "out<" => timeout <= time(value),
                    _ => panic!("unknown: {w}"),
                }
            }),
            _ => false,
        }
    }

    fn step(&mut self, line: &str) -> bool {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[0] {
            "use" => self.file(words[1]),
            "set" => {
                self.settings
                    .insert(words[1].into(), words.get(2).copied().unwrap_or("").into());
            }
            "expect" => return self.expect(&words[1..]),
            "count" => {
                let endpoint = self.endpoint(words[1]);
                let (from, to) = (time(words[2]), time(words[3]));
                let n = self
                    .log
                    .iter()
                    .filter(|(at, p)| *p == endpoint && (from..to).contains(at))
                    .count();
                println!("{n} sends reached {}", words[1]);
                return (words[4].parse().unwrap()..=words[5].parse().unwrap()).contains(&n);
            }
            at => self.event(time(at), words[1], &words[2..]),
        }
        true
    }

    fn outcome(&self, id: u32, attempt: u8, words: &[&str]) -> Event {
        let outcome = match words[0] {
            "satisfied" => AttemptOutcome::Success,
            "error" => AttemptOutcome::Error,
            "turned-away" => AttemptOutcome::Rejected,
            "timed-out" => AttemptOutcome::TimedOut,
            "unconnected" => AttemptOutcome::ConnectFailed,
            "broken" => AttemptOutcome::ConnectionReset,
            "miss" => AttemptOutcome::Miss,
            "moot" => AttemptOutcome::Superseded,
            other => panic!("unknown ending {other}"),
        };
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint: self.sends[&id][usize::from(attempt)],
            outcome,
            elapsed: time(option(words, "took").unwrap_or("0.05")),
            finished: outcome == AttemptOutcome::Success,
            cache_status: match option(words, "remark") {
                Some("hit") => CacheStatus::Hit,
                Some("filled") => CacheStatus::FilledFromParent,
                Some("origin") => CacheStatus::FilledFromOrigin,
                Some("joined") => CacheStatus::JoinedFill,
                Some("origin-failed") => CacheStatus::OriginFailed,
                Some("source-lost") => CacheStatus::SourceUnreachable,
                Some(other) => panic!("unknown remark {other}"),
                None => CacheStatus::Unknown,
            },
            first_byte: option(words, "byte").map(time),
            size_kb: option(words, "size").map_or(0.0, |kb| kb.parse().unwrap()),
            load_report: option(words, "report").map_or(Vec::new(), |r| {
                r.split(',').map(|v| v.parse().unwrap()).collect()
            }),
        })
    }

    #[allow(
        clippy::too_many_lines,
        reason = "not reached yet by the pass over tests"
    )]
    fn event(&mut self, now: Micros, verb: &str, words: &[&str]) {
        let event = match verb {
            "start" => {
                let mut out = Vec::new();
                self.front = Some(Router::new(1, &self.settings, &mut out));
                return self.note(now, out);
            }
            "list" => {
                let entries: Vec<EndpointEntry> = words.iter().map(|w| self.entry(w)).collect();
                self.entries = entries.iter().map(|e| (e.endpoint, *e)).collect();
                Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries))
            }
            "drain" | "gone" => {
                let status = if verb == "drain" {
                    EndpointStatus::Draining
                } else {
                    EndpointStatus::Removed
                };
                let endpoint = self.endpoint(words[0]);
                Event::EndpointsUpdated(EndpointUpdate::Delta(vec![EndpointEntry {
                    status,
                    ..self.entries[&endpoint]
                }]))
            }
            "unlisted" => Event::EndpointsUpdated(EndpointUpdate::Unavailable),
            "ask" => Event::RequestArrived(self.lookup(words[0].parse().unwrap(), now, words)),
            "flood" => {
                let (from, n): (u32, u32) = (words[0].parse().unwrap(), words[1].parse().unwrap());
                for i in 0..n {
                    let at = now + time(words[2]) * i64::from(i) / i64::from(n);
                    let lk = Request {
                        object: u64::from(from + i),
                        ..self.lookup(from + i, at, words)
                    };
                    self.hear(at, Event::RequestArrived(lk));
                }
                return;
            }
            "end" => self.outcome(
                words[0].parse().unwrap(),
                words[1].parse().unwrap(),
                &words[2..],
            ),
            "answer" => {
                let (from, n): (u32, u32) = (words[0].parse().unwrap(), words[1].parse().unwrap());
                let peers: Vec<EndpointIndex> = words[2]
                    .split(',')
                    .map(|name| self.endpoint(name))
                    .collect();
                for id in from..from + n {
                    if self
                        .sends
                        .get(&id)
                        .is_none_or(|sends| !peers.contains(&sends[0]))
                    {
                        continue;
                    }
                    let event = self.outcome(id, 0, &words[3..]);
                    self.hear(now, event);
                }
                return;
            }
            "left" => Event::ClientLeft {
                id: words[0].parse().unwrap(),
            },
            "out-of-touch" => Event::DiscoveryLag {
                since: Some(time(words[0])),
            },
            "copies" => Event::FreshnessBound {
                not_before: option(words, "not_before").map(time),
                max_age: option(words, "age").map(time),
            },
            // Of so many objects, each a moment after the one before.
            "purge-many" => {
                let (from, n): (u64, u64) = (words[0].parse().unwrap(), words[1].parse().unwrap());
                for object in from..from + n {
                    self.hear(
                        now,
                        Event::Invalidated {
                            object: Some(object),
                            group: 0,
                            age: 0,
                        },
                    );
                }
                return;
            }
            "in-touch" => Event::DiscoveryLag { since: None },
            "half-closed" => Event::ClientHalfClosed {
                id: words[0].parse().unwrap(),
            },
            "connected" => Event::AttemptConnected {
                id: words[0].parse().unwrap(),
                attempt: words[1].parse().unwrap(),
            },
            "purge" => Event::Invalidated {
                object: option(words, "object").map(|o| o.parse().unwrap()),
                group: option(words, "group").map_or(0, |g| g.parse().unwrap()),
                age: time(option(words, "ago").unwrap_or("0")),
            },
            other => panic!("unknown verb {other}"),
        };
        self.hear(now, event);
    }

    fn play(mut self, name: &str) {
        self.file(name);
        trace::assert_recorded(&format!("scenarios/{name}"), &self.trace);
    }

    fn file(&mut self, name: &str) {
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
}

macro_rules! scenarios {
    ($($name:ident)*) => { $(#[test] fn $name() { Play::default().play(stringify!($name)); })* };
}

scenarios! {
    one_answer answer_in_time no_effect_twice drains cold_cache cold_parent lost_machine purges tail_cut
    repeat_window source_choice silent_parent jam_of_fills crowded_cache failing_cache many_fronts
    emptied_caches full_link few_fronts on_its_way walked_together refusing_origin dragging_cache well_again
    shared_failures parent_copies send_cap failing_parent room_in_budget silent_cache no_sound_cache
    back_from_silence direct_copies restarted_front discovery replaced_machine bare_settings sizes_in_answers
    partly_failing resets hanging_cache half_closed connected out_of_touch copies_bounded purges_dropped first_few odd_settings lost_small_fronts
}
