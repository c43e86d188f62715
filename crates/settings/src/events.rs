//! Reads `fleet.region`, `fleet.events` and `fleet.relay`: the distribution of events and the settings of a relay.

use super::{error_at, parse_address, Fleet, Node, SettingsError};
use meadowrill_event_distribution::settings::{
    DistributionSettings, InvalidSetting, RelayAddress, RelayLimits, MAX_TEXT_BYTES,
};
use meadowrill_event_distribution::settings::{MILLISECOND, SECOND};
use meadowrill_event_distribution::Micros;
use std::net::SocketAddr;

/// Settings of a relay process.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Name of this relay. It is listed in [`DistributionSettings::relays`].
    pub name: String,
    /// Limits on subscribers, snapshots and stored events.
    pub limits: RelayLimits,
    /// Source of the published events, if this relay is the publisher.
    pub publish: Option<Publish>,
}

/// The journal service whose events a publisher publishes.
#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    /// Address of the journal service.
    pub journal: SocketAddr,
    /// Events up to and including this number are not published.
    pub after: u64,
}

/// Reads the region of this proxy or relay.
pub(super) fn region(fleet: &Node, text: &str) -> Result<String, SettingsError> {
    let region = fleet.text("region").unwrap_or_default();
    if region.len() > MAX_TEXT_BYTES {
        let reason = format!("is longer than {MAX_TEXT_BYTES} bytes");
        return Err(error_at(text, fleet.key("region"), reason));
    }
    Ok(region)
}

/// Reads the settings of the distribution of events, if it is enabled.
pub(super) fn distribution_settings(
    fleet: &Node,
    membership: &Fleet,
    text: &str,
) -> Result<Option<DistributionSettings>, SettingsError> {
    let Some(node) = fleet.node("events") else {
        return Ok(None);
    };
    let relays = node.nodes("relay");
    let relays = relays
        .iter()
        .map(|relay| relay_address(relay, text))
        .collect::<Result<Vec<_>, _>>()?;
    let defaults = DistributionSettings::new(membership.fleet_id(), relays);
    let span = |key: &str, unit: Micros, default: Micros| {
        node.count(key).map_or(default, |n| n as Micros * unit)
    };
    let settings = DistributionSettings {
        batch_interval: span("batch_ms", MILLISECOND, defaults.batch_interval),
        heartbeat_interval: span("heartbeat_ms", MILLISECOND, defaults.heartbeat_interval),
        retry_interval: span("retry_ms", MILLISECOND, defaults.retry_interval),
        max_unanswered: node
            .count("tries")
            .map_or(defaults.max_unanswered, |n| n as u32),
        lease_duration: span("lease_ms", MILLISECOND, defaults.lease_duration),
        max_lag: span("lag_most_ms", MILLISECOND, defaults.max_lag),
        max_copy_age: span("copy_age_ms", MILLISECOND, defaults.max_copy_age),
        purge_retention: span("keep_s", SECOND, defaults.purge_retention),
        max_purges: node.count("purges_most").unwrap_or(defaults.max_purges),
        ..defaults
    };
    settings
        .validate()
        .map_err(|e: InvalidSetting| error_at(text, node.key(e.key), e.reason))?;
    Ok(Some(settings))
}

fn relay_address(node: &Node, text: &str) -> Result<RelayAddress, SettingsError> {
    let value = node.text("address").unwrap_or_default();
    let address = parse_address(text, node.key("address"), &value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        let reason = "is not an address that other processes can reach";
        return Err(error_at(text, node.key("address"), reason));
    }
    let text_or_empty = |key: &str| node.text(key).unwrap_or_default();
    Ok(RelayAddress {
        name: text_or_empty("name"),
        address,
        region: text_or_empty("region"),
        zone: text_or_empty("zone"),
        publishes: node.flag("publishes"),
    })
}

/// Reads the settings of this relay, if `fleet.relay` is set.
pub(super) fn relay(
    fleet: &Node,
    events: Option<&DistributionSettings>,
    text: &str,
) -> Result<Option<Relay>, SettingsError> {
    let Some(node) = fleet.node("relay") else {
        return Ok(None);
    };
    let Some(events) = events else {
        return Err(error_at(
            text,
            fleet.key("relay"),
            "is set, but fleet.events is missing",
        ));
    };
    let name = node.text("name").unwrap_or_default();
    let Some(listed) = events.relays.iter().find(|relay| relay.name == name) else {
        let reason = format!("{name:?} is not listed in fleet.events.relay");
        return Err(error_at(text, node.key("name"), reason));
    };
    let defaults = RelayLimits::default();
    let limits = RelayLimits {
        max_subscribers: node
            .count("subscribers_most")
            .unwrap_or(defaults.max_subscribers),
        joins_per_second: node
            .count("joins_per_s")
            .map_or(defaults.joins_per_second, |n| n as u64),
        snapshot_bytes_per_second: node
            .count("snapshot_bytes_per_s")
            .map_or(defaults.snapshot_bytes_per_second, |n| n as u64),
        window_bytes: node.count("window_bytes").unwrap_or(defaults.window_bytes),
    };
    limits
        .validate()
        .map_err(|e: InvalidSetting| error_at(text, node.key(e.key), e.reason))?;
    let publish = node
        .node("publish")
        .map(|node| publish_settings(&node, text))
        .transpose()?;
    if publish.is_some() != listed.publishes {
        let reason = format!("does not agree with `publishes` of {name:?} in fleet.events.relay");
        return Err(error_at(text, node.key("publish"), reason));
    }
    Ok(Some(Relay {
        name,
        limits,
        publish,
    }))
}

fn publish_settings(node: &Node, text: &str) -> Result<Publish, SettingsError> {
    let value = node.text("journal").unwrap_or_default();
    let journal = parse_address(text, node.key("journal"), &value)?;
    Ok(Publish {
        journal,
        after: node.long_count("after").unwrap_or(0),
    })
}
