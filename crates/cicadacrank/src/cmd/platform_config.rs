//! `check --platform`: checks a configuration of the platform before it is sent, and compares
//! it with the one in force.

use super::args;
use crate::{error::Error, output::Output};
use bpaf::Bpaf;
use cicadacrank_core::{
    config::{
        Config,
        check::{self, Finding, Place, Severity},
        diff,
    },
    error::Kind,
};
use cicadacrank_node::platform::{Client, Collection, Store as _, config};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of the check of a configuration.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PlatformConfig {
    /// Configuration of the platform to check, as JSON, or - for standard input
    #[bpaf(long("platform"), argument("FILE"))]
    file: PathBuf,
    /// Version in force to compare with: a file, or the address of the platform's object API
    #[bpaf(long("against"), argument("FILE|IP:PORT"), optional)]
    against: Option<String>,
}

impl PlatformConfig {
    /// Checks the configuration, and prints the findings and what differs.
    ///
    /// # Errors
    ///
    /// Returns all findings if one of them is an error.
    pub fn check(self, output: Output) -> Result<(), Error> {
        let (config, faults) = config::decode_valid(&load(&self.file)?);
        let mut findings = check::check(&config);
        if !faults.is_empty() {
            // Whether other entries are used is unknown without those that are invalid.
            findings.retain(|finding| matches!(finding.place, Place::Route(_)));
        }
        findings.extend(faults.into_iter().map(|fault| {
            Finding {
                severity: Severity::Error,
                place: Place::Configuration,
                message: fault.to_string(),
                help:
                    "the platform takes only valid fields; entries that are not are left out here"
                        .to_owned(),
            }
        }));
        findings.sort();
        if findings.iter().any(|one| one.severity == Severity::Error) {
            return Err(Error::Findings(findings));
        }
        let changes = match &self.against {
            Some(against) => Some(diff::changes(&in_force(against)?, &config)),
            None => None,
        };
        let value = json!({ "version": config.version, "findings": findings, "changes": changes });
        output.result(&value, || {
            let mut lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            lines.extend(changes.iter().flatten().map(ToString::to_string));
            lines.push(summary(&config, findings.len(), changes.as_deref()));
            lines.join("\n") + "\n"
        });
        Ok(())
    }
}

fn summary(config: &Config, warnings: usize, changes: Option<&[diff::Change]>) -> String {
    let changes = match changes {
        Some(changes) => format!(", {} changes", changes.len()),
        None => String::new(),
    };
    format!(
        "version {}: {} routes, {} services, {} teams; no errors, {warnings} warnings{changes}",
        config.version,
        config.routes.len(),
        config.services.len(),
        config.teams.len()
    )
}

fn load(path: &Path) -> Result<Value, Error> {
    let fault = |error: String| {
        let context = format!("reading {}: {error}", path.display());
        Error::not_run(Kind::Rules, context)
    };
    let bytes = args::read_limited(path).map_err(|error| fault(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| fault(error.to_string()))
}

/// Returns the configuration in force, from a file or from the platform.
fn in_force(against: &str) -> Result<Config, Error> {
    let content = match against.parse::<SocketAddr>() {
        Ok(address) => args::block_on(async {
            let client = Client::new(address, CALL_TIMEOUT);
            let found = client.get(Collection::Config, config::NAME).await;
            let object = found.map_err(|fault| {
                let context = format!("reading the configuration in force: {fault}");
                Error::not_run(Kind::PlatformDown, context)
            })?;
            Ok(object.spec)
        })?,
        Err(_) => load(Path::new(against))?,
    };
    config::decode(&content).map_err(|error| {
        let context = format!("the configuration in force is invalid: {error}");
        Error::not_run(Kind::Rules, context)
    })
}
