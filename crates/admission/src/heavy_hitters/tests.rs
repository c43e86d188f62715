use super::*;

#[test]
fn a_heavy_hitter_is_found_among_a_hundred_thousand_keys() {
    let mut hitters = HeavyHitters::new(0);
    for n in 0..100_000u64 {
        hitters.record(0, 1_000_000 + n);
        if n % 9 == 0 {
            hitters.record(0, 7);
        }
    }
    // Key 7 makes up a tenth of all occurrences: it has a counter, and its guaranteed count is never too high.
    assert!(
        (1..=11_112).contains(&hitters.guaranteed(7)),
        "{}",
        hitters.guaranteed(7)
    );
    assert!(hitters.guaranteed(7) > 11_112 / 2);
    assert!(hitters.guaranteed(1_000_000) == 0);
}

#[test]
fn counts_of_silent_keys_decay() {
    let mut hitters = HeavyHitters::new(0);
    assert_eq!((0..1000).map(|_| hitters.record(0, 7)).last(), Some(1000));
    hitters.record(HALVING_INTERVAL * 40, 8);
    assert_eq!((hitters.guaranteed(7), hitters.guaranteed(8)), (0, 1));
}
