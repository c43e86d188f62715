//! The base settings of the scenarios, which other tests share.

use meadowrill_routing::interface::Settings;

/// The settings of `base.txt`, with overrides.
pub(crate) fn settings(overrides: &[(&str, String)]) -> Settings {
    let path = format!("{}/tests/scenarios/base.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("base.txt");
    let mut all = Settings::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("set ")) {
        let (name, value) = line.split_once(' ').unwrap_or((line, ""));
        all.insert(name.into(), value.trim().into());
    }
    all.extend(
        overrides
            .iter()
            .map(|(name, value)| (name.to_string(), value.clone())),
    );
    all
}
