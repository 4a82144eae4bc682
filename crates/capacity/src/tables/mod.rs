//! The generated parts of the capacity page, as Markdown.

mod budgets;
mod detections;
mod events;
mod processes;
mod roles;
mod runs;
mod sizes;
mod slopes;

use crate::analysis::Analysis;
use crate::words;

/// A generated part of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The fleets of today and of the target.
    Sizes,
    /// The cost of each role.
    Roles,
    /// The budgets, those exceeded most first.
    Budgets,
    /// The size at which each budget is used up.
    Limits,
    /// All slopes.
    Slopes,
    /// Held back figures and their predictions from slopes.
    Predictions,
    /// Hollow agents compared with real processes.
    Processes,
    /// Events.
    Events,
    /// The time until a bad build is rejected.
    Detections,
    /// All commands, with their samples and interruptions.
    Runs,
}

impl Part {
    /// All parts, in the order of the page.
    pub const ALL: [Part; 10] = [
        Part::Sizes,
        Part::Roles,
        Part::Budgets,
        Part::Limits,
        Part::Slopes,
        Part::Predictions,
        Part::Processes,
        Part::Events,
        Part::Detections,
        Part::Runs,
    ];

    /// The name in the page's markers.
    pub fn name(self) -> &'static str {
        match self {
            Part::Sizes => "sizes",
            Part::Roles => "roles",
            Part::Budgets => "budgets",
            Part::Limits => "limits",
            Part::Slopes => "slopes",
            Part::Predictions => "predictions",
            Part::Processes => "processes",
            Part::Events => "events",
            Part::Detections => "verdicts",
            Part::Runs => "runs",
        }
    }

    /// The part with this name.
    pub fn named(name: &str) -> Option<Part> {
        Part::ALL.into_iter().find(|part| part.name() == name)
    }

    /// The part as Markdown, with a line break at its end.
    pub fn render(self, analysis: &Analysis) -> String {
        match self {
            Part::Sizes => sizes::sizes(analysis.target),
            Part::Roles => roles::roles(analysis),
            Part::Budgets => budgets::budgets(analysis),
            Part::Limits => budgets::limits(analysis),
            Part::Slopes => slopes::slopes(analysis),
            Part::Predictions => slopes::predictions(analysis),
            Part::Processes => processes::processes(analysis),
            Part::Events => events::events(analysis),
            Part::Detections => detections::detections(analysis),
            Part::Runs => runs::runs(analysis),
        }
    }
}

/// The number of services of a slope; a dash if the services vary.
fn services_text(services: Option<u32>) -> String {
    services.map_or_else(|| "-".into(), |count| words::number(count.into()))
}
