//! The settings of the router's test scenarios, for models that call the router directly.

use meadowrill_routing::interface::Settings;

const BASE: &str = include_str!("../../../routing/tests/scenarios/base.txt");

/// The base settings, with the number of proxies in them.
pub(super) fn settings(proxies: usize) -> Settings {
    let lines = BASE.lines().filter_map(|line| line.strip_prefix("set "));
    let mut settings: Settings = lines
        .map(|line| line.split_once(' ').unwrap_or((line, "")))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    settings.insert("balancers".into(), proxies.to_string());
    settings.insert("specifics.zone_balancers".into(), proxies.to_string());
    settings
}
