//! Simulations of complete fleets of real membership views in one process, by seed: starts, deaths, partitions, pauses,
//! packet loss and corrupted packets.

use meadowrill_fault_injection::model::{Config, Fleet, Network};
use meadowrill_fault_injection::proxy_name;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::settings::SECOND;
use meadowrill_membership::view::{Change, View};

fn started(proxies: usize, seed: u64) -> Fleet<View> {
    let mut fleet = Fleet::views(Config::new(proxies, seed));
    fleet.start_all();
    let at = fleet.run_until(fleet.now + 30 * SECOND, Fleet::settled);
    assert!(at.is_some(), "{proxies} proxies did not settle");
    fleet
}

fn expect_settled(fleet: &mut Fleet<View>, within: i64, what: &str) -> i64 {
    let begin = fleet.now;
    let at = fleet.run_until(begin + within, Fleet::settled);
    let elapsed = at.map(|at| at - begin);
    println!("{what}: settled after {elapsed:?} us");
    elapsed.unwrap_or_else(|| panic!("{what}: not settled within {within} us"))
}

#[test]
fn a_cold_start_settles_at_every_fleet_size() {
    for proxies in [2, 3, 10, 100] {
        let mut fleet = Fleet::views(Config::new(proxies, 1));
        fleet.start_all();
        expect_settled(&mut fleet, 10 * SECOND, &format!("{proxies} at once"));
    }
}

#[test]
fn a_death_is_detected_by_all_within_four_periods() {
    for seed in 0..10 {
        let mut fleet = started(50, seed);
        fleet.run(5 * SECOND);
        fleet.kill(7);
        let killed = fleet.now;
        let at = fleet
            .run_until(killed + 10 * SECOND, |f| f.is_absent_everywhere(7))
            .expect("not detected as dead");
        println!("seed {seed}: detected by all after {} us", at - killed);
        assert!(at - killed <= 4 * SECOND, "seed {seed}: {} us", at - killed);
        let others = fleet
            .declared_dead(killed)
            .into_iter()
            .filter(|(n, ..)| *n != proxy_name(7))
            .count();
        assert_eq!(others, 0, "seed {seed}");
    }
}

#[test]
fn a_restart_is_known_within_one_period() {
    let mut fleet = started(50, 3);
    fleet.run(5 * SECOND);
    fleet.kill(9);
    fleet.run(SECOND / 5);
    fleet.start(9);
    let begin = fleet.now;
    let new_start = fleet.now as u64;
    let known = |f: &Fleet<View>| {
        let knows = |n: usize| {
            f.view(n).is_none_or(|v| {
                n == 9
                    || v.members().any(|(m, member)| {
                        m == proxy_name(9)
                            && member.claim.start == new_start
                            && member.claim.state.is_present()
                    })
            })
        };
        (0..50).all(knows)
    };
    let at = fleet
        .run_until(begin + 5 * SECOND, known)
        .expect("the restart is not known to all");
    assert!(at - begin <= SECOND, "{} us", at - begin);
}

#[test]
fn the_fleet_settles_after_most_members_die_at_once() {
    let mut fleet = started(60, 5);
    fleet.run(5 * SECOND);
    let killed = fleet.now;
    (0..42).for_each(|n| fleet.kill(n + 10));
    expect_settled(&mut fleet, 15 * SECOND, "70 % killed");
    // No surviving member was declared dead meanwhile.
    let false_positives: Vec<_> = fleet
        .declared_dead(killed)
        .into_iter()
        .filter(|(n, ..)| (0..10).chain(52..60).any(|k| *n == proxy_name(k)))
        .collect();
    assert!(false_positives.is_empty(), "{false_positives:?}");
    (0..42).for_each(|n| fleet.start(n + 10));
    expect_settled(&mut fleet, 10 * SECOND, "restarted");
}

#[test]
fn both_sides_of_a_partition_settle_and_the_fleet_settles_after_it_heals() {
    for seed in 0..4 {
        let mut fleet = started(40, seed);
        fleet.split(|n| u8::from(n >= 15));
        let at = fleet.run_until(fleet.now + 20 * SECOND, |f| f.membership_is_correct());
        assert!(at.is_some(), "the partitions did not settle");
        fleet.run(5 * SECOND);
        fleet.heal();
        expect_settled(&mut fleet, 5 * SECOND, "healed");
    }
}

