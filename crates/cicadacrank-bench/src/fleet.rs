//! A whole system on one machine: platform, endpoints and daemons.
//!
//! [`Fleet::start`] reads a rule file, starts a stand-in for each endpoint in
//! this process, and a sidecar for each endpoint and the entries as processes
//! of their own.

use crate::{engine, platform, process::Daemon};
use cicadacrank_core::rules::{self, Definitions};
use cicadacrank_node::{
    configuration::{RULESET_NAME, Ruleset},
    membership::Instance,
    platform::Collection,
    settings::Role,
};
use serde_json::{Value, json};
use std::{
    io,
    path::{Path, PathBuf},
    time::Duration,
};
use tempfile::TempDir;
use tokio::time::{self, Instant};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The daemon's program.
    pub program: PathBuf,
    /// Text of the rule file.
    pub rules: String,
    /// Number of entries.
    pub entries: usize,
    /// Bounds in time, as in the settings of a daemon.
    pub timeouts: Value,
    /// How endpoints behave.
    pub profile: engine::Profile,
}

/// One endpoint with its sidecar.
#[derive(Debug)]
pub struct Backend {
    /// Name of the endpoint.
    pub endpoint: String,
    /// The stand-in.
    pub engine: engine::Server,
    /// The sidecar before it.
    pub sidecar: Daemon,
}

/// A running system.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: platform::Server,
    /// Endpoints with their sidecars, in order of name.
    pub backends: Vec<Backend>,
    /// Entries.
    pub entries: Vec<Daemon>,
    /// The rules, resolved.
    pub definitions: Definitions,
    folder: TempDir,
    plan: Plan,
}

impl Fleet {
    /// Starts everything and waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the rules are not valid or a process does not come
    /// up.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let definitions =
            rules::parse(&plan.rules).map_err(|faults| io::Error::other(faults.to_string()))?;
        let platform = platform::Server::start().await?;
        let ruleset = Ruleset {
            generation: 1,
            rules: plan.rules.clone(),
        };
        platform.state().put(
            Collection::Rulesets,
            RULESET_NAME,
            serde_json::to_value(ruleset)?,
        );
        let folder = tempfile::tempdir()?;
        let mut fleet = Self {
            platform,
            backends: Vec::new(),
            entries: Vec::new(),
            definitions,
            folder,
            plan,
        };
        for index in 0..fleet.definitions.endpoints.len() {
            let backend = fleet.start_backend(index).await?;
            fleet.backends.push(backend);
        }
        for index in 0..fleet.plan.entries {
            let entry = fleet.start_entry(index).await?;
            fleet.entries.push(entry);
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    async fn start_backend(&self, index: usize) -> io::Result<Backend> {
        let endpoint = &self.definitions.endpoints[index];
        let data_centre = &self.definitions[endpoint.data_centre].name;
        let engine = engine::Server::start(&endpoint.name, self.plan.profile.clone()).await?;
        let name = format!("sidecar-{}", endpoint.name);
        let settings = json!({
            "role": "sidecar", "instance": name, "data_centre": data_centre,
            "platform": self.platform.address, "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0", "timeouts": self.plan.timeouts,
            "endpoints": [{ "name": endpoint.name, "address": engine.address }],
            "log": { "level": "debug" },
        });
        let sidecar = Daemon::start(&self.plan.program, self.folder(), &name, &settings).await?;
        self.platform.set_instance(
            &name,
            &Instance {
                role: Role::Sidecar,
                data_centre: data_centre.clone(),
                address: sidecar.addresses.listen,
                operator_address: sidecar.addresses.operator_listen,
                endpoints: vec![endpoint.name.clone()],
                leaving: false,
            },
        );
        Ok(Backend {
            endpoint: endpoint.name.clone(),
            engine,
            sidecar,
        })
    }

    async fn start_entry(&self, index: usize) -> io::Result<Daemon> {
        let data_centre =
            &self.definitions.data_centres[index % self.definitions.data_centres.len()].name;
        let name = format!("entry-{index}");
        let settings = json!({
            "role": "entry", "instance": name, "data_centre": data_centre,
            "platform": self.platform.address, "listen": "127.0.0.1:0",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "timeouts": self.plan.timeouts, "log": { "level": "debug" },
        });
        let entry = Daemon::start(&self.plan.program, self.folder(), &name, &settings).await?;
        self.platform.set_instance(
            &name,
            &Instance {
                role: Role::Entry,
                data_centre: data_centre.clone(),
                address: entry.addresses.listen,
                operator_address: entry.addresses.operator_listen,
                endpoints: Vec::new(),
                leaving: false,
            },
        );
        Ok(entry)
    }

    async fn wait_ready(&self) -> io::Result<()> {
        let http = client()?;
        let backends = self.backends.iter().map(|backend| &backend.sidecar);
        for daemon in backends.chain(&self.entries) {
            let url = format!("http://{}/readyz", daemon.addresses.operator_listen);
            wait_for("readiness", async || {
                http.get(&url)
                    .send()
                    .await
                    .is_ok_and(|answer| answer.status().is_success())
            })
            .await?;
        }
        Ok(())
    }
}

/// Returns an HTTP client that goes straight to its target.
///
/// # Errors
///
/// Returns an error if the client cannot be set up.
pub fn client() -> io::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(io::Error::other)
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error that names the condition if it does not hold in time.
pub async fn wait_for(name: &str, mut condition: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return Ok(());
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Err(io::Error::other(format!(
        "{name}: not reached in {} s",
        WAIT_TIMEOUT.as_secs()
    )))
}
