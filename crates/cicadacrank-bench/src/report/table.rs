//! Report as Markdown.

use super::summary::{Count, Report, Summary};
use std::fmt::Write as _;

type Cell = fn(&Summary) -> String;

/// Rows of the first table: name and value for a trial.
const ROWS: &[(&str, Cell)] = &[
    ("attainment", |one| percent(one.attained, one.offered)),
    ("answered in time / offered", |one| {
        format!("{} / {}", one.attained, one.offered)
    }),
    ("whole but late", |one| one.late.to_string()),
    ("first token p50 / p95, ms", |one| format_pair(one.first_us)),
    ("between tokens p50 / p95, ms", |one| {
        format_pair(one.gap_us)
    }),
    ("whole answer p50 / p99, ms", |one| {
        format_pair(one.total_us)
    }),
    ("runs for each call", |one| {
        format!("{:.2}", one.runs_per_call)
    }),
    ("engines fell over", |one| one.falls.to_string()),
    ("daemons' processor time a call, ms", |one| {
        ms(one.processor_us)
    }),
    ("last new work where taken out, ms", |one| {
        format!("{} ({} runs)", one.last_new_work_ms, one.late_runs)
    }),
    ("price, eur", |one| format!("{:.4}", one.price)),
    ("price for 1,000 attained, eur", |one| {
        format!("{:.4}", one.price_per_thousand)
    }),
    ("not whole, by kind", |one| format_counts(&one.failures)),
    ("checker", |one| format_counts(&one.breaches)),
];

/// Returns the report as a Markdown page; `command` is the command that
/// produced it.
#[must_use]
pub fn markdown(report: &Report, command: &str) -> String {
    let mut text = format!("# Load of {}\n\n", report.name);
    let mut line = |line: String| {
        text.push_str(&line);
        text.push('\n');
    };
    line(format!("- Command: `{command}`"));
    line(format!("- Commit: {}, seed {}", report.commit, report.seed));
    line(format!("- Load average before: {}", report.load_average));
    line(String::new());
    write_header(&mut line, &report.trials);
    for (name, cell) in ROWS {
        write_row(&mut line, name, report.trials.iter().map(cell));
    }
    line("\n## Attainment by phase\n".to_owned());
    write_header(&mut line, &report.trials);
    for (index, phase) in report.trials[0].phases.iter().enumerate() {
        let cells = report.trials.iter().map(|one| {
            let phase = &one.phases[index];
            format!(
                "{} of {}",
                percent(phase.attained, phase.offered),
                phase.offered
            )
        });
        write_row(&mut line, phase.phase, cells);
    }
    line("\n## Cost, slot-seconds (thousandths of eur)\n".to_owned());
    write_header(&mut line, &report.trials);
    for (index, cost) in report.trials[0].costs.iter().enumerate() {
        let cells = report.trials.iter().map(|one| {
            let cost = &one.costs[index];
            format!("{:.1} ({:.3})", cost.slot_seconds, cost.price_milli)
        });
        let state = if cost.idle { "idle" } else { "busy" };
        write_row(&mut line, &format!("{state} {}", cost.name), cells);
    }
    let overhead = &report.overhead;
    line("\n## What the path adds\n".to_owned());
    line("| one call at a time, ms | p50 | p99 |\n| --- | --- | --- |".to_owned());
    let [system, direct] = [
        [overhead.system_p50_us, overhead.system_p99_us],
        [overhead.direct_p50_us, overhead.direct_p99_us],
    ];
    write_row(&mut line, "through the system", system.into_iter().map(ms));
    write_row(
        &mut line,
        "stages called directly",
        direct.into_iter().map(ms),
    );
    let added = [0, 1].map(|at: usize| system[at].saturating_sub(direct[at]));
    write_row(&mut line, "difference", added.into_iter().map(ms));
    line(format!("\n{} pairs of calls.", overhead.pairs));
    for summary in &report.trials {
        for quoted in &summary.quoted {
            line(format!("\nChecker, {}: {quoted}", summary.policy.as_str()));
        }
    }
    text
}

fn write_header(line: &mut impl FnMut(String), trials: &[Summary]) {
    write_row(
        line,
        "",
        trials.iter().map(|one| one.policy.as_str().to_owned()),
    );
    write_row(line, "---", trials.iter().map(|_| "---".to_owned()));
}

fn write_row(line: &mut impl FnMut(String), name: &str, cells: impl Iterator<Item = String>) {
    let mut text = format!("| {name} |");
    for cell in cells {
        // Writing to a string cannot fail.
        let _ = write!(text, " {cell} |");
    }
    line(text);
}

fn percent(part: usize, whole: usize) -> String {
    format!("{:.2}%", part as f64 * 100.0 / whole.max(1) as f64)
}

/// Formats microseconds as milliseconds.
fn ms(us: u64) -> String {
    format!("{:.2}", us as f64 / 1_000.0)
}

fn format_pair([one, other]: [u64; 2]) -> String {
    format!("{} / {}", ms(one), ms(other))
}

fn format_counts(counts: &[Count]) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let counts = counts.iter();
    let counts: Vec<String> = counts
        .map(|count| format!("{} {}", count.kind, count.count))
        .collect();
    counts.join(", ")
}
