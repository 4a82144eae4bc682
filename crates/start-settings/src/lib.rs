//! Start settings: pairs of path and value that an agent reads when it starts, and the decision engine that is built
//! from them. The simulator sends them as lines; the agent flattens its start file to the same paths.
//!
//! [`Settings`] reads single values, [`engine_settings`] all values that a decision engine needs. This crate makes no
//! decisions of its own: a value is passed on as it stands, or refused with an error that names its path.

mod engine;
mod error;
mod settings;

pub use engine::{Instance, build_instance, engine_settings};
pub use error::SettingsError;
pub use settings::{LONGEST_DURATION, SettingValue, Settings};
