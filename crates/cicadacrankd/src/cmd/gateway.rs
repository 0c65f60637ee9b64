//! Runs a gateway from the settings that the platform wrote.

use bpaf::{Parser, construct, long};
use cicadacrank_node::{gateway, logging, platform};
use miette::{IntoDiagnostic as _, Result};
use std::path::PathBuf;
use tokio::runtime::Builder;

/// Arguments of a gateway.
#[derive(Clone, Debug)]
pub struct Arguments {
    check: bool,
    metrics_port: Option<u16>,
    settings: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub fn parser() -> impl Parser<Arguments> {
    let check = long("check").help("Check the settings and end").switch();
    let metrics_port = long("metrics-port")
        .help("Port of the instance's address that serves metrics; none without it")
        .argument("PORT")
        .optional();
    let settings = long("settings")
        .help("File of settings, in place of the one that the platform names")
        .argument("FILE")
        .optional();
    construct!(Arguments {
        check,
        metrics_port,
        settings
    })
    .to_options()
    .descr("Runs a gateway on the platform")
    .command("gateway")
    .help("Run a gateway on the platform")
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns a report if the settings are not valid or an address cannot be
/// bound.
pub fn execute(arguments: &Arguments) -> Result<()> {
    let path = match &arguments.settings {
        Some(path) => path.clone(),
        None => platform::settings::path()?,
    };
    let settings = platform::settings::load(&path)?;
    if arguments.check {
        println!(
            "{}: valid settings of {}",
            path.display(),
            settings.instance
        );
        return Ok(());
    }
    logging::init_nonblocking()?;
    // One core is all that the instances have.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(gateway::run(&path, settings, arguments.metrics_port))
}
