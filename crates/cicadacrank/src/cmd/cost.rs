//! `cost`: prints busy and idle slot time by stage, owner and team, with its cost.

use super::args::{self, Platform};
use crate::{
    error::Error,
    output::{self, Output},
};
use bpaf::Bpaf;
use cicadacrank_core::{
    accounting::{Account, Bill},
    error::Kind,
    rules,
};
use cicadacrank_node::platform::{Collection, Store as _};

/// Footer of the help text, with examples.
pub const EXAMPLES: &str =
    "Adds up all accounts stored in the platform, at the prices in the rules in force.
 Examples:
  cicadacrank cost
  cicadacrank cost --json";

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Millionths in the currency unit.
const UNIT_MICRO: u64 = 1_000_000;
/// Smallest amount shown, in millionths of the currency unit.
const DISPLAY_UNIT_MICRO: u64 = 100;

/// Arguments of `cost`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Cost {
    #[bpaf(external(args::json))]
    pub json: bool,
    #[bpaf(external(args::platform))]
    platform: Platform,
}

impl Cost {
    /// Reads the rules in force and all accounts, and prints the bill.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let (object, accounts) = args::block_on(async {
            let object = self.platform.session()?.read().await?;
            Ok((object, read_accounts(&self.platform).await?))
        })?;
        let definitions =
            rules::parse(&object.rules).map_err(|faults| Error::Faults(vec![faults]))?;
        let bill = Bill::new(&definitions, &accounts);
        output.result(&bill, || text(&bill));
        Ok(())
    }
}

async fn read_accounts(platform: &Platform) -> Result<Vec<Account>, Error> {
    let listing = platform.client().list(Collection::Accounts).await;
    let listing = listing.map_err(|fault| {
        Error::not_run(Kind::PlatformDown, format!("listing accounts: {fault}"))
    })?;
    let decode = |object: cicadacrank_node::platform::Object| {
        serde_json::from_value(object.spec).map_err(|error| {
            let context = format!("reading the account {}: {error}", object.name);
            Error::not_run(Kind::Internal, context)
        })
    };
    listing.objects.into_iter().map(decode).collect()
}

fn text(bill: &Bill) -> String {
    let mut busy = output::table(&["PIPELINE", "STAGE", "OWNER", "TEAM", "LENT", "BUSY", "COST"]);
    for row in &bill.busy {
        busy.add_row([
            row.pipeline.clone(),
            row.stage.clone(),
            row.owner.clone(),
            row.team.clone(),
            if row.lent { "yes" } else { "no" }.to_owned(),
            format_seconds(row.slot_us),
            format_euros(row.cost_micro),
        ]);
    }
    let mut idle = output::table(&["POOL", "OWNER", "IDLE", "COST"]);
    for row in &bill.idle {
        idle.add_row([
            row.pool.clone(),
            row.owner.clone(),
            format_seconds(row.slot_us),
            format_euros(row.cost_micro),
        ]);
    }
    let (busy_sum, idle_sum): (u64, u64) = (
        bill.busy.iter().map(|row| row.cost_micro).sum(),
        bill.idle.iter().map(|row| row.cost_micro).sum(),
    );
    let mut text = format!(
        "{}\n{}\nbusy {}, idle {}, together {}\n",
        output::render(&mut busy),
        output::render(&mut idle),
        format_euros(busy_sum),
        format_euros(idle_sum),
        format_euros(busy_sum + idle_sum),
    );
    if !bill.unknown_endpoints.is_empty() {
        let names = bill.unknown_endpoints.join(", ");
        text += &format!("without owner and price in the rules: {names}\n");
    }
    text
}

/// Formats slot time, in microseconds, as seconds.
fn format_seconds(slot_us: u64) -> String {
    format!(
        "{}.{:03} s",
        slot_us / SECOND_US,
        slot_us % SECOND_US / 1000
    )
}

fn format_euros(micro: u64) -> String {
    let fraction = micro % UNIT_MICRO / DISPLAY_UNIT_MICRO;
    format!("{}.{fraction:04} eur", micro / UNIT_MICRO)
}
