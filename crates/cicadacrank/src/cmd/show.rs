//! `show`: prints the rules in force.

use super::args::{self, Platform};
use crate::{error::Error, output::Output, trail};
use bpaf::Bpaf;
use serde_json::json;

/// Examples for the help text.
pub const EXAMPLES: &str = "The generation goes to the standard error stream, the text to the \
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
    /// Prints the text of the rules.
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
