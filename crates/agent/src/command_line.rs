//! The agent's command line and environment.
use std::path::PathBuf;

use clap::Parser;

use crate::error::StartError;

/// The environment variable that names the start file.
const START_FILE_VARIABLE: &str = "RELAY_CONFIG";

// The first paragraphs are what `--help` shows.
/// Routes its clients' requests to appliances of the old and the new build, and votes the new one on or back.
///
/// RELAY_CONFIG names the start file. Signals: USR1 writes the counters, and the releases' state where the operator's
/// file wants it; HUP reads both files again; TERM and INT end it.
#[derive(Debug, Parser)]
#[command(name = "lilacgate-agent", version)]
pub(crate) struct Arguments {
    /// The operator's own file; without one nothing is narrowed
    #[arg(long, value_name = "FILE", env = "LILACGATE_OPERATOR")]
    pub(crate) operator: Option<PathBuf>,
}

/// The path of the start file.
///
/// # Errors
/// The environment does not name it.
pub(crate) fn start_file_path() -> Result<String, StartError> {
    std::env::var(START_FILE_VARIABLE).map_err(|_| StartError::NoStartFile)
}
