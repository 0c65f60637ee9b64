//! The fault matrix: each fault at each step of a request.
//!
//! One fault is injected into a request of three stages, the second of which
//! must not be repeated; then the request is sent again with the same key
//! through another entry. A cell shows the first outcome, the second outcome
//! and the number of runs of the second stage. The checks don't depend on the
//! implementation: they compare the outcomes with the runs at the endpoints.
//! After a change of behaviour, regenerate the page with `UPDATE_EXPECT=1` and
//! review the difference.

mod fault;
mod simulation;

use cicadacrank_core::error::Effect;
use expect_test::expect_file;
use fault::{BEHAVIOURS, DISRUPTIONS, Fault, Stage, Step};
use simulation::{Outcome, Simulation};
use std::fmt::Write as _;
use tokio::{runtime, time::Instant};

/// Idempotency key of the request. The home endpoint of its claim shard is in
/// the first data centre, where the first stage runs; faults of a sidecar are
/// injected there.
const KEY: &str = "key-3";

/// Time between the first outcome and the resent request, after a single fault
/// of an endpoint or a link.
const SETTLE_TIME: std::time::Duration = std::time::Duration::from_secs(30);

/// Result of one cell.
struct Cell {
    first: Outcome,
    resent: Outcome,
    runs: usize,
    violations: Vec<String>,
}

impl Cell {
    fn text(&self) -> String {
        format!("{}; {}; {}", self.first, self.resent, self.runs)
    }
}

fn in_paused_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("the runtime starts").block_on(test)
}

/// Sends the request again, checks every guarantee and returns the cell with
/// all violations.
async fn resend_and_check(
    simulation: &Simulation,
    first: Outcome,
    mut violations: Vec<String>,
) -> Cell {
    let resent = simulation
        .send_order(1, KEY)
        .await
        .expect("the caller task finishes");
    let runs = simulation.order_runs(KEY);
    if runs > 1 {
        violations.push(format!("the work ran {runs} times under one key"));
    }
    if runs > 0
        && matches!(
            resent,
            Outcome::Failed {
                effect: Effect::NotRun,
                ..
            }
        )
    {
        violations.push("the work ran, but the second outcome is not-run".to_owned());
    }
    if runs == 0 && matches!(resent, Outcome::Complete(_)) {
        violations.push("the second outcome is complete, but the work never ran".to_owned());
    }
    if let (Outcome::Complete(first), Outcome::Complete(resent)) = (&first, &resent)
        && first["results"][1] != resent["results"][1]
    {
        violations.push("two results under one key".to_owned());
    }
    let fresh = simulation
        .send_order(1, "fresh")
        .await
        .expect("the caller task finishes");
    if !matches!(fresh, Outcome::Complete(_)) {
        violations.push(format!("a new request after the fault failed: {fresh}"));
    }
    Cell {
        first,
        resent,
        runs,
        violations,
    }
}

/// Checks the first outcome, before the request is sent again, and returns the
/// violations.
fn check_first(simulation: &Simulation, outcome: &Outcome) -> Vec<String> {
    let mut violations = Vec::new();
    let ran = !simulation.port.runs().is_empty();
    if ran
        && matches!(
            outcome,
            Outcome::Failed {
                effect: Effect::NotRun,
                ..
            }
        )
    {
        violations.push("the first outcome is not-run, but work ran".to_owned());
    }
    violations
}

async fn run_timed_fault(fault: Fault, step: Step) -> Cell {
    let simulation = Simulation::new();
    let first = simulation.send_order(0, KEY);
    step.wait_until_reached(&simulation).await;
    fault.inject(&simulation);
    if fault == Fault::ResentElsewhere {
        let resent = simulation
            .send_order(1, KEY)
            .await
            .expect("the caller task finishes");
        let first = first.await.expect("the caller task finishes");
        let mut violations = check_first(&simulation, &first);
        if !matches!(
            (&first, &resent),
            (Outcome::Complete(_), Outcome::Complete(_))
        ) {
            violations.push(format!(
                "first outcome: {first}; concurrent resent request: {resent}"
            ));
        }
        return resend_and_check(&simulation, first, violations).await;
    }
    fault.recover(&simulation).await;
    let first = first.await.expect("the caller task finishes");
    let violations = check_first(&simulation, &first);
    resend_and_check(&simulation, first, violations).await
}

