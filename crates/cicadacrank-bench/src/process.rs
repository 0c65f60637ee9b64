//! Daemons that run as child processes.

use cicadacrank_node::daemon::Addresses;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::{
    env, fs, io,
    net::IpAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};
use tokio::{
    io::{AsyncBufReadExt as _, BufReader},
    process::{Child, Command},
};

/// Builds the daemon with the profile of the running example and returns the
/// path of its executable, in the parent of the examples' folder.
///
/// # Errors
///
/// Returns an error if the build fails or the executable's folder is not found.
pub fn build() -> io::Result<PathBuf> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--quiet", "--package", "cicadacrankd"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(io::Error::other("failed to build the daemon"));
    }
    let example = env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    let folder =
        folder.ok_or_else(|| io::Error::other("the folder of the executable is not found"))?;
    Ok(folder.join("cicadacrankd"))
}

/// Running daemon. Dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    /// Addresses that the daemon listens on.
    pub addresses: Addresses,
    /// Path of its log file.
    pub log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts the program with `settings` and waits until it reports its
    /// addresses. Settings and log are stored in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written, the process cannot
    /// be started or its addresses cannot be read. If the process exits before
    /// it reports them, the error contains its log.
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
            .ok_or_else(|| io::Error::other("the process has no standard output"))?;
        let line = BufReader::new(stdout).lines().next_line().await?;
        let line = line.ok_or_else(|| {
            io::Error::other(format!(
                "{name} exited before it reported its addresses: {}",
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

    /// Returns the process id, or `None` once the process has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the largest resident memory that the process has had, in bytes, or `None`
    /// if it has ended.
    #[must_use]
    pub fn peak_memory(&self) -> Option<u64> {
        memory(&self.child, "VmHWM:")
    }

    /// Returns the number of descriptors that the process has open, or `None` if it has
    /// ended.
    #[must_use]
    pub fn descriptors(&self) -> Option<usize> {
        descriptors(&self.child)
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGSTOP, which simulates a stall on an overloaded machine.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Sends SIGCONT, which resumes a frozen process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Waits until the process exits, and returns its status.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting fails.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        self::signal(&self.child, signal)
    }
}

/// Sends a signal to a child process.
///
/// # Errors
///
/// Returns an error if the process has exited or the signal cannot be sent.
pub(crate) fn signal(child: &Child, signal: Signal) -> io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    let pid = id
        .and_then(Pid::from_raw)
        .ok_or_else(|| io::Error::other("the process has exited"))?;
    kill_process(pid, signal).map_err(io::Error::from)
}

/// Returns a figure of a process's memory in bytes, by its name in `/proc/PID/status`, or
/// `None` if the process has ended.
pub(crate) fn memory(child: &Child, figure: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id()?)).ok()?;
    let line = status.lines().find(|line| line.starts_with(figure))?;
    let kilobytes = line.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(kilobytes * 1_024)
}

/// Returns the number of descriptors that a process has open, or `None` if it has ended.
pub(crate) fn descriptors(child: &Child) -> Option<usize> {
    let folder = fs::read_dir(format!("/proc/{}/fd", child.id()?)).ok()?;
    Some(folder.count())
}

/// Returns the number of bytes that have arrived at the sockets of a local address and were
/// not read.
pub(crate) fn unread_bytes(address: IpAddr) -> u64 {
    let IpAddr::V4(address) = address else {
        return 0;
    };
    let local = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        // A listener's queue counts connections.
        fields.next().filter(|field| field.starts_with(&local))?;
        let (_, state) = (fields.next(), fields.next()?);
        let (_, unread) = fields.next()?.split_once(':')?;
        u64::from_str_radix(unread, 16)
            .ok()
            .filter(|_| state != LISTENING)
    });
    sockets.sum()
}

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";
