//! The error for start settings that are missing or invalid.

/// Why start settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting {path} is missing")]
    Missing {
        /// The setting's path.
        path: String,
    },
    /// A setting's value does not have the expected form or is out of range.
    #[error("setting {path} is {value:?}; expected {expected}")]
    Unusable {
        /// The setting's path.
        path: String,
        /// The value as it stands in the settings.
        value: String,
        /// The accepted values, in words.
        expected: String,
    },
}
