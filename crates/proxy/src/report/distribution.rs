//! Reports on the distribution of events. A proxy reports on its subscription, and a relay on its subscribers. A report
//! is available as a table (`table`), as JSON (`json`), as metrics (`metrics`), and as log lines (`log`).

mod json;
mod log;
mod metrics;
mod table;

pub(crate) use self::log::log_notice;

use self::json::{counters_json, lagging_json, position_json, subscriber_json};
use self::metrics::{
    counter_metrics, distributor_gauges, gauge, seconds, subscriber_gauges, unsent_metric,
    upstream_gauges, SUBSCRIBERS, UPSTREAM,
};
use self::table::{
    counter_rows, floor_text, lagging_text, milliseconds, position_text, subscriber_rows, Table,
};
use super::collector::{unlabelled, Metric, MetricSnapshot};
use crate::net::peers::Peers;
use meadowrill_event_distribution::counters::Counters;
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::status::{DistributorStatus, SubscriberStatus};
use meadowrill_routing::interface::Micros;
use serde_json::{json, Value};

/// Prefix of the metric names.
pub(crate) const METRIC_PREFIX: &str = "meadowrill_events";

/// The report of a proxy on its subscription.
pub(crate) struct SubscriptionReport<'a> {
    peers: &'a Peers,
}

impl SubscriptionReport<'_> {
    /// Returns `None` if the proxy has no subscription.
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
        table.into_text()
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

/// The report of a relay or publisher.
pub(crate) struct RelayReport {
    pub name: String,
    pub status: DistributorStatus,
    /// A relay's own subscription to its upstream; `None` for a publisher.
    pub upstream: Option<SubscriberStatus>,
    /// Publisher only: how long `done` has not advanced while a published event is not in force everywhere.
    pub done_age: Option<Micros>,
    /// Publisher only: how long the discovery service may have withheld events.
    pub lag: Option<Micros>,
    /// Number of events that are in force everywhere.
    pub in_force: u64,
    /// Datagrams that the kernel did not accept.
    pub unsent: u64,
}

impl RelayReport {
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
        table.row("head", &position_text(Some(status.head)));
        table.row("acknowledged", &position_text(Some(status.acknowledged)));
        if let Some(done) = status.in_force {
            table.row("done", &position_text(Some(done)));
            table.row("done age", &self.done_age.map_or("-".into(), milliseconds));
            table.row("behind", &self.lag.map_or("-".into(), milliseconds));
        }
        table.row(
            "subscribers",
            &format!("{}, {} with a lease", status.subscribers, status.leases),
        );
        for subscriber in &status.lagging {
            table.row("late", &lagging_text(subscriber, status.head));
        }
        table.row("window", &format!("{} bytes", status.window_bytes));
        table.row("purges", &status.purges.to_string());
        table.row("floor", &floor_text(status.purge_floor, now));
        counter_rows(&mut table, &status.counters);
        table.row("unsent", &self.unsent.to_string());
        if let Some(upstream) = &self.upstream {
            table.heading("follows");
            subscriber_rows(&mut table, upstream, now);
            counter_rows(&mut table, &upstream.counters);
        }
        table.into_text()
    }

    pub(crate) fn json(&self, now: Micros) -> String {
        let status = &self.status;
        let late: Vec<Value> = status.lagging.iter().map(lagging_json).collect();
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
        let mut gauges = distributor_gauges(&self.status);
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
}

/// Counters with their names in tables and JSON.
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

/// Number of events that the relay has announced and the subscriber has not applied.
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
