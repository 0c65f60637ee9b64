//! Reads the processor time of the daemons from `/proc`.

use crate::process::Daemon;
use std::{fs, time::Duration};

/// Index of the user time among the fields after the program name.
const USER_FIELD: usize = 11;

/// Length of a clock tick of the kernel, in milliseconds.
const TICK_MS: u64 = 10;

/// Returns the total processor time that these daemons have used; a daemon
/// whose entry cannot be read counts as zero.
#[must_use]
pub fn time<'a>(daemons: impl Iterator<Item = &'a Daemon>) -> Duration {
    let ticks: u64 = daemons
        .filter_map(Daemon::id)
        .filter_map(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .filter_map(|line| ticks(&line))
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Returns the sum of user and system time from a line of `/proc/PID/stat`, in
/// clock ticks. The program name is in parentheses and may contain spaces.
fn ticks(line: &str) -> Option<u64> {
    let (_, rest) = line.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
