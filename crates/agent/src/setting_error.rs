//! The error of parts that are built from the start file's settings.
use thiserror::Error;

/// A setting that is missing, unreadable or out of range. The text names the setting and the cause, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingError(String);

impl From<String> for SettingError {
    fn from(message: String) -> Self {
        SettingError(message)
    }
}

impl From<SettingError> for String {
    fn from(error: SettingError) -> Self {
        error.0
    }
}
