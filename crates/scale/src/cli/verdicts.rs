//! `verdicts`: how long a release's test takes to turn back a bad build.
use lilacgate_capacity::detection::{DetectionSettings, detections};

use crate::cli::session::Session;
use crate::error::ScaleError;

/// Arguments of `verdicts`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Runs of each case, each with a seed of its own.
    #[arg(long, default_value_t = 20)]
    runs: u64,
}

/// Runs the model of the test for all cases of the target.
///
/// # Errors
/// The target file cannot be used, or results cannot be written.
pub fn run(session: &mut Session, arguments: &Arguments) -> Result<(), ScaleError> {
    let target = session.target()?;
    let first = session.options.seed;
    let seeds: Vec<u64> = (first..first + arguments.runs).collect();
    session.heading();
    let command = session.command().to_owned();
    for sample in detections(&target, &DetectionSettings::default(), &seeds, &command) {
        session.keep(sample)?;
    }
    Ok(())
}
