//! Parsers of values: numbers with units, prices, time windows and fixed words.

use super::model::{Service, Window};
use std::fmt;

/// Longest name, in ASCII characters.
const NAME_LIMIT: usize = 64;
/// Longest path of a plain service and longest model name, in bytes.
const PATH_LIMIT_BYTES: usize = 1024;
/// Largest number of decimals of a price.
const PRICE_DECIMALS: usize = 3;
/// Unit of prices.
const PRICE_UNIT: &str = "eur/slot-hour";

/// Why a value could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueError {
    /// The value does not have the expected syntax.
    Malformed,
    /// The number has no unit.
    MissingUnit,
    /// The unit is not one that the key accepts.
    WrongUnit,
    /// The number does not fit its type.
    Overflow,
    /// The number is outside the permitted range.
    OutOfRange,
}

impl fmt::Display for ValueError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "is malformed",
            Self::MissingUnit => "has no unit",
            Self::WrongUnit => "has the wrong unit",
            Self::Overflow => "is too large",
            Self::OutOfRange => "is out of range",
        })
    }
}

/// Syntax of the values of a key.
pub struct Format<T> {
    /// Parses a value.
    pub read: fn(&str) -> Result<T, ValueError>,
    /// Description of a valid value, for the help text.
    pub expected: &'static str,
}

/// A duration greater than zero, in milliseconds.
pub const TIMEOUT: Format<u64> = Format {
    read: |text| {
        parse_quantity(text, DURATION_UNITS).and_then(|value| check_range(value, 1, u64::MAX))
    },
    expected: "a duration above zero, like 500ms, 4s, 20min or 1h",
};
/// A duration, in milliseconds.
pub const DURATION: Format<u64> = Format {
    read: |text| parse_quantity(text, DURATION_UNITS),
    expected: "a duration, like 500ms, 20s, 2min or 1h",
};
/// A size greater than zero, in bytes.
pub const SIZE: Format<u64> = Format {
    read: |text| parse_quantity(text, SIZE_UNITS).and_then(|value| check_range(value, 1, u64::MAX)),
    expected: "a size above zero, like 512B, 64KiB or 1MiB",
};
/// A number of requests in flight, at least one.
pub const REQUESTS: Format<u32> = Format {
    read: |text| {
        parse_quantity(text, &[("req", 1)]).and_then(|value| check_positive(value, u32::MAX))
    },
    expected: "a number of requests of at least one, like 8req",
};
/// A share of the deadline, in per cent.
pub const PERCENT: Format<u32> = Format {
    read: |text| parse_quantity(text, &[("%", 1)]).and_then(|value| check_positive(value, 100)),
    expected: "a share from 1% to 100%",
};
/// A price, in thousandths of a euro per slot and hour.
pub const PRICE: Format<u64> = Format {
    read: parse_price,
    expected: "a price with up to three decimals, like 0.400eur/slot-hour",
};
/// A weight from 1 to 1000, without a unit.
pub const WEIGHT: Format<u32> = Format {
    read: |text| parse_quantity(text, &[("", 1)]).and_then(|value| check_positive(value, 1000)),
    expected: "a weight from 1 to 1000, like 3",
};
/// A daily time window in UTC.
pub const WINDOW: Format<Window> = Format {
    read: parse_window,
    expected: "a window of the day in UTC, like 07:00-18:30 or 22:00-06:00",
};
/// Whether a stage may run more than once.
pub const REPEAT: Format<bool> = Format {
    read: |text| match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(ValueError::Malformed),
    },
    expected: "yes or no",
};
/// The service of a pool.
pub const SERVICE: Format<Service> = Format {
    read: |text| Service::from_name(text).ok_or(ValueError::Malformed),
    expected: "encode, retrieve, rerank, generate or plain",
};
/// The name of a defined item.
pub const NAME: Format<String> = Format {
    read: |text| copy_if(text, is_name(text)),
    expected: "a name of up to 64 lower case letters, digits, dots, dashes and underscores that \
           starts with a letter or digit",
};
/// The name of a model at an engine.
pub const MODEL: Format<String> = Format {
    read: |text| {
        copy_if(
            text,
            text.len() <= PATH_LIMIT_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic()),
        )
    },
    expected: "the model's name at the engine, in printable ASCII",
};
/// The path of a call at a plain service.
pub const PATH: Format<String> = Format {
    read: |text| copy_if(text, is_path(text)),
    expected: "a path like /orders, of letters, digits and any of / - . _ ~",
};

