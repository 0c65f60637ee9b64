//! Measures the time and cost of distributing a rule change to all processes.
//!
//! Runs the peer services of many nodes in one process, over loopback and with
//! a mock platform: `cargo run --release -p cicadacrank-bench --example
//! spread`. With `--steady N`, measures N nodes once gossip about their start
//! has ended; with `--slopes`, measures other costs that grow with the size of
//! a fleet. `--quick` leaves out fleets of more than 32 nodes. Prints the
//! results, and writes them as JSON to the file named by `--json`.

#[path = "spread/cost.rs"]
mod cost;
#[path = "spread/fleet.rs"]
mod fleet;
#[path = "spread/rules.rs"]
mod rules;
#[path = "spread/slopes.rs"]
mod slopes;

use fleet::{Fleet, Trouble};
use serde::Serialize;
use std::{env, error::Error, fs, time::Duration};
use tokio::time::{self, Instant};

/// Numbers of nodes in the fleets that are measured.
const SIZES: [usize; 5] = [8, 32, 64, 128, 256];

/// Number of changes in a measurement without faults.
const CHANGES: u64 = 8;

/// Number of changes in a measurement with faults.
const FAULT_CHANGES: u64 = 6;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for a change to reach all nodes, or for a fleet to settle.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time over which the cost of a steady fleet is measured.
const STEADY_TIME: Duration = Duration::from_secs(30);

/// Time over which idle cost is measured.
const IDLE_TIME: Duration = Duration::from_secs(8);

#[derive(Debug, Serialize)]
struct Row {
    nodes: usize,
    watching: String,
    trouble: String,
    changes: u64,
    reached_p50_ms: u64,
    reached_p99_ms: u64,
    reached_max_ms: u64,
    idle_bytes_s: f64,
    change_bytes: f64,
    idle_syncs_s: f64,
    idle_cpu_percent: f64,
    change_cpu_ms: f64,
    platform_calls_s: f64,
    waiting_watches: usize,
    resident_mib: f64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let json = arguments.iter().position(|one| one == "--json");
    let json = json.and_then(|index| arguments.get(index + 1));
    if arguments.iter().any(|one| one == "--slopes") {
        let slopes = slopes::measure();
        slopes::print(&slopes);
        return save(json, &slopes);
    }
    if let Some(index) = arguments.iter().position(|one| one == "--steady") {
        let nodes = arguments
            .get(index + 1)
            .ok_or("--steady needs the number of nodes")?
            .parse()?;
        let row = steady(nodes).await?;
        return save(json, &row);
    }
    let quick = arguments.iter().any(|one| one == "--quick");
    let mut rows = Vec::new();
    print_header();
    for everyone in [false, true] {
        for nodes in SIZES.into_iter().filter(|nodes| !quick || *nodes <= 32) {
            rows.push(measure(nodes, everyone, Trouble::None).await?);
        }
    }
    let largest = if quick { 32 } else { 256 };
    for trouble in Trouble::FAULTS {
        rows.push(measure(largest, false, trouble).await?);
    }
    save(json, &rows)
}

fn save(json: Option<&String>, result: &impl Serialize) -> Result<(), Box<dyn Error>> {
    if let Some(path) = json {
        fs::write(path, serde_json::to_string_pretty(result)? + "\n")?;
    }
    Ok(())
}

#[derive(Debug, Serialize)]
struct Steady {
    nodes: usize,
    quiet_s: f64,
    bytes_s: f64,
    syncs_s: f64,
    cpu_percent: f64,
    platform_calls_s: f64,
    resident_mib: f64,
    changes: u64,
    change_bytes: f64,
    change_cpu_ms: f64,
    reached_p50_ms: u64,
    reached_max_ms: u64,
}

