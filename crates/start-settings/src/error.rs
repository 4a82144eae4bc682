//! Why start settings cannot be used.

/// Why start settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting that is needed is missing.
    #[error("settings lack {path}")]
    Missing {
        /// The setting's path.
        path: String,
    },
    /// A setting has another form or range than is wanted.
    #[error("{path} is {value:?}; expected {expected}")]
    Unusable {
        /// The setting's path.
        path: String,
        /// What was read.
        value: String,
        /// What is wanted, in words.
        expected: String,
    },
}
