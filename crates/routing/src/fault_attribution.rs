//! Fault attribution: whether the endpoint, its source, or possibly either of the two caused the outcome of an
//! attempt.
//!
//! An endpoint is blamed only for failures that are certainly its own. If caches do not report what failed at their
//! source, an error counts as a suspected failure of both.

use crate::interface::{AttemptOutcome, CacheStatus};

/// What an outcome shows about an endpoint: a failure, a success, or nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attribution {
    /// Whether it certainly failed; none if the outcome does not show this.
    pub(crate) certain: Option<bool>,
    /// Whether it may have failed; none if the outcome does not show this.
    pub(crate) suspected: Option<bool>,
}

/// The party at fault for the outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Certainly the endpoint.
    pub(crate) endpoint: bool,
    /// Certainly the source that the endpoint fills from.
    pub(crate) source: bool,
    /// Either of the two.
    pub(crate) ambiguous: bool,
    success: bool,
}

impl Fault {
    const NONE: Fault = Fault {
        endpoint: false,
        source: false,
        ambiguous: false,
        success: false,
    };

    /// Attributes an outcome. `complete_cache_status`: caches report all failures of their source.
    pub(crate) fn attribute(
        outcome: AttemptOutcome,
        status: CacheStatus,
        has_source: bool,
        complete_cache_status: bool,
    ) -> Fault {
        let fault = match outcome {
            _ if status.is_source_failure() => Fault {
                source: status != CacheStatus::OriginFailed,
                ..Fault::NONE
            },
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => Fault {
                endpoint: true,
                ..Fault::NONE
            },
            AttemptOutcome::Rejected if status == CacheStatus::FillLimitReached => Fault::NONE,
            AttemptOutcome::Error | AttemptOutcome::Rejected
                if complete_cache_status || !has_source =>
            {
                Fault {
                    endpoint: true,
                    ..Fault::NONE
                }
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::TimedOut => Fault {
                ambiguous: true,
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

    /// What the outcome shows about the endpoint. Uncacheable requests run at the origin, so their errors are not the
    /// cache's.
    pub(crate) fn endpoint_attribution(self, uncacheable: bool) -> Attribution {
        self.attribution(self.endpoint && !uncacheable)
    }

    /// What the outcome shows about the source.
    pub(crate) fn source_attribution(self) -> Attribution {
        self.attribution(self.source)
    }

    fn attribution(self, at_fault: bool) -> Attribution {
        Attribution {
            certain: (at_fault || self.success).then_some(at_fault),
            suspected: (self.ambiguous || self.success).then_some(self.ambiguous),
        }
    }
}

impl CacheStatus {
    /// Whether the cache worked, but its source or the origin behind the source did not.
    pub(crate) fn is_source_failure(self) -> bool {
        matches!(
            self,
            CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable
                | CacheStatus::OriginFailed
        )
    }
}
