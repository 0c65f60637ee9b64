//! `apply`: puts a rule file in force.

use super::args::{self, Author, Platform, RuleFile};
use crate::{error::Error, output::Output, trail};
use bpaf::Bpaf;
use cicadacrank_core::generation::{Edit, Generation};
use std::path::PathBuf;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Writes. Prints the difference; the change is refused if another \
operator's change came first.
 Examples:
  cicadacrank show > now.rules
  cicadacrank apply now.rules --based-on 12 --who 'Ada Berg' --why 'council decision 12'";

/// Arguments of `apply`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Apply {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    #[bpaf(external(args::author))]
    author: Author,
    /// Refuse the change unless this generation is in force
    #[bpaf(argument("GENERATION"), optional)]
    based_on: Option<u64>,
    #[bpaf(external(args::file))]
    file: PathBuf,
}

impl Apply {
    /// Puts the file in force and prints the difference.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let edit = Edit::Replace {
            rules: RuleFile::load(&self.file)?.text,
            based_on: self.based_on.map(Generation),
        };
        let change = self.author.change();
        let entry = args::block_on(async { self.platform.session()?.propose(edit, change).await })?;
        output.result(&entry, || trail::applied(&entry));
        Ok(())
    }
}
