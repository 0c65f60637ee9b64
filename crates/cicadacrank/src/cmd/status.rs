//! `status`: shows the state and the rules generation of each instance.

use super::args::{self, Platform};
use crate::{
    error::Error,
    http,
    output::{self, Output},
};
use bpaf::Bpaf;
use cicadacrank_core::error::Kind;
use cicadacrank_node::{
    membership::Instance,
    operator::Endpoint,
    platform::{Collection, Object, Store as _},
    settings::Role,
};
use futures_util::future;
use serde::Serialize;
use std::net::SocketAddr;

/// Footer of the help text, with examples.
pub const EXAMPLES: &str =
    "Queries the instances listed in the platform, or those given with --instance.
 Examples:
  cicadacrank status --platform 10.0.0.5:8001
  cicadacrank status --instance 10.0.1.7:7003 --instance 10.0.1.8:7003 --json";

/// Source of the addresses of instances.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
enum Source {
    Stated {
        /// Operator address of an instance; may be given more than once
        #[bpaf(
            long("instance"),
            argument("IP:PORT"),
            some("name at least one instance")
        )]
        instances: Vec<SocketAddr>,
    },
    Listed(#[bpaf(external(args::platform))] Platform),
}

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Status {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external)]
    source: Source,
}

/// An instance to query, with its record in the platform if it was listed.
struct Target {
    name: String,
    address: SocketAddr,
    listed: Option<Instance>,
}

/// Status of an instance.
#[derive(Debug, Serialize)]
struct Row {
    instance: String,
    address: SocketAddr,
    role: Option<Role>,
    data_centre: String,
    state: &'static str,
    generation: Option<u64>,
    endpoints: Vec<Endpoint>,
}

impl Status {
    /// Queries all instances concurrently and prints their status.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let rows = args::block_on(async {
            let client = http::client()?;
            let targets = targets(&self.source).await?;
            let rows = targets.into_iter().map(|target| query(&client, target));
            Ok(future::join_all(rows).await)
        })?;
        output.result(&rows, || text(&rows));
        Ok(())
    }
}

/// Returns the instances to query.
///
/// Objects of the platform that are not valid instances are skipped.
async fn targets(source: &Source) -> Result<Vec<Target>, Error> {
    let platform = match source {
        Source::Listed(platform) => platform,
        Source::Stated { instances } => {
            let target = |address: &SocketAddr| Target {
                name: address.to_string(),
                address: *address,
                listed: None,
            };
            return Ok(instances.iter().map(target).collect());
        }
    };
    let listing = platform.client().list(Collection::Instances).await;
    let listing = listing.map_err(|fault| {
        Error::not_run(Kind::PlatformDown, format!("listing instances: {fault}"))
    })?;
    let target = |object: Object| {
        let instance: Instance = serde_json::from_value(object.spec).ok()?;
        Some(Target {
            name: object.name,
            address: instance.operator_address,
            listed: Some(instance),
        })
    };
    Ok(listing.objects.into_iter().filter_map(target).collect())
}

/// Returns the status of an instance, with the state `no answer` if its status
/// cannot be read.
async fn query(client: &reqwest::Client, target: Target) -> Row {
    let (status, ready) = future::join(
        http::status(client, target.address),
        http::is_ready(client, target.address),
    )
    .await;
    let leaving = target
        .listed
        .as_ref()
        .is_some_and(|instance| instance.leaving);
    let state = match &status {
        Err(_) => "no answer",
        Ok(_) if leaving => "leaving",
        Ok(_) if ready => "ready",
        Ok(_) => "not ready",
    };
    let generation = status.as_ref().ok().map(|status| status.generation);
    let status = status.unwrap_or_default();
    let listed = target.listed.as_ref();
    Row {
        instance: target.name,
        address: target.address,
        role: listed.map(|instance| instance.role).or(status.role),
        data_centre: listed.map_or_else(String::new, |instance| instance.data_centre.clone()),
        state,
        generation,
        endpoints: status.endpoints,
    }
}

const fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Sidecar => "sidecar",
    }
}

fn text(rows: &[Row]) -> String {
    let mut table = output::table(&["INSTANCE", "ROLE", "DATA CENTRE", "STATE", "GENERATION"]);
    for row in rows {
        let generation = row.generation.map(|generation| generation.to_string());
        table.add_row([
            or_dash(&row.instance),
            or_dash(row.role.map_or("", role_name)),
            or_dash(&row.data_centre),
            row.state.to_owned(),
            or_dash(&generation.unwrap_or_default()),
        ]);
    }
    let newest = rows.iter().filter_map(|row| row.generation).max();
    let in_force = rows.iter().filter(|row| row.generation == newest).count();
    let summary = newest.map_or_else(
        || "no instance answered\n".to_owned(),
        |newest| {
            let count = rows.len();
            format!("generation {newest} is in force at {in_force} of {count} instances\n")
        },
    );
    output::render(&mut table) + &endpoints(rows) + &summary
}

fn endpoints(rows: &[Row]) -> String {
    let mut table = output::table(&["ENDPOINT", "PHASE", "IN FLIGHT", "QUEUED", "SLOTS"]);
    for endpoint in rows.iter().flat_map(|row| &row.endpoints) {
        table.add_row([
            endpoint.name.clone(),
            or_dash(&endpoint.phase),
            endpoint.in_flight.to_string(),
            endpoint.queued.to_string(),
            endpoint.slots.to_string(),
        ]);
    }
    if table.is_empty() {
        return String::new();
    }
    format!("\n{}\n", output::render(&mut table))
}

fn or_dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}
