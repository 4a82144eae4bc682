//! The figures of `measure` beside earlier results: those before a change, and those of real
//! processes.
use std::path::Path;

use lilacgate_capacity::Target;
use lilacgate_capacity::analysis::{Analysis, ProcessPair};
use lilacgate_capacity::result::{self, Experiment, Quantity, Role, Sample};

use super::figures::Figures;
use crate::report::number;
use crate::run::micros;

/// The shape of a repeated fleet: how its list is divided between modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    ModulePerService,
    OneModule,
}

impl Shape {
    fn title(self) -> &'static str {
        match self {
            Shape::ModulePerService => "a module for each service",
            Shape::OneModule => "one module with the whole list",
        }
    }

    /// Whether a sample is one of a repeated fleet of this shape.
    fn matches(self, sample: &Sample) -> bool {
        let is_one_module = sample.size.services == 1;
        sample.experiment == Experiment::Budget
            && sample.role == Role::Agent
            && is_one_module == (self == Shape::OneModule)
            && sample.size.used_appliances == 0
    }
}

/// A table of the costs of both shapes, with the costs before a change where they are on file.
pub(super) fn with_earlier(figures: &Figures, before: &Path) -> String {
    let before = result::load(before).unwrap_or_default();
    let earlier = |shape: Shape, quantity: Quantity| {
        let mut samples = before.iter().filter(|sample| shape.matches(sample));
        let found = samples.find_map(|sample| sample.figure(quantity));
        found.map_or_else(|| "-".to_owned(), number)
    };
    let shapes = [
        (Shape::ModulePerService, &figures.services),
        (Shape::OneModule, &figures.one_service),
    ];
    let mut lines = vec![line("", "before", "now")];
    for (shape, now) in shapes {
        let title = shape.title();
        lines.push(line(
            &format!("{title}: core percent"),
            &earlier(shape, Quantity::ControlCorePercent),
            &number(now.core_percent),
        ));
        lines.push(line(
            &format!("{title}: worst round us"),
            &earlier(shape, Quantity::WorstRoundMicros),
            &number(micros(now.worst_round)),
        ));
    }
    lines.join("\n")
}

fn line(title: &str, before: &str, now: &str) -> String {
    format!("{title:<40} {before:>10} {now:>10}")
}

/// Relative difference of the processor time of simulated agents and real processes, at the largest
/// size where both are on file.
pub(super) fn hollow_error(processes: &Path, target: &Target) -> Option<f64> {
    let samples = result::load(processes).ok()?;
    let analysis = Analysis::new(&samples, target);
    let is_core = |pair: &&ProcessPair| {
        pair.role == Role::Agent && pair.quantity == Quantity::ControlCorePercent
    };
    let pair = analysis.pairs.iter().rev().find(is_core)?;
    Some((pair.hollow - pair.process).abs() / pair.process)
}
