//! A short soak test with fixed seeds. The example `soak` of `cicadacrank-bench` runs longer
//! ones. Seeds that have failed stay in the list, with their cause.

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
        let report = soak::run(&soak).await.expect("the soak test failed to run");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        assert!(report.served > 0, "seed {seed}: no request was served");
    }
}
