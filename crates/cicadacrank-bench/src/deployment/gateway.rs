//! Gateways that run as child processes.

use crate::process;
use rustix::process::Signal;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    process::{Child, Command},
    time::{self, Instant},
};

/// Maximum time until a gateway is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a gateway's readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a loopback address that no other gateway of these tests uses, so that
/// a connection of another process cannot take a port that was found free.
fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(
        127,
        128 | high,
        low,
        u8::try_from(number % 250).unwrap_or(0) + 2,
    )
}

/// Excludes that a process is started while ports are held to find free ones. Until
/// it runs its program, a child holds copies of all open sockets.
fn lock_spawn() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Settings that the platform would write into the settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    name: String,
    caller: SocketAddr,
    readiness: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
    memory_mb: u64,
    descriptors: usize,
}

impl Settings {
    /// Creates settings with three free ports on a unique loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub fn new(name: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> io::Result<Self> {
        let _guard = lock_spawn();
        let address = unique_address();
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind((address, 0))?);
        }
        Ok(Self {
            name: name.to_owned(),
            caller: listeners[0].local_addr()?,
            readiness: listeners[1].local_addr()?,
            peer: listeners[2].local_addr()?,
            store,
            seeds,
            memory_mb: 260,
            descriptors: 1_000,
        })
    }

    /// Sets the memory that the process may use, in megabytes.
    #[must_use]
    pub const fn with_memory_mb(mut self, memory_mb: u64) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets the number of descriptors that the process may have open.
    #[must_use]
    pub const fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = descriptors;
        self
    }

    fn to_toml(&self) -> String {
        format!(
            "nodeName = {:?}\nzone = \"one\"\nseedNodes = {:?}\n\
             [listenAddresses]\nfrontend = {:?}\nreadiness = {:?}\ncontrolPlane = {:?}\n\
             [limits]\nmemoryMb = {}\nfileDescriptors = {}\n\
             [bounds]\ngracePeriodS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retryBudgetExtra = 56\nstabilityMs = 3000\ncoldOverrun = 1.5\n\
             coldTolerance = 5\nexposureShare = 0.1\nexposureTolerance = 50\nrollbackMs = 5000\n\
             [platform]\naddress = {:?}\n",
            self.name,
            self.seeds
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>(),
            self.caller.to_string(),
            self.readiness.to_string(),
            self.peer.to_string(),
            self.memory_mb,
            self.descriptors,
            self.store.to_string(),
        )
    }
}

/// Running gateway. Dropping it kills the process.
#[derive(Debug)]
pub struct Gateway {
    /// Path of its log file.
    pub log: PathBuf,
    settings: Settings,
    program: PathBuf,
    file: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway. Settings and log are stored in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written or the process cannot be
    /// started.
    pub fn start(program: &Path, folder: &Path, settings: Settings) -> io::Result<Self> {
        let file = folder.join(format!("{}.toml", settings.name));
        fs::write(&file, settings.to_toml())?;
        let log = folder.join(format!("{}.log", settings.name));
        Ok(Self {
            child: spawn(program, &file, &log)?,
            program: program.to_owned(),
            log,
            settings,
            file,
        })
    }

    /// Starts the process again after it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.file, &self.log)?;
        Ok(())
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.settings.caller
    }

    /// Returns the address for other gateways.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.settings.peer
    }

    /// Returns the address for readiness checks.
    #[must_use]
    pub const fn readiness_address(&self) -> SocketAddr {
        self.settings.readiness
    }

    /// Returns whether the gateway reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.settings.readiness);
        reqwest::get(url)
            .await
            .is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until the gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that contains the log if the gateway is not ready in time.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > deadline {
                return Err(io::Error::other(self.log_text()));
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the contents of the log file; empty if it cannot be read.
    #[must_use]
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the largest resident memory that the process has had, in bytes, or `None`
    /// if it has ended.
    #[must_use]
    pub fn peak_memory(&self) -> Option<u64> {
        process::memory(&self.child, "VmHWM:")
    }

    /// Returns the resident memory of the process and the bytes that it has received and
    /// not read, or `None` if it has ended.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        let resident = process::memory(&self.child, "VmRSS:")?;
        Some(resident + process::unread_bytes(self.settings.caller.ip()))
    }

    /// Returns the number of descriptors that the process has open, or `None` if it has
    /// ended.
    #[must_use]
    pub fn descriptors(&self) -> Option<usize> {
        process::descriptors(&self.child)
    }

    /// Sends SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn kill(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::KILL)
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::TERM)
    }

    /// Sends SIGSTOP, which suspends the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::STOP)
    }

    /// Sends SIGCONT, which resumes a frozen process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn thaw(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::CONT)
    }

    /// Waits until the process exits, and returns its status.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting fails.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

fn spawn(program: &Path, file: &Path, log: &Path) -> io::Result<Child> {
    let _guard = lock_spawn();
    let output = fs::File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("gateway")
        .arg("--settings")
        .arg(file)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .kill_on_drop(true)
        .spawn()
}
