//! Text of changes and of the audit trail.

use crate::{
    output::{render, table},
    time,
};
use cicadacrank_core::generation::{Entry, Object, Side};

/// Returns the lines that a change added or removed, and its generation.
pub fn applied(entry: &Entry) -> String {
    let (generation, change) = (entry.generation, &entry.change);
    format!(
        "{}generation {generation} is in force (change {change})\n",
        changed_lines(entry)
    )
}

/// Returns the generation in force, with the time, author and reason of its
/// change.
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

/// Returns entries with their lines, or as a table without them.
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

/// Returns the number of added or removed lines; a plus sign marks an entry that
/// omits some of its lines.
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
