//! What operators are told of the distribution of events: by a proxy of its subscription, by a relay of its subscribers. A
//! table, the same as JSON, metrics, and lines of the log.

use super::collector::{flag, label, unlabelled, Metric, MetricSnapshot};
use crate::net::peers::Peers;
use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::output::Notice;
use meadowrill_event_distribution::status::{
    DistributorStatus, LaggingSubscriber, SubscriberStatus,
};
use meadowrill_routing::interface::Micros;
use serde_json::{json, Value};
use slog::{error, info, warn, Logger};
use std::fmt::Write;

/// Prefix of the names of metrics.
pub(crate) const PREFIX: &str = "meadowrill_events";
/// The sides of a member, as metrics tell them apart.
const SUBSCRIBERS: &str = "subscribers";
const UPSTREAM: &str = "upstream";
/// Width of the first column of a table.
const COLUMN: usize = 14;

/// The report of a proxy on its subscription.
pub(crate) struct SubscriptionReport<'a> {
    peers: &'a Peers,
}

impl SubscriptionReport<'_> {
    /// None where nothing is subscribed to.
    pub(crate) fn new(peers: &Peers) -> Option<SubscriptionReport<'_>> {
        peers
            .subscription
            .is_some()
            .then_some(SubscriptionReport { peers })
    }

    fn status(&self, now: Micros) -> Option<SubscriberStatus> {
        self.peers
            .subscription
            .as_ref()
            .map(|subscription| subscription.status(now))
    }

    pub(crate) fn table(&self, now: Micros) -> String {
        let Some(status) = self.status(now) else {
            return String::new();
        };
        let mut table = Table::default();
        subscriber_rows(&mut table, &status, now);
        counter_rows(&mut table, &status.counters);
        table.row("unsent", &self.peers.datagrams.unsent.to_string());
        table.0
    }

    pub(crate) fn json(&self, now: Micros) -> String {
        let Some(status) = self.status(now) else {
            return String::new();
        };
        let mut all = subscriber_json(&status, now);
        all["role"] = "front".into();
        all["unsent"] = self.peers.datagrams.unsent.into();
        format!("{all}\n")
    }

    pub(crate) fn metrics(&self, now: Micros) -> MetricSnapshot {
        let Some(status) = self.status(now) else {
            return MetricSnapshot::default();
        };
        let mut counters = counter_metrics(&[(UPSTREAM, &status.counters)]);
        counters.push(unsent_metric(self.peers.datagrams.unsent));
        MetricSnapshot {
            counters,
            gauges: subscriber_gauges(&status),
        }
    }
}

/// The report of a relay.
pub(crate) struct FeedReport {
    pub name: String,
    pub status: DistributorStatus,
    /// How it follows the one that feeds it; none where it publishes.
    pub upstream: Option<SubscriberStatus>,
    /// Where it publishes: for how long `done` has not got on, while something published is not in force everywhere.
    pub done_age: Option<Micros>,
    /// Where it publishes: for how long the discovery service may have held events back.
    pub lag: Option<Micros>,
    /// Events that were put in force everywhere.
    pub in_force: u64,
    /// Datagrams that the kernel had no room for.
    pub unsent: u64,
}

