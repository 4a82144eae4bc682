//! Parsers of attribute values. Each error names what is expected.
use std::str::FromStr;
use std::time::Duration;

use crate::target::{LARGEST_COUNT, LARGEST_SKEW};

/// A name without white space.
pub(super) fn read_name(text: &str) -> Result<String, &'static str> {
    let is_word = !text.is_empty() && !text.contains(char::is_whitespace);
    is_word
        .then(|| text.to_owned())
        .ok_or("a name without spaces")
}

/// A whole number from 1 to [`LARGEST_COUNT`].
pub(super) fn read_count(text: &str) -> Result<u32, &'static str> {
    let count = u32::from_str(text).ok();
    let usable = count.filter(|count| (1..=LARGEST_COUNT).contains(count));
    usable.ok_or("a whole number from 1 to 10000000")
}

/// A plain decimal number; exponents and words like "inf" are not accepted.
fn read_decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let value = f64::from_str(text).ok().filter(|_| is_plain);
    value.filter(|value| value.is_finite())
}

/// A decimal number of 0 or more.
pub(super) fn read_rate(text: &str) -> Result<f64, &'static str> {
    read_decimal(text).ok_or("a number of 0 or more")
}

/// A decimal number above 0.
pub(super) fn read_amount(text: &str) -> Result<f64, &'static str> {
    let amount = read_decimal(text).filter(|amount| *amount > 0.0);
    amount.ok_or("a number above 0")
}

/// A decimal number from 0 to [`LARGEST_SKEW`].
pub(super) fn read_skew(text: &str) -> Result<f64, &'static str> {
    let skew = read_decimal(text).filter(|skew| *skew <= LARGEST_SKEW);
    skew.ok_or("a number from 0 to 3")
}

/// A decimal number with a unit: `ms`, `s`, `m` or `h`.
pub(super) fn read_duration(text: &str) -> Result<Duration, &'static str> {
    const EXPECTED: &str = "a time such as 3s, 3.7ms, 5m or 1h";
    let end = text.find(|letter: char| letter.is_ascii_alphabetic());
    let (number, unit) = text.split_at(end.ok_or(EXPECTED)?);
    let seconds = match unit {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(EXPECTED),
    };
    let number = read_decimal(number).ok_or(EXPECTED)?;
    Duration::try_from_secs_f64(number * seconds).map_err(|_| EXPECTED)
}
