//! `history`: prints the audit trail of the rules.

use super::args::{self, Platform};
use crate::{error::Error, output::Output, ruleset::Session, trail};
use bpaf::Bpaf;
use cicadacrank_core::generation::Entry;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Prints the newest entries first.
 Examples:
  cicadacrank history --limit 5
  cicadacrank history --lines --json";

/// Default of `--limit`.
const LIMIT: usize = 20;

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct History {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    /// Maximum number of entries (default: 20)
    #[bpaf(argument("COUNT"), fallback(LIMIT))]
    limit: usize,
    /// Show the lines that each change added or removed
    lines: bool,
}

impl History {
    /// Reads the newest entries and prints them.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let entries = args::block_on(async {
            let session = self.platform.session()?;
            let mut entries = read_newest(&session, self.limit).await?;
            if self.lines {
                for entry in &mut entries {
                    entry.lines = session.lines(entry).await?;
                }
            }
            Ok(entries)
        })?;
        output.result(&entries, || trail::entries(&entries, self.lines));
        Ok(())
    }
}

/// Returns up to `limit` entries, newest first: those in the rule object, then
/// those in the pages of the audit trail.
async fn read_newest(session: &Session, limit: usize) -> Result<Vec<Entry>, Error> {
    let object = session.read().await?;
    let mut entries: Vec<_> = object.audit.into_iter().rev().take(limit).collect();
    let mut pages = object.pages;
    while entries.len() < limit && pages > 0 {
        pages -= 1;
        let page = session.page(pages).await?;
        let remaining = limit - entries.len();
        entries.extend(page.entries.into_iter().rev().take(remaining));
    }
    Ok(entries)
}
