//! Model checking of all orders of actions up to a depth that depends on the number of kinds of faults on one path.
//! `MEADOWRILL_DEEPER` increases the depth.

mod exploration;

use exploration::{explore, DistributionModel};

/// Maximum number of kinds of faults on one path, and the depth.
const DEPTHS: [(usize, usize); 3] = [(1, 14), (2, 10), (3, 8)];
const THREADS: usize = 4;

#[test]
fn every_order_holds() {
    let extra_depth = std::env::var("MEADOWRILL_DEEPER")
        .ok()
        .and_then(|by| by.parse().ok())
        .unwrap_or(0);
    for (max_faults, depth) in DEPTHS {
        let started_at = std::time::Instant::now();
        let (states, violation) = explore(
            DistributionModel { max_faults },
            depth + extra_depth,
            THREADS,
        );
        println!(
            "{max_faults} faults: {states} states to a depth of {}, {:?}",
            depth + extra_depth,
            started_at.elapsed()
        );
        assert_eq!(violation, None);
    }
}
