//! `explain`: shows which endpoints may serve a team's request, and why.

use super::args::{self, Platform, RuleFile};
use crate::{
    error::Error,
    output::{self, Output},
    time,
};
use bpaf::Bpaf;
use cicadacrank_core::{
    error::Kind,
    rules::{self, Definitions, EndpointKey, PipelineKey, PoolKey, Stage, TeamKey, Window},
};
use serde::Serialize;
use std::path::PathBuf;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Reads the rules in force, or a file with --rules.
 Examples:
  cicadacrank explain --team counter --pipeline book-room
  cicadacrank explain --team council --pipeline book-room --at 19:00 --rules now.rules";

/// Source of the rules.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
enum Rules {
    File {
        /// Rule file to read instead of the rules in force
        #[bpaf(long("rules"), argument("FILE"))]
        rules: PathBuf,
    },
    InForce(#[bpaf(external(args::platform))] Platform),
}

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Explain {
    #[bpaf(external(args::json))]
    pub json: bool,
    /// Team that would send the request
    #[bpaf(argument("NAME"))]
    team: String,
    /// Pipeline that the request would use
    #[bpaf(argument("NAME"))]
    pipeline: String,
    /// Time of day in UTC (default: now)
    #[bpaf(argument::<String>("HH:MM"), parse(time::parse_time_of_day), optional)]
    at: Option<u16>,
    #[bpaf(external)]
    rules: Rules,
}

/// Result of the command.
#[derive(Debug, Serialize)]
struct Explanation {
    team: String,
    pipeline: String,
    at: String,
    allowed: bool,
    deadline_ms: u64,
    needs_key: bool,
    stages: Vec<StageRow>,
}

/// A stage of the pipeline, with the team's access to its pool.
#[derive(Debug, Serialize)]
struct StageRow {
    stage: String,
    pool: String,
    budget_ms: u64,
    repeatable: bool,
    right: String,
    allowed: bool,
    endpoints: Vec<EndpointRow>,
}

/// An endpoint of the stage's pool, as seen by the team.
#[derive(Debug, Serialize)]
struct EndpointRow {
    endpoint: String,
    data_centre: String,
    owner: String,
    candidate: bool,
    reason: String,
    /// Number of concurrent requests that the endpoint serves when warm.
    warm_slots: u32,
    /// Number of slots reserved for owners other than the team's.
    reserved_for_others: u32,
}

/// Team, pipeline and time of day to explain, with the rules that apply.
struct Query<'a> {
    definitions: &'a Definitions,
    team: TeamKey,
    pipeline: PipelineKey,
    minute: u16,
}

impl Explain {
    /// Determines the result from the rules and prints it.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let definitions = self.definitions()?;
        let unknown = |kind, what, name: &str| {
            Error::not_run(kind, format!("the rules have no {what} named {name:?}"))
        };
        let team = definitions.team(&self.team);
        let pipeline = definitions.pipeline(&self.pipeline);
        let now = || time::minute_of_day(time::unix_ms());
        let query = Query {
            team: team.ok_or_else(|| unknown(Kind::Forbidden, "team", &self.team))?,
            pipeline: pipeline
                .ok_or_else(|| unknown(Kind::UnknownPipeline, "pipeline", &self.pipeline))?,
            minute: self.at.unwrap_or_else(now),
            definitions: &definitions,
        };
        let explanation = query.explain();
        output.result(&explanation, || text(&explanation));
        Ok(())
    }

    fn definitions(&self) -> Result<Definitions, Error> {
        let platform = match &self.rules {
            Rules::File { rules } => return RuleFile::load(rules).map(|file| file.definitions),
            Rules::InForce(platform) => platform,
        };
        let object = args::block_on(async { platform.session()?.read().await })?;
        rules::parse(&object.rules).map_err(|faults| Error::Faults(vec![faults]))
    }
}

