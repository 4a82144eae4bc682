//! When a freeze is active: once, or in weekly or yearly windows in a time zone. A window is never shorter than the
//! operator wrote it: if its begin or end falls in an hour that a clock change skips or repeats, the earlier instant is
//! taken for the begin and the later one for the end.
use std::time::Duration;

use jiff::civil::{Date, DateTime, Time, Weekday};
pub use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};

pub use crate::time_text::{
    TimeTextError, parse_date_time, parse_span, parse_time_zone, parse_week_time, parse_year_time,
};

/// The days, relative to today, on which a weekly window may begin that is active now or begins next.
const WEEKLY_DAYS: std::ops::RangeInclusive<i64> = -15..=8;
/// The years, relative to this year, in which a yearly window may begin that is active now or begins next.
const YEARLY_YEARS: std::ops::RangeInclusive<i16> = -2..=1;
const DAYS_OF_WEEK: i64 = 7;

/// A day of the week and a time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeekTime {
    /// The day of the week.
    pub day: Weekday,
    /// The local time on that day.
    pub time: Time,
}

/// A day of the year and a time of day. In years without a 29th of February, the 28th is used for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct YearTime {
    /// The month, from 1.
    pub month: i8,
    /// The day of the month, from 1.
    pub day: i8,
    /// The local time on that day.
    pub time: Time,
}

impl YearTime {
    /// The local date and time in a year; `None` if the calendar does not have it.
    fn in_year(self, year: i16) -> Option<DateTime> {
        let first = Date::new(year, self.month, 1).ok()?;
        let day = self.day.min(first.days_in_month());
        let date = Date::new(year, self.month, day).ok()?;
        Some(date.to_datetime(self.time))
    }
}

/// The times at which a freeze is active.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// At all times while the freeze is in the operator's file.
    Declared,
    /// In a single window.
    OneTime {
        /// The first instant, as time since 1970.
        from: Duration,
        /// The end, as time since 1970, which is not included.
        to: Duration,
    },
    /// In a window of each week.
    Weekly {
        /// The time zone of both times.
        zone: TimeZone,
        /// When the window begins.
        from: WeekTime,
        /// When the window ends; in the next week if this is not after the begin.
        to: WeekTime,
    },
    /// In a window of each year.
    Yearly {
        /// The time zone of both times.
        zone: TimeZone,
        /// When the window begins.
        from: YearTime,
        /// When the window ends; in the next year if this is not after the begin.
        to: YearTime,
    },
}

/// The window that is active at an instant. The window of [`Schedule::Declared`] has neither a begin nor an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveWindow {
    /// The begin, as time since 1970.
    pub since: Option<Duration>,
    /// The end, as time since 1970.
    pub until: Option<Duration>,
}

/// A window from its first instant to its end, which is not included, as time since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Window {
    from: Duration,
    to: Duration,
}

/// Converts time since 1970 to a timestamp; a time beyond the range of timestamps becomes the last one.
pub fn timestamp(at: Duration) -> Timestamp {
    Timestamp::from_nanosecond(i128::try_from(at.as_nanos()).unwrap_or(i128::MAX))
        .unwrap_or(Timestamp::MAX)
}

fn since_1970(at: Timestamp) -> Duration {
    Duration::try_from(at.duration_since(Timestamp::UNIX_EPOCH)).unwrap_or_default()
}

/// The first instant, as time since 1970, at which a clock in a time zone shows this date and time. A date beyond the range of
/// timestamps becomes the first or last one.
pub fn earliest_instant(zone: &TimeZone, at: DateTime) -> Duration {
    let instant = zone.to_ambiguous_timestamp(at).earlier();
    since_1970(instant.unwrap_or_else(|_| nearest_timestamp(at)))
}

/// The last instant, as time since 1970, at which a clock in a time zone shows this date and time. A date beyond the range of
/// timestamps becomes the first or last one.
pub fn latest_instant(zone: &TimeZone, at: DateTime) -> Duration {
    let instant = zone.to_ambiguous_timestamp(at).later();
    since_1970(instant.unwrap_or_else(|_| nearest_timestamp(at)))
}

/// The timestamp that is nearest to a date beyond the range of timestamps, which ends a day before that of dates.
fn nearest_timestamp(at: DateTime) -> Timestamp {
    if at.year() > 0 {
        Timestamp::MAX
    } else {
        Timestamp::MIN
    }
}

/// The weekly window that begins on a day; `None` if the day is not the window's first day.
fn weekly_window(zone: &TimeZone, day: Date, from: WeekTime, to: WeekTime) -> Option<Window> {
    if day.weekday() != from.day {
        return None;
    }
    let days = match i64::from(to.day.since(from.day)) {
        0 if to.time <= from.time => DAYS_OF_WEEK,
        days => days,
    };
    let last_day = day.checked_add(days.days()).ok()?;
    Some(Window {
        from: earliest_instant(zone, day.to_datetime(from.time)),
        to: latest_instant(zone, last_day.to_datetime(to.time)),
    })
}

/// The yearly window that begins in a year.
fn yearly_window(zone: &TimeZone, year: i16, from: YearTime, to: YearTime) -> Option<Window> {
    let start = from.in_year(year)?;
    let end = to
        .in_year(year)
        .filter(|end| *end > start)
        .or_else(|| to.in_year(year.checked_add(1)?))?;
    Some(Window {
        from: earliest_instant(zone, start),
        to: latest_instant(zone, end),
    })
}

impl Schedule {
    /// All windows that may be active at an instant or begin next, in the order of their begins.
    fn windows_near(&self, now: Duration) -> Vec<Window> {
        match self {
            Schedule::Declared => Vec::new(),
            Schedule::OneTime { from, to } => vec![Window {
                from: *from,
                to: *to,
            }],
            Schedule::Weekly { zone, from, to } => {
                let today = zone.to_datetime(timestamp(now)).date();
                WEEKLY_DAYS
                    .filter_map(|ahead| today.checked_add(ahead.days()).ok())
                    .filter_map(|day| weekly_window(zone, day, *from, *to))
                    .collect()
            }
            Schedule::Yearly { zone, from, to } => {
                let this_year = zone.to_datetime(timestamp(now)).year();
                YEARLY_YEARS
                    .filter_map(|ahead| this_year.checked_add(ahead))
                    .filter_map(|year| yearly_window(zone, year, *from, *to))
                    .collect()
            }
        }
    }

    /// The window that is active at an instant. A window includes its first instant but not its end.
    pub fn active_window(&self, now: Duration) -> Option<ActiveWindow> {
        if *self == Schedule::Declared {
            return Some(ActiveWindow {
                since: None,
                until: None,
            });
        }
        let mut windows = self.windows_near(now).into_iter();
        let window = windows.find(|window| window.from <= now && now < window.to)?;
        Some(ActiveWindow {
            since: Some(window.from),
            until: Some(window.to),
        })
    }

    /// The next time, since 1970, at which a window begins or ends.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        self.windows_near(now)
            .into_iter()
            .flat_map(|window| [window.from, window.to])
            .filter(|at| *at > now)
            .min()
    }
}
