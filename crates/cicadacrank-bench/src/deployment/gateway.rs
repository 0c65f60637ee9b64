//! Gateways as processes of their own.

use crate::process;
use rustix::process::Signal;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use tokio::{
    process::{Child, Command},
    time::{self, Instant},
};

/// Bound on the time until a gateway is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two looks at a gateway.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a loopback address that no other gateway of these tests uses: a port
/// that was free once is not taken by a connection of another process there.
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

/// What the platform would write into the settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    name: String,
    caller: SocketAddr,
    readiness: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
}

impl Settings {
    /// Creates settings with free ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a bind.
    pub fn new(name: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> io::Result<Self> {
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
        })
    }

    fn to_toml(&self) -> String {
        format!(
            "nodeName = {:?}\nzone = \"one\"\nseedNodes = {:?}\n\
             [listenAddresses]\nfrontend = {:?}\nreadiness = {:?}\ncontrolPlane = {:?}\n\
             [limits]\nmemoryMb = 260\nfileDescriptors = 1000\n\
             [bounds]\ngracePeriodS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retryBudgetExtra = 56\nstabilityMs = 3000\n[platform]\naddress = {:?}\n",
            self.name,
            self.seeds
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>(),
            self.caller.to_string(),
            self.readiness.to_string(),
            self.peer.to_string(),
            self.store.to_string(),
        )
    }
}

/// A gateway; dropping it kills it.
#[derive(Debug)]
pub struct Gateway {
    /// Where its log goes.
    pub log: PathBuf,
    settings: Settings,
    program: PathBuf,
    file: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway; its settings and log are kept in `folder`.
    ///
    /// # Errors
    ///
    /// Returns the error of the start.
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

    /// Starts the process anew, after it has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.file, &self.log)?;
        Ok(())
    }

    /// Returns where callers reach it.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.settings.caller
    }

    /// Returns where other gateways reach it.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.settings.peer
    }

    /// Returns whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.settings.readiness);
        reqwest::get(url)
            .await
            .is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error with its log if it does not become so.
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

    /// Returns what it has logged.
    #[must_use]
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn kill(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::KILL)
    }

    /// Asks the process to shut down.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn terminate(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::TERM)
    }

    /// Stops the process where it is.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn freeze(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn thaw(&self) -> io::Result<()> {
        process::signal(&self.child, Signal::CONT)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the wait.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

fn spawn(program: &Path, file: &Path, log: &Path) -> io::Result<Child> {
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
