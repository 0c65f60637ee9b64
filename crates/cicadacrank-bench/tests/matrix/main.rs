//! The fault matrix: each fault at each step of a request.
//!
//! A request of three stages, the second of which may not be repeated, meets
//! one fault; then it is sent again under the same key through another entry.
//! A cell shows what the caller was told first, what the second time, and how
//! often the work ran. The checks know nothing of the code: they compare what
//! was told with what ran. After a change of behaviour, write the page anew
//! with `UPDATE_EXPECT=1` and read the difference.

mod fault;
mod simulation;

use cicadacrank_core::error::Effect;
use expect_test::expect_file;
use fault::{BEHAVIOURS, DISRUPTIONS, Fault, Stage, Step};
use simulation::{Outcome, Simulation};
use std::fmt::Write as _;
use tokio::{runtime, time::Instant};

/// The claim of this key has its home in the first data centre, where the first
/// stage runs: that sidecar is the one a fault meets.
const KEY: &str = "key-3";

/// Settled time after a fault that ends by itself.
const SETTLE_TIME: std::time::Duration = std::time::Duration::from_secs(30);

/// What came of one cell.
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
    runtime.expect("a runtime").block_on(test)
}

/// Sends the request again and checks every promise.
async fn resend_and_check(
    simulation: &Simulation,
    first: Outcome,
    mut violations: Vec<String>,
) -> Cell {
    let resent = simulation.send_order(1, KEY).await.expect("a caller");
    let runs = simulation.order_runs(KEY);
    if runs > 1 {
        violations.push(format!("ran {runs} times"));
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
        violations.push("it ran, and the second answer is not-run".to_owned());
    }
    if runs == 0 && matches!(resent, Outcome::Complete(_)) {
        violations.push("whole without a run".to_owned());
    }
    if let (Outcome::Complete(first), Outcome::Complete(resent)) = (&first, &resent)
        && first["results"][1] != resent["results"][1]
    {
        violations.push("two outcomes under one key".to_owned());
    }
    let fresh = simulation.send_order(1, "fresh").await.expect("a caller");
    if !matches!(fresh, Outcome::Complete(_)) {
        violations.push(format!("afterwards a fresh request is told: {fresh}"));
    }
    Cell {
        first,
        resent,
        runs,
        violations,
    }
}

/// Checks the first answer, before anything is sent again.
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
        violations.push("told not-run, but it ran".to_owned());
    }
    violations
}

async fn run_timed_fault(fault: Fault, step: Step) -> Cell {
    let simulation = Simulation::new();
    let first = simulation.send_order(0, KEY);
    step.wait_until_reached(&simulation).await;
    fault.inject(&simulation);
    if fault == Fault::ResentElsewhere {
        let resent = simulation.send_order(1, KEY).await.expect("a caller");
        let first = first.await.expect("a caller");
        let mut violations = check_first(&simulation, &first);
        if !matches!(
            (&first, &resent),
            (Outcome::Complete(_), Outcome::Complete(_))
        ) {
            violations.push(format!("told {first}, and elsewhere {resent}"));
        }
        return resend_and_check(&simulation, first, violations).await;
    }
    fault.recover(&simulation).await;
    let first = first.await.expect("a caller");
    let violations = check_first(&simulation, &first);
    resend_and_check(&simulation, first, violations).await
}

async fn run_stage_fault(stage: Stage, prepare: impl Fn(&Simulation, Stage)) -> Cell {
    let simulation = Simulation::new();
    prepare(&simulation, stage);
    let started = Instant::now();
    let first = simulation.send_order(0, KEY).await.expect("a caller");
    let mut violations = check_first(&simulation, &first);
    if first == Outcome::NoAnswer {
        violations.push(format!("no answer in {} ms", started.elapsed().as_millis()));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    resend_and_check(&simulation, first, violations).await
}

/// Writes one row and collects its violations.
fn write_row(page: &mut String, violations: &mut Vec<String>, name: &str, cells: Vec<Cell>) {
    write!(page, "| {name} |").expect("write to a string");
    for (column, cell) in cells.iter().enumerate() {
        write!(page, " {} |", cell.text()).expect("write to a string");
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
    .expect("write to a string");
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
