//! Parses times and spans of time in the formats of the operator's file.
use std::time::Duration;

use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use thiserror::Error;
use winnow::Parser;
use winnow::ascii::{alpha1, digit1, space1};
use winnow::combinator::{opt, preceded, separated_pair, terminated};
use winnow::error::ContextError;

use crate::calendar::{WeekTime, YearTime};

/// The names of the days of the week, from Monday, in lower case.
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
/// A year that has a 29th of February, so that this day is accepted too.
const LEAP_YEAR: i16 = 2028;

/// A text that does not have the expected format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TimeTextError {
    /// Not a day of the week and a time.
    #[error("{0:?}: expected a day of the week and a time such as \"Fri 18:00\"")]
    WeekTime(String),
    /// Not a day of the year and a time.
    #[error("{0:?}: expected a month, day and time such as \"12-28 00:00\"")]
    YearTime(String),
    /// Not a date and time.
    #[error("{0:?}: expected a date and time such as \"2026-12-28T00:00\"")]
    DateTime(String),
    /// Not a span of time.
    #[error("{0:?}: expected a span of time such as \"1h 30m\" or \"250ms\"")]
    Span(String),
    /// Not the name of a time zone.
    #[error("{0:?}: expected the name of a known time zone such as \"Europe/Amsterdam\"")]
    TimeZone(String),
}

impl From<TimeTextError> for String {
    fn from(error: TimeTextError) -> Self {
        error.to_string()
    }
}

type ParseResult<T> = Result<T, winnow::error::ErrMode<ContextError>>;

fn number(text: &mut &str) -> ParseResult<i8> {
    digit1.try_map(str::parse::<i8>).parse_next(text)
}

/// Parses a time of day such as `18:00` or `18:00:30`.
fn time(text: &mut &str) -> ParseResult<Time> {
    let parts = (
        separated_pair(number, ':', number),
        opt(preceded(':', number)),
    );
    parts
        .try_map(|((hour, minute), second)| Time::new(hour, minute, second.unwrap_or(0), 0))
        .parse_next(text)
}

fn weekday(text: &mut &str) -> ParseResult<Weekday> {
    let named = |word: &str| {
        let word = word.to_ascii_lowercase();
        let index = DAYS.iter().position(|day| *day == word)?;
        Weekday::from_monday_zero_offset(index as i8).ok()
    };
    alpha1.verify_map(named).parse_next(text)
}

/// Parses a day of the week and a time, such as `Fri 18:00`.
///
/// # Errors
/// The text does not have this format.
pub fn parse_week_time(text: &str) -> Result<WeekTime, TimeTextError> {
    let mut form = (terminated(weekday, space1), time).map(|(day, time)| WeekTime { day, time });
    form.parse(text.trim())
        .map_err(|_| TimeTextError::WeekTime(text.to_owned()))
}

/// Parses a day of the year and a time, such as `12-28 00:00`.
///
/// # Errors
/// The text does not have this format, or no year has this day.
pub fn parse_year_time(text: &str) -> Result<YearTime, TimeTextError> {
    let mut form = (separated_pair(number, '-', number), preceded(space1, time))
        .map(|((month, day), time)| YearTime { month, day, time })
        .verify(|at: &YearTime| Date::new(LEAP_YEAR, at.month, at.day).is_ok());
    form.parse(text.trim())
        .map_err(|_| TimeTextError::YearTime(text.to_owned()))
}

/// Parses a date and time without a time zone, such as `2026-12-28T00:00`.
///
/// # Errors
/// The text does not have this format.
pub fn parse_date_time(text: &str) -> Result<DateTime, TimeTextError> {
    text.trim()
        .parse()
        .map_err(|_| TimeTextError::DateTime(text.to_owned()))
}

/// Parses a span of time, not below 0, such as `1h 30m` or `250ms`.
///
/// # Errors
/// The text does not have this format, or the span is negative.
pub fn parse_span(text: &str) -> Result<Duration, TimeTextError> {
    let read = text.trim().parse::<jiff::SignedDuration>().ok();
    read.and_then(|span| Duration::try_from(span).ok())
        .ok_or_else(|| TimeTextError::Span(text.to_owned()))
}

/// Finds a time zone by its name, such as `Asia/Tokyo`.
///
/// # Errors
/// No time zone has this name.
pub fn parse_time_zone(name: &str) -> Result<TimeZone, TimeTextError> {
    TimeZone::get(name).map_err(|_| TimeTextError::TimeZone(name.to_owned()))
}
