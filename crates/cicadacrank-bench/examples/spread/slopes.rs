//! Measures costs that grow with the size of a fleet, each at several sizes,
//! with a linear fit.

use super::{cost, count, rules};
use cicadacrank_core::{
    gossip::{Document, History, apply, difference},
    membership::{Member, Role, State, Table},
    rules::parse,
};
use serde::Serialize;
use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Linear fit of a cost over a size.
#[derive(Debug, Serialize)]
pub struct Slope {
    name: &'static str,
    size: &'static str,
    unit: &'static str,
    points: Vec<Point>,
    fixed: f64,
    each: f64,
    fit: f64,
}

#[derive(Debug, Serialize)]
struct Point {
    size: f64,
    cost: f64,
}

impl Slope {
    /// Fits a line to the points by least squares.
    fn new(name: &'static str, size: &'static str, unit: &'static str, points: Vec<Point>) -> Self {
        let number = count(points.len());
        let mean = |read: fn(&Point) -> f64| points.iter().map(read).sum::<f64>() / number;
        let (size_mean, cost_mean) = (mean(|point| point.size), mean(|point| point.cost));
        let sum = |read: &dyn Fn(&Point) -> f64| points.iter().map(read).sum::<f64>();
        let covariance = sum(&|point| (point.size - size_mean) * (point.cost - cost_mean));
        let size_variance = sum(&|point| (point.size - size_mean).powi(2));
        let cost_variance = sum(&|point| (point.cost - cost_mean).powi(2));
        let each = covariance / size_variance;
        let fixed = cost_mean - each * size_mean;
        let fit = covariance * covariance / (size_variance * cost_variance);
        Self {
            name,
            size,
            unit,
            points,
            fixed,
            each,
            fit,
        }
    }
}

/// Measures all slopes.
pub fn measure() -> Vec<Slope> {
    vec![
        // Memory is measured first: later, new values would reuse the memory of
        // earlier ones.
        Slope::new(
            "rules in memory",
            "endpoints",
            "KiB",
            measure_over(ENDPOINTS, |size| rules_memory(size, MIN_TEAMS)),
        ),
        Slope::new(
            "rules in memory",
            "teams",
            "KiB",
            measure_over(TEAMS, |size| rules_memory(27, size)),
        ),
        Slope::new(
            "member table in memory",
            "members",
            "KiB",
            measure_over(MEMBERS, table_memory),
        ),
        Slope::new(
            "rule file",
            "endpoints",
            "bytes",
            measure_over(ENDPOINTS, |size| file_size(size, MIN_TEAMS)),
        ),
        Slope::new(
            "rule file",
            "teams",
            "bytes",
            measure_over(TEAMS, |size| file_size(27, size)),
        ),
        Slope::new(
            "parsing",
            "endpoints",
            "us",
            measure_over(ENDPOINTS, |size| parse_time(size, MIN_TEAMS)),
        ),
        Slope::new(
            "parsing",
            "teams",
            "us",
            measure_over(TEAMS, |size| parse_time(27, size)),
        ),
        Slope::new(
            "difference of a line",
            "teams",
            "us",
            measure_over(TEAMS, difference_time),
        ),
        Slope::new(
            "taking up a difference",
            "teams",
            "us",
            measure_over(TEAMS, apply_time),
        ),
        Slope::new(
            "hashes of the member table",
            "members",
            "us",
            measure_over(MEMBERS, hash_time),
        ),
    ]
}

/// Least number of teams, so that each pipeline has one.
const MIN_TEAMS: usize = 27;

const ENDPOINTS: [usize; 5] = [100, 200, 400, 800, 1600];
const TEAMS: [usize; 5] = [150, 300, 600, 1200, 2400];
const MEMBERS: [usize; 5] = [48, 96, 192, 384, 768];

