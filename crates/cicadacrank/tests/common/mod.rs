//! Runs the client as a process and captures its output.

use std::{ffi::OsStr, process::Stdio};
use tokio::process::Command;

/// Result of a run of the client.
#[derive(Debug)]
pub struct Run {
    /// Exit code, or -1 if a signal ended the process.
    pub code: i32,
    /// Text on the standard output.
    pub out: String,
    /// Text on the standard error stream.
    pub err: String,
}

/// Runs the client with an empty environment in the directory of the samples.
///
/// Panics if the client cannot be started or its output is not valid UTF-8.
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
