//! Resource usage of a subscriber and of a relay, measured from outside the process.

use super::protocol::GroupReport;
use super::relays::{ProcessUsage, RelayStatus};
use meadowrill_event_distribution::settings::SECOND;

/// Resource usage of one member, with rates per second over the time of the purges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Bytes sent per second, without headers.
    pub sent_bytes: f64,
    /// Bytes received per second, without headers.
    pub received_bytes: f64,
    /// Datagrams sent per second.
    pub sent: f64,
    /// Datagrams received per second.
    pub received: f64,
    /// Processor time as a share of one core.
    pub processor_share: f64,
    /// Resident memory at the end.
    pub resident_bytes: f64,
}

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

impl Costs {
    /// Bytes sent per second, with the headers of each datagram.
    pub fn sent_with_headers(&self) -> f64 {
        self.sent_bytes + self.sent * HEADER_BYTES
    }

    /// Bytes received per second, with the headers of each datagram.
    pub fn received_with_headers(&self) -> f64 {
        self.received_bytes + self.received * HEADER_BYTES
    }
}

impl Costs {
    /// Names and values of all costs; the names start with the role.
    pub fn figures(&self, role: &str) -> [(String, f64); 6] {
        [
            (
                format!("{role}, bytes a second sent, with headers"),
                self.sent_with_headers(),
            ),
            (
                format!("{role}, bytes a second received, with headers"),
                self.received_with_headers(),
            ),
            (format!("{role}, datagrams a second sent"), self.sent),
            (
                format!("{role}, datagrams a second received"),
                self.received,
            ),
            (
                format!("{role}, percent of a core"),
                self.processor_share * 100.0,
            ),
            (format!("{role}, MB resident"), self.resident_bytes / 1e6),
        ]
    }
}

impl Costs {
    /// The maximum of each cost.
    pub fn max_of_each(&self, other: &Costs) -> Costs {
        Costs {
            sent_bytes: self.sent_bytes.max(other.sent_bytes),
            received_bytes: self.received_bytes.max(other.received_bytes),
            sent: self.sent.max(other.sent),
            received: self.received.max(other.received),
            processor_share: self.processor_share.max(other.processor_share),
            resident_bytes: self.resident_bytes.max(other.resident_bytes),
        }
    }
}

/// Average costs of one subscriber. Its memory excludes the records, and the memory of the process before the first
/// subscriber.
pub fn subscriber_costs(before: &GroupReport, after: &GroupReport, seconds: f64) -> Costs {
    let count = after.subscribers as f64;
    let per_second =
        |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds / count;
    let (first, last) = (before.traffic, after.traffic);
    let resident = after
        .resident_bytes
        .saturating_sub(after.record_bytes + after.initial_resident_bytes);
    Costs {
        sent_bytes: per_second(first.sent_bytes, last.sent_bytes),
        received_bytes: per_second(first.received_bytes, last.received_bytes),
        sent: per_second(first.sent, last.sent),
        received: per_second(first.received, last.received),
        processor_share: per_second(before.processor_micros, after.processor_micros)
            / SECOND as f64,
        resident_bytes: resident as f64 / count,
    }
}

/// Costs of one relay between two samples. If the relay was restarted between them, the later counters cover only the
/// time since the restart.
pub fn relay_costs(
    (status, usage): &(RelayStatus, ProcessUsage),
    (status_after, usage_after): &(RelayStatus, ProcessUsage),
    seconds: f64,
) -> Costs {
    let per_second = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    Costs {
        sent_bytes: per_second(status.sent_bytes, status_after.sent_bytes),
        received_bytes: per_second(status.received_bytes, status_after.received_bytes),
        sent: per_second(status.sent, status_after.sent),
        received: per_second(status.received, status_after.received),
        processor_share: per_second(usage.processor_micros, usage_after.processor_micros)
            / SECOND as f64,
        resident_bytes: usage_after.resident_bytes as f64,
    }
}
