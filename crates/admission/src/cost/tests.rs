use super::*;

const CLASS: RequestClass = RequestClass {
    priority_weight: 1.0,
    latency_budget: 500_000,
    budget_stretch: 0.0,
};

#[test]
fn larger_declared_sizes_cost_more_within_bounds() {
    let mut costs = CostModel::new(&[CLASS], 10);
    assert_eq!(costs.expected_cost(0, 9.0), 50_000.0);
    (0..200).for_each(|_| costs.record(0, 20_000, 100.0));
    let mean_cost = costs.expected_cost(0, 0.0);
    assert!((mean_cost - 21_000.0).abs() < 1.0);
    assert!((costs.expected_cost(0, 100.0) - mean_cost).abs() < 1.0);
    assert!(
        costs.expected_cost(0, 400.0) > 2.0 * mean_cost
            && costs.expected_cost(0, 1e12) < 10.0 * mean_cost
    );
    assert!(
        costs.expected_cost(0, f64::NAN) == mean_cost && costs.expected_cost(0, -3.0) == mean_cost
    );
    assert!(costs.expected_cost(9, 1.0) == MIN_COST && costs.actual_cost(-5, -1.0) == MIN_COST);
}

#[test]
fn the_latest_start_leaves_time_for_the_answer() {
    let mut costs = CostModel::new(&[CLASS], 0);
    (0..200).for_each(|_| costs.record(0, 100_000, 0.0));
    assert_eq!(costs.latest_start(0, 0, 3_000_000), 400_000);
    assert_eq!(costs.latest_start(0, 0, 300_000), 200_000);
    (0..200).for_each(|_| costs.record(0, 900_000, 0.0));
    assert_eq!(costs.latest_start(0, 0, 3_000_000), 50_000);
    // A request whose client has timed out already has no time left to wait.
    assert!(costs.latest_start(0, 0, -1) <= 0);
}
