//! `lgctl releases`: explains what a release gate admits for an operator file and a stored state, and plans releases.
//! All rules are evaluated by `lilacgate-releases`; this module only reads arguments and prints results.
mod chart;
mod describe;
mod explain;
mod plan;

use std::path::Path;

use clap::Subcommand;
use lilacgate_operator_config::{KnownNames, load};
use lilacgate_releases::model::Rules;
use lilacgate_releases::stored_state::StoredState;

use crate::CommandResult;
use crate::error::CommandError;

#[derive(Subcommand)]
pub(crate) enum ReleasesCommand {
    /// Explain why builds are admitted or not, and from when
    Explain(explain::ExplainArguments),
    /// Compute the earliest release times of builds, or the statements that conflict
    Plan(plan::PlanArguments),
}

impl ReleasesCommand {
    pub(crate) fn run(self, as_json: bool) -> CommandResult {
        match self {
            ReleasesCommand::Explain(explain) => explain.run(as_json),
            ReleasesCommand::Plan(plan) => plan.run(as_json),
        }
    }
}

/// Reads the release rules of an operator file.
fn read_rules(file: &Path) -> Result<Rules, CommandError> {
    let operator =
        load(file, &KnownNames::default()).map_err(|faults| CommandError::OperatorFile {
            path: file.to_owned(),
            faults,
        })?;
    let releases = operator
        .releases
        .ok_or_else(|| CommandError::NoReleases(file.to_owned()))?;
    Ok(releases.rules)
}

/// Reads the stored state of an agent's release gate.
fn read_state(file: &Path) -> Result<StoredState, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::file(file, error))?;
    serde_json::from_str(&text).map_err(|error| CommandError::file(file, error))
}
