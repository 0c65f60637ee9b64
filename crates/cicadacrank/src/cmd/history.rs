//! `history`: prints the trail of changes.

use super::args::{self, Platform};
use crate::{error::Error, output::Output, ruleset::Session, trail};
use bpaf::Bpaf;
use cicadacrank_core::generation::Entry;

/// Examples for the help text.
pub const EXAMPLES: &str = "Newest first.
 Examples:
  cicadacrank history --limit 5
  cicadacrank history --lines --json";

/// Entries shown if no limit is stated.
const LIMIT: usize = 20;

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct History {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
    /// Most entries (20 if not stated)
    #[bpaf(argument("COUNT"), fallback(LIMIT))]
    limit: usize,
    /// Show the lines of each change
    lines: bool,
}

impl History {
    /// Prints the newest entries.
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

/// Reads entries, newest first, from the object and then its pages.
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
