//! The fault matrix: each fault at each step of a request.
//!
//! A request of three stages, the second of which may not be repeated, meets
//! one fault; then it is sent again under the same key through another entry.
//! A cell shows what the caller was told first, what the second time, and how
//! often the work ran. The checks know nothing of the code: they compare what
//! was told with what ran. After a change of behaviour, write the page anew
//! with `UPDATE_EXPECT=1` and read the difference.

mod fault;
mod world;

use cicadacrank_core::error::Effect;
use expect_test::expect_file;
use fault::{BEHAVIOURS, CUTS, Fault, Stage, Step};
use std::fmt::Write as _;
use tokio::{runtime, time::Instant};
use world::{Told, World};

/// The claim of this key has its home in the first data centre, where the first
/// stage runs: that sidecar is the one a fault meets.
const KEY: &str = "key-3";

/// Settled time after a fault that ends by itself.
const SETTLED: std::time::Duration = std::time::Duration::from_secs(30);

/// What came of one cell.
struct Cell {
    first: Told,
    again: Told,
    runs: usize,
    breaches: Vec<String>,
}

impl Cell {
    fn text(&self) -> String {
        format!("{}; {}; {}", self.first, self.again, self.runs)
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
async fn settle(world: &World, first: Told, mut breaches: Vec<String>) -> Cell {
    let again = world.order(1, KEY).await.expect("a caller");
    let runs = world.orders(KEY);
    if runs > 1 {
        breaches.push(format!("ran {runs} times"));
    }
    if runs > 0
        && matches!(
            again,
            Told::Failed {
                effect: Effect::NotRun,
                ..
            }
        )
    {
        breaches.push("it ran, and the second answer is not-run".to_owned());
    }
    if runs == 0 && matches!(again, Told::Whole(_)) {
        breaches.push("whole without a run".to_owned());
    }
    if let (Told::Whole(one), Told::Whole(other)) = (&first, &again)
        && one["results"][1] != other["results"][1]
    {
        breaches.push("two outcomes under one key".to_owned());
    }
    let fresh = world.order(1, "fresh").await.expect("a caller");
    if !matches!(fresh, Told::Whole(_)) {
        breaches.push(format!("afterwards a fresh request is told: {fresh}"));
    }
    Cell {
        first,
        again,
        runs,
        breaches,
    }
}

/// Checks the first answer, before anything is sent again.
fn check_first(world: &World, told: &Told) -> Vec<String> {
    let mut breaches = Vec::new();
    let ran = !world.port.runs().is_empty();
    if ran
        && matches!(
            told,
            Told::Failed {
                effect: Effect::NotRun,
                ..
            }
        )
    {
        breaches.push("told not-run, but it ran".to_owned());
    }
    breaches
}

async fn timed(fault: Fault, step: Step) -> Cell {
    let world = World::new();
    let first = world.order(0, KEY);
    step.reach(&world).await;
    fault.begin(&world);
    if fault == Fault::ResentElsewhere {
        let again = world.order(1, KEY).await.expect("a caller");
        let first = first.await.expect("a caller");
        let mut breaches = check_first(&world, &first);
        if !matches!((&first, &again), (Told::Whole(_), Told::Whole(_))) {
            breaches.push(format!("told {first}, and elsewhere {again}"));
        }
        return settle(&world, first, breaches).await;
    }
    fault.end(&world).await;
    let first = first.await.expect("a caller");
    let breaches = check_first(&world, &first);
    settle(&world, first, breaches).await
}

async fn staged(stage: Stage, prepare: impl Fn(&World, Stage)) -> Cell {
    let world = World::new();
    prepare(&world, stage);
    let began = Instant::now();
    let first = world.order(0, KEY).await.expect("a caller");
    let mut breaches = check_first(&world, &first);
    if first == Told::Nothing {
        breaches.push(format!("no answer in {} ms", began.elapsed().as_millis()));
    }
    tokio::time::sleep(SETTLED).await;
    settle(&world, first, breaches).await
}

/// Writes one row and collects its breaches.
fn row(page: &mut String, broken: &mut Vec<String>, name: &str, cells: Vec<Cell>) {
    write!(page, "| {name} |").expect("write to a string");
    for (column, cell) in cells.iter().enumerate() {
        write!(page, " {} |", cell.text()).expect("write to a string");
        let breaches = cell.breaches.iter();
        broken.extend(breaches.map(|breach| format!("{name}, column {column}: {breach}")));
    }
    page.push('\n');
}

fn head(page: &mut String, title: &str, first: &str, columns: &[String]) {
    let rule = "---|".repeat(columns.len() + 1);
    write!(
        page,
        "\n## {title}\n\n| {first} | {} |\n|{rule}\n",
        columns.join(" | ")
    )
    .expect("write to a string");
}

#[test]
fn matrix_keeps_every_promise() {
    let mut page = String::from(
        "# Fault matrix\n\n\
         Made by `cargo test -p cicadacrank-bench --test matrix`. A request of three\n\
         stages, the second of which may not be repeated, meets one fault; then it is\n\
         sent again under the same key through another entry. A cell shows what the\n\
         caller was told first, what the second time, and how often the work that may\n\
         not be repeated ran.\n",
    );
    let mut broken = Vec::new();
    let steps = Step::ALL.map(|step| format!("{step:?}"));
    head(&mut page, "Faults that come at a time", "fault", &steps);
    for fault in Fault::ALL {
        let cells = Step::ALL.map(|step| in_paused_time(timed(fault, step)));
        row(&mut page, &mut broken, &format!("{fault:?}"), cells.into());
    }
    let stages = Stage::ALL.map(|stage| stage.to_string());
    head(
        &mut page,
        "Faults of an endpoint, by stage",
        "behaviour",
        &stages,
    );
    for behaviour in BEHAVIOURS {
        let prepare = |world: &World, stage: Stage| stage.misbehave(world, behaviour);
        let cells = Stage::ALL.map(|stage| in_paused_time(staged(stage, prepare)));
        row(
            &mut page,
            &mut broken,
            &format!("{behaviour:?}"),
            cells.into(),
        );
    }
    head(
        &mut page,
        "Faults of a link, by stage; frame 0 admits, 1 is a chunk, 2 ends",
        "cut",
        &stages,
    );
    for cut in CUTS {
        let prepare = |world: &World, stage: Stage| stage.cut(world, cut);
        let cells = Stage::ALL.map(|stage| in_paused_time(staged(stage, prepare)));
        row(&mut page, &mut broken, &format!("{cut:?}"), cells.into());
    }
    assert!(broken.is_empty(), "{}\n{page}", broken.join("\n"));
    expect_file!["../../../../docs/reference/fault-matrix.md"].assert_eq(&page);
}
