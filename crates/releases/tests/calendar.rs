//! Tests the instants of dates near the ends of the calendar.
use std::time::Duration;

use jiff::civil::{DateTime, date};
use jiff::tz::TimeZone;
use lilacgate_releases::calendar::{
    Schedule, YearTime, earliest_instant, latest_instant, timestamp,
};
use rstest::rstest;

/// By how much time zones and the end of the calendar may shift an instant.
const TWO_DAYS: Duration = Duration::from_secs(2 * 24 * 60 * 60);
/// The last timestamp, 9999-12-30T22:00 UTC, in seconds since 1970; that of dates is a day later.
const LAST_TIMESTAMP: Duration = Duration::from_secs(253_402_207_200);

/// Guards against an end that no clock can express, and against a begin that becomes the first instant of all: dates beyond
/// the range of timestamps become the nearest timestamp.
#[rstest]
#[case::last_minute(date(9999, 12, 31).at(23, 59, 0, 0), LAST_TIMESTAMP)]
#[case::last_day(date(9999, 12, 31).at(0, 0, 0, 0), LAST_TIMESTAMP)]
#[case::first_day(date(-9999, 1, 1).at(0, 0, 0, 0), Duration::ZERO)]
#[case::before_1970(date(1969, 12, 31).at(0, 0, 0, 0), Duration::ZERO)]
fn dates_at_the_ends_of_the_calendar(
    #[case] at: DateTime,
    #[case] expected: Duration,
    #[values("UTC", "Asia/Tokyo", "America/Los_Angeles")] zone: &str,
) {
    let zone = TimeZone::get(zone).expect("a time zone");
    for instant in [earliest_instant(&zone, at), latest_instant(&zone, at)] {
        let difference = instant.abs_diff(expected);
        assert!(difference <= TWO_DAYS, "{instant:?}");
        // It can be shown, and a clock can express it.
        assert_eq!(
            timestamp(instant).as_duration().as_secs() as u64,
            instant.as_secs()
        );
    }
}

/// A schedule is evaluated in the last year of the calendar, too.
#[test]
fn a_yearly_window_in_the_last_year() {
    let time = jiff::civil::time(0, 0, 0, 0);
    let day = |month, day| YearTime { month, day, time };
    let yearly = Schedule::Yearly {
        zone: TimeZone::UTC,
        from: day(12, 30),
        to: day(1, 2),
    };
    for now in [
        LAST_TIMESTAMP - Duration::from_secs(1),
        LAST_TIMESTAMP,
        Duration::MAX,
    ] {
        yearly.active_window(now);
        yearly.next_change(now);
    }
}
