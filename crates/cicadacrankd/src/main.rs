//! The cicadacrank daemon, which runs an entry, a sidecar or a gateway.

mod cmd;

use miette::Result;

fn main() -> Result<()> {
    cmd::execute(cmd::arguments())
}
