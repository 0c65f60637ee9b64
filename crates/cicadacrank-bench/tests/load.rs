//! Checks that the scenarios of the load tool fit the sample rules and that the seed
//! determines the arrivals.

use cicadacrank_bench::load::{Phase, Scenario, adapt_rules, arrivals};
use cicadacrank_core::rules;
use std::{fs, path::Path, time::Duration};

fn definitions(scenario: &Scenario) -> rules::Definitions {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let file = samples.join(format!("{}.rules", scenario.name));
    let text = fs::read_to_string(file).expect("the sample is readable");
    rules::parse(&adapt_rules(&text, 3_000)).expect("the adapted rules are valid")
}

#[test]
fn scenario_fits_the_samples() {
    for scenario in Scenario::all() {
        let definitions = definitions(&scenario);
        for mix in scenario.mixes.iter().chain([&scenario.probe]) {
            let team = definitions.team(mix.team).expect(mix.team);
            let pipeline = definitions.pipeline(mix.pipeline).expect(mix.pipeline);
            for stage in &definitions[pipeline].stages {
                for minute in [0, 720] {
                    assert!(definitions.is_granted(team, stage.pool, minute), "{mix:?}");
                }
            }
        }
        assert_eq!(
            scenario.mixes.iter().map(|mix| mix.percent).sum::<u32>(),
            100
        );
        assert!(definitions.pool(scenario.engines).is_some());
        assert!(definitions.pool(scenario.slow).is_some());
        assert!(definitions.data_centre(scenario.data_centre).is_some());
        assert!(
            definitions
                .endpoints
                .iter()
                .all(|endpoint| endpoint.warmup_ms == 3_000)
        );
    }
}

#[test]
fn draw_follows_the_seed_and_the_periods() {
    let scenario = Scenario::bergvik();
    let draw = |seed| arrivals::draw(&scenario, "one", seed);
    let times = |seed| -> Vec<Duration> { draw(seed).iter().map(|request| request.at).collect() };
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    assert!(times(1).is_sorted());
    let requests = draw(1);
    for period in scenario.periods {
        let count = requests
            .iter()
            .filter(|request| request.phase == period.phase)
            .count();
        let expected = f64::from(scenario.rate * period.percent * period.seconds) / 100.0;
        let tolerance = 5.0 * expected.sqrt();
        assert!(
            (count as f64 - expected).abs() < tolerance,
            "{period:?}: {count}"
        );
    }
    let preface = requests
        .iter()
        .filter(|request| request.phase == Phase::Preface);
    assert!(preface.count() > 0);
}