const DURATION_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1000), ("min", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

fn copy_if(text: &str, is_valid: bool) -> Result<String, ValueError> {
    if is_valid {
        Ok(text.to_owned())
    } else {
        Err(ValueError::Malformed)
    }
}

fn is_name(text: &str) -> bool {
    let is_lower_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    text.len() <= NAME_LIMIT
        && text.bytes().next().is_some_and(is_lower_alphanumeric)
        && text
            .bytes()
            .all(|byte| is_lower_alphanumeric(byte) || b"-._".contains(&byte))
}

fn is_path(text: &str) -> bool {
    text.len() <= PATH_LIMIT_BYTES
        && text.starts_with('/')
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte))
}

/// Parses a whole number with one of the units and returns it in the base unit.
fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Result<u64, ValueError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    if number.is_empty() {
        return Err(ValueError::Malformed);
    }
    let scale = match units.iter().find(|(name, _)| *name == unit) {
        Some((_, scale)) => scale,
        None if unit.is_empty() => return Err(ValueError::MissingUnit),
        None if unit.starts_with('.') => return Err(ValueError::Malformed),
        None => return Err(ValueError::WrongUnit),
    };
    let number: u64 = number.parse().map_err(|_| ValueError::Overflow)?;
    number.checked_mul(*scale).ok_or(ValueError::Overflow)
}

fn check_range(value: u64, min: u64, max: u64) -> Result<u64, ValueError> {
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(ValueError::OutOfRange)
    }
}

/// Converts a number to `u32` and checks that it is between 1 and `max`.
fn check_positive(value: u64, max: u32) -> Result<u32, ValueError> {
    let value = u32::try_from(value).map_err(|_| ValueError::Overflow)?;
    check_range(value.into(), 1, max.into()).map(|_| value)
}

fn parse_price(text: &str) -> Result<u64, ValueError> {
    let end = text
        .bytes()
        .take_while(|byte| byte.is_ascii_digit() || *byte == b'.')
        .count();
    let (number, unit) = text.split_at(end);
    let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
    if whole.is_empty() || decimals.is_empty() || decimals.contains('.') {
        return Err(ValueError::Malformed);
    }
    match unit {
        PRICE_UNIT => {}
        "" => return Err(ValueError::MissingUnit),
        _ => return Err(ValueError::WrongUnit),
    }
    if decimals.len() > PRICE_DECIMALS {
        return Err(ValueError::OutOfRange);
    }
    let milli: u64 = format!("{decimals:0<PRICE_DECIMALS$}")
        .parse()
        .map_err(|_| ValueError::Malformed)?;
    let whole: u64 = whole.parse().map_err(|_| ValueError::Overflow)?;
    whole
        .checked_mul(1000)
        .and_then(|whole| whole.checked_add(milli))
        .ok_or(ValueError::Overflow)
}

fn parse_window(text: &str) -> Result<Window, ValueError> {
    let (from, until) = text.split_once('-').ok_or(ValueError::Malformed)?;
    let window = Window {
        from_minute: parse_minute(from)?,
        until_minute: parse_minute(until)?,
    };
    if window.from_minute == window.until_minute || window.from_minute == Window::DAY_MINUTES {
        return Err(ValueError::OutOfRange);
    }
    Ok(window)
}

fn parse_minute(text: &str) -> Result<u16, ValueError> {
    let (hour, minute) = text.split_once(':').ok_or(ValueError::Malformed)?;
    let (hour, minute) = (parse_two_digits(hour)?, parse_two_digits(minute)?);
    let of_day = hour * 60 + minute;
    if minute >= 60 || of_day > Window::DAY_MINUTES {
        return Err(ValueError::OutOfRange);
    }
    Ok(of_day)
}

fn parse_two_digits(text: &str) -> Result<u16, ValueError> {
    if text.len() != 2 || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ValueError::Malformed);
    }
    text.parse().map_err(|_| ValueError::Malformed)
}