async fn run_stage_fault(stage: Stage, prepare: impl Fn(&Simulation, Stage)) -> Cell {
    let simulation = Simulation::new();
    prepare(&simulation, stage);
    let started = Instant::now();
    let first = simulation
        .send_order(0, KEY)
        .await
        .expect("the caller task finishes");
    let mut violations = check_first(&simulation, &first);
    if first == Outcome::NoAnswer {
        violations.push(format!("no answer in {} ms", started.elapsed().as_millis()));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    resend_and_check(&simulation, first, violations).await
}

/// Appends one row to the page and its violations to the list.
fn write_row(page: &mut String, violations: &mut Vec<String>, name: &str, cells: Vec<Cell>) {
    write!(page, "| {name} |").expect("writing to a string succeeds");
    for (column, cell) in cells.iter().enumerate() {
        write!(page, " {} |", cell.text()).expect("writing to a string succeeds");
        let found = cell.violations.iter();
        violations.extend(found.map(|violation| format!("{name}, column {column}: {violation}")));
    }
    page.push('\n');
}

fn write_header(page: &mut String, title: &str, row_title: &str, columns: &[String]) {
    let rule = "---|".repeat(columns.len() + 1);
    write!(
        page,
        "\n## {title}\n\n| {row_title} | {} |\n|{rule}\n",
        columns.join(" | ")
    )
    .expect("writing to a string succeeds");
}

#[test]
fn matrix_has_no_violations() {
    let mut page = String::from(
        "# Fault matrix\n\n\
         Made by `cargo test -p cicadacrank-bench --test matrix`. A request of three\n\
         stages, the second of which may not be repeated, meets one fault; then it is\n\
         sent again under the same key through another entry. A cell shows what the\n\
         caller was told first, what the second time, and how often the work that may\n\
         not be repeated ran.\n",
    );
    let mut violations = Vec::new();
    let steps = Step::ALL.map(|step| format!("{step:?}"));
    write_header(&mut page, "Faults that come at a time", "fault", &steps);
    for fault in Fault::ALL {
        let cells = Step::ALL.map(|step| in_paused_time(run_timed_fault(fault, step)));
        write_row(
            &mut page,
            &mut violations,
            &format!("{fault:?}"),
            cells.into(),
        );
    }
    let stages = Stage::ALL.map(|stage| stage.to_string());
    write_header(
        &mut page,
        "Faults of an endpoint, by stage",
        "behaviour",
        &stages,
    );
    for behaviour in BEHAVIOURS {
        let prepare =
            |simulation: &Simulation, stage: Stage| stage.push_behaviour(simulation, behaviour);
        let cells = Stage::ALL.map(|stage| in_paused_time(run_stage_fault(stage, prepare)));
        write_row(
            &mut page,
            &mut violations,
            &format!("{behaviour:?}"),
            cells.into(),
        );
    }
    write_header(
        &mut page,
        "Faults of a link, by stage; frame 0 admits, 1 is a chunk, 2 ends",
        "cut",
        &stages,
    );
    for disruption in DISRUPTIONS {
        let prepare =
            |simulation: &Simulation, stage: Stage| stage.push_disruption(simulation, disruption);
        let cells = Stage::ALL.map(|stage| in_paused_time(run_stage_fault(stage, prepare)));
        write_row(
            &mut page,
            &mut violations,
            &format!("{disruption:?}"),
            cells.into(),
        );
    }
    assert!(violations.is_empty(), "{}\n{page}", violations.join("\n"));
    expect_file!["../../../../docs/reference/fault-matrix.md"].assert_eq(&page);
}
