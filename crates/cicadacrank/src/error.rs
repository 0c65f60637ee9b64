//! Errors of commands, and their text.

use cicadacrank_core::{
    config::check::{Finding, Severity},
    error::{Effect, Failure, Kind},
    generation::Conflict,
    rules::Faults,
};
use std::fmt::Write as _;

/// Number of faults per file that are printed with their source lines; each
/// further fault takes one line.
const MAX_DETAILED_FAULTS: usize = 50;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A failure with its kind, effect and context.
    Failure(Failure),
    /// The faults of rule files, one item per file.
    Faults(Vec<Faults>),
    /// Errors in a configuration of the platform, with the other findings.
    Findings(Vec<Finding>),
    /// Another operator's change was written first.
    Conflict(Box<Conflict>),
}

impl Error {
    /// Creates an error of an operation that had no effect.
    pub fn not_run(kind: Kind, context: impl Into<String>) -> Self {
        Self::Failure(Failure::not_run(kind, context))
    }

    /// Returns the kind, which determines the exit code.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Failure(failure) => failure.kind,
            Self::Faults(_) | Self::Findings(_) => Kind::Rules,
            Self::Conflict(_) => Kind::Conflict,
        }
    }

    /// Returns the known effect of the operation.
    pub const fn effect(&self) -> Effect {
        match self {
            Self::Failure(failure) => failure.effect,
            Self::Faults(_) | Self::Findings(_) | Self::Conflict(_) => Effect::NotRun,
        }
    }

    /// Returns the full text, which may have several lines.
    pub fn text(&self) -> String {
        match self {
            Self::Failure(failure) => failure_text(failure),
            Self::Faults(files) => files.iter().map(faults_text).collect(),
            Self::Findings(findings) => {
                let lines = findings.iter().map(|finding| format!("{finding}\n"));
                lines.collect()
            }
            Self::Conflict(conflict) => conflict_text(conflict),
        }
    }

    /// Returns a summary of the error on one line.
    pub fn message(&self) -> String {
        match self {
            Self::Failure(failure) => failure.context.clone(),
            Self::Faults(files) => {
                let files: Vec<_> = files.iter().map(ToString::to_string).collect();
                files.join(", ")
            }
            Self::Findings(findings) => {
                let errors = findings
                    .iter()
                    .filter(|one| one.severity == Severity::Error);
                format!("{} errors in the configuration", errors.count())
            }
            Self::Conflict(conflict) => {
                let (base, current) = (conflict.base, conflict.current);
                format!("based on generation {base}, but generation {current} is in force")
            }
        }
    }
}

fn failure_text(failure: &Failure) -> String {
    let Failure {
        kind,
        effect,
        context,
    } = failure;
    let effect = effect.as_str();
    let text = match kind {
        // The text of this kind is about requests to an entry; the context
        // describes the error.
        Kind::BadRequest => String::new(),
        kind => format!("  {}\n", kind.row().text),
    };
    format!("error: {context}\n{text}  kind: {kind}, effect: {effect}\n")
}

fn faults_text(faults: &Faults) -> String {
    let (shown, rest) = faults.clone().split(MAX_DETAILED_FAULTS);
    let mut text = String::new();
    let handler = miette::GraphicalReportHandler::new();
    if handler.render_report(&mut text, &shown).is_err() {
        text = shown.to_string();
    }
    for fault in rest.as_slice() {
        let (line, column) = (fault.line, fault.column);
        let name = rest.name();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name}:{line}:{column}: {fault}");
    }
    text
}

fn conflict_text(conflict: &Conflict) -> String {
    let (base, current) = (conflict.base, conflict.current);
    let mut text = format!(
        "error: another operator's change came first\n  based on generation {base}, \
         but generation {current} is in force\n"
    );
    for entry in &conflict.winners {
        let (generation, who, why) = (entry.generation, &entry.who, &entry.why);
        let at = crate::time::format_utc(entry.at_ms);
        let _ = writeln!(text, "  generation {generation}: {who}, {at}: {why}");
        for line in &entry.lines.lines {
            let _ = writeln!(text, "    {line}");
        }
    }
    let difference = match &conflict.difference {
        difference if difference.is_empty() => "no line differs\n".to_owned(),
        difference => difference.to_string(),
    };
    text + "your file against the rules in force:\n" + &difference
}
