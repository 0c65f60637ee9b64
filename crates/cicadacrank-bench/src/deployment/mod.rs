//! Small deployment on the users' platform: gateways as child processes,
//! simulated endpoints, and the store of [`crate::platform`].
//!
//! [`Deployment::start`] starts it. A [`Proxy`] between two parts simulates
//! network faults.

mod caller;
mod endpoint;
mod gateway;
mod proxy;
pub mod soak;

pub use self::{
    caller::{Answer, Caller, send},
    endpoint::{
        CRASHING_PART, CUT_HEAD_BYTES, EVENTS, Endpoint, Fault, LARGE_ANSWER_BYTES, Resumption,
        Role, Run, SILENCE,
    },
    gateway::{Gateway, Settings},
    proxy::{Impairment, Proxy},
};

use crate::platform::Server;
use cicadacrank_node::platform::Collection;
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use tempfile::TempDir;

/// Host of all routes.
pub const HOST: &str = "tea.example";

/// API key of the only team.
pub const KEY: &str = "k-desk";

/// Size of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of endpoints of each role.
    pub endpoints: usize,
}

/// Running deployment. Dropping it stops all parts.
#[derive(Debug)]
pub struct Deployment {
    /// Simulated store of the platform.
    pub store: Server,
    /// Proxy between the gateways and the store.
    pub store_proxy: Proxy,
    /// Endpoints of all roles.
    pub endpoints: Vec<Endpoint>,
    /// Gateway processes.
    pub gateways: Vec<Gateway>,
    folder: TempDir,
}

impl Deployment {
    /// Starts all parts and waits until the gateways are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or a gateway is not ready in time.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        Self::start_with(plan, |settings| settings).await
    }

    /// Starts all parts, with the settings of gateways as `adjust` returns them, and waits
    /// until the gateways are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or a gateway is not ready in time.
    pub async fn start_with(
        plan: &Plan,
        adjust: impl Fn(Settings) -> Settings,
    ) -> io::Result<Self> {
        let store = Server::start().await?;
        let store_proxy = Proxy::start(store.address).await?;
        let folder = TempDir::new()?;
        store
            .state()
            .put(Collection::Config, "main", config(1, &json!([])));
        let mut endpoints = Vec::new();
        for role in Role::ALL {
            for number in 0..plan.endpoints {
                let endpoint = Endpoint::start(role, number).await?;
                store.state().put(
                    Collection::Endpoints,
                    &endpoint.id,
                    endpoint.entry("ready", 1),
                );
                endpoints.push(endpoint);
            }
        }
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 0..plan.gateways {
            let seeds = gateways.iter().map(Gateway::peer_address).collect();
            let name = format!("gateway-{number}");
            let settings = adjust(Settings::new(&name, store_proxy.address, seeds)?);
            gateways.push(Gateway::start(&plan.program, folder.path(), settings)?);
        }
        for gateway in &gateways {
            gateway.wait_ready().await?;
        }
        Ok(Self {
            store,
            store_proxy,
            endpoints,
            gateways,
            folder,
        })
    }

    /// Starts a further gateway, which reaches the store at the given address, and waits
    /// until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway does not start or is not ready in time.
    pub async fn add_gateway(&mut self, program: &Path, store: SocketAddr) -> io::Result<()> {
        let seeds = self.gateways.iter().map(Gateway::peer_address).collect();
        let name = format!("gateway-{}", self.gateways.len());
        let settings = Settings::new(&name, store, seeds)?;
        let gateway = Gateway::start(program, self.folder.path(), settings)?;
        gateway.wait_ready().await?;
        self.gateways.push(gateway);
        Ok(())
    }

    /// Returns the endpoints that have the given role.
    pub fn endpoints_with(&self, role: Role) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(move |one| one.role == role)
    }

    /// Returns all runs of a caller's attempt at all endpoints.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> Vec<Run> {
        let runs = self.endpoints.iter().flat_map(Endpoint::runs);
        runs.filter(|run| run.attempt == attempt).collect()
    }

    /// Stores a configuration with additional routes.
    pub fn configure(&self, version: u64, routes: &Value) {
        let content = config(version, routes);
        self.store.state().put(Collection::Config, "main", content);
    }

    /// Returns the folder that holds settings and logs.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

/// Returns a configuration with the standard routes and `extra_routes`.
#[must_use]
pub fn config(version: u64, extra_routes: &Value) -> Value {
    let mut routes = vec![
        route("/book/", "non_idempotent", "desk", 1),
        route("/look/", "idempotent", "desk", 2),
        stream_route("/draft/", false, 1),
        stream_route("/chat/", true, 2),
    ];
    routes.extend(extra_routes.as_array().cloned().unwrap_or_default());
    let service = |name: &str| {
        json!({ "name": name, "healthPath": "/healthz", "connectionLimit": 100,
            "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0 })
    };
    let mut encode = service("encode");
    encode["segments"] = json!({ "slots": 1, "queue": 2, "batch": 8, "callTimeMs": 60.0,
        "itemTimeMs": 1.0, "headroomMb": 1.0, "handleTtlS": 4.0, "linkMbps": 10000 });
    json!({
        "version": version,
        "routes": routes,
        "services": [service("desk"), service("llm"), encode],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "desk-team", "apiKeys": [KEY] }],
    })
}

/// Returns a route as operators write it in the configuration.
#[must_use]
pub fn route(prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({ "name": prefix, "host": HOST, "pathPrefix": prefix, "routeKind": kind,
        "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 0, "service": service,
        "maxAttempts": attempts, "phases": [], "anonymousAccess": false,
        "sessionAffinity": false, "streamResumption": false })
}

fn stream_route(prefix: &str, resumable: bool, attempts: u32) -> Value {
    let mut route = route(prefix, "streaming", "llm", attempts);
    route["phases"] = json!([
        { "service": "encode", "after": [], "byteCount": 1000 },
        { "service": "encode", "after": [0], "byteCount": 1000 },
    ]);
    route["sessionAffinity"] = json!(true);
    route["streamResumption"] = json!(resumable);
    route["maxGapMs"] = json!(300);
    route
}
