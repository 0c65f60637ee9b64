//! Runs a gateway with the settings file that the platform writes.

use bpaf::{Parser, construct, long};
use cicadacrank_node::{gateway, logging, platform};
use miette::{IntoDiagnostic as _, Result};
use std::path::PathBuf;
use tokio::runtime::Builder;

/// Command-line arguments of a gateway.
#[derive(Clone, Debug)]
pub struct Arguments {
    check: bool,
    metrics_port: Option<u16>,
    settings: Option<PathBuf>,
}

/// Creates the parser of the arguments.
pub fn parser() -> impl Parser<Arguments> {
    let check = long("check").help("Check the settings and exit").switch();
    let metrics_port = long("metrics-port")
        .help("Port on the instance's address that serves metrics; without it, metrics are not served")
        .argument("PORT")
        .optional();
    let settings = long("settings")
        .help("Settings file to use instead of the one that the platform provides")
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

/// Runs a gateway until it is signalled to stop, or only validates its settings.
///
/// # Errors
///
/// Returns a report if the settings are invalid or an address cannot be bound.
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
    // Gateway instances have a single core.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(gateway::run(&path, settings, arguments.metrics_port))
}
