//! Regression tests that compare the controller's decisions with recordings, which were made before the crate was
//! renamed. The workload consists of random arrivals, completions, cancellations and reconfigurations over several
//! tenants. Each decision, event and report is compared.
//!
//! The trace format contains no type names:
//!
//! | line | meaning |
//! | --- | --- |
//! | `now id A tenant client ...` | an arrival: `in`, `queued`, or `no` with reason, retry time and reservation |
//! | `now id E ...` | the decision on a queued request, in the same format |
//! | `now id X cancelled` | a client disconnected while its request waited, and whether the request was found waiting |
//! | `now id C` | a request ended |
//! | `now S ...` | the state that is reported to operators |
//!
//! Clients are hashed to flows by the hasher of the standard library (SipHash without a key), which gives the same
//! result on every machine. If a release of the standard library changes its hasher, new recordings must be made with
//! unchanged code.
//!
//! Set `RECORD_TRACES=1` to write recordings instead of comparing with them.

mod workload;

use workload::{Workload, WorkloadSettings};

/// Compares a trace with its recording, byte for byte.
fn assert_recorded(name: &str, trace: &str) {
    let file = format!("{name}.trace");
    meadowrill_recorded_traces::assert_recorded(
        env!("CARGO_MANIFEST_DIR"),
        &file,
        trace.as_bytes(),
    );
}

fn settings(seed: u64) -> WorkloadSettings {
    WorkloadSettings {
        seed,
        requests: 2_500,
        mean_gap: 2_500,
        base_duration: 40_000,
        steady: false,
        clients: 90,
        discipline: "fair",
        max_retry_after: 1_000_000,
        max_waiting: 60,
        max_open: 200,
        max_bytes: 400_000,
        max_concurrency: 40,
        reconfigure_per_mille: 4,
    }
}

#[test]
fn decisions_of_fair_queueing_under_overload_are_as_recorded() {
    assert_recorded("fair", &Workload::new(settings(81)).run());
}

#[test]
fn decisions_with_an_open_limit_and_stable_settings_are_as_recorded() {
    let open = WorkloadSettings {
        reconfigure_per_mille: 0,
        max_concurrency: 4_096,
        requests: 1_500,
        max_waiting: 4_096,
        max_open: 1_000,
        max_bytes: 10_000_000,
        mean_gap: 900,
        ..settings(82)
    };
    assert_recorded("open", &Workload::new(open).run());
}

#[test]
fn decisions_without_retry_after_and_with_little_capacity_are_as_recorded() {
    let tight = WorkloadSettings {
        max_retry_after: 0,
        max_open: 30,
        max_bytes: 40_000,
        max_concurrency: 8,
        mean_gap: 6_000,
        requests: 1_200,
        ..settings(83)
    };
    assert_recorded("tight", &Workload::new(tight).run());
}

#[test]
fn decisions_of_token_buckets_are_as_recorded() {
    let buckets = WorkloadSettings {
        discipline: "buckets",
        requests: 1_200,
        ..settings(84)
    };
    assert_recorded("buckets", &Workload::new(buckets).run());
}

#[test]
fn decisions_of_first_come_are_as_recorded() {
    let first = WorkloadSettings {
        discipline: "first",
        requests: 800,
        max_bytes: 10_000_000,
        max_open: 120,
        mean_gap: 800,
        ..settings(85)
    };
    assert_recorded("first", &Workload::new(first).run());
}

/// Service times of the cache grow only above a certain load, so the measurements raise and lower the limit.
#[test]
fn decisions_in_front_of_a_steady_cache_are_as_recorded() {
    let steady = WorkloadSettings {
        steady: true,
        clients: 900,
        max_open: 2_000,
        max_bytes: 10_000_000,
        max_concurrency: 1_000,
        max_waiting: 500,
        mean_gap: 700,
        requests: 6_000,
        reconfigure_per_mille: 0,
        ..settings(86)
    };
    assert_recorded("steady", &Workload::new(steady).run());
}
