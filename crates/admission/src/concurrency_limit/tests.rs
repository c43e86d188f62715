use super::*;
use std::collections::VecDeque;

/// Limit of the baseline runs, which is too high to take effect.
const UNLIMITED: f64 = 4096.0;

/// Runs a limiter in front of a cache that has `workers` workers and always enough requests. An answer takes
/// `service_time` before the time `slow_from`, and four times as long from then on. Returns the final limit, and the
/// answers per second and their mean duration in microseconds in the last four of `seconds`.
fn simulate_cache(
    initial_limit: f64,
    workers: usize,
    slow_from: Micros,
    seconds: Micros,
) -> (f64, usize, f64) {
    let service_time = 20_000;
    let mut limiter = ConcurrencyLimiter::new(2, 4096, &[500_000], 0);
    if initial_limit == UNLIMITED {
        limiter = ConcurrencyLimiter::new(4096, 4096, &[500_000], 0);
    }
    limiter.limit = initial_limit;
    let (mut queue, mut busy) = (VecDeque::new(), Vec::new());
    let (mut answered, mut duration_sum, mut started_count) = (0, 0.0, 0);
    for now in (0..seconds * 1_000_000).step_by(500) {
        busy.retain(|(done, started_at, low_load): &(Micros, Micros, bool)| {
            if *done <= now {
                limiter.release(false);
                limiter.record_hit(now, 0, now - started_at, *low_load);
                if now >= (seconds - 4) * 1_000_000 {
                    answered += 1;
                    duration_sum += (now - started_at) as f64;
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
            let Some((started_at, low_load)) = queue.pop_front() else {
                break;
            };
            let duration = if now < slow_from {
                service_time
            } else {
                service_time * 4
            };
            // Service times vary, but are the same in each run.
            started_count += 1;
            let duration = duration * (90 + started_count * 7919 % 21) / 100;
            busy.push((now + duration, started_at, low_load));
        }
    }
    (
        limiter.limit,
        answered / 4,
        duration_sum / f64::from(answered as u32).max(1.0),
    )
}

#[test]
fn the_limit_converges_to_a_short_queue_from_above_and_below() {
    for (initial_limit, workers) in [(256.0, 8), (2.0, 8), (32.0, 40), (4.0, 100)] {
        let (limit, answered, mean_duration) =
            simulate_cache(initial_limit, workers, Micros::MAX, 12);
        let (_, unlimited_answered, unlimited_duration) =
            simulate_cache(UNLIMITED, workers, Micros::MAX, 12);
        assert!(
            unlimited_duration > 400_000.0 && answered as f64 > 0.97 * unlimited_answered as f64,
            "{initial_limit} {workers}: {answered} of {unlimited_answered}, limit {limit}"
        );
        assert!(
            mean_duration < 100_000.0,
            "{initial_limit} {workers}: {mean_duration} us each, limit {limit}"
        );
    }
}

#[test]
fn a_cache_that_slows_down_fourfold_stays_utilized() {
    let (limit, answered, _) = simulate_cache(32.0, 8, 5_000_000, 14);
    assert!(
        answered as f64 > 0.95 * 100.0 && limit < 30.0,
        "{answered}, limit {limit}"
    );
}

/// If most requests are fills, a limit that grows only after hits would stay at its initial value of 32 and reject
/// requests that the fleet could serve.
#[test]
fn the_limit_grows_where_hits_are_too_few_to_estimate_a_queue() {
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

/// Durations vary tenfold and no request waits in the caches: the limit must not mistake random variation for a
/// queue.
#[test]
fn varying_sizes_are_not_taken_for_a_queue() {
    let mut limiter = ConcurrencyLimiter::new(4, 4096, &[500_000], 0);
    let (mut busy, mut random, mut waited) = (Vec::new(), 7u64, 0);
    for now in (0..20_000_000).step_by(5_000) {
        busy.retain(|(done, started_at, low_load): &(Micros, Micros, bool)| {
            if *done <= now {
                limiter.release(false);
                limiter.record_hit(now, 0, now - started_at, *low_load);
            }
            *done > now
        });
        limiter.update(now);
        if !limiter.has_capacity() {
            limiter.record_wait(now);
            waited += 1;
            continue;
        }
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        // From 30 to 300 ms at 200 per second: about 30 requests are in flight, which is near the initial limit.
        let duration = 30_000
            + 270_000 * ((random >> 33) % 1000 * ((random >> 43) % 1000) / 1000) as Micros / 1000;
        busy.push((now + duration, now, limiter.acquire()));
    }
    assert!(
        waited < 200,
        "{waited} of 4000 had to wait, limit {}",
        limiter.limit()
    );
}

#[test]
fn overdue_requests_free_permits_up_to_a_bound() {
    let mut limiter = ConcurrencyLimiter::new(4, 8, &[500_000], 0);
    let mut acquired = 0;
    loop {
        while limiter.has_capacity() {
            limiter.acquire();
            acquired += 1;
        }
        if !limiter.mark_overdue() {
            break;
        }
    }
    assert_eq!(
        (acquired, limiter.in_flight(), limiter.overdue()),
        (16, 8, 8)
    );
}