#[test]
fn packet_loss_and_short_pauses_declare_no_member_dead() {
    let mut fleet = started(60, 9);
    fleet.network = Network {
        loss: 0.1,
        duplicated: 0.02,
        corrupted: 0.01,
        ..Network::default()
    };
    let begin = fleet.now;
    for round in 0..60 {
        for n in (0..60).filter(|n| (n + round) % 5 == 0) {
            fleet.pause(n, SECOND / 2);
        }
        fleet.run(SECOND);
    }
    let dead = fleet.declared_dead(begin);
    assert!(dead.is_empty(), "{dead:?}");
    fleet.network = Network::default();
    expect_settled(&mut fleet, 10 * SECOND, "without loss");
}

#[test]
fn a_member_detects_its_own_long_pause_and_declares_no_other_dead() {
    let mut fleet = started(30, 4);
    let begin = fleet.now;
    fleet.pause(3, 8 * SECOND);
    fleet.run(8 * SECOND);
    assert!(
        fleet.is_absent_everywhere(3)
            || fleet.view(0).is_some_and(|v| v
                .members()
                .any(|(n, m)| n == proxy_name(3) && m.claim.state == MemberState::Dead))
    );
    expect_settled(&mut fleet, 5 * SECOND, "resumed");
    let false_positives: Vec<_> = fleet
        .declared_dead(begin)
        .into_iter()
        .filter(|(n, ..)| *n != proxy_name(3))
        .collect();
    assert!(false_positives.is_empty(), "{false_positives:?}");
    let noticed = fleet.observations.iter().any(|s| {
        s.observer == 3
            && matches!(s.change, Change::ProcessPaused { duration: span } if span > 7 * SECOND)
    });
    assert!(noticed, "the member did not detect its pause");
}

#[test]
fn a_member_that_receives_nothing_is_declared_dead_and_does_not_flap() {
    let mut fleet = started(20, 8);
    (0..20).filter(|n| *n != 4).for_each(|n| {
        fleet.cut_links.insert((n, 4), ());
    });
    fleet.run(30 * SECOND);
    let begin = fleet.now;
    fleet.run(60 * SECOND);
    let changes: Vec<_> = fleet
        .observations
        .iter()
        .filter(|s| {
            s.at >= begin && s.observer != 4 && matches!(s.change, Change::MemberChanged { .. })
        })
        .collect();
    assert!(changes.len() <= 2, "{changes:?}");
    assert!(fleet
        .view(0)
        .unwrap()
        .members()
        .all(|(n, m)| (n == proxy_name(4)) != m.claim.state.is_present()));
    fleet.heal();
    expect_settled(&mut fleet, 10 * SECOND, "reachable again");
}

#[test]
fn links_cut_in_one_direction_declare_no_member_dead() {
    let mut fleet = started(20, 8);
    let begin = fleet.now;
    for n in 0..5 {
        fleet.cut_links.insert((n, 10 + n), ());
    }
    fleet.run(60 * SECOND);
    assert!(fleet.declared_dead(begin).is_empty());
}

#[test]
fn leaving_is_announced_and_confirmed() {
    let mut fleet = started(20, 2);
    fleet.leave(6);
    fleet.run(SECOND);
    assert!(fleet.view(6).unwrap().has_left());
    fleet.kill(6);
    assert!(fleet.is_absent_everywhere(6));
    let left = fleet
        .view(0)
        .unwrap()
        .members()
        .any(|(n, m)| n == proxy_name(6) && m.claim.state == MemberState::Left);
    assert!(left);
}

#[test]
fn dead_members_are_forgotten_and_do_not_return() {
    let mut fleet = Fleet::views(Config {
        departed_retention: 20 * SECOND,
        ..Config::new(10, 6)
    });
    fleet.start_all();
    expect_settled(&mut fleet, 10 * SECOND, "started");
    fleet.kill(4);
    fleet.run(60 * SECOND);
    for n in (0..10).filter(|n| *n != 4) {
        assert!(
            fleet
                .view(n)
                .unwrap()
                .members()
                .all(|(m, _)| m != proxy_name(4)),
            "proxy {n} still has the dead member"
        );
    }
    // A partition that lasts longer than the retention: forgotten members return with a later start of their own.
    fleet.start(4);
    expect_settled(&mut fleet, 5 * SECOND, "back");
    fleet.split(|n| u8::from(n >= 5));
    fleet.run(90 * SECOND);
    fleet.heal();
    expect_settled(
        &mut fleet,
        10 * SECOND,
        "healed after all members were forgotten",
    );
}

#[test]
fn a_restart_after_the_clock_stepped_back_is_accepted() {
    let mut fleet = started(12, 7);
    fleet.kill(5);
    fleet.run(SECOND / 2);
    let earlier = fleet.now as u64 - 3_600_000_000;
    fleet.start_as(5, earlier);
    expect_settled(
        &mut fleet,
        10 * SECOND,
        "restarted with a clock an hour behind",
    );
}
