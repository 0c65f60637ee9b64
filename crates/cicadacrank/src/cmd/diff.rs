//! `diff`: compares a rule file with the rules in force.

use super::args::{self, Platform, RuleFile};
use crate::{error::Error, output::Output};
use bpaf::Bpaf;
use cicadacrank_core::generation::Difference;
use serde_json::json;
use std::path::PathBuf;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str =
    "Lines with - are only in the rules in force, lines with + only in the file.
 Examples:
  cicadacrank diff now.rules";

/// Arguments of `diff`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Diff {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    #[bpaf(external(args::file))]
    file: PathBuf,
}

impl Diff {
    /// Prints the lines that differ between the rules in force and the file.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let file = RuleFile::load(&self.file)?;
        let object = args::block_on(async { self.platform.session()?.read().await })?;
        let difference = Difference::new(&object.rules, &file.text);
        let value = json!({ "generation": object.generation, "difference": difference });
        output.result(&value, || {
            let count = difference.lines.len();
            let generation = object.generation;
            format!("{difference}lines that differ from generation {generation}: {count}\n")
        });
        Ok(())
    }
}
