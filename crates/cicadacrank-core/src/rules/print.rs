//! Prints [`Definitions`] as the text of a rule file.

use super::model::{Definitions, Pipeline, Pool, Stage, Window};

/// Returns definitions as the text of a rule file.
///
/// The comment of each line names `person` and `reason`. The text parses back to
/// equal definitions if the names in them are valid, `person` contains no colon
/// and neither argument contains a line break.
#[must_use]
pub fn print(definitions: &Definitions, person: &str, reason: &str) -> String {
    let mut text = String::new();
    for line in lines(definitions) {
        text.push_str(&line);
        text.push_str(" # ");
        text.push_str(person);
        text.push_str(": ");
        text.push_str(reason);
        text.push('\n');
    }
    text
}

fn lines(definitions: &Definitions) -> Vec<String> {
    let mut lines = Vec::new();
    for one in &definitions.data_centres {
        lines.push(format!("data-centre {} region={}", one.name, one.region));
    }
    lines.extend(
        definitions
            .owners
            .iter()
            .map(|owner| format!("owner {}", owner.name)),
    );
    lines.extend(definitions.pools.iter().map(pool));
    endpoints(definitions, &mut lines);
    teams(definitions, &mut lines);
    for pipeline in &definitions.pipelines {
        let Pipeline {
            name,
            deadline_ms,
            body_limit_bytes,
            ..
        } = pipeline;
        lines.push(format!(
            "pipeline {name} deadline={deadline_ms}ms body={body_limit_bytes}B"
        ));
        let stages = pipeline.stages.iter();
        lines.extend(stages.map(|one| stage(definitions, name, one)));
    }
    relations(definitions, &mut lines);
    lines
}

fn pool(pool: &Pool) -> String {
    let model = optional("model", Some(&pool.model).filter(|model| !model.is_empty()));
    format!(
        "pool {} service={}{model} busy={} idle={}",
        pool.name,
        pool.service.as_str(),
        price(pool.busy_price_milli),
        price(pool.idle_price_milli),
    )
}

fn price(milli: u64) -> String {
    format!("{}.{:03}eur/slot-hour", milli / 1000, milli % 1000)
}

fn optional(key: &str, value: Option<impl std::fmt::Display>) -> String {
    value.map_or_else(String::new, |value| format!(" {key}={value}"))
}

fn endpoints(definitions: &Definitions, lines: &mut Vec<String>) {
    for one in &definitions.endpoints {
        lines.push(format!(
            "endpoint {} pool={} owner={} data-centre={} cold={}req warm={}req warmup={}ms",
            one.name,
            definitions[one.pool].name,
            definitions[one.owner].name,
            definitions[one.data_centre].name,
            one.cold_slots,
            one.warm_slots,
            one.warmup_ms,
        ));
    }
}

fn teams(definitions: &Definitions, lines: &mut Vec<String>) {
    for team in &definitions.teams {
        let owner = optional("owner", team.owner.map(|owner| &definitions[owner].name));
        let limit = team.endpoint_limit.map(|limit| format!("{limit}req"));
        let limit = optional("limit", limit);
        lines.push(format!(
            "team {}{owner} weight={}{limit}",
            team.name, team.weight
        ));
    }
}

fn stage(definitions: &Definitions, pipeline: &str, stage: &Stage) -> String {
    let path = optional("path", Some(&stage.path).filter(|path| !path.is_empty()));
    format!(
        "stage {pipeline} {} pool={} share={}% repeat={} output={}B{path}",
        stage.name,
        definitions[stage.pool].name,
        stage.share_percent,
        if stage.repeatable { "yes" } else { "no" },
        stage.output_limit_bytes,
    )
}

fn relations(definitions: &Definitions, lines: &mut Vec<String>) {
    for grant in &definitions.grants {
        let (team, pool) = (&definitions[grant.team].name, &definitions[grant.pool].name);
        let at = Some(grant.window).filter(|window| *window != Window::ALWAYS);
        let at = optional("at", at.map(window));
        lines.push(format!("allow team={team} pool={pool}{at}"));
    }
    for one in &definitions.reservations {
        let (pool, owner) = (&definitions[one.pool].name, &definitions[one.owner].name);
        lines.push(format!(
            "reserve pool={pool} owner={owner} slots={}req",
            one.slots
        ));
    }
    for one in definitions.data_centres.iter().filter(|one| one.taken_out) {
        lines.push(format!("take-out data-centre={}", one.name));
    }
    for one in definitions.endpoints.iter().filter(|one| one.taken_out) {
        lines.push(format!("take-out endpoint={}", one.name));
    }
}

fn window(window: Window) -> String {
    let clock = |minute: u16| format!("{:02}:{:02}", minute / 60, minute % 60);
    format!(
        "{}-{}",
        clock(window.from_minute),
        clock(window.until_minute)
    )
}
