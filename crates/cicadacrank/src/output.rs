//! Prints results as text, or as JSON for programs.

use crate::error::Error;
use cicadacrank_core::rules::Faults;
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;
use serde_json::{Value, json};
use std::io::{self, Write as _};

/// Number of spaces between two columns.
const COLUMN_GAP: u16 = 2;

/// Format in which results and errors are printed.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON if `json` is set, and text otherwise.
    pub const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result to the standard output: `value` as JSON, or else `text`.
    pub fn result<T: Serialize>(self, value: &T, text: impl FnOnce() -> String) {
        if self.json {
            print(&to_json(value));
        } else {
            print(&text());
        }
    }

    /// Prints an error: as JSON to the standard output, or as text to the standard
    /// error stream.
    pub fn error(self, error: &Error) {
        if self.json {
            print(&to_json(&error_value(error)));
        } else {
            eprint!("{}", error.text());
        }
    }
}

/// Writes to the standard output, ignoring errors such as a closed pipe.
pub fn print(text: &str) {
    let mut stdout = io::stdout().lock();
    let _ = stdout.write_all(text.as_bytes());
    let _ = stdout.flush();
}

fn to_json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value);
    text.map_or_else(
        |error| format!("{{\"error\": \"{error}\"}}\n"),
        |text| text + "\n",
    )
}

fn error_value(error: &Error) -> Value {
    let mut value = json!({
        "kind": error.kind().as_str(),
        "effect": error.effect().as_str(),
        "message": error.message(),
    });
    match error {
        Error::Failure(_) => {}
        Error::Faults(files) => {
            value["faults"] = files.iter().flat_map(faults_value).collect();
        }
        Error::Findings(findings) => value["findings"] = json!(findings),
        Error::Conflict(conflict) => {
            value["base"] = json!(conflict.base);
            value["current"] = json!(conflict.current);
            value["winners"] = json!(conflict.winners);
            value["difference"] = json!(conflict.difference);
        }
    }
    json!({ "error": value })
}

fn faults_value(faults: &Faults) -> Vec<Value> {
    let fault_value = |fault: &cicadacrank_core::rules::Fault| {
        json!({
            "file": faults.name(),
            "line": fault.line,
            "column": fault.column,
            "message": fault.message(),
            "help": fault.help(),
        })
    };
    faults.as_slice().iter().map(fault_value).collect()
}

/// Creates a table without borders, with the given column headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(headings);
    table
}

/// Returns the text of a table, without trailing spaces on its lines.
pub fn render(table: &mut Table) -> String {
    for column in table.column_iter_mut() {
        column.set_padding((0, COLUMN_GAP));
    }
    let lines = table.lines();
    lines.map(|line| format!("{}\n", line.trim_end())).collect()
}
