//! The expectations of a scenario.

use crate::words::{parsed, time};
use crate::Scenario;
use meadowrill_routing::interface::{Action, EndpointIndex, Fill, Micros};

impl Scenario {
    /// Whether an expectation is met. Removes the actions that it matches.
    pub(crate) fn expect(&mut self, words: &[&str]) -> bool {
        match words[0] {
            "poll" => std::mem::take(&mut self.polls) == 1,
            "released" => self.expect_released(&words[1..]),
            id => self.expect_action(parsed(id), words[1], &words[2..]),
        }
    }

    fn expect_released(&mut self, names: &[&str]) -> bool {
        let released = self.released.drain(..);
        let released: Vec<&str> = released.map(|index| self.names[index].as_str()).collect();
        released == names
    }

    fn expect_action(&mut self, id: u32, verb: &str, words: &[&str]) -> bool {
        if verb == "cancel" {
            return self.cancelled.remove(&id) == Some(1);
        }
        let next = self.unchecked.entry(id).or_default().pop_front();
        match (verb, next) {
            ("nothing", next) => next.is_none(),
            ("fail", Some(Action::Fail { .. })) | ("write", Some(Action::WriteAttempt { .. })) => {
                true
            }
            ("reject", Some(Action::Reject { retry_after, .. })) => words.iter().all(|word| {
                let least = word.strip_prefix("retry_after>=");
                least.is_some_and(|least| retry_after >= time(least))
            }),
            (
                "attempt",
                Some(Action::StartAttempt {
                    endpoint,
                    timeout,
                    fill,
                    ..
                }),
            ) => {
                let fill = fill.expect("an attempt with a fill");
                words
                    .iter()
                    .all(|word| self.matches(word, endpoint, timeout, &fill))
            }
            _ => false,
        }
    }

    /// Whether an attempt matches one `KEY=VALUE` condition.
    fn matches(
        &mut self,
        word: &str,
        endpoint: EndpointIndex,
        timeout: Micros,
        fill: &Fill,
    ) -> bool {
        let (key, value) = word.split_once('=').expect("KEY=VALUE");
        match key {
            "to" => self.is_named(value, endpoint),
            "from" => self.is_named(value, fill.source),
            "retention" => fill.retention.to_string() == value,
            "cached_only" => fill.cached_only.to_string() == value,
            "max_age" => fill.max_age == time(value),
            "max_age<" => fill.max_age > 0 && fill.max_age <= time(value),
            "timeout<" => timeout <= time(value),
            _ => panic!("unknown condition: {word}"),
        }
    }

    /// Whether an endpoint has the wanted name; `?x` matches any endpoint and binds its name to `x`.
    fn is_named(&mut self, wanted: &str, endpoint: EndpointIndex) -> bool {
        if let Some(variable) = wanted.strip_prefix('?') {
            let name = self.names[endpoint].clone();
            self.bound_names.insert(variable.to_string(), name);
            return true;
        }
        match wanted.strip_prefix('!') {
            Some(other) => self.name(other) != self.names[endpoint],
            None => self.name(wanted) == self.names[endpoint],
        }
    }

    /// Whether the number of uses of an endpoint is within the given bounds.
    pub(crate) fn count(&mut self, words: &[&str]) -> bool {
        let endpoint = self.endpoint(words[0]);
        let span = time(words[1])..time(words[2]);
        let within = |(at, used): &&(Micros, EndpointIndex)| *used == endpoint && span.contains(at);
        let count = self.uses.iter().filter(within).count();
        println!("{} was used {count} times", words[0]);
        (parsed(words[3])..=parsed(words[4])).contains(&count)
    }
}
