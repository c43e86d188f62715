use super::*;
use std::collections::VecDeque;

/// The plain baseline: no limit to speak of.
const ENDLESS: f64 = 4096.0;

/// A cache with so many workers and always enough asked; returns the limit and what was answered in one of the last
/// four of `seconds`, when each takes `work` until `slow` and four times as long from then on.
fn play(first: f64, workers: usize, slow: Micros, seconds: Micros) -> (f64, usize, f64) {
    let work = 20_000;
    let mut limiter = ConcurrencyLimiter::new(2, 4096, &[500_000], 0);
    if first == ENDLESS {
        limiter = ConcurrencyLimiter::new(4096, 4096, &[500_000], 0);
    }
    limiter.limit = first;
    let (mut queue, mut busy) = (VecDeque::new(), Vec::new());
    let (mut answered, mut waits, mut asked_so_far) = (0, 0.0, 0);
    for now in (0..seconds * 1_000_000).step_by(500) {
        busy.retain(|(done, asked, low_load): &(Micros, Micros, bool)| {
            if *done <= now {
                limiter.release(false);
                limiter.record_hit(now, 0, now - asked, *low_load);
                if now >= (seconds - 4) * 1_000_000 {
                    answered += 1;
                    waits += (now - asked) as f64;
                }
            }
            *done > now
        });
        limiter.update(now);
        while limiter.has_capacity() {
            let low_load = limiter.acquire();
            queue.push_back((now, low_load));
        }
        limiter.record_wait(now);
        while busy.len() < workers && !queue.is_empty() {
            let Some((asked, low_load)) = queue.pop_front() else {
                break;
            };
            let takes = if now < slow { work } else { work * 4 };
            // Not all alike, yet the same each time.
            asked_so_far += 1;
            let takes = takes * (90 + asked_so_far * 7919 % 21) / 100;
            busy.push((now + takes, asked, low_load));
        }
    }
    (
        limiter.limit,
        answered / 4,
        waits / f64::from(answered as u32).max(1.0),
    )
}

#[test]
fn the_limit_comes_to_a_short_queue_from_above_and_below() {
    for (first, workers) in [(256.0, 8), (2.0, 8), (32.0, 40), (4.0, 100)] {
        let (limit, answered, took) = play(first, workers, Micros::MAX, 12);
        let (_, full, waited) = play(ENDLESS, workers, Micros::MAX, 12);
        assert!(
            waited > 400_000.0 && answered as f64 > 0.97 * full as f64,
            "{first} {workers}: {answered} of {full}, limit {limit}"
        );
        assert!(
            took < 100_000.0,
            "{first} {workers}: {took} us each, limit {limit}"
        );
    }
}

#[test]
fn a_cache_that_slows_down_fourfold_is_kept_busy() {
    let (limit, answered, _) = play(32.0, 8, 5_000_000, 14);
    assert!(
        answered as f64 > 0.95 * 100.0 && limit < 30.0,
        "{answered}, limit {limit}"
    );
}

/// On a day with fills first, a limit that waited for hits to tell stayed at its first 32 and held back all that
/// the fleet could have served.
#[test]
fn where_hits_do_not_tell_the_limit_opens() {
    let mut limiter = ConcurrencyLimiter::new(4, 4096, &[500_000], 0);
    for now in (0..4_000_000).step_by(5_000) {
        while limiter.has_capacity() {
            limiter.acquire();
        }
        limiter.record_wait(now);
        limiter.update(now);
    }
    assert!(limiter.limit() > 500.0, "{}", limiter.limit());
}

/// Sizes differ tenfold and nothing waits in the caches: the limit must not take chance for a queue.
#[test]
fn sizes_that_differ_are_no_queue() {
    let mut limiter = ConcurrencyLimiter::new(4, 4096, &[500_000], 0);
    let (mut busy, mut draw, mut held) = (Vec::new(), 7u64, 0);
    for now in (0..20_000_000).step_by(5_000) {
        busy.retain(|(done, asked, low_load): &(Micros, Micros, bool)| {
            if *done <= now {
                limiter.release(false);
                limiter.record_hit(now, 0, now - asked, *low_load);
            }
            *done > now
        });
        limiter.update(now);
        if !limiter.has_capacity() {
            limiter.record_wait(now);
            held += 1;
            continue;
        }
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        // From 30 to 300 ms, 200 a second: 30 inside, near the first limit.
        let takes = 30_000
            + 270_000 * ((draw >> 33) % 1000 * ((draw >> 43) % 1000) / 1000) as Micros / 1000;
        busy.push((now + takes, now, limiter.acquire()));
    }
    assert!(
        held < 200,
        "{held} of 4000 held back, limit {}",
        limiter.limit()
    );
}

#[test]
fn overdue_ones_make_room_but_not_without_end() {
    let mut limiter = ConcurrencyLimiter::new(4, 8, &[500_000], 0);
    let mut all = 0;
    loop {
        while limiter.has_capacity() {
            limiter.acquire();
            all += 1;
        }
        if !limiter.mark_overdue() {
            break;
        }
    }
    assert_eq!((all, limiter.in_flight(), limiter.overdue()), (16, 8, 8));
}
