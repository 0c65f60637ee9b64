//! Tests for shares of limits that apply to all processes together.

use cicadacrank_core::share::{Budget, Throttle, Window};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

/// Returns the maximum number of `times` within any interval of length `span`.
fn most_within(mut times: Vec<Duration>, span: Duration) -> usize {
    times.sort();
    let mut first = 0;
    let mut most = 0;
    for (index, time) in times.iter().enumerate() {
        while times[first] + span <= *time {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

#[test]
fn grant_adds_up_to_the_limit_for_every_fleet() {
    for processes in 1..60 {
        for limit in [0.0, 0.5, 1.0, 7.0, 20.0, 35.0] {
            let sum: usize = (0..processes)
                .map(|position| Throttle::grant(limit, processes, position))
                .sum();
            assert_eq!(sum, limit as usize, "{processes} processes, limit {limit}");
        }
    }
}

#[test]
fn may_send_bounds_all_processes_in_every_second() {
    for seed in 0..20 {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let processes = random.random_range(1..40);
        let mut all = Vec::new();
        for position in 0..processes {
            let grant = Throttle::grant(20.0, processes, position);
            let mut throttle = Throttle::default();
            let mut times: Vec<u64> = (0..2_000).map(|_| random.random_range(0..6_000)).collect();
            times.sort_unstable();
            for now in times.into_iter().map(Duration::from_millis) {
                if throttle.may_send(Window::Cold, grant, now) {
                    throttle.record_send(now);
                    all.push(now);
                }
            }
        }
        let most = most_within(all, Duration::from_secs(1));
        assert!(most <= 20, "seed {seed}: {most} sends in one second");
    }
}

#[test]
fn may_send_refuses_during_the_first_window() {
    let throttle = Throttle::default();
    assert!(!throttle.may_send(Window::Cold, 5, Duration::from_millis(500)));
    assert!(throttle.may_send(Window::Cold, 5, Duration::from_millis(1_500)));
}

#[test]
fn try_take_bounds_retries_of_all_processes_in_every_window() {
    for seed in 0..20 {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let processes = random.random_range(1..12);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for _ in 0..processes {
            let mut budget = Budget::new(0.2, 56.0, WINDOW);
            for tick in 0..4_000_u64 {
                let now = Duration::from_millis(tick * 10);
                if random.random_bool(0.3) {
                    budget.record_request(now);
                    requests.push(now);
                }
                if random.random_bool(0.3) && budget.try_take(processes, now) {
                    retries.push(now);
                }
            }
        }
        let most = most_within(retries, WINDOW);
        let earned = 0.2 * most_within(requests, WINDOW) as f64;
        assert!(most as f64 <= earned + 56.0, "seed {seed}: {most} retries");
    }
}

#[test]
fn try_take_grants_little_right_after_a_start() {
    let mut budget = Budget::new(0.2, 56.0, WINDOW);
    let taken = (0..100)
        .filter(|_| budget.try_take(4, Duration::from_secs(1)))
        .count();
    assert_eq!(taken, 1);
}

#[test]
fn reserve_of_two_grantors_and_all_shares_stay_within_the_bound() {
    for limit in [1.0, 10.0, 16.0, 20.0, 31.0] {
        let bound: f64 = limit * 1.5 + 5.0;
        for processes in 1..200 {
            let shares: usize = (0..processes)
                .map(|position| Throttle::grant(limit, processes, position))
                .sum();
            let granted = 2 * Throttle::reserve(limit, bound);
            assert!(
                (shares + granted) as f64 <= bound,
                "limit {limit}, {processes} processes"
            );
        }
    }
    assert_eq!(Throttle::reserve(10.0, 0.0), 0, "no bound is known");
}
