//! Clock, and conversion of times from and to text.

use std::time::{SystemTime, UNIX_EPOCH};

const SECOND_MS: u64 = 1000;
const DAY_SECONDS: u64 = 86_400;
/// Days in 400 years of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Returns the current time in milliseconds since the Unix epoch, or 0 if the
/// clock is before it.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the minute of the day in UTC of a time in milliseconds since the Unix
/// epoch.
pub fn minute_of_day(unix_ms: u64) -> u16 {
    let minute = unix_ms / SECOND_MS % DAY_SECONDS / 60;
    u16::try_from(minute).unwrap_or_default()
}

/// Parses a time of day, like 07:30, and returns the minutes after midnight.
pub fn parse_time_of_day(text: String) -> Result<u16, String> {
    let parse = || {
        let (hour, minute) = text.split_once(':')?;
        let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
        (hour < 24 && minute < 60).then_some(hour * 60 + minute)
    };
    parse().ok_or_else(|| format!("{text:?} is not a time of day like 07:30"))
}

/// Formats a time in milliseconds since the Unix epoch as UTC, to the second.
pub fn format_utc(unix_ms: u64) -> String {
    let seconds = unix_ms / SECOND_MS;
    let (days, second) = (seconds / DAY_SECONDS, seconds % DAY_SECONDS);
    let (year, month, day) = date(days);
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Converts days since the Unix epoch to year, month and day.
///
/// The calculation uses years that start in March, so that a leap day is the last
/// day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day) = (days / ERA_DAYS, days % ERA_DAYS);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    (year, month, day)
}
