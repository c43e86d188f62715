//! Regression tests of the protocol's behaviour. Random scenarios of joins, message loss, crashes, pauses, partitions
//! and departures are simulated, and everything that the views send and report is compared with recordings that were
//! made before the crate was renamed.
//!
//! The trace format contains no type names of the code, so that recordings of different versions can be compared:
//!
//! | line | what it records |
//! | --- | --- |
//! | `at node D to bytes` | one of the first datagrams, in hexadecimal |
//! | `at node S sent bytes hash` | totals that a node has sent: messages, bytes, hash of destinations and contents |
//! | `at node C change ...` | a change that a node reported |
//! | `node E ...` | the view and the counters of a node at the end |
//!
//! Set `RECORD_TRACES=1` to write new recordings instead of comparing with them.

mod fabricated_members;
mod messages;
mod simulation;
mod trace;

use fabricated_members::FabricatedMembers;
use simulation::{Scenario, Simulation};
use trace::assert_recorded;

const SECOND: i64 = 1_000_000;

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        nodes: 7,
        duration: 90 * SECOND,
        period: SECOND,
        bytes_per_second: 4000,
        retention: 20 * SECOND,
        local_health: true,
        streams: true,
        loss_per_mille: 20,
        fault_interval: 3 * SECOND,
    }
}

#[test]
fn a_lossy_network_with_crashes_and_restarts_is_as_recorded() {
    assert_recorded("lossy", &Simulation::new(scenario(71)).run());
}

#[test]
fn short_periods_and_a_small_send_budget_without_streams_are_as_recorded() {
    let tight = Scenario {
        nodes: 12,
        period: SECOND / 4,
        bytes_per_second: 3000,
        retention: 5 * SECOND,
        duration: 40 * SECOND,
        streams: false,
        loss_per_mille: 80,
        fault_interval: SECOND,
        ..scenario(72)
    };
    assert_recorded("tight", &Simulation::new(tight).run());
}

#[test]
fn a_larger_fleet_that_joins_over_streams_is_as_recorded() {
    let large = Scenario {
        nodes: 26,
        duration: 30 * SECOND,
        bytes_per_second: 40_000,
        retention: 10 * SECOND,
        local_health: false,
        loss_per_mille: 5,
        fault_interval: 2 * SECOND,
        ..scenario(73)
    };
    assert_recorded("large", &Simulation::new(large).run());
}

#[test]
fn fabricated_members_beyond_the_limits_are_handled_as_recorded() {
    let scenario = FabricatedMembers {
        seed: 74,
        max_members: 60,
        records: 4,
        messages_per_second: 10,
        names: 1000,
        deaths_per_mille: 100,
        duration: 90 * SECOND,
    };
    assert_recorded("crowd", &scenario.run());
}

#[test]
fn long_inventories_in_datagrams_are_as_recorded() {
    let scenario = FabricatedMembers {
        seed: 75,
        max_members: 2000,
        records: 5,
        messages_per_second: 50,
        names: 1200,
        deaths_per_mille: 20,
        duration: 20 * SECOND,
    };
    assert_recorded("inventories", &scenario.run());
}
