//! A short soak with fixed seeds; longer ones run by the example `soak` of
//! `cicadacrank-bench`. Seeds that ever failed stay here, with their cause.

use cicadacrank_bench::deployment::{
    Plan,
    soak::{self, Soak},
};
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(8);

#[tokio::test]
async fn run_violates_no_guarantee() {
    for seed in [1, 2] {
        let soak = Soak {
            plan: Plan {
                program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
                gateways: 3,
                endpoints: 3,
            },
            seed,
            duration: LENGTH,
        };
        let report = soak::run(&soak).await.expect("a soak");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        assert!(report.served > 0, "seed {seed}: nothing was served");
    }
}
