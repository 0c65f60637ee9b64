//! Prints where the worth of days went, as Markdown, from the reports that the users'
//! bench writes with `run SITE DAY --report FILE`.

use bpaf::Bpaf;
use cicadacrank_bench::report::ledger::Day;
use miette::{IntoDiagnostic as _, Result, WrapErr as _};
use std::{fs, path::PathBuf};

/// Print where the worth of days went
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Reports of days, in JSON
    #[bpaf(positional("REPORT"), some("at least one report is required"))]
    reports: Vec<PathBuf>,
}

fn main() -> Result<()> {
    for path in options().run().reports {
        let text = fs::read_to_string(&path)
            .into_diagnostic()
            .wrap_err_with(|| format!("reading the report {}", path.display()))?;
        let day = Day::parse(&text)
            .into_diagnostic()
            .wrap_err_with(|| format!("parsing the report {}", path.display()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        println!("{}", day.markdown(&name));
    }
    Ok(())
}
