//! Simulations of the shared state in one process, by seed: side effects, purges and catching up, under faults.

use meadowrill_fault_injection::shared::{run_with_random_faults, FaultScenario, ReplicaFleet};
use meadowrill_replication::record_type::RecordType;
use meadowrill_replication::settings::{LedgerSettings, ReplicationSettings, WithoutQuorum};
use meadowrill_replication::SEC;

fn ledger_settings() -> ReplicationSettings {
    ReplicationSettings {
        ledger: Some(LedgerSettings::default()),
        ..ReplicationSettings::default()
    }
}

fn started(proxies: usize, settings: ReplicationSettings, seed: u64) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::new(proxies, settings, seed);
    fleet.start_all();
    let at = fleet.run_until(fleet.now + 10 * SEC, |s| {
        s.all_caught_up() && s.has_converged()
    });
    assert!(
        at.is_some(),
        "{proxies} proxies have not caught up or not converged"
    );
    fleet
}

const RANDOM_FAULTS: FaultScenario = FaultScenario {
    proxies: 8,
    seconds: 30,
    keys_per_s: 50,
    kills: true,
    partitions: true,
    pauses: true,
};

#[test]
fn no_key_is_executed_twice_under_random_faults() {
    let (mut keys, mut served, mut requests) = (0, 0, 0);
    for seed in 0..20 {
        let fleet = run_with_random_faults(RANDOM_FAULTS, ledger_settings(), seed);
        let counts = &fleet.counts;
        assert_eq!(counts.executed_twice(), 0, "seed {seed}");
        assert_eq!(counts.duplicate_decisions, 0, "seed {seed}");
        keys += counts.executions.len();
        served += counts.served;
        requests += counts.requests;
    }
    println!("{keys} keys executed, {served} of {requests} requests served");
    assert!(served * 10 > requests * 7, "{served} of {requests}");
}

#[test]
fn without_a_ledger_some_keys_are_executed_twice() {
    let settings = ReplicationSettings {
        ledger: None,
        ..ReplicationSettings::default()
    };
    let twice: usize = (0..4)
        .map(|seed| {
            run_with_random_faults(RANDOM_FAULTS, settings.clone(), seed)
                .counts
                .executed_twice()
        })
        .sum();
    assert!(twice > 20, "{twice}");
}

/// Sending without a quorum risks duplicate executions, although fewer than without a ledger; the test prints their
/// number.
#[test]
fn sending_without_a_quorum_executes_few_keys_twice() {
    let ledger = LedgerSettings {
        without_quorum: WithoutQuorum::Send,
        ..LedgerSettings::default()
    };
    let settings = ReplicationSettings {
        ledger: Some(ledger),
        ..ReplicationSettings::default()
    };
    let (mut twice, mut keys) = (0, 0);
    for seed in 0..8 {
        let fleet = run_with_random_faults(RANDOM_FAULTS, settings.clone(), seed);
        twice += fleet.counts.executed_twice();
        keys += fleet.counts.executions.len();
    }
    println!("without quorum: {twice} of {keys} keys executed twice");
    assert!(twice * 20 < keys, "{twice} of {keys}");
}

#[test]
fn without_faults_every_key_is_served_and_a_retry_gets_the_first_response() {
    let mut fleet = started(8, ledger_settings(), 3);
    for key in 0..500 {
        fleet.send_request((key % 8) as usize, key);
        fleet.send_request((key / 8 % 8) as usize, key);
        fleet.run(2000);
    }
    fleet.run(3 * SEC);
    for key in 0..500 {
        fleet.send_request((key % 5) as usize, key);
    }
    fleet.run(5 * SEC);
    assert_eq!(
        (fleet.counts.served, fleet.counts.rejected),
        (1500, 0),
        "{:?}",
        fleet.counts.requests
    );
    assert_eq!(fleet.counts.executions.values().sum::<u32>(), 500);
}

