//! Reports as JSON. Scripts read the keys, which must not change.

use super::{counts, lag};
use meadowrill_event_distribution::counters::{Counters, RejectReason};
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_event_distribution::status::{LaggingSubscriber, SubscriberStatus};
use meadowrill_routing::interface::Micros;
use serde_json::{json, Value};

pub(super) fn subscriber_json(status: &SubscriberStatus, now: Micros) -> Value {
    json!({
        "relay": status.relay, "epoch": status.position.map(|at| at.epoch.0), "position": position_json(status.relay_head),
        "watermark": position_json(status.position), "lag": lag(status), "lease_left_us": status.lease_remaining,
        "fetching_snapshot": status.fetching_snapshot, "purges": status.purges, "floor_us": status.purge_floor,
        "floor_age_us": status.purge_floor.map(|floor| now - floor), "counters": counters_json(&status.counters),
    })
}

pub(super) fn counters_json(counters: &Counters) -> Value {
    let rejected = RejectReason::ALL.iter().zip(counters.rejected);
    let rejected: serde_json::Map<String, Value> = rejected
        .map(|(reason, count)| (reason.name().to_string(), count.into()))
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

pub(super) fn lagging_json(subscriber: &LaggingSubscriber) -> Value {
    json!({"name": subscriber.name, "acknowledged": position_json(subscriber.acknowledged),
        "lease_left_us": subscriber.lease_remaining, "heard_ago_us": subscriber.since_heartbeat})
}

pub(super) fn position_json(at: Option<LogPosition>) -> Value {
    at.map_or(
        Value::Null,
        |at| json!({"epoch": at.epoch.0, "position": at.position}),
    )
}
