//! Metrics of the resources that requests use: buffers and attempts in flight.

use super::collector::{unlabelled, MetricSnapshot};

/// The resources in use at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resources {
    /// Memory of all buffers, in bytes.
    pub(crate) buffer_bytes: usize,
    /// Buffer memory in bytes from which responses are left unread in the kernel. Requests are rejected shortly before
    /// it.
    pub(crate) buffer_limit: usize,
    /// Attempts in flight to all endpoints.
    pub(crate) attempts_in_flight: usize,
}

/// The gauges of the resources in use.
pub(super) fn metrics(resources: &Resources) -> MetricSnapshot {
    MetricSnapshot {
        counters: Vec::new(),
        gauges: vec![
            (
                "buffer_bytes",
                "Memory of the buffers of all connections",
                unlabelled(resources.buffer_bytes as f64),
            ),
            (
                "buffer_limit_bytes",
                "Memory that buffers may fill before responses are left unread",
                unlabelled(resources.buffer_limit as f64),
            ),
            (
                "attempts_in_flight",
                "Attempts that endpoints have not answered yet",
                unlabelled(resources.attempts_in_flight as f64),
            ),
        ],
    }
}