/// Measures a fleet once gossip about its start has ended: first while nothing
/// changes, then over a few changes.
async fn steady(nodes: usize) -> Result<Steady, Box<dyn Error>> {
    let mut fleet = Fleet::start(nodes, false, false).await?;
    fleet.wait_until_settled(CHANGE_TIMEOUT).await?;
    let started_at = Instant::now();
    while !fleet.is_quiescent() {
        time::sleep(Duration::from_millis(100)).await;
    }
    let quiet = started_at.elapsed();
    let idle = measure_rates(&fleet, STEADY_TIME).await;
    let resident_mib = cost::resident_kib() / 1024.0;
    let mut reached = Vec::new();
    let (before, started_at) = (fleet.totals(), Instant::now());
    for _ in 0..FAULT_CHANGES {
        let change = fleet.change_rules();
        reached.extend(fleet.wait_for_change(change, CHANGE_TIMEOUT).await?);
        time::sleep(CHANGE_INTERVAL).await;
    }
    let spent = started_at.elapsed().as_secs_f64();
    let busy = fleet.totals() - before;
    reached.sort_unstable();
    let each = |busy: f64, idle: f64| {
        (busy - idle * spent).max(0.0)
            / count(nodes)
            / count(usize::try_from(FAULT_CHANGES).unwrap_or(1))
    };
    let row = Steady {
        nodes,
        quiet_s: quiet.as_secs_f64(),
        bytes_s: idle.bytes / count(nodes),
        syncs_s: idle.syncs / count(nodes),
        cpu_percent: idle.cpu * 100.0 / count(nodes),
        platform_calls_s: idle.calls,
        resident_mib,
        changes: FAULT_CHANGES,
        change_bytes: each(busy.bytes, idle.bytes),
        change_cpu_ms: each(busy.cpu, idle.cpu) * 1000.0,
        reached_p50_ms: reached[reached.len() / 2],
        reached_max_ms: reached[reached.len() - 1],
    };
    println!("{row:?}");
    Ok(row)
}

fn print_header() {
    println!(
        "| nodes | watching | fault | changes | to all p50 ms | p99 ms | max ms | idle B/s | B a change | syncs/s | idle CPU % | CPU ms a change | platform calls/s | watches | all MiB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

async fn measure(nodes: usize, everyone: bool, trouble: Trouble) -> Result<Row, Box<dyn Error>> {
    let mut fleet = Fleet::start(nodes, everyone, trouble == Trouble::Paused).await?;
    fleet.wait_until_settled(CHANGE_TIMEOUT).await?;
    let idle = measure_rates(&fleet, IDLE_TIME).await;
    let changes = if trouble == Trouble::None {
        CHANGES
    } else {
        FAULT_CHANGES
    };
    let mut reached = Vec::new();
    let before = fleet.totals();
    let started_at = Instant::now();
    for _ in 0..changes {
        fleet.begin_fault(trouble);
        let change = fleet.change_rules();
        let ((), times) = tokio::join!(
            fleet.inject_after_change(trouble, change),
            fleet.wait_for_change(change, CHANGE_TIMEOUT)
        );
        reached.extend(times?);
        fleet.end_faults(trouble);
        time::sleep(CHANGE_INTERVAL).await;
    }
    let spent = started_at.elapsed().as_secs_f64();
    let busy = fleet.totals() - before;
    reached.sort_unstable();
    let at = |part: usize| reached[(reached.len() - 1) * part / 100];
    let each = |busy: f64, idle: f64| {
        (busy - idle * spent).max(0.0) / count(nodes) / count(usize::try_from(changes).unwrap_or(1))
    };
    let row = Row {
        nodes,
        watching: if everyone { "everyone" } else { "chosen" }.to_owned(),
        trouble: trouble.name().to_owned(),
        changes,
        reached_p50_ms: at(50),
        reached_p99_ms: at(99),
        reached_max_ms: at(100),
        idle_bytes_s: idle.bytes / count(nodes),
        change_bytes: each(busy.bytes, idle.bytes),
        idle_syncs_s: idle.syncs / count(nodes),
        idle_cpu_percent: idle.cpu * 100.0 / count(nodes),
        change_cpu_ms: each(busy.cpu, idle.cpu) * 1000.0,
        platform_calls_s: idle.calls,
        waiting_watches: fleet.watch_count(),
        resident_mib: cost::resident_kib() / 1024.0,
    };
    print_row(&row);
    Ok(row)
}

/// Returns the usage of a fleet per second, measured over a period of time.
async fn measure_rates(fleet: &Fleet, time: Duration) -> cost::Totals {
    let before = fleet.totals();
    time::sleep(time).await;
    (fleet.totals() - before) / time.as_secs_f64()
}

fn print_row(row: &Row) {
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.2} | {:.3} | {:.2} | {:.2} | {} | {:.0} |",
        row.nodes,
        row.watching,
        row.trouble,
        row.changes,
        row.reached_p50_ms,
        row.reached_p99_ms,
        row.reached_max_ms,
        row.idle_bytes_s,
        row.change_bytes,
        row.idle_syncs_s,
        row.idle_cpu_percent,
        row.change_cpu_ms,
        row.platform_calls_s,
        row.waiting_watches,
        row.resident_mib,
    );
}

/// Converts a count to a float.
fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
