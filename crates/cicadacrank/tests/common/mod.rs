//! Runs the client as a process and collects what it says.

use std::{ffi::OsStr, process::Stdio};
use tokio::process::Command;

/// What a run of the client left.
#[derive(Debug)]
pub struct Run {
    /// Its exit code.
    pub code: i32,
    /// Its standard output.
    pub out: String,
    /// Its standard error stream.
    pub err: String,
}

/// Runs the client in the folder of the samples.
pub async fn run<S: AsRef<OsStr>>(arguments: &[S]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_cicadacrank"))
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples"))
        .env_clear()
        .env("NO_COLOR", "1")
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap();
    Run {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}