#[test]
fn a_purge_reaches_all_proxies_within_half_a_second_and_is_retained() {
    let mut fleet = started(16, ReplicationSettings::default(), 5);
    fleet.loss = 0.05;
    let stamp = fleet.now;
    fleet.update_replica(3, |replica, now| {
        replica.publish_purge(now, Some(77), 0, stamp)
    });
    let all_know = |s: &ReplicaFleet| {
        s.maps()
            .all(|map| map.of_type(RecordType::Purge).count() == 1)
    };
    let at = fleet
        .run_until(stamp + 10 * SEC, all_know)
        .expect("the purge has not reached all proxies");
    assert!(at - stamp <= SEC / 2, "{} us", at - stamp);
    // Restarts one after another, each possibly before the previous proxy has caught up, do not lose the purge.
    for n in 0..16 {
        fleet.kill(n);
        fleet.start(n);
        fleet.run(SEC);
    }
    assert!(all_know(&fleet));
}

#[test]
fn replicas_converge_within_five_seconds_after_a_partition_heals() {
    for seed in 0..5 {
        let mut fleet = started(12, ledger_settings(), seed);
        fleet.split(|n| u8::from(n < 5));
        for n in 0..200u64 {
            let at = (n % 12) as usize;
            fleet.update_replica(at, |replica, now| {
                replica.publish_purge(now, Some(n), 0, now)
            });
            fleet.update_replica(at, |replica, now| {
                replica.publish_observation(
                    now,
                    RecordType::Observation,
                    &n.to_be_bytes(),
                    vec![1.0],
                )
            });
            fleet.run(10_000);
        }
        fleet.run(3 * SEC);
        assert!(!fleet.has_converged());
        fleet.heal();
        let begin = fleet.now;
        let at = fleet
            .run_until(begin + 20 * SEC, ReplicaFleet::has_converged)
            .expect("not converged");
        println!("seed {seed}: converged after {} ms", (at - begin) / 1000);
        assert!(at - begin <= 5 * SEC, "seed {seed}");
    }
}

#[test]
fn a_started_replica_catches_up_although_its_donor_dies() {
    let mut fleet = started(
        6,
        ReplicationSettings {
            max_entries: 60_000,
            ..ReplicationSettings::default()
        },
        9,
    );
    for n in 0..50_000u64 {
        fleet.update_replica(0, |replica, now| {
            replica.publish_observation(
                now,
                RecordType::Observation,
                &n.to_be_bytes(),
                vec![n as f64],
            )
        });
    }
    // The others receive the records by anti-entropy, as this record type is not pushed.
    let all = |s: &ReplicaFleet| s.maps().all(|map| map.len() >= 50_000);
    (1..6).for_each(|n| {
        fleet.kill(n);
        fleet.start(n);
    });
    fleet
        .run_until(fleet.now + 60 * SEC, all)
        .expect("the records have not reached all replicas");
    fleet.run(3 * SEC);
    fleet.kill(5);
    fleet.run(2 * SEC);
    fleet.start(5);
    let begin = fleet.now;
    fleet.run(SEC);
    // Its nearest peer: the first by name of those in its zone.
    fleet.kill(1);
    let at = fleet
        .run_until(begin + 30 * SEC, |s| {
            s.replica(5).is_some_and(|r| r.map().len() >= 50_000)
        })
        .expect("not caught up");
    println!("caught up after {} ms", (at - begin) / 1000);
    assert!(at - begin <= 5 * SEC, "{} us", at - begin);
}

#[test]
fn the_memory_of_a_hundred_thousand_purges_is_bounded() {
    let mut fleet = started(3, ledger_settings(), 4);
    for n in 0..100_000u64 {
        fleet.update_replica(0, |replica, now| {
            replica.publish_purge(now, Some(n), 0, now - n as i64)
        });
    }
    fleet.run(20 * SEC);
    for map in fleet.maps() {
        let purges = map.sizes()[&(RecordType::Purge as u32)];
        assert!(
            purges.entries <= ReplicationSettings::default().max_entries
                && purges.bytes <= ReplicationSettings::default().max_bytes
        );
    }
}
