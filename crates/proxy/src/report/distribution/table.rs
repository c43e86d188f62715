//! Tables for operators, with a column of names and a column of values. Scripts read their texts, which must not
//! change.

use super::{counts, lag};
use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::status::{LaggingSubscriber, SubscriberStatus};
use meadowrill_routing::interface::Micros;
use std::fmt::Write;

/// Width of the first column, in characters.
const NAME_WIDTH: usize = 14;

/// A table with a column of names and a column of values.
#[derive(Default)]
pub(super) struct Table(String);

impl Table {
    /// The text of the table.
    pub(super) fn into_text(self) -> String {
        self.0
    }

    /// Adds a heading line between two parts of the table.
    pub(super) fn heading(&mut self, text: &str) {
        self.0.push_str(text);
        self.0.push('\n');
    }

    pub(super) fn row(&mut self, name: &str, value: &str) {
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.0, "{name:<NAME_WIDTH$}{value}");
    }
}

pub(super) fn subscriber_rows(table: &mut Table, status: &SubscriberStatus, now: Micros) {
    table.row("relay", &status.relay);
    table.row(
        "epoch",
        &status
            .position
            .map_or("-".into(), |at| at.epoch.0.to_string()),
    );
    table.row("position", &position_text(status.relay_head));
    table.row("watermark", &position_text(status.position));
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
    table.row("floor", &floor_text(status.purge_floor, now));
}

pub(super) fn counter_rows(table: &mut Table, counters: &Counters) {
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
        .map(|(reason, count)| format!("{} {count}", reason.name()))
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

pub(super) fn lagging_text(subscriber: &LaggingSubscriber, head: LogPosition) -> String {
    let behind = subscriber.acknowledged.filter(|at| at.epoch == head.epoch);
    let behind = behind.map_or("of another epoch".into(), |at| {
        format!(
            "{} events behind",
            head.position.saturating_sub(at.position)
        )
    });
    let lease = subscriber
        .lease_remaining
        .map_or("no lease".into(), |left| {
            format!("lease {} left", milliseconds(left))
        });
    format!(
        "{}: {behind}, {lease}, heard {} ago",
        subscriber.name,
        milliseconds(subscriber.since_heartbeat)
    )
}

pub(super) fn position_text(at: Option<LogPosition>) -> String {
    at.map_or("-".into(), |at| {
        format!("{} of epoch {}", at.position, at.epoch.0)
    })
}

pub(super) fn floor_text(floor: Option<Micros>, now: Micros) -> String {
    floor.map_or("-".into(), |floor| {
        format!(
            "copies older than {} are refused",
            milliseconds(now - floor)
        )
    })
}

pub(super) fn milliseconds(span: Micros) -> String {
    format!("{} ms", span / 1000)
}
