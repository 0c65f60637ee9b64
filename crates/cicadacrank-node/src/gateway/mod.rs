//! The gateway role: everything between callers and endpoints on a platform
//! that keeps routes, services, teams and endpoints in its object store.
//!
//! A request takes these steps:
//!
//! 1. `server` accepts the connection and hands each request to `request`,
//!    which finds its route and its team, reads its body and sets its deadline.
//! 2. `stages` has the stages of its route made, by the gateway that `owner`
//!    says forms the calls of each service.
//! 3. `plain` or `stream` picks an endpoint and makes attempts, each with a
//!    connection of its own (`attempt`).
//! 4. `reply` turns what failed into an answer.
//!
//! `watch` follows the store, and `peers` exchanges with other gateways what
//! the store does not tell. [`State`] holds what all of these share.

mod attempt;
mod owner;
mod peers;
mod plain;
mod reply;
mod request;
mod server;
mod stages;
mod state;
mod stream;
mod watch;

pub use self::state::{Drain, State};

use crate::platform;
use cicadacrank_core::event::Event;
use miette::{IntoDiagnostic as _, Result};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

/// Time from SIGTERM until kept connections are closed: the balancer asks for
/// readiness once a second and needs two misses.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the process ends whatever
/// is open.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: String,
    /// Data centre the instance stands in.
    pub data_centre: String,
    /// Where callers reach it.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness_listen: SocketAddr,
    /// Where other gateways reach it.
    pub listen: SocketAddr,
    /// Gateways to ask first; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Memory the process may use, in bytes.
    pub memory_bytes: u64,
    /// Sockets the process may have open.
    pub sockets: usize,
    /// What the deployment asks of all processes together.
    pub bounds: Bounds,
}

/// What a deployment asks of all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeats that one request earns its service.
    pub retry_ratio: f64,
    /// Repeats that each service is granted in a window.
    pub retry_extra: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Time after a failure from which all bounds hold again.
    pub recovery_time: Duration,
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns a report if an address cannot be bound.
pub async fn run(path: &Path, settings: Settings, metrics_port: Option<u16>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut reload = signal(SignalKind::hangup()).into_diagnostic()?;
    let state = Arc::new(State::new(settings.clone()));
    let mut server = server::Server::bind(&state, metrics_port)?;
    server.start();
    peers::start(&state)?;
    watch::start(&state);
    owner::start(&state);
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
    }
    Event::Stopped.log(format_args!("instance={}", settings.instance));
    log::logger().flush();
    Ok(())
}

/// Reads the settings anew; what a process binds stays for its whole life, so
/// that a difference only takes effect at its next start.
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
