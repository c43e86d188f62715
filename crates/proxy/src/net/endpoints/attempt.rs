//! An attempt, its result, and the outcome of a response.

use crate::http;
use crate::net::AttemptError;
use compact_str::CompactString;
use meadowrill_routing::interface::{AttemptOutcome, EndpointIndex, Micros};

/// Identifies an attempt of a request, with its start time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRef {
    /// Id of the request within this process.
    pub request: u32,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    pub started_at: Micros,
    /// Never reused: distinguishes the attempts on one connection.
    pub serial: u64,
}

/// The result of an attempt, reported exactly once. The body of a response stays in the buffer of its connection until
/// the response is released.
pub(crate) struct EndedAttempt {
    pub attempt: AttemptRef,
    pub endpoint: EndpointIndex,
    /// Number of the connection; 0 if the attempt was never started.
    pub connection: u64,
    pub result: Result<http::Response, AttemptError>,
}

impl EndedAttempt {
    /// Whether the endpoint accepted the request. An endpoint that rejects it because of its limit did not accept it.
    pub(crate) fn was_accepted(&self, outcome: AttemptOutcome) -> bool {
        match &self.result {
            Ok(_) => outcome != AttemptOutcome::Rejected,
            Err(error) => error.progress.is_accepted(),
        }
    }
}

/// The outcome of a response to a request that named the client's copy by the version tag `known_version`.
pub(crate) fn response_outcome(
    response: &http::Response,
    known_version: Option<&str>,
) -> AttemptOutcome {
    match (response.status, response.not_run) {
        (200, _) => AttemptOutcome::Success,
        // Without that tag it may be a late response to another request, and does not confirm that this client's copy
        // is current.
        (304, _) if known_version.is_some_and(|tag| response.has_version(tag)) => {
            AttemptOutcome::Success
        }
        (404, _) => AttemptOutcome::Miss,
        (503, true) => AttemptOutcome::Rejected,
        (504, true) => AttemptOutcome::Superseded,
        // Any other response proves nothing.
        _ => AttemptOutcome::Error,
    }
}

/// The values of a load report in the order of the configured fields; empty without a load report.
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
