//! Settings by their paths, and functions that read single values.
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use lilacgate_decision::{DeduplicationScope, Idempotency};

use crate::error::SettingsError;

/// The longest duration that a setting can have: a century, of which clocks can express any sum and multiple in use.
pub const LONGEST_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Start settings: the text of each value by its path, such as `profiles.0.aim`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings(BTreeMap<String, String>);

/// A type that [`Settings::value`] can read.
pub trait SettingValue: FromStr {
    /// The accepted values, in words, for error messages.
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

/// The value of a class's setting `repeat`: whether its requests may be sent again.
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

/// The path of a setting of a request class.
pub(crate) fn class_path(class: usize, field: &str) -> String {
    format!("profiles.{class}.{field}")
}

impl Settings {
    /// Reads settings from lines of the form `path=value`. Other lines are ignored; if several lines have the same
    /// path, the last one counts.
    pub fn from_lines(text: &str) -> Self {
        text.lines()
            .filter_map(|line| line.split_once('='))
            .map(|(path, value)| (path.to_owned(), value.to_owned()))
            .collect()
    }

    /// The text of a setting's value.
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
    /// The setting is missing, or its value is not a valid `T`.
    pub fn value<T: SettingValue>(&self, path: &str) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| unusable(path, text, T::EXPECTED))
    }

    /// A duration, given in microseconds. A longer one than [`LONGEST_DURATION`] counts as that.
    ///
    /// # Errors
    /// The setting is missing or not a whole number of microseconds.
    pub fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        let text = self.text(path)?;
        text.parse()
            .map(|micros| Duration::from_micros(micros).min(LONGEST_DURATION))
            .map_err(|_| unusable(path, text, "a whole number of microseconds"))
    }

    /// A duration above zero, given in microseconds. It is read for values that are used as a divisor or as the
    /// interval of something that repeats.
    ///
    /// # Errors
    /// The setting is missing or not a whole number of microseconds above 0.
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

    /// A comma-separated list of at least one finite number that is not negative.
    pub(crate) fn non_negative_list(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        let text = self.text(path)?;
        let expected = "a comma-separated list of finite numbers, not below 0";
        text.split(',')
            .map(|part| parse_non_negative(part).ok_or_else(|| unusable(path, text, expected)))
            .collect()
    }

    /// The names of a comma-separated list. Empty names are left out.
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

    /// The value that `choices` gives for the setting's word.
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

    /// Whether the endpoint list is sent on request only (`ask`); otherwise discovery pushes it (`push`).
    ///
    /// # Errors
    /// The setting is missing or has another value.
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
    /// The deadline of a class, or the number of classes, is missing or invalid.
    pub fn longest_deadline(&self) -> Result<Duration, SettingsError> {
        (0..self.class_count()?).try_fold(Duration::ZERO, |longest, class| {
            let deadline = self.period(&class_path(class, "give-up"))?;
            Ok(longest.max(deadline))
        })
    }

    /// Whether a request of a class may be sent again. A keyed class also needs a deduplication scope.
    ///
    /// # Errors
    /// The setting, or the deduplication scope of a keyed class, is missing or has an unknown value.
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
