//! Simulated fleets of real membership views in one process, by seed: starts, deaths, splits, pauses, lost and
//! corrupted datagrams.

use meadowrill_fault_injection::model::{Config, Fleet, Network};
use meadowrill_fault_injection::proxy_name;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::settings::SECOND;
use meadowrill_membership::view::{Change, View};

fn settled_fleet(proxies: usize, seed: u64) -> Fleet<View> {
    let mut fleet = Fleet::views(Config::new(proxies, seed));
    fleet.start_all();
    let at = fleet.run_until(fleet.now + 30 * SECOND, Fleet::settled);
    assert!(at.is_some(), "{proxies} proxies did not settle");
    fleet
}

fn assert_settles(fleet: &mut Fleet<View>, within: i64, description: &str) -> i64 {
    let begin = fleet.now;
    let at = fleet.run_until(begin + within, Fleet::settled);
    let took = at.map(|at| at - begin);
    println!("{description}: settled after {took:?} us");
    took.unwrap_or_else(|| panic!("{description}: not settled within {within} us"))
}

#[test]
fn a_cold_start_settles_at_any_size() {
    for proxies in [2, 3, 10, 100] {
        let mut fleet = Fleet::views(Config::new(proxies, 1));
        fleet.start_all();
        assert_settles(&mut fleet, 10 * SECOND, &format!("{proxies} at once"));
    }
}

#[test]
fn a_death_is_detected_by_all_within_four_periods() {
    for seed in 0..10 {
        let mut fleet = settled_fleet(50, seed);
        fleet.run(5 * SECOND);
        fleet.kill(7);
        let killed = fleet.now;
        let at = fleet
            .run_until(killed + 10 * SECOND, |f| f.gone(7))
            .expect("death not detected by all");
        println!(
            "seed {seed}: death detected by all after {} us",
            at - killed
        );
        assert!(at - killed <= 4 * SECOND, "seed {seed}: {} us", at - killed);
        let others = fleet
            .called_dead(killed)
            .into_iter()
            .filter(|(n, ..)| *n != proxy_name(7))
            .count();
        assert_eq!(others, 0, "seed {seed}");
    }
}

#[test]
fn a_restart_is_known_within_one_period() {
    let mut fleet = settled_fleet(50, 3);
    fleet.run(5 * SECOND);
    fleet.kill(9);
    fleet.run(SECOND / 5);
    fleet.start(9);
    let begin = fleet.now;
    let start_time = fleet.now as u64;
    let known = |f: &Fleet<View>| {
        let knows = |n: usize| {
            f.view(n).is_none_or(|v| {
                n == 9
                    || v.members().any(|(m, it)| {
                        m == proxy_name(9)
                            && it.claim.start == start_time
                            && it.claim.state.is_present()
                    })
            })
        };
        (0..50).all(knows)
    };
    let at = fleet
        .run_until(begin + 5 * SECOND, known)
        .expect("restart not known");
    assert!(at - begin <= SECOND, "{} us", at - begin);
}

#[test]
fn views_settle_after_most_proxies_die_at_once() {
    let mut fleet = settled_fleet(60, 5);
    fleet.run(5 * SECOND);
    let killed = fleet.now;
    (0..42).for_each(|n| fleet.kill(n + 10));
    assert_settles(&mut fleet, 15 * SECOND, "70 % killed");
    // No running proxy was declared dead meanwhile.
    let false_reports: Vec<_> = fleet
        .called_dead(killed)
        .into_iter()
        .filter(|(n, ..)| (0..10).chain(52..60).any(|k| *n == proxy_name(k)))
        .collect();
    assert!(false_reports.is_empty(), "{false_reports:?}");
    (0..42).for_each(|n| fleet.start(n + 10));
    assert_settles(&mut fleet, 10 * SECOND, "restarted");
}

#[test]
fn a_split_settles_on_both_sides_and_merges_after_healing() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(40, seed);
        fleet.split(|n| u8::from(n >= 15));
        let at = fleet.run_until(fleet.now + 20 * SECOND, |f| f.right());
        assert!(at.is_some(), "the sides did not settle");
        fleet.run(5 * SECOND);
        fleet.heal();
        assert_settles(&mut fleet, 5 * SECOND, "healed");
    }
}

