//! `show`: prints the rules in force.

use super::args::{self, Platform};
use crate::{error::Error, output::Output, trail};
use bpaf::Bpaf;
use serde_json::json;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Prints the generation to standard error and the text of the rules to \
standard output.
 Examples:
  cicadacrank show > now.rules
  cicadacrank show --json";

/// Arguments of `show`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Show {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
}

impl Show {
    /// Prints the generation and the text of the rules in force.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let object = args::block_on(async { self.platform.session()?.read().await })?;
        if !self.json {
            eprintln!("{}", trail::heading(&object));
        }
        let value = json!({ "generation": object.generation, "rules": object.rules });
        output.result(&value, || object.rules);
        Ok(())
    }
}
