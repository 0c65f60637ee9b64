//! Complete system on one machine: platform, endpoints and daemons.
//!
//! [`Fleet::start`] reads a rule file and starts a simulated endpoint for each
//! endpoint in this process. Entries, and one sidecar for each endpoint, run as
//! separate processes.

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

/// Timeout of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Text of the rule file.
    pub rules: String,
    /// Number of entries.
    pub entries: usize,
    /// Timeouts, as in the settings of a daemon.
    pub timeouts: Value,
    /// Response times and lengths of the simulated endpoints.
    pub profile: engine::Profile,
}

/// Endpoint with its sidecar.
#[derive(Debug)]
pub struct Backend {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Simulated endpoint.
    pub engine: engine::Server,
    /// Sidecar that forwards requests to the endpoint.
    pub sidecar: Daemon,
}

/// Running system.
#[derive(Debug)]
pub struct Fleet {
    /// Simulated platform.
    pub platform: platform::Server,
    /// Endpoints with their sidecars, in the order of `definitions.endpoints`.
    pub backends: Vec<Backend>,
    /// Entry processes.
    pub entries: Vec<Daemon>,
    /// Parsed rule file.
    pub definitions: Definitions,
    folder: TempDir,
    plan: Plan,
}

impl Fleet {
    /// Starts all parts and waits until sidecars and entries are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the rules are not valid, or if a part does not start
    /// or does not become ready in time.
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

    /// Returns the folder that holds settings and logs.
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

/// Returns an HTTP client that uses no proxy.
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

/// Waits until a condition is met.
///
/// # Errors
///
/// Returns an error that names the condition if it is not met within 30 seconds.
pub async fn wait_for(name: &str, mut condition: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return Ok(());
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Err(io::Error::other(format!(
        "{name}: condition not met within {} s",
        WAIT_TIMEOUT.as_secs()
    )))
}
