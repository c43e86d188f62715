//! Whole fleets of real views in one process, by seed: starts, deaths, splits, pauses, losses, garbage.

use meadowrill_fault_injection::model::{Config, Fleet, Network};
use meadowrill_fault_injection::name;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::settings::SECOND;
use meadowrill_membership::view::{Change, View};

fn started(many: usize, seed: u64) -> Fleet<View> {
    let mut fleet = Fleet::views(Config::new(many, seed));
    fleet.start_all();
    let at = fleet.run_until(fleet.now + 30 * SECOND, Fleet::settled);
    assert!(at.is_some(), "{many} fronts did not settle");
    fleet
}

fn settles(fleet: &mut Fleet<View>, within: i64, what: &str) -> i64 {
    let begin = fleet.now;
    let at = fleet.run_until(begin + within, Fleet::settled);
    let took = at.map(|at| at - begin);
    println!("{what}: settled after {took:?} us");
    took.unwrap_or_else(|| panic!("{what}: not settled within {within} us"))
}

#[test]
fn a_cold_start_settles_at_any_size() {
    for many in [2, 3, 10, 100] {
        let mut fleet = Fleet::views(Config::new(many, 1));
        fleet.start_all();
        settles(&mut fleet, 10 * SECOND, &format!("{many} at once"));
    }
}

#[test]
fn a_death_is_known_to_all_within_four_periods() {
    for seed in 0..10 {
        let mut fleet = started(50, seed);
        fleet.run(5 * SECOND);
        fleet.kill(7);
        let killed = fleet.now;
        let at = fleet
            .run_until(killed + 10 * SECOND, |f| f.gone(7))
            .expect("never found dead");
        println!("seed {seed}: dead at all after {} us", at - killed);
        assert!(at - killed <= 4 * SECOND, "seed {seed}: {} us", at - killed);
        let others = fleet
            .called_dead(killed)
            .into_iter()
            .filter(|(n, ..)| *n != name(7))
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
    let later = fleet.now as u64;
    let known = |f: &Fleet<View>| {
        let knows = |n: usize| {
            f.view(n).is_none_or(|v| {
                n == 9
                    || v.members().any(|(m, it)| {
                        m == name(9) && it.claim.start == later && it.claim.state.is_present()
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
fn most_dying_at_once_settles() {
    let mut fleet = started(60, 5);
    fleet.run(5 * SECOND);
    let killed = fleet.now;
    (0..42).for_each(|n| fleet.kill(n + 10));
    settles(&mut fleet, 15 * SECOND, "70 % killed");
    // None of those that live was called dead on the way.
    let wrong: Vec<_> = fleet
        .called_dead(killed)
        .into_iter()
        .filter(|(n, ..)| (0..10).chain(52..60).any(|k| *n == name(k)))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    (0..42).for_each(|n| fleet.start(n + 10));
    settles(&mut fleet, 10 * SECOND, "restarted");
}

#[test]
fn a_split_settles_on_both_sides_and_heals_by_itself() {
    for seed in 0..4 {
        let mut fleet = started(40, seed);
        fleet.split(|n| u8::from(n >= 15));
        let at = fleet.run_until(fleet.now + 20 * SECOND, |f| f.right());
        assert!(at.is_some(), "the sides did not settle");
        fleet.run(5 * SECOND);
        fleet.heal();
        settles(&mut fleet, 5 * SECOND, "healed");
    }
}

#[test]
fn loss_and_short_stops_call_nobody_dead() {
    let mut fleet = started(60, 9);
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
    settles(&mut fleet, 10 * SECOND, "calm again");
}

#[test]
fn one_that_is_stopped_for_long_knows_it_and_judges_nobody() {
    let mut fleet = started(30, 4);
    let begin = fleet.now;
    fleet.pause(3, 8 * SECOND);
    fleet.run(8 * SECOND);
    assert!(
        fleet.gone(3)
            || fleet.view(0).is_some_and(|v| v
                .members()
                .any(|(n, m)| n == name(3) && m.claim.state == MemberState::Dead))
    );
    settles(&mut fleet, 5 * SECOND, "resumed");
    let wrong: Vec<_> = fleet
        .called_dead(begin)
        .into_iter()
        .filter(|(n, ..)| *n != name(3))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    let away = fleet.seen.iter().any(|s| {
        s.by == 3
            && matches!(s.change, Change::ProcessPaused { duration: span } if span > 7 * SECOND)
    });
    assert!(away, "it did not notice");
}

#[test]
fn one_that_hears_nobody_settles_on_dead_and_does_not_swing() {
    let mut fleet = started(20, 8);
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
        .all(|(n, m)| (n == name(4)) != m.claim.state.is_present()));
    fleet.heal();
    settles(&mut fleet, 10 * SECOND, "heard again");
}

#[test]
fn one_link_cut_one_way_changes_nothing() {
    let mut fleet = started(20, 8);
    let begin = fleet.now;
    for n in 0..5 {
        fleet.cut.insert((n, 10 + n), ());
    }
    fleet.run(60 * SECOND);
    assert!(fleet.called_dead(begin).is_empty());
}

#[test]
fn leaving_is_told_and_confirmed() {
    let mut fleet = started(20, 2);
    fleet.leave(6);
    fleet.run(SECOND);
    assert!(fleet.view(6).unwrap().has_left());
    fleet.kill(6);
    assert!(fleet.gone(6));
    let left = fleet
        .view(0)
        .unwrap()
        .members()
        .any(|(n, m)| n == name(6) && m.claim.state == MemberState::Left);
    assert!(left);
}

#[test]
fn the_dead_are_forgotten_and_do_not_come_back() {
    let mut fleet = Fleet::views(Config {
        remember: 20 * SECOND,
        ..Config::new(10, 6)
    });
    fleet.start_all();
    settles(&mut fleet, 10 * SECOND, "started");
    fleet.kill(4);
    fleet.run(60 * SECOND);
    for n in (0..10).filter(|n| *n != 4) {
        assert!(
            fleet.view(n).unwrap().members().all(|(m, _)| m != name(4)),
            "front {n} still has it"
        );
    }
    // Split for longer than that: all that are forgotten come back by a later start of their own.
    fleet.start(4);
    settles(&mut fleet, 5 * SECOND, "back");
    fleet.split(|n| u8::from(n >= 5));
    fleet.run(90 * SECOND);
    fleet.heal();
    settles(&mut fleet, 10 * SECOND, "healed after all was forgotten");
}

#[test]
fn a_clock_that_stepped_back_keeps_nobody_out() {
    let mut fleet = started(12, 7);
    fleet.kill(5);
    fleet.run(SECOND / 2);
    let earlier = fleet.now as u64 - 3_600_000_000;
    fleet.start_as(5, earlier);
    settles(&mut fleet, 10 * SECOND, "started an hour earlier");
}
