//! `check`: reads rule files, or a configuration of the platform, and reports every fault.

use super::{
    args::{self, RuleFile},
    platform_config::{self, PlatformConfig},
};
use crate::{
    error::Error,
    output::{self, Output},
};
use bpaf::{Bpaf, Parser, construct};
use cicadacrank_core::rules::Definitions;
use serde::Serialize;
use std::path::PathBuf;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Examples:
  cicadacrank check samples/bergvik.rules
  cicadacrank check --json *.rules
  cicadacrank check --platform next.json --against 10.200.1.7:8624";

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Check {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external)]
    subject: Subject,
}

/// What is checked.
#[derive(Clone, Debug)]
enum Subject {
    Rules(Vec<PathBuf>),
    Platform(PlatformConfig),
}

fn subject() -> impl Parser<Subject> {
    let files = args::file().some("name at least one rule file");
    let rules = files.map(Subject::Rules);
    let platform = platform_config::platform_config().map(Subject::Platform);
    construct!([platform, rules])
}

/// Numbers of items that a valid file defines.
#[derive(Debug, Serialize)]
struct Summary {
    file: String,
    data_centres: usize,
    pools: usize,
    endpoints: usize,
    pipelines: usize,
    teams: usize,
    taken_out: usize,
}

impl Summary {
    fn new(file: String, definitions: &Definitions) -> Self {
        let data_centres = definitions
            .data_centres
            .iter()
            .filter(|data_centre| data_centre.taken_out);
        let endpoints = definitions
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.taken_out);
        Self {
            file,
            data_centres: definitions.data_centres.len(),
            pools: definitions.pools.len(),
            endpoints: definitions.endpoints.len(),
            pipelines: definitions.pipelines.len(),
            teams: definitions.teams.len(),
            taken_out: data_centres.count() + endpoints.count(),
        }
    }
}

impl Check {
    /// Checks all files and reports the faults of all of them together.
    ///
    /// A file that cannot be read ends the check at once.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let files = match self.subject {
            Subject::Rules(files) => files,
            Subject::Platform(config) => return config.check(output),
        };
        let mut summaries = Vec::new();
        let mut faulty = Vec::new();
        for file in files {
            match RuleFile::load(&file) {
                Ok(rules) => {
                    let name = file.display().to_string();
                    summaries.push(Summary::new(name, &rules.definitions));
                }
                Err(Error::Faults(faults)) => faulty.extend(faults),
                Err(error) => return Err(error),
            }
        }
        if !faulty.is_empty() {
            return Err(Error::Faults(faulty));
        }
        output.result(&summaries, || table(&summaries));
        Ok(())
    }
}

fn table(summaries: &[Summary]) -> String {
    let mut table = output::table(&[
        "FILE",
        "DATA CENTRES",
        "POOLS",
        "ENDPOINTS",
        "PIPELINES",
        "TEAMS",
        "TAKEN OUT",
    ]);
    for summary in summaries {
        table.add_row([
            summary.file.clone(),
            summary.data_centres.to_string(),
            summary.pools.to_string(),
            summary.endpoints.to_string(),
            summary.pipelines.to_string(),
            summary.teams.to_string(),
            summary.taken_out.to_string(),
        ]);
    }
    output::render(&mut table)
}
