use super::*;

#[test]
fn timers_fire_when_due_and_not_before() {
    let mut wheel = TimerWheel::new(1000, 0);
    let times = [5_000, 100, 700_000, 1_500_000, 1_500_001, 5_000];
    times
        .iter()
        .enumerate()
        .for_each(|(i, at)| wheel.set(i as u32, *at));
    wheel.cancel(0);
    wheel.set(1, 2_000);
    let mut fired = Vec::new();
    for now in (0..2_000_000).step_by(500) {
        while let Some(i) = wheel.pop_due(now) {
            fired.push((i, now));
        }
    }
    assert_eq!(
        fired,
        [
            (1, 2_000),
            (5, 5_000),
            (2, 700_000),
            (3, 1_500_000),
            (4, 1_500_500)
        ]
    );
    assert_eq!(wheel.len(), 0);
}

#[test]
fn a_clock_jump_of_a_year_costs_one_revolution_of_the_wheel() {
    let mut wheel = TimerWheel::new(1000, 0);
    (0..100).for_each(|i| wheel.set(i, Micros::from(i) * 10_000));
    let year = 365 * 86_400 * 1_000_000;
    assert_eq!(std::iter::from_fn(|| wheel.pop_due(year)).count(), 100);
    wheel.set(7, year - 5);
    assert_eq!((wheel.pop_due(year), wheel.pop_due(year)), (Some(7), None));
}
