//! Processor time of the daemons, from the process table.

use crate::process::Daemon;
use std::{fs, time::Duration};

/// Place of the user time after the name in the line, counted from zero.
const USER_FIELD: usize = 11;

/// Length of a tick, in milliseconds.
const TICK_MS: u64 = 10;

/// Returns the processor time that these daemons used so far.
#[must_use]
pub fn time<'a>(daemons: impl Iterator<Item = &'a Daemon>) -> Duration {
    let ticks: u64 = daemons
        .filter_map(Daemon::id)
        .filter_map(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .filter_map(|line| ticks(&line))
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Reads user and system time. The name of the program stands in brackets and
/// may hold spaces.
fn ticks(line: &str) -> Option<u64> {
    let (_, rest) = line.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
