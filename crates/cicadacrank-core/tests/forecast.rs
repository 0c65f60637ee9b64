//! Tests for forecasts of durations.

use cicadacrank_core::forecast::Forecasts;
use std::time::Duration;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The wait for the last engine was taken to be constant, so that requests which were on
/// time at each stage were late in the end.
#[test]
fn expected_covers_most_durations_of_a_steady_load() {
    let mut forecasts = Forecasts::default();
    let durations = [100, 120, 110, 400, 130, 250, 90, 300];
    for number in 0..80 {
        let took = durations[number as usize % durations.len()];
        forecasts.record("a", ms(took), ms(number * 20));
    }
    let expected = forecasts.expected("a", ms(1_600));
    let covered = durations.iter().filter(|took| ms(**took) <= expected);
    let covered = covered.count();
    assert!((5..8).contains(&covered), "{expected:?}");
}

#[test]
fn expected_follows_an_overload_and_forgets_it() {
    let mut forecasts = Forecasts::default();
    (0..50).for_each(|number| forecasts.record("a", ms(50), ms(number * 20)));
    let calm = forecasts.expected("a", ms(1_000));
    (50..80).for_each(|number| forecasts.record("a", ms(800), ms(number * 20)));
    let overload = forecasts.expected("a", ms(1_600));
    assert!(overload > ms(600), "{overload:?} after {calm:?}");
    let later = forecasts.expected("a", ms(1_600 + 10_000));
    assert!(later < ms(50), "{later:?}");
}

#[test]
fn retain_forgets_what_has_left_the_configuration() {
    let mut forecasts = Forecasts::default();
    forecasts.record("a", ms(500), ms(0));
    forecasts.record("b", ms(500), ms(0));
    forecasts.retain(|name| name == "b");
    assert_eq!(forecasts.expected("a", ms(0)), ms(0));
    assert!(forecasts.expected("b", ms(0)) > ms(0));
}
