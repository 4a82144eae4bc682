//! One measurement.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{EventKind, Experiment, Factor, Quantity, Role, Size, Source};

/// One measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The experiment that it belongs to.
    pub experiment: Experiment,
    /// The command line that produced it, without paths of the local machine.
    pub command: String,
    /// The seed of the run.
    pub seed: u64,
    /// What was run.
    pub source: Source,
    /// The role whose cost it is.
    pub role: Role,
    /// The size that varies, if it belongs to a slope.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<Factor>,
    /// The sizes of the fleet.
    pub size: Size,
    /// The event, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<EventKind>,
    /// Whether it is excluded from the fit and predicted from it.
    #[serde(default)]
    pub held_back: bool,
    /// False if the run was interrupted.
    pub complete: bool,
    /// The measured figures.
    pub figures: BTreeMap<Quantity, f64>,
}

impl Sample {
    /// The figure of a quantity, if it was measured.
    pub fn figure(&self, quantity: Quantity) -> Option<f64> {
        self.figures.get(&quantity).copied()
    }

    /// The sum of some of its figures, if it has all of them.
    pub fn sum(&self, quantities: &[Quantity]) -> Option<f64> {
        quantities
            .iter()
            .map(|quantity| self.figure(*quantity))
            .sum()
    }
}
