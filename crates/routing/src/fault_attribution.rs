//! Fault attribution: who is to blame for the outcome of an attempt - the endpoint, its source, or one of the two.
//!
//! An endpoint is blamed for what surely was its own; where caches do not report what went wrong at their source, an
//! error is held against both as a suspicion.

use crate::interface::{AttemptOutcome, CacheStatus};

/// What an outcome says of an endpoint: a failure, a success, or nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attribution {
    /// Whether it surely failed.
    pub(crate) certain: Option<bool>,
    /// Whether it may have failed.
    pub(crate) suspected: Option<bool>,
}

/// Who is at fault for the outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Surely the endpoint.
    pub(crate) endpoint: bool,
    /// Surely the source that it fills from.
    pub(crate) source: bool,
    /// One of the two.
    pub(crate) unclear: bool,
    success: bool,
}

impl Fault {
    const NONE: Fault = Fault {
        endpoint: false,
        source: false,
        unclear: false,
        success: false,
    };

    /// Attributes an outcome. `complete_status`: caches report all that went wrong at their source.
    pub(crate) fn attribute(
        outcome: AttemptOutcome,
        status: CacheStatus,
        has_source: bool,
        complete_status: bool,
    ) -> Fault {
        let fault = match outcome {
            _ if status.blames_source() => Fault {
                source: status != CacheStatus::OriginFailed,
                ..Fault::NONE
            },
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => Fault {
                endpoint: true,
                ..Fault::NONE
            },
            AttemptOutcome::Rejected if status == CacheStatus::FillLimitReached => Fault::NONE,
            AttemptOutcome::Error | AttemptOutcome::Rejected if complete_status || !has_source => {
                Fault {
                    endpoint: true,
                    ..Fault::NONE
                }
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::TimedOut => Fault {
                unclear: true,
                ..Fault::NONE
            },
            AttemptOutcome::Success
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Superseded
            | AttemptOutcome::Miss => Fault::NONE,
        };
        Fault {
            success: outcome == AttemptOutcome::Success,
            ..fault
        }
    }

    /// What it says of the endpoint. What is uncacheable runs at the origin: its errors are not the cache's.
    pub(crate) fn of_endpoint(self, uncacheable: bool) -> Attribution {
        self.attribution(self.endpoint && !uncacheable)
    }

    /// What it says of the source.
    pub(crate) fn of_source(self) -> Attribution {
        self.attribution(self.source)
    }

    fn attribution(self, at_fault: bool) -> Attribution {
        Attribution {
            certain: (at_fault || self.success).then_some(at_fault),
            suspected: (self.unclear || self.success).then_some(self.unclear),
        }
    }
}

impl CacheStatus {
    /// The cache did its part, and its source or the origin behind it did not.
    pub(crate) fn blames_source(self) -> bool {
        matches!(
            self,
            CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable
                | CacheStatus::OriginFailed
        )
    }
}
