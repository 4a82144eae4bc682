//! Owns how times are read and shown: instants as RFC 3339 has them or as a clock in a time zone says, spans in plain
//! figures.
use std::time::Duration;

use jiff::Timestamp;
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use lilacgate_releases::calendar;

/// A time since 1970: `now`, `2026-12-28T00:00Z`, or without a zone as a clock in the reader's zone says.
pub fn read(text: &str, zone: &TimeZone) -> Result<Duration, String> {
    if text == "now" {
        return Ok(std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default());
    }
    if let Ok(at) = text.parse::<Timestamp>() {
        return u64::try_from(at.as_millisecond())
            .map(Duration::from_millis)
            .map_err(|_| format!("{text:?} is before 1970"));
    }
    let civil = text.parse::<DateTime>().map_err(|_| {
        format!("{text:?} is no time such as 2026-12-28T00:00Z, 2026-12-28T00:00 or now")
    })?;
    Ok(calendar::earliest(zone, civil))
}

/// A time to the second, in a zone.
pub fn show(at: Duration, zone: &TimeZone) -> String {
    calendar::instant(at)
        .to_zoned(zone.clone())
        .strftime("%Y-%m-%d %H:%M:%S %Z")
        .to_string()
}
