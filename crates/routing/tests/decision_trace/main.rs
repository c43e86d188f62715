//! Guards against unintended changes of the router's decisions: the actions for random events of four deployments are
//! compared with recordings.
//!
//! The recordings in `tests/recordings` were made before the module was split (commit b4b830a). `tests/trace/mod.rs`
//! describes their format; the test in `scenarios/main.rs` compares the recordings of the scenarios.

#[path = "../common/settings.rs"]
mod settings;
mod simulation;
#[path = "../trace/mod.rs"]
mod trace;

use simulation::{Deployment, Simulation};
use trace::assert_recorded;

fn deployment(seed: u64, settings: &[(&str, &str)]) -> Deployment {
    let settings: Vec<_> = settings
        .iter()
        .map(|(name, value)| (*name, value.to_string()))
        .collect();
    Deployment {
        seed,
        settings: settings::settings(&settings),
        request_gap: 8_000,
        requests: 4_000,
        sizes_known: true,
        connections: false,
        unknown_class_per_mille: 20,
        changes_per_mille: 150,
        origin_time: 60_000,
    }
}

#[test]
fn decisions_with_known_sizes_and_complete_cache_status_match_the_recording() {
    let known_sizes = deployment(41, &[]);
    assert_recorded("sizes_told", &Simulation::new(known_sizes).run());
}

#[test]
fn decisions_without_sizes_with_weights_and_shared_fills_match_the_recording() {
    let settings = [
        ("specifics.shares_fills", "true"),
        ("specifics.says", "hits"),
        ("weight_kind", "slots"),
        ("specifics.pass_through_ok", "true"),
        ("feedback.fields", "inflight,x1"),
        ("specifics.report_x1", "fill of the location's_link"),
        ("balancers", "12"),
        ("specifics.zone_balancers", "6,6"),
    ];
    let unknown_sizes = Deployment {
        sizes_known: false,
        connections: true,
        ..deployment(42, &settings)
    };
    assert_recorded("shared_fills", &Simulation::new(unknown_sizes).run());
}

#[test]
fn decisions_under_high_load_with_polled_discovery_match_the_recording() {
    let settings = [
        ("registry_mode", "on_request"),
        ("limits.send_cap", "4"),
        ("feedback.fields", "x1"),
        ("specifics.report_x1", "the location's_link, in use"),
        ("specifics.flow_kb_per_s", "200"),
        ("specifics.zone_balancers", "2,2"),
        ("specifics.parent_warms_in_s", "8"),
        ("limits.retry_after", "false"),
    ];
    let high_load = Deployment {
        request_gap: 1_500,
        requests: 6_000,
        changes_per_mille: 300,
        origin_time: 400_000,
        connections: true,
        ..deployment(43, &settings)
    };
    assert_recorded("polled_crowd", &Simulation::new(high_load).run());
}

#[test]
fn decisions_of_a_small_proxy_with_slow_starts_match_the_recording() {
    let settings = [
        ("balancers", "300"),
        ("specifics.zone_balancers", "150,150"),
        ("guarantees.warm_after_s", "40"),
        ("limits.cancel", "false"),
        ("specifics.says", "none"),
        ("classes.2.group", "none"),
    ];
    let small_proxy = Deployment {
        request_gap: 90_000,
        requests: 3_000,
        ..deployment(44, &settings)
    };
    assert_recorded("small_front", &Simulation::new(small_proxy).run());
}
