//! How times are read and shown: instants in the form of RFC 3339, or as a clock in a time zone shows them.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jiff::Timestamp;
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use lilacgate_releases::calendar;
use thiserror::Error;

/// The text for the present time.
const NOW: &str = "now";

/// Why a time cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum TimeError {
    /// It is before 1970.
    #[error("{0:?} is before 1970")]
    Before1970(String),
    /// It has another form.
    #[error("{0:?} is no time such as 2026-12-28T00:00Z, 2026-12-28T00:00 or now")]
    UnknownFormat(String),
}

/// Reads a time since 1970: `now`, `2026-12-28T00:00Z`, or without a zone as a clock in the reader's zone shows it.
pub(crate) fn read(text: &str, zone: &TimeZone) -> Result<Duration, TimeError> {
    if text == NOW {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        return Ok(since_1970.unwrap_or_default());
    }
    if let Ok(at) = text.parse::<Timestamp>() {
        return u64::try_from(at.as_millisecond())
            .map(Duration::from_millis)
            .map_err(|_| TimeError::Before1970(text.to_owned()));
    }
    let civil = text
        .parse::<DateTime>()
        .map_err(|_| TimeError::UnknownFormat(text.to_owned()))?;
    Ok(calendar::earliest_instant(zone, civil))
}

/// Shows a time to the second, in a zone.
pub(crate) fn show(at: Duration, zone: &TimeZone) -> String {
    calendar::timestamp(at)
        .to_zoned(zone.clone())
        .strftime("%Y-%m-%d %H:%M:%S %Z")
        .to_string()
}

/// A time in milliseconds since 1970.
pub(crate) fn millis(at: Duration) -> u64 {
    at.as_millis() as u64
}
