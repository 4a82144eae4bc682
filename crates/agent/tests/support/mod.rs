//! What several of the agent's tests need.
use std::time::Duration;

use lilacgate_agent::recorder::Recorder;
use lilacgate_start_settings::Settings;

/// A recorder that keeps nothing.
pub(crate) fn empty_recorder() -> Recorder {
    let settings = Settings::from_lines("profiles.count=0\nrules.ramp-time=0");
    Recorder::new("n0", &settings, None, Duration::ZERO).expect("a recorder")
}
