//! The gateway role: forwards requests from callers to endpoints on a platform
//! that stores routes, services, teams and endpoints in its object store.
//!
//! A request passes through these steps:
//!
//! 1. `server` accepts the connection and passes each request to `request`,
//!    which finds its route and team, sets its deadline and reads its body.
//! 2. `stages` runs the stages of the route. The calls to each service are formed
//!    by one gateway, which `owner` determines.
//! 3. `plain` or `stream` selects endpoints and makes attempts, each on its own
//!    connection (`attempt`). `lifetime` knows whether the process at an endpoint's
//!    address is still the registered one, and `origin` which version of an engine's
//!    software began a stream that a caller takes up.
//! 4. `reply` builds the response to a request that failed.
//!
//! `rollout` decides which versions of a service's software may serve a request while an
//! operator moves the service to another one.
//!
//! `watch` watches the store, and `peers` exchanges with other gateways the state
//! that is not in the store. [`State`] is shared by all of these modules.

mod attempt;
mod connection;
mod crash;
mod idle;
mod lifetime;
mod origin;
mod owner;
mod peers;
mod plain;
mod reply;
mod request;
mod rollout;
mod server;
mod stages;
mod state;
mod stream;
mod upstream;
mod watch;

pub use self::state::{Drain, State};

use crate::platform;
use cicadacrank_core::{event::Event, rollout::Bounds as RolloutBounds, roster::Room};
use miette::{IntoDiagnostic as _, Result};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

/// Time from SIGTERM until idle connections are closed. The load balancer checks
/// readiness once a second and deregisters the gateway after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the process stops waiting for
/// open requests, refuses those without an answer, and exits.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);

/// Time after that in which requests without an answer are refused.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address on which the gateway accepts callers.
    pub caller_listen: SocketAddr,
    /// Address on which the gateway answers the readiness checks of the load
    /// balancer.
    pub readiness_listen: SocketAddr,
    /// Address on which the gateway accepts other gateways.
    pub listen: SocketAddr,
    /// Addresses of gateways to contact first. They may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Number of sockets that the process may have open.
    pub sockets: usize,
    /// What the instance has for its work.
    pub room: Room,
    /// Limits that the deployment sets for all processes together.
    pub bounds: Bounds,
}

/// Limits that a deployment sets for all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Number of retries that one request earns for its service.
    pub retry_ratio: f64,
    /// Number of retries that each service is granted per window without earning
    /// them.
    pub retry_extra: f64,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// Time after a failure from which all limits must hold again.
    pub recovery_time: Duration,
    /// Number of requests a second at which a cold endpoint's limit is broken,
    /// relative to the rate that its service states.
    pub cold_ratio: f64,
    /// Number of requests added to that.
    pub cold_extra: f64,
    /// Limits of roll-outs. Without them no roll-outs are carried out.
    pub rollout: Option<RolloutBounds>,
}

/// Runs a gateway until it receives SIGTERM and has shut down. On SIGHUP, checks
/// the settings file at `path`.
///
/// # Errors
///
/// Returns a report if a signal handler cannot be installed or an address cannot
/// be bound.
pub async fn run(path: &Path, settings: Settings, metrics_port: Option<u16>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut reload = signal(SignalKind::hangup()).into_diagnostic()?;
    let state = Arc::new(State::new(settings.clone()));
    let mut server = server::Server::bind(&state, metrics_port)?;
    server.start();
    peers::start(&state)?;
    watch::start(&state);
    origin::start(&state);
    owner::start(&state);
    rollout::start(&state);
    Event::Started.log(format_args!(
        "instance={} version={} caller_listen={} listen={} store={}",
        settings.instance,
        env!("CARGO_PKG_VERSION"),
        settings.caller_listen,
        settings.listen,
        settings.store,
    ));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => check_settings(path, &settings),
        }
    }
    Event::Draining.log(format_args!("instance={}", settings.instance));
    let remaining = settings.bounds.grace.saturating_sub(SHUTDOWN_MARGIN);
    let now = Instant::now();
    let drain = Drain {
        noticed: now + DEREGISTRATION_DELAY.min(remaining),
        ends: now + remaining,
    };
    state.drain(drain);
    let finish = async {
        time::sleep_until(drain.noticed).await;
        server.finish().await;
    };
    if time::timeout_at(drain.ends, finish).await.is_err() {
        Event::DrainExpired.log(format_args!(
            "instance={} in_flight={}",
            settings.instance,
            state.in_flight()
        ));
        state.expired.cancel();
        drop(time::timeout(REFUSAL_TIME, server.finish()).await);
    }
    Event::Stopped.log(format_args!(
        "instance={} connections={}",
        settings.instance,
        server.open_connections()
    ));
    log::logger().flush();
    Ok(())
}

/// Reads the settings file again and logs whether the settings have changed. A
/// process keeps the addresses it has bound, so changes only take effect at its
/// next start.
fn check_settings(path: &Path, settings: &Settings) {
    match platform::settings::load(path) {
        Ok(newer) => Event::SettingsReloaded.log(format_args!(
            "instance={} changed={}",
            settings.instance,
            newer != *settings
        )),
        Err(report) => Event::SettingsRejected.log(format_args!("{report:?}")),
    }
}
