//! Runs soak tests on a deployment of gateways, one for each seed.
//!
//! `cargo run --release -p cicadacrank-bench --example soak -- --first 1 --seeds 50`

use bpaf::{OptionParser, Parser as _, construct, long};
use cicadacrank_bench::{
    deployment::{
        Plan,
        soak::{self, Soak},
    },
    process,
};
use miette::{IntoDiagnostic as _, Result};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Arguments {
    first: u64,
    seeds: u64,
    seconds: u64,
    gateways: usize,
    endpoints: usize,
}

fn parser() -> OptionParser<Arguments> {
    let number = |name: &'static str, help: &'static str| long(name).help(help).argument("N");
    let first = number("first", "First seed").fallback(1);
    let seeds = number("seeds", "Number of seeds").fallback(5);
    let seconds = number("seconds", "Length of each run").fallback(15);
    let gateways = long("gateways").argument("N").fallback(4);
    let endpoints = long("endpoints")
        .help("Endpoints of each role")
        .argument("N")
        .fallback(4);
    construct!(Arguments {
        first,
        seeds,
        seconds,
        gateways,
        endpoints
    })
    .to_options()
    .descr("Soaks a deployment of gateways")
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = parser().run();
    let program = process::build().into_diagnostic()?;
    let mut failed = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let soak = Soak {
            plan: Plan {
                program: program.clone(),
                gateways: arguments.gateways,
                endpoints: arguments.endpoints,
            },
            seed,
            duration: Duration::from_secs(arguments.seconds),
        };
        let report = soak::run(&soak).await.into_diagnostic()?;
        println!(
            "seed {seed}: {} requests, {} served, {} broken promises",
            report.requests,
            report.served,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        failed += usize::from(!report.violations.is_empty());
    }
    if failed > 0 {
        return Err(miette::miette!("{failed} seeds broke a promise"));
    }
    Ok(())
}
