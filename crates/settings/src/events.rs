//! `fleet { region events { ... } relay { ... } }`: how events come from relays, and what a relay does.

use super::{address, fault, Faulty, Fleet, Node};
use meadowrill_event_distribution::settings::{
    DistributionSettings, InvalidSetting, RelayAddress, RelayLimits, MAX_TEXT_BYTES,
};
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use std::net::SocketAddr;

/// What a relay process is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Which of the relays of the plan it is.
    pub name: String,
    pub plan: RelayLimits,
    /// Where its events come from, if it is the one that publishes.
    pub publish: Option<Publish>,
}

/// The journal service whose events are published.
#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    pub journal: SocketAddr,
    /// Number of the last event that need not be told.
    pub after: u64,
}

/// Region of this front or relay.
pub(super) fn region(fleet: &Node, text: &str) -> Result<String, Faulty> {
    let region = fleet.text("region").unwrap_or_default();
    if region.len() > MAX_TEXT_BYTES {
        let what = format!("is longer than {MAX_TEXT_BYTES} bytes");
        return Err(fault(text, fleet.key("region"), what));
    }
    Ok(region)
}

/// How events come from relays, if they do.
pub(super) fn plan(
    fleet: &Node,
    members: &Fleet,
    text: &str,
) -> Result<Option<DistributionSettings>, Faulty> {
    let Some(node) = fleet.node("events") else {
        return Ok(None);
    };
    let relays = node.nodes("relay");
    let relays = relays
        .iter()
        .map(|relay| relay_address(relay, text))
        .collect::<Result<Vec<_>, _>>()?;
    let usual = DistributionSettings::new(members.fleet_id(), relays);
    let span = |key: &str, unit: Micros, usual: Micros| {
        node.count(key).map_or(usual, |n| n as Micros * unit)
    };
    let plan = DistributionSettings {
        batch_interval: span("batch_ms", MILLISECOND, usual.batch_interval),
        heartbeat_interval: span("heartbeat_ms", MILLISECOND, usual.heartbeat_interval),
        retry_interval: span("retry_ms", MILLISECOND, usual.retry_interval),
        max_unanswered: node
            .count("tries")
            .map_or(usual.max_unanswered, |n| n as u32),
        lease_duration: span("lease_ms", MILLISECOND, usual.lease_duration),
        max_lag: span("lag_most_ms", MILLISECOND, usual.max_lag),
        max_copy_age: span("copy_age_ms", MILLISECOND, usual.max_copy_age),
        purge_retention: span("keep_s", SECOND, usual.purge_retention),
        max_purges: node.count("purges_most").unwrap_or(usual.max_purges),
        ..usual
    };
    plan.validate()
        .map_err(|faulty: InvalidSetting| fault(text, node.key(faulty.key), faulty.reason))?;
    Ok(Some(plan))
}

fn relay_address(node: &Node, text: &str) -> Result<RelayAddress, Faulty> {
    let told = node.text("address").unwrap_or_default();
    let address = address(text, node.key("address"), &told)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        let what = "is no address that others could reach";
        return Err(fault(text, node.key("address"), what));
    }
    let word = |key: &str| node.text(key).unwrap_or_default();
    Ok(RelayAddress {
        name: word("name"),
        address,
        region: word("region"),
        zone: word("zone"),
        publishes: node.flag("publishes"),
    })
}

/// What this process does as a relay, if it is to be one.
pub(super) fn relay(
    fleet: &Node,
    events: Option<&DistributionSettings>,
    text: &str,
) -> Result<Option<Relay>, Faulty> {
    let Some(node) = fleet.node("relay") else {
        return Ok(None);
    };
    let Some(events) = events else {
        return Err(fault(
            text,
            fleet.key("relay"),
            "is told, but no fleet.events",
        ));
    };
    let name = node.text("name").unwrap_or_default();
    let Some(listed) = events.relays.iter().find(|relay| relay.name == name) else {
        let what = format!("{name:?} is none of fleet.events.relay");
        return Err(fault(text, node.key("name"), what));
    };
    let usual = RelayLimits::default();
    let plan = RelayLimits {
        max_subscribers: node
            .count("subscribers_most")
            .unwrap_or(usual.max_subscribers),
        joins_per_second: node
            .count("joins_per_s")
            .map_or(usual.joins_per_second, |n| n as u64),
        snapshot_bytes_per_second: node
            .count("snapshot_bytes_per_s")
            .map_or(usual.snapshot_bytes_per_second, |n| n as u64),
        window_bytes: node.count("window_bytes").unwrap_or(usual.window_bytes),
    };
    plan.validate()
        .map_err(|faulty: InvalidSetting| fault(text, node.key(faulty.key), faulty.reason))?;
    let publish = node
        .node("publish")
        .map(|node| publish(&node, text))
        .transpose()?;
    if publish.is_some() != listed.publishes {
        let what = format!("does not agree with `publishes` of {name:?} in fleet.events.relay");
        return Err(fault(text, node.key("publish"), what));
    }
    Ok(Some(Relay {
        name,
        plan,
        publish,
    }))
}

fn publish(node: &Node, text: &str) -> Result<Publish, Faulty> {
    let told = node.text("journal").unwrap_or_default();
    let journal = address(text, node.key("journal"), &told)?;
    Ok(Publish {
        journal,
        after: node.long_count("after").unwrap_or(0),
    })
}
