//! Recorded traces of the router's actions: their format, and the comparison with a recording.
//!
//! The format names no type of the code, so that a recording made by one version can be compared with the actions of
//! another. One line is one action:
//!
//! | line | action |
//! | --- | --- |
//! | `S id endpoint timeout source retention max_age flags` | start an attempt; flags: `j` join a fill, `u` revalidate in the background, `h` only the source's cached copy |
//! | `R id retry_after` | reject |
//! | `F id` | fail |
//! | `C id attempt` | cancel an attempt |
//! | `W id attempt` | write an attempt that waited for its connection |
//! | `T at id` | set a timer |
//! | `P` | poll discovery |
//! | `X endpoint` | release an index |
//! | `L topic` | a log event |
//!
//! Set `RECORD_TRACES=1` to write recordings instead of comparing with them.

use meadowrill_routing::interface::*;
use std::fmt::Write;

/// Appends the line of an action.
pub(crate) fn write_action(trace: &mut String, action: &Action) {
    let written = match action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
            fill,
        } => write_attempt(trace, *id, *endpoint, *timeout, *fill),
        Action::Reject { id, retry_after } => writeln!(trace, "R {id} {retry_after}"),
        Action::Fail { id } => writeln!(trace, "F {id}"),
        Action::CancelAttempt { id, attempt } => writeln!(trace, "C {id} {attempt}"),
        Action::WriteAttempt { id, attempt } => writeln!(trace, "W {id} {attempt}"),
        Action::SetTimer { at, timer } => writeln!(trace, "T {at} {timer}"),
        Action::PollDiscovery => writeln!(trace, "P"),
        Action::ReleaseEndpoint { endpoint } => writeln!(trace, "X {endpoint}"),
        Action::Log(event) => writeln!(trace, "L {}", log_topic(event)),
    };
    written.expect("writing to a string cannot fail");
}

fn write_attempt(
    trace: &mut String,
    id: u32,
    endpoint: usize,
    timeout: Micros,
    fill: Option<Fill>,
) -> std::fmt::Result {
    let Some(fill) = fill else {
        return writeln!(trace, "S {id} {endpoint} {timeout} -");
    };
    let flag = |set: bool, name: &'static str| if set { name } else { "" };
    writeln!(
        trace,
        "S {id} {endpoint} {timeout} {} {} {} {}{}{}",
        fill.source,
        fill.retention,
        fill.max_age,
        flag(fill.join, "j"),
        flag(fill.revalidate, "u"),
        flag(fill.cached_only, "h")
    )
}

/// The topic of a log event, with its limit rounded as in the recordings.
fn log_topic(event: &LogEvent) -> String {
    match event {
        LogEvent::EndpointLimitReduced { limit, .. } => format!("cache_window {limit:.0}"),
        LogEvent::ParentLimitReduced { limit, .. } => format!("parent_window {limit:.1}"),
        LogEvent::FillLimitReduced { limit } => format!("fill_window {limit:.0}"),
        LogEvent::FetchLimitReduced { limit } => format!("fetch_window {limit:.0}"),
        LogEvent::EndpointUnreachable { .. } => "unreachable".to_string(),
    }
}

/// Asserts that a trace is byte for byte the same as its recording.
pub(crate) fn assert_recorded(name: &str, trace: &str) {
    let file = format!("{name}.trace");
    meadowrill_recorded_traces::assert_recorded(
        env!("CARGO_MANIFEST_DIR"),
        &file,
        trace.as_bytes(),
    );
}
