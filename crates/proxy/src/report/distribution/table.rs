//! The tables of operators: a column of names and one of values. Their texts are read by scripts, and stay as they are.

use super::{counts, lag};
use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::status::{LaggingSubscriber, SubscriberStatus};
use meadowrill_routing::interface::Micros;
use std::fmt::Write;

/// Width of the first column.
const NAME_WIDTH: usize = 14;

/// A column of names and one of values.
#[derive(Default)]
pub(super) struct Table(String);

impl Table {
    /// The whole text.
    pub(super) fn into_text(self) -> String {
        self.0
    }

    /// A line between two parts of the table.
    pub(super) fn heading(&mut self, text: &str) {
        self.0.push_str(text);
        self.0.push('\n');
    }

    pub(super) fn row(&mut self, name: &str, value: &str) {
        // Writing to a text cannot fail.
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

pub(super) fn late_text(late: &LaggingSubscriber, head: LogPosition) -> String {
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

pub(super) fn position(at: Option<LogPosition>) -> String {
    at.map_or("-".into(), |at| {
        format!("{} of epoch {}", at.position, at.epoch.0)
    })
}

pub(super) fn floor(floor: Option<Micros>, now: Micros) -> String {
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
