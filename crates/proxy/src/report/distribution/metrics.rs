//! Metrics of the distribution of events. Their names and help texts must not change.

use super::lag;
pub(super) use crate::clock::seconds;
use crate::report::collector::{flag, label, unlabelled, Metric};
use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::status::{DistributorStatus, SubscriberStatus};

/// Values of the label `side`, which separates a member's subscribers from its upstream.
pub(super) const SUBSCRIBERS: &str = "subscribers";
pub(super) const UPSTREAM: &str = "upstream";

pub(super) fn gauge(name: &'static str, help: &'static str, value: f64) -> Metric<f64> {
    (name, help, unlabelled(value))
}

pub(super) fn unsent_metric(unsent: u64) -> Metric<u64> {
    (
        "unsent",
        "Datagrams that the kernel did not take",
        unlabelled(unsent),
    )
}

/// The counters of a member's sides: towards its subscribers, and towards the relay that it follows.
pub(super) fn counter_metrics(sides: &[(&str, &Counters)]) -> Vec<Metric<u64>> {
    let labels = |side: &str| label("side", side);
    let count = |name, help, of: fn(&Counters) -> u64| {
        let values = sides
            .iter()
            .map(|(side, counters)| (labels(side), of(counters)));
        (name, help, values.collect::<Vec<_>>())
    };
    let rejected = sides.iter().flat_map(|(side, counters)| {
        let reasons = RejectReason::ALL.iter().zip(counters.rejected);
        reasons
            .map(|(reason, count)| ([labels(side), label("why", reason.name())].concat(), count))
            .collect::<Vec<_>>()
    });
    vec![
        count("datagrams_sent", "Datagrams sent", |c| c.sent),
        count("bytes_sent", "Bytes sent", |c| c.sent_bytes),
        count("datagrams_received", "Datagrams received", |c| c.received),
        count("bytes_received", "Bytes received", |c| c.received_bytes),
        count("applied", "Events applied", |c| c.events),
        count("batches", "Batches of events", |c| c.batches),
        count("gaps", "Batches with a gap before them", |c| c.gaps),
        count("resent", "Batches sent again", |c| c.resend_requests),
        count("resumptions", "Snapshots fetched, or handed out", |c| {
            c.snapshots
        }),
        count("switches", "Times that another relay was asked", |c| {
            c.relay_changes
        }),
        count("lapses", "Leases that ended and were not renewed", |c| {
            c.expired_leases
        }),
        count("busy", "Subscribers that were told to come later", |c| {
            c.busy
        }),
        ("rejected", "Datagrams dropped", rejected.collect()),
    ]
}

pub(super) fn subscriber_gauges(status: &SubscriberStatus) -> Vec<Metric<f64>> {
    let (at, head) = (
        status.position.unwrap_or_default(),
        status.relay_head.unwrap_or_default(),
    );
    let mut gauges = upstream_gauges(status);
    gauges.extend([
        gauge(
            "head",
            "Events of its epoch that it was told of",
            head.position as f64,
        ),
        gauge(
            "watermark",
            "Events of its epoch that it has applied",
            at.position as f64,
        ),
        gauge("purges", "Purges that are kept", status.purges as f64),
    ]);
    gauges
}

pub(super) fn distributor_gauges(status: &DistributorStatus) -> Vec<Metric<f64>> {
    vec![
        gauge(
            "subscribers",
            "Subscribers that are served",
            status.subscribers as f64,
        ),
        gauge(
            "leased",
            "Subscribers that hold a lease",
            status.leases as f64,
        ),
        gauge(
            "late",
            "Subscribers that lag or have lost their lease, up to a bound",
            status.lagging.len() as f64,
        ),
        gauge(
            "window_bytes",
            "Bytes of events that are kept for those who come back",
            status.window_bytes as f64,
        ),
        gauge(
            "head",
            "Events of this epoch that are known",
            status.head.position as f64,
        ),
        gauge(
            "acknowledged",
            "Events that all holders of a lease have applied",
            status.acknowledged.position as f64,
        ),
        gauge("purges", "Purges that are kept", status.purges as f64),
    ]
}

pub(super) fn upstream_gauges(status: &SubscriberStatus) -> Vec<Metric<f64>> {
    vec![
        gauge(
            "lag",
            "Events that it was told of and has not applied",
            lag(status) as f64,
        ),
        gauge(
            "lease_held",
            "1 while it holds a lease",
            flag(status.lease_remaining.is_some()),
        ),
        gauge(
            "lease_left_seconds",
            "What is left of its lease",
            seconds(status.lease_remaining.unwrap_or(0)),
        ),
        gauge(
            "fetching_snapshot",
            "1 while a snapshot is fetched",
            flag(status.fetching_snapshot),
        ),
    ]
}
