//! Helpers for several of the agent's tests.
use std::time::Duration;

use lilacgate_agent::recorder::Recorder;
use lilacgate_start_settings::Settings;

/// Creates a recorder that records nothing.
pub(crate) fn empty_recorder() -> Recorder {
    let settings = Settings::from_lines("profiles.count=0\nrules.ramp-time=0");
    Recorder::new("n0", &settings, None, Duration::ZERO).expect("a recorder")
}
