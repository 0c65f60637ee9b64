//! `bring-back`: brings a data centre or an endpoint back into service.

use super::args::{self, Author, Platform};
use crate::{error::Error, output::Output, trail};
use bpaf::Bpaf;
use cicadacrank_core::{generation::Edit, rules::edit::Target};

/// Footer of the help text, with examples.
pub const EXAMPLES: &str =
    "Writes. Removes a take-out line from the rules in force; safe to run while \
others change them.
 Examples:
  cicadacrank bring-back --data-centre vest-a --who 'Ada Berg' --why 'power is back'
  cicadacrank bring-back --endpoint booking-desk-01 --who 'Ada Berg' --why 'disk replaced'";

/// Arguments of `bring-back`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct BringBack {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    #[bpaf(external(args::author))]
    author: Author,
    #[bpaf(external(args::target))]
    target: Target,
}

impl BringBack {
    /// Brings the target back into service and prints the difference.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let (edit, change) = (Edit::BringBack(self.target), self.author.change());
        let entry = args::block_on(async { self.platform.session()?.propose(edit, change).await })?;
        output.result(&entry, || trail::applied(&entry));
        Ok(())
    }
}