#[test]
fn loss_and_short_pauses_declare_nobody_dead() {
    let mut fleet = settled_fleet(60, 9);
    fleet.network = Network {
        loss: 0.1,
        doubled: 0.02,
        garbled: 0.01,
        ..Network::default()
    };
    let begin = fleet.now;
    for round in 0..60 {
        for n in (0..60).filter(|n| (n + round) % 5 == 0) {
            fleet.pause(n, SECOND / 2);
        }
        fleet.run(SECOND);
    }
    let dead = fleet.called_dead(begin);
    assert!(dead.is_empty(), "{dead:?}");
    fleet.network = Network::default();
    assert_settles(&mut fleet, 10 * SECOND, "calm again");
}

#[test]
fn a_proxy_paused_for_long_notices_it_and_declares_nobody_dead() {
    let mut fleet = settled_fleet(30, 4);
    let begin = fleet.now;
    fleet.pause(3, 8 * SECOND);
    fleet.run(8 * SECOND);
    assert!(
        fleet.gone(3)
            || fleet.view(0).is_some_and(|v| v
                .members()
                .any(|(n, m)| n == proxy_name(3) && m.claim.state == MemberState::Dead))
    );
    assert_settles(&mut fleet, 5 * SECOND, "resumed");
    let false_reports: Vec<_> = fleet
        .called_dead(begin)
        .into_iter()
        .filter(|(n, ..)| *n != proxy_name(3))
        .collect();
    assert!(false_reports.is_empty(), "{false_reports:?}");
    let noticed_pause = fleet.seen.iter().any(|s| {
        s.by == 3
            && matches!(s.change, Change::ProcessPaused { duration: span } if span > 7 * SECOND)
    });
    assert!(noticed_pause, "the proxy did not notice its pause");
}

#[test]
fn a_proxy_that_receives_nothing_stays_dead_without_oscillation() {
    let mut fleet = settled_fleet(20, 8);
    (0..20).filter(|n| *n != 4).for_each(|n| {
        fleet.cut.insert((n, 4), ());
    });
    fleet.run(30 * SECOND);
    let begin = fleet.now;
    fleet.run(60 * SECOND);
    let changes: Vec<_> = fleet
        .seen
        .iter()
        .filter(|s| s.at >= begin && s.by != 4 && matches!(s.change, Change::MemberChanged { .. }))
        .collect();
    assert!(changes.len() <= 2, "{changes:?}");
    assert!(fleet
        .view(0)
        .unwrap()
        .members()
        .all(|(n, m)| (n == proxy_name(4)) != m.claim.state.is_present()));
    fleet.heal();
    assert_settles(&mut fleet, 10 * SECOND, "heard again");
}

#[test]
fn links_cut_in_one_direction_cause_no_deaths() {
    let mut fleet = settled_fleet(20, 8);
    let begin = fleet.now;
    for n in 0..5 {
        fleet.cut.insert((n, 10 + n), ());
    }
    fleet.run(60 * SECOND);
    assert!(fleet.called_dead(begin).is_empty());
}

#[test]
fn leaving_is_announced_and_confirmed() {
    let mut fleet = settled_fleet(20, 2);
    fleet.leave(6);
    fleet.run(SECOND);
    assert!(fleet.view(6).unwrap().has_left());
    fleet.kill(6);
    assert!(fleet.gone(6));
    let left = fleet
        .view(0)
        .unwrap()
        .members()
        .any(|(n, m)| n == proxy_name(6) && m.claim.state == MemberState::Left);
    assert!(left);
}

#[test]
fn dead_members_are_forgotten_and_return_only_by_restarting() {
    let mut fleet = Fleet::views(Config {
        remember: 20 * SECOND,
        ..Config::new(10, 6)
    });
    fleet.start_all();
    assert_settles(&mut fleet, 10 * SECOND, "started");
    fleet.kill(4);
    fleet.run(60 * SECOND);
    for n in (0..10).filter(|n| *n != 4) {
        assert!(
            fleet
                .view(n)
                .unwrap()
                .members()
                .all(|(m, _)| m != proxy_name(4)),
            "proxy {n} still lists the dead member"
        );
    }
    // The split lasts longer than dead members are remembered, so each side forgets the other.
    fleet.start(4);
    assert_settles(&mut fleet, 5 * SECOND, "back");
    fleet.split(|n| u8::from(n >= 5));
    fleet.run(90 * SECOND);
    fleet.heal();
    assert_settles(&mut fleet, 10 * SECOND, "healed after all was forgotten");
}

#[test]
fn a_proxy_can_rejoin_after_its_clock_stepped_back() {
    let mut fleet = settled_fleet(12, 7);
    fleet.kill(5);
    fleet.run(SECOND / 2);
    let earlier = fleet.now as u64 - 3_600_000_000;
    fleet.start_as(5, earlier);
    assert_settles(&mut fleet, 10 * SECOND, "started an hour earlier");
}
