//! Owns when a freeze is in force: spans, weekly and yearly windows in a named time zone. It knows no service and must
//! never make a window shorter than it was ordered: where a clock change skips or repeats an hour, a window begins at
//! the earlier and ends at the later reading.
use std::time::Duration;

use jiff::civil::{Date, DateTime, Time, Weekday};
pub use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use winnow::Parser;
use winnow::ascii::{alpha1, digit1, space1};
use winnow::combinator::{opt, preceded, separated_pair, terminated};
use winnow::error::ContextError;

/// A day of the week and a time on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeekTime {
    pub day: Weekday,
    pub time: Time,
}

/// A month, its day and a time on it. The 29th of February counts as the 28th in other years.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct YearTime {
    pub month: i8,
    pub day: i8,
    pub time: Time,
}

/// When something is in force.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// From when it was declared, for as long as it stands in the file.
    Declared,
    /// Once, from one instant to another, as spans since 1970.
    Once { from: Duration, to: Duration },
    Weekly {
        zone: TimeZone,
        from: WeekTime,
        to: WeekTime,
    },
    Yearly {
        zone: TimeZone,
        from: YearTime,
        to: YearTime,
    },
}

/// Since and until when a window is in force; one that was declared has neither.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub since: Option<Duration>,
    pub until: Option<Duration>,
}

/// An instant as the time library has it; beyond its years, its last one.
pub fn instant(at: Duration) -> Timestamp {
    Timestamp::from_nanosecond(i128::try_from(at.as_nanos()).unwrap_or(i128::MAX))
        .unwrap_or(Timestamp::MAX)
}

fn since_1970(at: Timestamp) -> Duration {
    Duration::try_from(at.duration_since(Timestamp::UNIX_EPOCH)).unwrap_or_default()
}

/// The first instant that a clock in a zone could mean by this.
pub fn earliest(zone: &TimeZone, at: DateTime) -> Duration {
    zone.to_ambiguous_timestamp(at)
        .earlier()
        .map_or(Duration::ZERO, since_1970)
}

/// The last one.
pub fn latest(zone: &TimeZone, at: DateTime) -> Duration {
    zone.to_ambiguous_timestamp(at)
        .later()
        .map_or(Duration::MAX, since_1970)
}

impl YearTime {
    /// That moment of a year.
    fn of(self, year: i16) -> Option<DateTime> {
        let first = Date::new(year, self.month, 1).ok()?;
        let day = self.day.min(first.days_in_month());
        Some(
            Date::new(year, self.month, day)
                .ok()?
                .to_datetime(self.time),
        )
    }
}

impl When {
    /// All its windows that could hold `now` or begin next, in order.
    fn near(&self, now: Duration) -> Vec<(Duration, Duration)> {
        match self {
            When::Declared => Vec::new(),
            When::Once { from, to } => vec![(*from, *to)],
            When::Weekly { zone, from, to } => {
                let today = zone.to_datetime(instant(now)).date();
                let of = |ahead: i64| {
                    let day = today
                        .checked_add(ahead.days())
                        .ok()
                        .filter(|d| d.weekday() == from.day)?;
                    let later = i64::from(to.day.since(from.day));
                    let later = if later == 0 && to.time <= from.time {
                        7
                    } else {
                        later
                    };
                    let end = day.checked_add(later.days()).ok()?;
                    let span = (
                        earliest(zone, day.to_datetime(from.time)),
                        latest(zone, end.to_datetime(to.time)),
                    );
                    Some(span)
                };
                (-15..=8).filter_map(of).collect()
            }
            When::Yearly { zone, from, to } => {
                let year = zone.to_datetime(instant(now)).year();
                let of = |year: i16| {
                    let start = from.of(year)?;
                    let end = to
                        .of(year)
                        .filter(|end| *end > start)
                        .or_else(|| to.of(year.checked_add(1)?))?;
                    Some((earliest(zone, start), latest(zone, end)))
                };
                (-2..=1)
                    .filter_map(|more| of(year.checked_add(more)?))
                    .collect()
            }
        }
    }

    /// Whether it is in force at an instant; a window holds its first instant, not its last.
    pub fn in_force(&self, now: Duration) -> Option<InForce> {
        if *self == When::Declared {
            return Some(InForce {
                since: None,
                until: None,
            });
        }
        let holds = |(from, to): &(Duration, Duration)| *from <= now && now < *to;
        let (from, to) = self.near(now).into_iter().find(holds)?;
        Some(InForce {
            since: Some(from),
            until: Some(to),
        })
    }

    /// When it next begins or ends.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        self.near(now)
            .into_iter()
            .flat_map(|(from, to)| [from, to])
            .filter(|at| *at > now)
            .min()
    }
}

type Read<'a, T> = Result<T, winnow::error::ErrMode<ContextError>>;

fn number<'a>(text: &mut &'a str) -> Read<'a, i8> {
    digit1.try_map(str::parse::<i8>).parse_next(text)
}

fn time<'a>(text: &mut &'a str) -> Read<'a, Time> {
    let whole = (
        separated_pair(number, ':', number),
        opt(preceded(':', number)),
    );
    whole
        .try_map(|((h, m), s)| Time::new(h, m, s.unwrap_or(0), 0))
        .parse_next(text)
}

fn weekday<'a>(text: &mut &'a str) -> Read<'a, Weekday> {
    let days = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
    let named = |word: &str| {
        let word = word.to_ascii_lowercase();
        days.iter()
            .position(|day| *day == word)
            .and_then(|i| Weekday::from_monday_zero_offset(i as i8).ok())
    };
    alpha1.verify_map(named).parse_next(text)
}

/// `Fri 18:00`.
pub fn week_time(text: &str) -> Result<WeekTime, String> {
    let mut whole = (terminated(weekday, space1), time).map(|(day, time)| WeekTime { day, time });
    whole
        .parse(text.trim())
        .map_err(|_| format!("{text:?} is no day and time such as \"Fri 18:00\""))
}

/// `12-28 00:00`.
pub fn year_time(text: &str) -> Result<YearTime, String> {
    let mut whole = (separated_pair(number, '-', number), preceded(space1, time))
        .map(|((month, day), time)| YearTime { month, day, time })
        // 2028 has a 29th of February.
        .verify(|at: &YearTime| Date::new(2028, at.month, at.day).is_ok());
    whole
        .parse(text.trim())
        .map_err(|_| format!("{text:?} is no month, day and time such as \"12-28 00:00\""))
}

/// `2026-12-28T00:00`.
pub fn date_time(text: &str) -> Result<DateTime, String> {
    text.trim()
        .parse()
        .map_err(|_| format!("{text:?} is no date and time such as \"2026-12-28T00:00\""))
}

/// `1h 30m`, `250ms`: a span, not below 0.
pub fn span(text: &str) -> Result<Duration, String> {
    let read = text
        .trim()
        .parse::<jiff::SignedDuration>()
        .ok()
        .and_then(|span| Duration::try_from(span).ok());
    read.ok_or_else(|| format!("{text:?} is no span of time such as \"1h 30m\" or \"250ms\""))
}

/// A time zone by its name, such as `Asia/Tokyo`.
pub fn time_zone(name: &str) -> Result<TimeZone, String> {
    TimeZone::get(name).map_err(|_| format!("{name:?} is no known time zone"))
}
