//! Where the worth of a day went, from the report that the users' bench writes.

use serde::Deserialize;
use std::fmt::Write as _;

/// Number of time windows that the ledger names.
const WORST_WINDOWS: usize = 5;

/// Smallest part of the worth that the ledger names.
const MIN_WORTH: f64 = 0.000_5;

/// Report of one day, as `run --report` writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    /// Worth of the day.
    #[serde(rename = "G")]
    worth: f64,
    /// Share of the credit that was earned.
    served: f64,
    /// Parts of the worth: name, weight and value from 0 to 1.
    parts: Vec<(String, f64, f64)>,
    /// Prices: name, quantity and worth that was taken off.
    prices: Vec<(String, f64, f64)>,
    classes: Vec<Group>,
    windows: Vec<Group>,
    /// Remarks of the bench on prompts, stages and connections.
    hints: Vec<String>,
}

/// Requests of one kind, or of one time window.
#[derive(Clone, Debug, Deserialize)]
struct Group {
    name: String,
    n: u64,
    in_aim: u64,
    late: u64,
    refused: u64,
    failed: u64,
    worth: f64,
    p50_ms: f64,
    p99_ms: f64,
}

impl Day {
    /// Parses a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not such a report.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        serde_json::from_str(text)
    }

    /// Returns the ledger as Markdown. `name` says which day was played.
    #[must_use]
    pub fn markdown(&self, name: &str) -> String {
        let mut text = format!(
            "### {name}\n\nWorth {:.3}, served {:.3}.\n\n| lost to | quantity | worth |\n|---|---|---|\n",
            self.worth, self.served
        );
        for (name, quantity, worth) in self.losses() {
            line(
                &mut text,
                format_args!("| {name} | {quantity} | {worth:.3} |"),
            );
        }
        group_table(&mut text, "kind of request", self.classes.iter());
        let mut worst: Vec<&Group> = self.windows.iter().collect();
        worst.sort_by(|one, other| one.worth.total_cmp(&other.worth));
        worst.truncate(WORST_WINDOWS);
        group_table(&mut text, "worst seconds, from", worst.into_iter());
        line(&mut text, format_args!(""));
        for hint in &self.hints {
            line(&mut text, format_args!("- {hint}"));
        }
        text
    }

    /// Returns what took worth off, largest first: the parts below 1 and the
    /// prices.
    fn losses(&self) -> Vec<(&str, String, f64)> {
        let parts = self.parts.iter().map(|(name, weight, value)| {
            let quantity = format!("{value:.3} of weight {weight}");
            (name.as_str(), quantity, weight * (1.0 - value))
        });
        let prices = self.prices.iter().map(|(name, quantity, worth)| {
            let quantity = format!("{quantity:.1}");
            (name.as_str(), quantity, *worth)
        });
        let mut losses: Vec<_> = parts
            .chain(prices)
            .filter(|loss| loss.2 >= MIN_WORTH)
            .collect();
        losses.sort_by(|one, other| other.2.total_cmp(&one.2));
        losses
    }
}

fn group_table<'a>(text: &mut String, title: &str, groups: impl Iterator<Item = &'a Group>) {
    line(
        text,
        format_args!(
            "\n| {title} | asked | in time | late | refused | failed | worth | p50 ms | p99 ms |\n\
             |---|---|---|---|---|---|---|---|---|"
        ),
    );
    for group in groups {
        line(
            text,
            format_args!(
                "| {} | {} | {} | {} | {} | {} | {:.3} | {:.0} | {:.0} |",
                group.name,
                group.n,
                group.in_aim,
                group.late,
                group.refused,
                group.failed,
                group.worth,
                group.p50_ms,
                group.p99_ms,
            ),
        );
    }
}

fn line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{content}");
}
