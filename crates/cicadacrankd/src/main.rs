//! The daemon of cicadacrank: an entry or a sidecar, as its settings say.

mod cmd;

use miette::Result;

fn main() -> Result<()> {
    cmd::execute(cmd::arguments())
}