impl FeedReport {
    fn role(&self) -> &'static str {
        if self.upstream.is_some() {
            "relay"
        } else {
            "publisher"
        }
    }

    pub(crate) fn table(&self, now: Micros) -> String {
        let status = &self.status;
        let mut table = Table::default();
        table.row(self.role(), &self.name);
        table.row("head", &position(Some(status.head)));
        table.row("acknowledged", &position(Some(status.acknowledged)));
        if let Some(done) = status.in_force {
            table.row("done", &position(Some(done)));
            table.row("done age", &self.done_age.map_or("-".into(), milliseconds));
            table.row("behind", &self.lag.map_or("-".into(), milliseconds));
        }
        table.row(
            "subscribers",
            &format!("{}, {} with a lease", status.subscribers, status.leases),
        );
        for late in &status.lagging {
            table.row("late", &late_text(late, status.head));
        }
        table.row("window", &format!("{} bytes", status.window_bytes));
        table.row("purges", &status.purges.to_string());
        table.row("floor", &floor(status.purge_floor, now));
        counter_rows(&mut table, &status.counters);
        table.row("unsent", &self.unsent.to_string());
        if let Some(upstream) = &self.upstream {
            table.0.push_str("follows\n");
            subscriber_rows(&mut table, upstream, now);
            counter_rows(&mut table, &upstream.counters);
        }
        table.0
    }

    pub(crate) fn json(&self, now: Micros) -> String {
        let status = &self.status;
        let late: Vec<Value> = status.lagging.iter().map(late_json).collect();
        let all = json!({
            "role": self.role(), "name": self.name, "head": position_json(Some(status.head)),
            "acknowledged": position_json(Some(status.acknowledged)), "done": position_json(status.in_force),
            "done_age_us": self.done_age, "behind_us": self.lag, "in_force": self.in_force, "subscribers": status.subscribers,
            "leased": status.leases, "late": late, "window_bytes": status.window_bytes,
            "purges": status.purges, "floor_us": status.purge_floor, "unsent": self.unsent,
            "counters": counters_json(&status.counters),
            "upstream": self.upstream.as_ref().map(|upstream| subscriber_json(upstream, now)),
        });
        format!("{all}\n")
    }

    pub(crate) fn metrics(&self) -> MetricSnapshot {
        let mut sides = vec![(SUBSCRIBERS, &self.status.counters)];
        sides.extend(
            self.upstream
                .iter()
                .map(|upstream| (UPSTREAM, &upstream.counters)),
        );
        let mut counters = counter_metrics(&sides);
        counters.push(unsent_metric(self.unsent));
        let mut gauges = feed_gauges(&self.status);
        if let Some(done) = self.status.in_force {
            gauges.extend(self.publisher_gauges(done));
            counters.push((
                "in_force",
                "Events put in force everywhere",
                unlabelled(self.in_force),
            ));
        }
        if let Some(upstream) = &self.upstream {
            gauges.extend(upstream_gauges(upstream));
        }
        MetricSnapshot { counters, gauges }
    }

    fn publisher_gauges(&self, done: LogPosition) -> [Metric<f64>; 3] {
        [
            gauge(
                "done",
                "Events that are in force everywhere",
                done.position as f64,
            ),
            gauge(
                "done_age_seconds",
                "For how long done has not got on while something is not in force everywhere",
                seconds(self.done_age.unwrap_or(0)),
            ),
            gauge(
                "behind_seconds",
                "For how long the journal service may have kept events back",
                seconds(self.lag.unwrap_or(0)),
            ),
        ]
    }

    /// As a line of the log.
    pub(crate) fn log(&self, log: &Logger) {
        let status = &self.status;
        let late = status
            .lagging
            .iter()
            .map(|late| late.name.as_str())
            .collect::<Vec<_>>()
            .join(" ");
        info!(log, "events"; "head" => position(Some(status.head)),
            "acknowledged" => position(Some(status.acknowledged)), "done" => position(status.in_force),
            "subscribers" => status.subscribers, "leased" => status.leases, "late" => late,
            "window_bytes" => status.window_bytes, "purges" => status.purges);
    }
}

/// A column of names and one of values.
#[derive(Default)]
struct Table(String);

impl Table {
    fn row(&mut self, name: &str, value: &str) {
        // Writing to a text cannot fail.
        let _ = writeln!(self.0, "{name:<COLUMN$}{value}");
    }
}

fn subscriber_rows(table: &mut Table, status: &SubscriberStatus, now: Micros) {
    table.row("relay", &status.relay);
    table.row(
        "epoch",
        &status
            .position
            .map_or("-".into(), |at| at.epoch.0.to_string()),
    );
    table.row("position", &position(status.relay_head));
    table.row("watermark", &position(status.position));
    table.row("lag", &format!("{} events", lag(status)));
    table.row(
        "lease",
        &status
            .lease_remaining
            .map_or("none".into(), |left| format!("{} left", milliseconds(left))),
    );
    table.row(
        "snapshot",
        if status.fetching_snapshot {
            "being fetched"
        } else {
            "-"
        },
    );
    table.row("purges", &status.purges.to_string());
    table.row("floor", &floor(status.purge_floor, now));
}

fn counter_rows(table: &mut Table, counters: &Counters) {
    let datagrams = |count: u64, bytes: u64| format!("{count} datagrams, {bytes} bytes");
    table.row("sent", &datagrams(counters.sent, counters.sent_bytes));
    table.row(
        "received",
        &datagrams(counters.received, counters.received_bytes),
    );
    for (name, count) in counts(counters) {
        table.row(name, &count.to_string());
    }
    let rejected = RejectReason::ALL
        .iter()
        .zip(counters.rejected)
        .filter(|(_, count)| *count > 0);
    let rejected: Vec<String> = rejected
        .map(|(why, count)| format!("{} {count}", why.name()))
        .collect();
    table.row(
        "rejected",
        if rejected.is_empty() {
            "-".into()
        } else {
            rejected.join(", ")
        }
        .as_str(),
    );
}

