//! Writes the Rust code for `proto/wire.proto` to a folder.
//!
//! Without an argument the folder is `src/generated` of this package.

use std::{env, error::Error, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let target = env::args_os()
        .nth(1)
        .map_or_else(|| package.join("src/generated"), PathBuf::from);
    let protos = package.join("proto");
    let descriptors = protox::compile(["wire.proto"], [&protos])?;
    tonic_prost_build::configure()
        .out_dir(target)
        .compile_fds(descriptors)?;
    Ok(())
}
