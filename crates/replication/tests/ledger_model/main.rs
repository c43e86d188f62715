//! The ledger's own code with three proxies, all of them owners, explored exhaustively to a depth: two clients send
//! requests with one idempotency key to two proxies, messages arrive in any order or not at all, one proxy crashes and
//! restarts with nothing in memory, the network is split once. The effect runs at most once. Faulty ledgers are found.

mod model;
mod world;

use model::{Fault, LedgerModel};
use stateright::{Checker, Model};

/// Whether an effect that ran twice was found, and how many states were explored.
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
        "{fault:?}: nothing ever runs"
    );
    (found.is_some(), checker.unique_state_count())
}

#[test]
fn an_effect_runs_at_most_once_whatever_crashes_or_is_split() {
    let (found, states) = explore(Fault::None, 11);
    println!("{states} states");
    assert!(!found);
    assert!(states > 5_000, "{states}");
}

#[test]
fn faulty_ledgers_are_found() {
    for fault in [
        Fault::GrantsAll,
        Fault::SingleOwner,
        Fault::VotesAtOnce,
        Fault::ForgetsOutcome,
    ] {
        assert!(explore(fault, 12).0, "{fault:?} not found");
    }
}
