//! `take-out`: takes a data centre or an endpoint out of service.

use super::args::{self, Author, Platform};
use crate::{error::Error, output::Output, trail};
use bpaf::Bpaf;
use cicadacrank_core::{generation::Edit, rules::edit::Target};

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Writes. Adds a take-out line to the rules in force; safe to run while \
others change them.
 Examples:
  cicadacrank take-out --data-centre vest-a --who 'Ada Berg' --why 'power work'
  cicadacrank take-out --endpoint booking-desk-01 --who 'Ada Berg' --why 'disk errors'";

/// Arguments of `take-out`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TakeOut {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    #[bpaf(external(args::author))]
    author: Author,
    #[bpaf(external(args::target))]
    target: Target,
}

impl TakeOut {
    /// Takes the target out of service and prints the difference.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let (edit, change) = (Edit::TakeOut(self.target), self.author.change());
        let entry = args::block_on(async { self.platform.session()?.propose(edit, change).await })?;
        output.result(&entry, || trail::applied(&entry));
        Ok(())
    }
}
