//! Parsing of the words of a scenario.

use meadowrill_routing::interface::{AttemptOutcome, CacheStatus, Micros};
use std::fmt::Debug;
use std::str::FromStr;

/// Parses a word, usually as a number.
pub(crate) fn parsed<T: FromStr<Err: Debug>>(word: &str) -> T {
    word.parse()
        .unwrap_or_else(|error| panic!("{word}: {error:?}"))
}

/// Parses a time in seconds.
pub(crate) fn time(word: &str) -> Micros {
    (parsed::<f64>(word) * 1e6).round() as Micros
}

/// The value of `NAME=VALUE` among the words.
pub(crate) fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// The value of `NAME=SECONDS` among the words.
pub(crate) fn time_option(words: &[&str], name: &str) -> Option<Micros> {
    option(words, name).map(time)
}

/// Parses the outcome of an attempt.
pub(crate) fn attempt_outcome(word: &str) -> AttemptOutcome {
    match word {
        "success" => AttemptOutcome::Success,
        "error" => AttemptOutcome::Error,
        "rejected" => AttemptOutcome::Rejected,
        "timed-out" => AttemptOutcome::TimedOut,
        "connect-failed" => AttemptOutcome::ConnectFailed,
        "connection-reset" => AttemptOutcome::ConnectionReset,
        "miss" => AttemptOutcome::Miss,
        "superseded" => AttemptOutcome::Superseded,
        other => panic!("unknown outcome {other}"),
    }
}

/// Parses the cache status of an answer.
pub(crate) fn cache_status(word: Option<&str>) -> CacheStatus {
    match word {
        Some("hit") => CacheStatus::Hit,
        Some("parent") => CacheStatus::FilledFromParent,
        Some("origin") => CacheStatus::FilledFromOrigin,
        Some("joined") => CacheStatus::JoinedFill,
        Some("origin-failed") => CacheStatus::OriginFailed,
        Some("source-unreachable") => CacheStatus::SourceUnreachable,
        Some(other) => panic!("unknown cache status {other}"),
        None => CacheStatus::Unknown,
    }
}
