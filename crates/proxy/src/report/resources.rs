//! What operators are told of the resources that requests hold: buffers, and attempts in flight.

use super::collector::{unlabelled, MetricSnapshot};

/// Resources in use at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resources {
    /// Memory of all buffers, in bytes.
    pub(crate) buffer_bytes: usize,
    /// From here on responses are left with the kernel, and requests are rejected shortly before, in bytes.
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
