//! Prints a [`Book`] as a rule file.

use super::model::{Book, Pipeline, Pool, Stage, Window};

/// Prints a book as a rule file, each line asked for by `person` for `reason`.
///
/// The text reads back as the same book, if the names in it are valid and the
/// person has no colon and neither has a line break.
#[must_use]
pub fn print(book: &Book, person: &str, reason: &str) -> String {
    let mut text = String::new();
    for line in lines(book) {
        text.push_str(&line);
        text.push_str(" # ");
        text.push_str(person);
        text.push_str(": ");
        text.push_str(reason);
        text.push('\n');
    }
    text
}

fn lines(book: &Book) -> Vec<String> {
    let mut lines = Vec::new();
    for one in &book.data_centres {
        lines.push(format!("data-centre {} region={}", one.name, one.region));
    }
    lines.extend(
        book.owners
            .iter()
            .map(|owner| format!("owner {}", owner.name)),
    );
    lines.extend(book.pools.iter().map(pool));
    endpoints(book, &mut lines);
    teams(book, &mut lines);
    for pipeline in &book.pipelines {
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
        lines.extend(stages.map(|one| stage(book, name, one)));
    }
    links(book, &mut lines);
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

fn endpoints(book: &Book, lines: &mut Vec<String>) {
    for one in &book.endpoints {
        lines.push(format!(
            "endpoint {} pool={} owner={} data-centre={} cold={}req warm={}req warmup={}ms",
            one.name,
            book[one.pool].name,
            book[one.owner].name,
            book[one.data_centre].name,
            one.cold_slots,
            one.warm_slots,
            one.warmup_ms,
        ));
    }
}

fn teams(book: &Book, lines: &mut Vec<String>) {
    for team in &book.teams {
        let owner = optional("owner", team.owner.map(|owner| &book[owner].name));
        let limit = team.endpoint_limit.map(|limit| format!("{limit}req"));
        let limit = optional("limit", limit);
        lines.push(format!(
            "team {}{owner} weight={}{limit}",
            team.name, team.weight
        ));
    }
}

fn stage(book: &Book, pipeline: &str, stage: &Stage) -> String {
    let path = optional("path", Some(&stage.path).filter(|path| !path.is_empty()));
    format!(
        "stage {pipeline} {} pool={} share={}% repeat={} output={}B{path}",
        stage.name,
        book[stage.pool].name,
        stage.share_percent,
        if stage.repeatable { "yes" } else { "no" },
        stage.output_limit_bytes,
    )
}

fn links(book: &Book, lines: &mut Vec<String>) {
    for grant in &book.grants {
        let (team, pool) = (&book[grant.team].name, &book[grant.pool].name);
        let at = Some(grant.window).filter(|window| *window != Window::ALWAYS);
        let at = optional("at", at.map(window));
        lines.push(format!("allow team={team} pool={pool}{at}"));
    }
    for one in &book.reservations {
        let (pool, owner) = (&book[one.pool].name, &book[one.owner].name);
        lines.push(format!(
            "reserve pool={pool} owner={owner} slots={}req",
            one.slots
        ));
    }
    for one in book.data_centres.iter().filter(|one| one.taken_out) {
        lines.push(format!("take-out data-centre={}", one.name));
    }
    for one in book.endpoints.iter().filter(|one| one.taken_out) {
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
