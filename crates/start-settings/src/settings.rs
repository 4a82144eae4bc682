//! Settings by their paths, and the readers of single values.
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use lilacgate_decision::{DeduplicationScope, Idempotency};

use crate::error::SettingsError;

/// Start settings: each value's text by its path, such as `profiles.0.aim`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings(BTreeMap<String, String>);

/// A type of which a setting can be.
pub trait SettingValue: FromStr {
    /// The form of such a setting, in words.
    const EXPECTED: &'static str;
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";
}

impl SettingValue for u8 {
    const EXPECTED: &'static str = "a whole number, 0 to 255";
}

impl SettingValue for u32 {
    const EXPECTED: &'static str = "a whole number, 0 to 4294967295";
}

impl SettingValue for usize {
    const EXPECTED: &'static str = "a whole number, not below 0";
}

/// Whether a request class may be sent again, as its setting says.
#[derive(Clone, Copy)]
enum Repeatability {
    Idempotent,
    Keyed,
    NonIdempotent,
}

impl FromIterator<(String, String)> for Settings {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        Settings(pairs.into_iter().collect())
    }
}

/// The path of a request class's field.
pub(crate) fn class_path(class: usize, field: &str) -> String {
    format!("profiles.{class}.{field}")
}

impl Settings {
    /// Settings from lines of the form `path=value`. Lines of another form are ignored; of several lines with the
    /// same path the last one counts.
    pub fn from_lines(text: &str) -> Self {
        text.lines()
            .filter_map(|line| line.split_once('='))
            .map(|(path, value)| (path.to_owned(), value.to_owned()))
            .collect()
    }

    /// A value's text.
    ///
    /// # Errors
    /// The setting is missing.
    pub fn text(&self, path: &str) -> Result<&str, SettingsError> {
        let missing = || SettingsError::Missing {
            path: path.to_owned(),
        };
        self.0.get(path).map(String::as_str).ok_or_else(missing)
    }

    /// A whole number or a flag.
    ///
    /// # Errors
    /// The setting is missing, or does not have the form of a `T`.
    pub fn value<T: SettingValue>(&self, path: &str) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| unusable(path, text, T::EXPECTED))
    }

    /// A duration, given in microseconds.
    ///
    /// # Errors
    /// The setting is missing or no whole number of microseconds.
    pub fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        let text = self.text(path)?;
        text.parse()
            .map(Duration::from_micros)
            .map_err(|_| unusable(path, text, "a whole number of microseconds"))
    }

    /// A duration above zero, given in microseconds: something is divided by it, or repeated after it.
    ///
    /// # Errors
    /// The setting is missing or no whole number of microseconds above 0.
    pub fn period(&self, path: &str) -> Result<Duration, SettingsError> {
        let duration = self.duration(path)?;
        if duration.is_zero() {
            let expected = "a whole number of microseconds above 0";
            return Err(unusable(path, self.text(path)?, expected));
        }
        Ok(duration)
    }

    /// A finite number that is not negative.
    pub(crate) fn non_negative(&self, path: &str) -> Result<f64, SettingsError> {
        let text = self.text(path)?;
        parse_non_negative(text).ok_or_else(|| unusable(path, text, "a finite number, not below 0"))
    }

    /// A list of finite numbers that are not negative, at least one.
    pub(crate) fn non_negative_list(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        let text = self.text(path)?;
        let expected = "finite numbers, not below 0, between commas";
        text.split(',')
            .map(|part| parse_non_negative(part).ok_or_else(|| unusable(path, text, expected)))
            .collect()
    }

    /// The names of a list, none if it is empty.
    ///
    /// # Errors
    /// The setting is missing.
    pub fn names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        Ok(self
            .text(path)?
            .split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect())
    }

    /// The meaning of one of several words.
    pub(crate) fn choice<T: Copy>(
        &self,
        path: &str,
        choices: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        let chosen = choices.iter().find(|(word, _)| *word == text);
        chosen.map(|(_, meaning)| *meaning).ok_or_else(|| {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            unusable(path, text, format!("one of {}", words.join(", ")))
        })
    }

    /// Whether the endpoint list is sent on request only; otherwise it is pushed.
    ///
    /// # Errors
    /// The setting is missing or unknown.
    pub fn endpoint_list_on_request(&self) -> Result<bool, SettingsError> {
        self.choice("membership-mode", &[("push", false), ("ask", true)])
    }

    /// The number of request classes.
    pub(crate) fn class_count(&self) -> Result<usize, SettingsError> {
        self.value::<u8>("profiles.count").map(usize::from)
    }

    /// The longest deadline of all request classes.
    ///
    /// # Errors
    /// The deadline of a class, or the number of classes, is missing or unusable.
    pub fn longest_deadline(&self) -> Result<Duration, SettingsError> {
        (0..self.class_count()?).try_fold(Duration::ZERO, |longest, class| {
            let deadline = self.period(&class_path(class, "give-up"))?;
            Ok(longest.max(deadline))
        })
    }

    /// Whether a request of a class may be sent again.
    ///
    /// # Errors
    /// The setting, or the scope that deduplication needs, is missing or unknown.
    pub fn idempotency(&self, class: usize) -> Result<Idempotency, SettingsError> {
        let choices = [
            ("retryable", Repeatability::Idempotent),
            ("dedup", Repeatability::Keyed),
            ("fragile", Repeatability::NonIdempotent),
        ];
        Ok(match self.choice(&class_path(class, "repeat"), &choices)? {
            Repeatability::Idempotent => Idempotency::Idempotent,
            Repeatability::Keyed => Idempotency::Keyed(self.deduplication_scope(class)?),
            Repeatability::NonIdempotent => Idempotency::NonIdempotent,
        })
    }

    fn deduplication_scope(&self, class: usize) -> Result<DeduplicationScope, SettingsError> {
        let choices = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ];
        self.choice(&class_path(class, "group"), &choices)
    }
}

fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn unusable(path: &str, value: &str, expected: impl Into<String>) -> SettingsError {
    SettingsError::Unusable {
        path: path.to_owned(),
        value: value.to_owned(),
        expected: expected.into(),
    }
}
