//! Assembles a sidecar from in-memory interfaces.

use super::{Port, Process, Store};
use cicadacrank_node::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    metrics::Metrics,
    settings::Settings,
    sidecar::{Parts, Service},
};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};

/// Sidecar that shares its platform and its endpoints with other sidecars.
#[derive(Clone)]
pub struct Sidecar {
    /// Address that identifies the sidecar to links; nothing listens on it.
    pub address: SocketAddr,
    /// Switch that pauses the process of the sidecar.
    pub process: Process,
    /// Configuration in force.
    pub holder: Arc<Holder>,
    /// Metrics of the sidecar.
    pub metrics: Arc<Metrics>,
    /// Service under test.
    pub service: Arc<Service>,
}

impl Sidecar {
    /// Creates a sidecar for the named endpoints, with generation 1 of the
    /// rules in force. The number determines its name and its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the rules are not valid.
    #[must_use]
    pub fn new(number: u16, endpoints: &[&str], rules: &str, store: &Store, port: &Port) -> Self {
        let sidecar = Self::without_rules(number, endpoints, store, port);
        sidecar.offer(rules);
        sidecar
    }

    /// Creates a sidecar that has no rules yet.
    #[must_use]
    pub fn without_rules(number: u16, endpoints: &[&str], store: &Store, port: &Port) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + number));
        let process = Process::new();
        let holder = Arc::new(Holder::new());
        let metrics = Arc::new(Metrics::new());
        let service = Arc::new(Service::new(Parts {
            settings: settings(number, endpoints, address),
            clock: Clock::new(),
            holder: Arc::clone(&holder),
            store: process.store(Arc::new(store.clone())),
            port: process.port(Arc::new(port.clone())),
            metrics: Arc::clone(&metrics),
        }));
        Self {
            address,
            process,
            holder,
            metrics,
            service,
        }
    }

    /// Puts rules in force, as generation 1.
    ///
    /// # Panics
    ///
    /// Panics if the rules are not valid.
    pub fn offer(&self, rules: &str) {
        let offered = self.holder.offer(Ruleset {
            generation: 1,
            rules: rules.to_owned(),
        });
        assert!(offered, "the rules are valid");
    }
}

fn settings(number: u16, endpoints: &[&str], address: SocketAddr) -> Settings {
    let endpoints: Vec<_> = endpoints
        .iter()
        .zip(0u16..)
        .map(|(name, index)| {
            let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + number * 100 + index));
            json!({ "name": name, "address": address })
        })
        .collect();
    let text = json!({
        "role": "sidecar",
        "instance": format!("sidecar-{number}"),
        "data_centre": "vest-a",
        "platform": "127.0.0.1:1",
        "listen": address,
        "operator_listen": "127.0.0.1:0",
        "endpoints": endpoints,
    });
    Settings::parse(&text.to_string()).expect("the settings are valid")
}
