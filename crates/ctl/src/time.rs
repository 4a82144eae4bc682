//! Parsing and formatting of times: RFC 3339 instants, or local times of a time zone.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jiff::Timestamp;
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use lilacgate_releases::calendar;
use thiserror::Error;

/// The argument that stands for the current time.
const NOW: &str = "now";

/// The reason that a time argument is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum TimeError {
    /// The instant is before the Unix epoch.
    #[error("time {0:?} is before 1970-01-01T00:00Z")]
    Before1970(String),
    /// The text is neither an instant, nor a local time, nor `now`.
    #[error(
        "{0:?} is not a time; expected a form such as 2026-12-28T00:00Z, 2026-12-28T00:00 or now"
    )]
    UnknownFormat(String),
}

/// Parses a time and returns it as the time since the Unix epoch: `now`, an instant such as `2026-12-28T00:00Z`, or a
/// local time of `zone` such as `2026-12-28T00:00`.
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

/// Formats a time since the Unix epoch as local time of `zone`, to the second.
pub(crate) fn show(at: Duration, zone: &TimeZone) -> String {
    calendar::timestamp(at)
        .to_zoned(zone.clone())
        .strftime("%Y-%m-%d %H:%M:%S %Z")
        .to_string()
}

/// Converts a time to whole milliseconds.
pub(crate) fn millis(at: Duration) -> u64 {
    at.as_millis() as u64
}
