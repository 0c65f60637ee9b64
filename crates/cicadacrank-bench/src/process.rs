//! Daemons as processes of their own.

use cicadacrank_node::daemon::Addresses;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};
use tokio::{
    io::{AsyncBufReadExt as _, BufReader},
    process::{Child, Command},
};

/// Builds the daemon in the profile of the running example and returns its
/// path, in the folder of programs beside that of examples.
///
/// # Errors
///
/// Returns an error if the build fails.
pub fn build() -> io::Result<PathBuf> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--quiet", "--package", "cicadacrankd"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(io::Error::other("building the daemon failed"));
    }
    let example = env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    let folder = folder.ok_or_else(|| io::Error::other("no folder of programs"))?;
    Ok(folder.join("cicadacrankd"))
}

/// A running daemon; dropping it kills it.
#[derive(Debug)]
pub struct Daemon {
    /// What it has bound.
    pub addresses: Addresses,
    /// Where its log goes.
    pub log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts the program with these settings, kept in `folder`, and waits
    /// until it says what it has bound.
    ///
    /// # Errors
    ///
    /// Returns the error of the start, or one that names the log if the
    /// process ended early.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &Value,
    ) -> io::Result<Self> {
        let file = folder.join(format!("{name}.jsonc"));
        fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        let log = folder.join(format!("{name}.log"));
        let mut child = Command::new(program)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(fs::File::options().create(true).append(true).open(&log)?)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no standard output"))?;
        let line = BufReader::new(stdout).lines().next_line().await?;
        let line = line.ok_or_else(|| {
            io::Error::other(format!(
                "{name} ended early: {}",
                fs::read_to_string(&log).unwrap_or_default()
            ))
        })?;
        let addresses = serde_json::from_str(&line)?;
        Ok(Self {
            addresses,
            log,
            child,
        })
    }

    /// Returns the process id; `None` once the process has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Asks the process to shut down.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process where it is, as an overloaded machine would.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the wait.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        self::signal(&self.child, signal)
    }
}

/// Sends a signal to a process that a test has started.
pub(crate) fn signal(child: &Child, signal: Signal) -> io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    let pid = id
        .and_then(Pid::from_raw)
        .ok_or_else(|| io::Error::other("it has ended"))?;
    kill_process(pid, signal).map_err(io::Error::from)
}