fn counts(counters: &Counters) -> [(&'static str, u64); 8] {
    [
        ("events", counters.events),
        ("batches", counters.batches),
        ("gaps", counters.gaps),
        ("resent", counters.resend_requests),
        ("snapshots", counters.snapshots),
        ("switches", counters.relay_changes),
        ("lapses", counters.expired_leases),
        ("busy", counters.busy),
    ]
}

fn subscriber_json(status: &SubscriberStatus, now: Micros) -> Value {
    json!({
        "relay": status.relay, "epoch": status.position.map(|at| at.epoch.0), "position": position_json(status.relay_head),
        "watermark": position_json(status.position), "lag": lag(status), "lease_left_us": status.lease_remaining,
        "fetching_snapshot": status.fetching_snapshot, "purges": status.purges, "floor_us": status.purge_floor,
        "floor_age_us": status.purge_floor.map(|floor| now - floor), "counters": counters_json(&status.counters),
    })
}

fn counters_json(counters: &Counters) -> Value {
    let rejected = RejectReason::ALL.iter().zip(counters.rejected);
    let rejected: serde_json::Map<String, Value> = rejected
        .map(|(why, count)| (why.name().to_string(), count.into()))
        .collect();
    let mut all = json!({
        "sent": counters.sent, "sent_bytes": counters.sent_bytes, "received": counters.received,
        "received_bytes": counters.received_bytes, "rejected": rejected,
    });
    for (name, count) in counts(counters) {
        all[name] = count.into();
    }
    all
}

fn late_text(late: &LaggingSubscriber, head: LogPosition) -> String {
    let behind = late.acknowledged.filter(|at| at.epoch == head.epoch);
    let behind = behind.map_or("of another epoch".into(), |at| {
        format!(
            "{} events behind",
            head.position.saturating_sub(at.position)
        )
    });
    let lease = late.lease_remaining.map_or("no lease".into(), |left| {
        format!("lease {} left", milliseconds(left))
    });
    format!(
        "{}: {behind}, {lease}, heard {} ago",
        late.name,
        milliseconds(late.since_heartbeat)
    )
}

fn late_json(late: &LaggingSubscriber) -> Value {
    json!({"name": late.name, "acknowledged": position_json(late.acknowledged),
        "lease_left_us": late.lease_remaining, "heard_ago_us": late.since_heartbeat})
}

fn position(at: Option<LogPosition>) -> String {
    at.map_or("-".into(), |at| {
        format!("{} of epoch {}", at.position, at.epoch.0)
    })
}

fn position_json(at: Option<LogPosition>) -> Value {
    at.map_or(
        Value::Null,
        |at| json!({"epoch": at.epoch.0, "position": at.position}),
    )
}

/// Events that the relay has told of and that are not applied.
fn lag(status: &SubscriberStatus) -> u64 {
    let Some(head) = status.relay_head else {
        return 0;
    };
    let applied = status
        .position
        .filter(|at| at.epoch == head.epoch)
        .map_or(0, |at| at.position);
    head.position.saturating_sub(applied)
}

fn floor(floor: Option<Micros>, now: Micros) -> String {
    floor.map_or("-".into(), |floor| {
        format!(
            "copies older than {} are refused",
            milliseconds(now - floor)
        )
    })
}

fn milliseconds(span: Micros) -> String {
    format!("{} ms", span / 1000)
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

fn gauge(name: &'static str, help: &'static str, value: f64) -> Metric<f64> {
    (name, help, unlabelled(value))
}

fn unsent_metric(unsent: u64) -> Metric<u64> {
    (
        "unsent",
        "Datagrams that the kernel did not take",
        unlabelled(unsent),
    )
}

/// The counts of both sides of a member: towards its subscribers, and towards the relay that it follows.
fn counter_metrics(sides: &[(&str, &Counters)]) -> Vec<Metric<u64>> {
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
            .map(|(why, count)| ([labels(side), label("why", why.name())].concat(), count))
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

fn subscriber_gauges(status: &SubscriberStatus) -> Vec<Metric<f64>> {
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

fn feed_gauges(status: &DistributorStatus) -> Vec<Metric<f64>> {
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

fn upstream_gauges(status: &SubscriberStatus) -> Vec<Metric<f64>> {
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

/// A line of the log.
pub(crate) fn log_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::LeaseAcquired { relay, without } => {
            info!(log, "lease held"; "relay" => relay, "without_us" => without)
        }
        Notice::LeaseExpired { relay } => {
            warn!(log, "lease lapsed: the age of copies is bounded"; "relay" => relay)
        }
        Notice::RelayChanged { from, to } => {
            warn!(log, "turned to another relay"; "from" => from, "to" => to)
        }
        Notice::SnapshotStarted { relay } => info!(log, "snapshot begun"; "relay" => relay),
        Notice::SnapshotCompleted {
            purges,
            took,
            position: at,
        } => {
            info!(log, "snapshot done"; "purges" => purges, "took_us" => took, "at" => position(Some(*at)))
        }
        Notice::EpochStarted { position: at } => {
            warn!(log, "new epoch of the publisher"; "at" => position(Some(*at)))
        }
        Notice::PurgeFloorRaised { floor } => {
            error!(log, "no room for all purges: copies from before this stamp are refused"; "stamp_us" => floor)
        }
        Notice::SubscriberLeaseExpired { name } => {
            warn!(log, "subscriber lost its lease"; "who" => name)
        }
    }
}
