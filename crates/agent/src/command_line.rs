//! The agent's command line and environment.
use std::path::PathBuf;

use clap::Parser;

use crate::error::StartError;

/// The environment variable that names the start file.
const START_FILE_VARIABLE: &str = "RELAY_CONFIG";

// The doc comments below are the text of `--help`.
/// Forwards the requests of its clients to the endpoints of a service, which run an old or a new build, and votes to
/// advance the new build or roll it back.
///
/// RELAY_CONFIG is the path of the start file. Signals: USR1 writes the counters to the log, and the timelines and the
/// release state to the files that the operator's file names; HUP reloads the start file and the operator's file; TERM
/// and INT shut the agent down.
#[derive(Debug, Parser)]
#[command(name = "lilacgate-agent", version)]
pub(crate) struct Arguments {
    /// The operator's file; without one, releases are not restricted and no timelines are recorded
    #[arg(long, value_name = "FILE", env = "LILACGATE_OPERATOR")]
    pub(crate) operator: Option<PathBuf>,
}

/// The path of the start file.
///
/// # Errors
/// Fails if the environment variable is not set, or is not valid UTF-8.
pub(crate) fn start_file_path() -> Result<String, StartError> {
    std::env::var(START_FILE_VARIABLE).map_err(|_| StartError::NoStartFile)
}
