//! Samples of the figures that `measure` takes from repeated runs.
use lilacgate_capacity::result::{Quantity, Role, Sample};

use crate::measure::{Evenness, Repeated};
use crate::run::{Label, Plan, micros};

/// A sample without figures. Its size has no used endpoints, by which [`super::comparison`] finds it.
fn plain_sample(plan: &Plan, label: &Label) -> Sample {
    label.sample(Role::Agent, plan.size.record(0))
}

/// The sample of a repeated measurement.
pub(super) fn repeated_sample(plan: &Plan, cost: &Repeated, label: &Label) -> Sample {
    let mut sample = plain_sample(plan, label);
    sample.figures = [
        (Quantity::ControlCorePercent, cost.core_percent),
        (Quantity::WorstRoundMicros, micros(cost.worst_round)),
        (Quantity::BrokenRules, cost.broken_rules as f64),
    ]
    .into();
    sample
}

/// The sample of a measurement of evenness.
pub(super) fn evenness_sample(plan: &Plan, evenness: &Evenness, label: &Label) -> Sample {
    let mut sample = plain_sample(plan, label);
    sample.figures = [
        (Quantity::SpreadMost, evenness.most),
        (Quantity::SpreadLeast, evenness.least),
        (Quantity::MovedShare, evenness.moved),
        (Quantity::BrokenRules, evenness.broken_rules as f64),
    ]
    .into();
    sample
}
