//! The committed code is what the generator makes of the source.

use std::{env, fs, path::PathBuf};

#[test]
fn generated_matches_source() {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let target = tempfile::tempdir().expect("temporary folder");
    let protos = package.join("proto");
    let descriptors = protox::compile(["wire.proto"], [&protos]).expect("compile the source");
    tonic_prost_build::configure()
        .out_dir(target.path())
        .compile_fds(descriptors)
        .expect("generate");
    let name = "cicadacrank.wire.rs";
    let made = fs::read_to_string(target.path().join(name)).expect("read the made file");
    let committed = fs::read_to_string(package.join("src/generated").join(name)).expect("read");
    assert!(
        made == committed,
        "run: cargo run -p cicadacrank-wire --example regenerate"
    );
}