impl Query<'_> {
    fn explain(&self) -> Explanation {
        let pipeline = &self.definitions[self.pipeline];
        let stages = pipeline.stages.iter().map(|stage| self.stage_row(stage));
        let stages: Vec<_> = stages.collect();
        Explanation {
            team: self.definitions[self.team].name.clone(),
            pipeline: pipeline.name.clone(),
            at: format_minute(self.minute),
            allowed: stages.iter().all(|stage| stage.allowed),
            deadline_ms: pipeline.deadline_ms,
            needs_key: !pipeline.is_repeatable(),
            stages,
        }
    }

    fn stage_row(&self, stage: &Stage) -> StageRow {
        let deadline_ms = self.definitions[self.pipeline].deadline_ms;
        let endpoints = self.definitions.endpoints_of(stage.pool);
        StageRow {
            stage: stage.name.clone(),
            pool: self.definitions[stage.pool].name.clone(),
            budget_ms: deadline_ms.saturating_mul(stage.share_percent.into()) / 100,
            repeatable: stage.repeatable,
            right: self.grant_windows(stage.pool),
            allowed: self
                .definitions
                .is_granted(self.team, stage.pool, self.minute),
            endpoints: endpoints.map(|key| self.endpoint_row(key)).collect(),
        }
    }

    /// Returns the times of day at which the team may use the pool, or `none`.
    fn grant_windows(&self, pool: PoolKey) -> String {
        let grants = self.definitions.grants.iter();
        let windows: Vec<_> = grants
            .filter(|grant| (grant.team, grant.pool) == (self.team, pool))
            .map(|grant| format_window(grant.window))
            .collect();
        if windows.is_empty() {
            return "none".to_owned();
        }
        windows.join(", ")
    }

    fn endpoint_row(&self, key: EndpointKey) -> EndpointRow {
        let endpoint = &self.definitions[key];
        let owner = self.definitions[self.team].owner;
        let reservations = self.definitions.reservations.iter();
        let reserved = reservations
            .filter(|reservation| {
                reservation.pool == endpoint.pool && Some(reservation.owner) != owner
            })
            .map(|reservation| reservation.slots);
        let reason = if self.definitions[endpoint.data_centre].taken_out {
            "its data centre is taken out"
        } else if endpoint.taken_out {
            "taken out"
        } else {
            "in service"
        };
        EndpointRow {
            endpoint: endpoint.name.clone(),
            data_centre: self.definitions[endpoint.data_centre].name.clone(),
            owner: self.definitions[endpoint.owner].name.clone(),
            candidate: !self.definitions.is_taken_out(key),
            reason: reason.to_owned(),
            warm_slots: endpoint.warm_slots,
            reserved_for_others: reserved.sum(),
        }
    }
}

fn format_window(window: Window) -> String {
    if window == Window::ALWAYS {
        return "always".to_owned();
    }
    let (from, until) = (window.from_minute, window.until_minute);
    format!("{}-{}", format_minute(from), format_minute(until))
}

fn format_minute(minute: u16) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

fn text(explanation: &Explanation) -> String {
    let Explanation {
        team, pipeline, at, ..
    } = explanation;
    let may = if explanation.allowed {
        "may"
    } else {
        "may not"
    };
    let key = if explanation.needs_key {
        "needs an idempotency key"
    } else {
        "needs no idempotency key"
    };
    let mut text = format!(
        "team {team} {may} use pipeline {pipeline} at {at} UTC; it has {} ms and {key}\n\n",
        explanation.deadline_ms
    );
    let mut stages = output::table(&["STAGE", "POOL", "BUDGET", "REPEAT", "RIGHT", "CANDIDATES"]);
    for stage in &explanation.stages {
        let candidates = stage.endpoints.iter().filter(|endpoint| endpoint.candidate);
        stages.add_row([
            stage.stage.clone(),
            stage.pool.clone(),
            format!("{} ms", stage.budget_ms),
            if stage.repeatable { "yes" } else { "no" }.to_owned(),
            stage.right.clone(),
            format!("{} of {}", candidates.count(), stage.endpoints.len()),
        ]);
    }
    text += &output::render(&mut stages);
    for stage in &explanation.stages {
        text += &endpoints(stage);
    }
    text
}

fn endpoints(stage: &StageRow) -> String {
    let mut table = output::table(&[
        "ENDPOINT",
        "DATA CENTRE",
        "OWNER",
        "WARM",
        "KEPT FOR OTHERS",
        "STATE",
    ]);
    for endpoint in &stage.endpoints {
        table.add_row([
            endpoint.endpoint.clone(),
            endpoint.data_centre.clone(),
            endpoint.owner.clone(),
            endpoint.warm_slots.to_string(),
            endpoint.reserved_for_others.to_string(),
            endpoint.reason.clone(),
        ]);
    }
    let lines = output::render(&mut table);
    format!("\nstage {}\n{lines}", stage.stage)
}