/// Prints the slopes as a table.
pub fn print(slopes: &[Slope]) {
    println!("| cost | unit | over | points | fixed | each | fit r2 |");
    println!("|---|---|---|---|---|---|---|");
    for slope in slopes {
        let points = slope.points.iter();
        let points: Vec<String> = points
            .map(|point| format!("{:.0}: {:.1}", point.size, point.cost))
            .collect();
        println!(
            "| {} | {} | {} | {} | {:.2} | {:.4} | {:.4} |",
            slope.name,
            slope.unit,
            slope.size,
            points.join(", "),
            slope.fixed,
            slope.each,
            slope.fit
        );
    }
}

fn measure_over(sizes: [usize; 5], mut cost: impl FnMut(usize) -> f64) -> Vec<Point> {
    let point = |size| Point {
        size: count(size),
        cost: cost(size),
    };
    sizes.into_iter().map(point).collect()
}

fn file_size(endpoints: usize, teams: usize) -> f64 {
    count(rules::text(endpoints, teams, 0).len())
}

fn parse_time(endpoints: usize, teams: usize) -> f64 {
    let text = rules::text(endpoints, teams, 0);
    median_time(|| drop(black_box(parse(&text))))
}

/// Returns the memory of one resolved rule file, in KiB.
fn rules_memory(endpoints: usize, teams: usize) -> f64 {
    const VALUES: usize = 300;
    let text = rules::text(endpoints, teams, 0);
    memory_per_value(VALUES, || parse(&text).expect("the rules are valid"))
}

fn difference_time(teams: usize) -> f64 {
    let (old, new) = (rules::text(840, teams, 0), rules::text(840, teams, 1));
    median_time(|| drop(black_box(difference(&old, &new))))
}

fn apply_time(teams: usize) -> f64 {
    let (old, new) = (rules::text(840, teams, 0), rules::text(840, teams, 1));
    let edits = difference(&old, &new);
    let document = |generation, text: &str| Document {
        generation,
        text: text.into(),
    };
    assert_eq!(apply(&old, &edits).as_deref(), Ok(&*new));
    let (mut ahead, mut behind) = (History::default(), History::default());
    ahead.adopt(document(1, &old), Vec::new());
    behind.adopt(document(1, &old), Vec::new());
    ahead.adopt(document(2, &new), Vec::new());
    let steps = ahead.steps_since(1).expect("the step is known");
    median_time(|| drop(black_box(behind.apply_steps(&steps))))
}

fn member(index: usize) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: format!("sidecar-{index:04}"),
        incarnation: 1,
        state: State::Alive,
        role: Role::Sidecar,
        data_centre: format!("dc-{}", index % 8),
        address,
        operator_address: address,
        endpoints: vec![format!("endpoint-{index}")],
    }
}

fn table(members: usize) -> Table {
    let mut table = Table::new(member(0));
    for index in 1..members {
        table.merge(&member(index), Duration::ZERO);
    }
    table
}

fn hash_time(members: usize) -> f64 {
    let table = table(members);
    median_time(|| {
        black_box(table.buckets());
    })
}

fn table_memory(members: usize) -> f64 {
    const VALUES: usize = 1000;
    memory_per_value(VALUES, || table(members))
}

/// Returns the mean memory per value, in KiB, of `number` values that exist at
/// the same time.
fn memory_per_value<T>(number: usize, mut make: impl FnMut() -> T) -> f64 {
    // One value is created and dropped first, so that the memory it leaves
    // behind does not count.
    drop(make());
    let before = cost::resident_kib();
    let values: Vec<T> = (0..number).map(|_| make()).collect();
    let after = cost::resident_kib();
    drop(black_box(values));
    (after - before).max(0.0) / count(number)
}

/// Returns the median duration of a run, in microseconds.
fn median_time(mut run: impl FnMut()) -> f64 {
    const RUNS: usize = 21;
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let started_at = Instant::now();
            run();
            started_at.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2].as_secs_f64() * 1e6
}
