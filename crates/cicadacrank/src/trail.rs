//! Writes changes and their trail for people.

use crate::{
    output::{render, table},
    time,
};
use cicadacrank_core::generation::{Entry, Object, Side};

/// Writes what a change did.
pub fn applied(entry: &Entry) -> String {
    let (generation, change) = (entry.generation, &entry.change);
    format!(
        "{}generation {generation} is in force (change {change})\n",
        changed_lines(entry)
    )
}

/// Writes which generation is in force, and who made it.
pub fn heading(object: &Object) -> String {
    let generation = object.generation;
    object.audit.last().map_or_else(
        || format!("generation {generation}"),
        |entry| {
            let (who, why, at) = (&entry.who, &entry.why, time::format_utc(entry.at_ms));
            format!("generation {generation}, {at}, {who}: {why}")
        },
    )
}

/// Writes entries as a table, with or without their lines.
pub fn entries(entries: &[Entry], with_lines: bool) -> String {
    if with_lines {
        let texts = entries.iter().map(entry_text);
        return texts.collect::<Vec<_>>().join("\n");
    }
    let mut table = table(&["GENERATION", "WHEN", "WHO", "WHY", "ADDED", "REMOVED"]);
    for entry in entries {
        table.add_row([
            entry.generation.to_string(),
            time::format_utc(entry.at_ms),
            entry.who.clone(),
            entry.why.clone(),
            line_count(entry, Side::Added),
            line_count(entry, Side::Removed),
        ]);
    }
    render(&mut table)
}

fn entry_text(entry: &Entry) -> String {
    let Entry {
        generation,
        change,
        who,
        why,
        ..
    } = entry;
    let at = time::format_utc(entry.at_ms);
    let lines = changed_lines(entry);
    format!("generation {generation}, {at}, {who}: {why} (change {change})\n{lines}")
}

/// Counts the lines of one side; a plus says that the entry leaves out some.
fn line_count(entry: &Entry, side: Side) -> String {
    let more = if entry.has_detail() { "+" } else { "" };
    format!("{}{more}", entry.side(side).count())
}

fn changed_lines(entry: &Entry) -> String {
    let mut text = entry.lines.to_string();
    let omitted = entry.line_count - entry.lines.lines.len().min(entry.line_count);
    if omitted > 0 {
        text += &format!("  and {omitted} more lines: cicadacrank history --lines\n");
    }
    text
}
