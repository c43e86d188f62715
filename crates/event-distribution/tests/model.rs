//! Every order of events to a depth, by how many kinds of faults come up on one way. `MEADOWRILL_DEEPER` adds to the depth.

mod exploration;

use exploration::{explore, Rules};

const DEPTHS: [(usize, usize); 3] = [(1, 14), (2, 10), (3, 8)];
const THREADS: usize = 4;

#[test]
fn every_order_holds() {
    let deeper = std::env::var("MEADOWRILL_DEEPER")
        .ok()
        .and_then(|by| by.parse().ok())
        .unwrap_or(0);
    for (max_faults, depth) in DEPTHS {
        let began = std::time::Instant::now();
        let (states, violation) = explore(Rules { max_faults }, depth + deeper, THREADS);
        println!(
            "{max_faults} faults: {states} states to a depth of {}, {:?}",
            depth + deeper,
            began.elapsed()
        );
        assert_eq!(violation, None);
    }
}
