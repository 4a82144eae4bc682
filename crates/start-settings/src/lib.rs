//! Start settings: pairs of path and value that an agent gets at its start, and the decision engine that they
//! describe. The simulator sends them as lines; the agent flattens its start file to the same paths.
//!
//! [`Settings`] reads single values, [`engine_settings`] all that a decision engine needs. Nothing here decides:
//! each value goes to its place as it stands, or is refused with its path.

mod engine;
mod error;
mod settings;

pub use engine::{Instance, build_instance, engine_settings};
pub use error::SettingsError;
pub use settings::{SettingValue, Settings};
