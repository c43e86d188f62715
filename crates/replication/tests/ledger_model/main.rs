//! Model checking of the ledger's own code with three proxies, all of which are owners. All states are explored up to
//! a depth: two clients send requests with one idempotency key to two proxies, messages arrive in any order or are
//! lost, one proxy crashes and restarts without its state, and the network is split once. The side effect has to run
//! at most once. The model has to detect ledgers with injected faults.

mod model;
mod world;

use model::{Fault, LedgerModel};
use stateright::{Checker, Model};

/// Returns whether a side effect that ran twice was found, and the number of explored states.
fn explore(fault: Fault, depth: usize) -> (bool, usize) {
    let checker = LedgerModel(fault)
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let found = checker.discovery(model::RUNS_AT_MOST_ONCE);
    if let Some(path) = &found {
        println!("{fault:?}: {:?}", path.clone().into_actions());
    }
    assert!(
        checker.discovery(model::RUNS).is_some(),
        "{fault:?}: the side effect never runs"
    );
    (found.is_some(), checker.unique_state_count())
}

#[test]
fn a_side_effect_runs_at_most_once_despite_a_crash_and_a_split() {
    let (found, states) = explore(Fault::None, 11);
    println!("{states} states");
    assert!(!found);
    assert!(states > 5_000, "{states}");
}

#[test]
fn faulty_ledgers_are_detected() {
    for fault in [
        Fault::GrantsAll,
        Fault::SingleOwner,
        Fault::VotesBeforeComparing,
        Fault::ForgetsOutcome,
    ] {
        assert!(explore(fault, 12).0, "{fault:?} was not detected");
    }
}
