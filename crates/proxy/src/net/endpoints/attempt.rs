//! An attempt, its end, and what a response stands for.

use crate::http;
use crate::net::AttemptError;
use compact_str::CompactString;
use meadowrill_routing::interface::{AttemptOutcome, EndpointIndex, Micros};

/// Which attempt of which request, and when it was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRef {
    /// Id of the request within this process.
    pub request: u32,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    pub started_at: Micros,
    /// Never used twice: tells the attempts on one connection apart.
    pub serial: u64,
}

/// The one end of an attempt. The body of a response stays with its connection until that is released.
pub(crate) struct EndedAttempt {
    pub attempt: AttemptRef,
    pub endpoint: EndpointIndex,
    /// Number of the connection; 0 where it was never started.
    pub connection: u64,
    pub result: Result<http::Response, AttemptError>,
}

impl EndedAttempt {
    /// Whether the endpoint accepted the request; one that says that it is at its limit did not.
    pub(crate) fn was_accepted(&self, outcome: AttemptOutcome) -> bool {
        match &self.result {
            Ok(_) => outcome != AttemptOutcome::Rejected,
            Err(error) => error.progress.is_accepted(),
        }
    }
}

/// What a response stands for, to a request that named the client's copy by this tag.
pub(crate) fn response_outcome(
    response: &http::Response,
    known_version: Option<&str>,
) -> AttemptOutcome {
    match (response.status, response.not_run) {
        (200, _) => AttemptOutcome::Success,
        // Without the tag it may be the late response to another request: nobody said that this client's copy is current.
        (304, _) if known_version.is_some_and(|tag| response.has_version(tag)) => {
            AttemptOutcome::Success
        }
        (404, _) => AttemptOutcome::Miss,
        (503, true) => AttemptOutcome::Rejected,
        (504, true) => AttemptOutcome::Superseded,
        // Whatever else an endpoint may say proves nothing.
        _ => AttemptOutcome::Error,
    }
}

/// A load report in the order of the settings; empty where none came.
pub(crate) fn load_report(load: &[(CompactString, f64)], fields: &[String]) -> Vec<f64> {
    if load.is_empty() {
        return Vec::new();
    }
    let value = |field: &String| {
        load.iter()
            .find(|(name, _)| name == field)
            .map_or(0.0, |l| l.1)
    };
    fields.iter().map(value).collect()
}
