//! `lgctl releases`: what a release gate with a file and a state answers, from when, and the earliest plan. All rules
//! are those of `lilacgate-releases`; nothing is decided here.
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
    /// Why a build may be used or not, and from when
    Explain(explain::ExplainArguments),
    /// The earliest times for builds to come out, or the statements that contradict each other
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

/// Reads the rules for releases of an operator's file.
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

/// Reads the state of an agent's release gate.
fn read_state(file: &Path) -> Result<StoredState, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::file(file, error))?;
    serde_json::from_str(&text).map_err(|error| CommandError::file(file, error))
}
