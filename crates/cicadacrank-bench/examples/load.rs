//! Measures the system under the load of each user, in comparison with
//! baseline policies.
//!
//! Starts a fleet of processes for each scenario, measures the latency
//! overhead, runs one trial for each policy with the same requests, and writes
//! the results as JSON, Markdown and SVG.

use bpaf::{OptionParser, Parser as _, construct, long};
use cicadacrank_bench::{
    load::{Bench, Policy, Scenario},
    process,
    report::{self, Report, Summary},
};
use std::{
    env,
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::Command,
};

#[derive(Clone, Debug)]
struct Arguments {
    scenario: Option<String>,
    policy: Option<String>,
    seed: u64,
    out: PathBuf,
}

fn parser() -> OptionParser<Arguments> {
    let scenario = long("scenario")
        .help("Scenario to run: bergvik or tiha-nosht; default: both")
        .argument("NAME")
        .optional();
    let policy = long("policy")
        .help(
            "Policy to run: system, round-robin, least-in-flight or no-retry-budget; default: all",
        )
        .argument("NAME")
        .optional();
    let seed = long("seed")
        .help("Seed of the requests")
        .argument("NUMBER")
        .fallback(1)
        .display_fallback();
    let out = long("out")
        .help("Folder for the reports")
        .argument("FOLDER")
        .fallback(PathBuf::from("docs/measurements"))
        .debug_fallback();
    construct!(Arguments {
        scenario,
        policy,
        seed,
        out
    })
    .to_options()
    .descr("Measures the system under the load of each user")
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = parser().run();
    let commit = commit();
    let program = process::build()?;
    fs::create_dir_all(&arguments.out)?;
    let wanted = |name: &str| arguments.scenario.as_deref().is_none_or(|one| one == name);
    for scenario in Scenario::all() {
        if wanted(scenario.name) {
            measure(scenario, &program, &arguments, &commit).await?;
        }
    }
    Ok(())
}

async fn measure(
    scenario: Scenario,
    program: &Path,
    arguments: &Arguments,
    commit: &str,
) -> Result<(), Box<dyn Error>> {
    let name = scenario.name;
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let rules = fs::read_to_string(samples.join(format!("{name}.rules")))?;
    let load_average = fs::read_to_string("/proc/loadavg")?.trim().to_owned();
    eprintln!("{name}: starting");
    let bench = Bench::start(scenario, program, &rules).await?;
    let overhead = bench.overhead().await?;
    eprintln!("{name}: {overhead:?}");
    let mut trials = Vec::new();
    for policy in Policy::ALL {
        if arguments
            .policy
            .as_deref()
            .is_none_or(|one| one == policy.as_str())
        {
            eprintln!("{name}: {}", policy.as_str());
            let trial = bench.trial(policy, arguments.seed).await?;
            trials.push(Summary::new(&bench, &trial)?);
        }
    }
    if trials.is_empty() {
        return Err("unknown policy: expected one of those listed by --help".into());
    }
    let report = Report {
        name,
        seed: arguments.seed,
        commit: commit.to_owned(),
        load_average,
        overhead,
        trials,
    };
    let file = |extension: &str| arguments.out.join(format!("load-{name}.{extension}"));
    let text = report::markdown(&report, &command());
    println!("{text}");
    fs::write(file("md"), text)?;
    fs::write(file("json"), serde_json::to_string_pretty(&report)? + "\n")?;
    report::attainment(&report, &file("svg"))?;
    Ok(())
}

fn command() -> String {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let tool = "cargo run --release -p cicadacrank-bench --example load";
    format!("{tool} -- {}", arguments.join(" "))
}

fn commit() -> String {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    output.map_or_else(
        |_| "unknown".to_owned(),
        |output| String::from_utf8_lossy(&output.stdout).trim().to_owned(),
    )
}
