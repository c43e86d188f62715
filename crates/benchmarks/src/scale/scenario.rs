//! The settings of the decision module's own scenarios, for models that drive it directly.

use meadowrill_routing::interface::Settings;

const BASE: &str = include_str!("../../../routing/tests/scenarios/base.txt");

/// The base settings, with the size of the fleet in them.
pub(super) fn settings(fronts: usize) -> Settings {
    let lines = BASE.lines().filter_map(|line| line.strip_prefix("set "));
    let mut all: Settings = lines
        .map(|line| line.split_once(' ').unwrap_or((line, "")))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    all.insert("balancers".into(), fronts.to_string());
    all.insert("specifics.zone_balancers".into(), fronts.to_string());
    all
}
