//! Serves pipelines of both users of the system end to end.
//!
//! Starts the mock engines and the daemons, sends one request for each user,
//! and prints the answers and the runs at the engines.

use cicadacrank_bench::{
    engine::Profile,
    fleet::{self, Fleet, Plan},
    process,
};
use std::{error::Error, path::Path};

/// A request of one of the users of the system.
struct Sample {
    team: &'static str,
    pipeline: &'static str,
    key: &'static str,
    body: &'static str,
}

const BERGVIK: &[Sample] = &[Sample {
    team: "public-portal",
    pipeline: "book-room",
    key: "booking-1",
    body: r#"{"query": "Christening on Saturday, 20 guests"}"#,
}];

const TIHA_NOSHT: &[Sample] = &[Sample {
    team: "hospices",
    pipeline: "order-parcel",
    key: "parcel-1",
    body: r#"{"query": "40 eye masks for the hospice"}"#,
}];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let program = process::build()?;
    for (file, samples) in [("bergvik.rules", BERGVIK), ("tiha-nosht.rules", TIHA_NOSHT)] {
        run(&program, file, samples).await?;
    }
    Ok(())
}

async fn run(program: &Path, file: &str, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    let samples_folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let rules = std::fs::read_to_string(samples_folder.join(file))?;
    let plan = Plan {
        program: program.to_owned(),
        rules,
        entries: 2,
        timeouts: serde_json::json!({ "refresh_ms": 200, "notice_ms": 100 }),
        profile: Profile::default(),
    };
    let fleet = Fleet::start(plan).await?;
    println!(
        "{file}: {} endpoints, {} entries",
        fleet.backends.len(),
        fleet.entries.len()
    );
    let http = fleet::client()?;
    for sample in samples {
        let entry = &fleet.entries[0];
        let url = format!(
            "http://{}/v1/pipelines/{}",
            entry.addresses.caller_listen.ok_or("no caller address")?,
            sample.pipeline
        );
        let answer = http
            .post(url)
            .header("x-team", sample.team)
            .header("idempotency-key", sample.key)
            .header("accept", "text/event-stream")
            .body(sample.body)
            .send()
            .await?;
        println!(
            "{} for {}: status {}",
            sample.pipeline,
            sample.team,
            answer.status()
        );
        println!("{}", answer.text().await?);
    }
    for backend in &fleet.backends {
        for run in backend.engine.runs() {
            println!(
                "ran at {}: {} attempt {} finished {}",
                backend.endpoint, run.path, run.attempt, run.finished
            );
        }
    }
    Ok(())
}
