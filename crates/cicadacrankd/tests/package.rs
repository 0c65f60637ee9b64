//! Checks which binaries the workspace builds.

use serde_json::Value;
use std::{env, process::Command};

#[test]
fn workspace_ships_two_programs() {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let output = Command::new(cargo)
        .args([
            "metadata",
            "--no-deps",
            "--offline",
            "--format-version",
            "1",
        ])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("failed to run cargo metadata");
    let metadata: Value = serde_json::from_slice(&output.stdout).expect("invalid JSON");
    let packages = metadata["packages"]
        .as_array()
        .expect("`packages` is missing");
    let targets = packages
        .iter()
        .filter_map(|package| package["targets"].as_array())
        .flatten();
    let mut programs: Vec<&str> = targets
        .filter(|target| target["kind"][0] == "bin")
        .filter_map(|target| target["name"].as_str())
        .collect();
    programs.sort_unstable();
    assert_eq!(programs, ["cicadacrank", "cicadacrankd"]);
}
