//! The figures of `measure` and the line that sums them up.
use std::collections::BTreeMap;

use lilacgate_capacity::result::Quantity;

use crate::measure::{Evenness, Repeated};
use crate::report::number;
use crate::resources::MEGABYTE;
use crate::run::{Steady, micros};

/// All that `measure` measures.
#[derive(Debug)]
pub(super) struct Figures {
    /// The target's fleet, without changes and with its list in many services.
    pub(super) steady: Steady,
    /// The largest service with a release on trial.
    pub(super) with_release: Steady,
    /// Control cost of a few agents with a module for each service.
    pub(super) services: Repeated,
    /// Control cost of a few agents with one module for the whole list.
    pub(super) one_service: Repeated,
    /// How evenly load is spread.
    pub(super) evenness: Evenness,
    /// Time from a change of the list until it is in force, in milliseconds.
    pub(super) in_force_millis: f64,
    /// Bytes that discovery sends when half of a region's agents restart.
    pub(super) restart_bytes: f64,
    /// Attempts against a rule during the change and the restart.
    pub(super) restart_broken_rules: u64,
    /// Relative error of the cost that shorter lists predict.
    pub(super) predict_error: f64,
    /// Relative difference of the cost of simulated agents and real processes, if on file.
    pub(super) hollow_error: Option<f64>,
}

impl Figures {
    /// Control cost of an agent in percent of a core: the larger of the two shapes.
    fn core_percent(&self) -> f64 {
        let shapes = [
            self.steady.control_core_percent(),
            self.one_service.core_percent,
        ];
        shapes.into_iter().fold(0.0, f64::max)
    }

    fn worst_round(&self) -> f64 {
        micros(self.services.worst_round.max(self.one_service.worst_round))
    }

    fn agent_bytes_per_second(&self) -> f64 {
        let figures = self.steady.agent_figures();
        figures[&Quantity::BytesInPerSecond] + figures[&Quantity::BytesOutPerSecond]
    }

    fn aggregator_bytes_per_second(&self) -> f64 {
        let aggregators = [&self.steady, &self.with_release].map(Steady::aggregator_figures);
        let bytes = |figures: BTreeMap<Quantity, f64>| figures[&Quantity::BytesInPerSecond];
        aggregators
            .into_iter()
            .flatten()
            .map(bytes)
            .fold(0.0, f64::max)
    }

    fn broken_rules(&self) -> u64 {
        self.steady.total.counts.broken_rules
            + self.with_release.total.counts.broken_rules
            + self.services.broken_rules
            + self.one_service.broken_rules
            + self.evenness.broken_rules
            + self.restart_broken_rules
    }
}

/// The last line of output, which holds all figures as `key=value` pairs.
pub(super) fn last_line(figures: &Figures) -> String {
    let size = &figures.steady.size;
    let evenness = &figures.evenness;
    let hollow = figures
        .hollow_error
        .map_or_else(|| "not-measured".to_owned(), percent);
    let pairs = [
        ("agents", size.agents.to_string()),
        ("appliances", size.appliances.to_string()),
        ("services", size.services.to_string()),
        ("control_core_percent", number(figures.core_percent())),
        ("worst_round_us", number(figures.worst_round())),
        (
            "agent_mb",
            number(figures.steady.agent_bytes / MEGABYTE as f64),
        ),
        ("agent_bytes_s", number(figures.agent_bytes_per_second())),
        (
            "judge_bytes_s",
            number(figures.aggregator_bytes_per_second()),
        ),
        ("in_force_worst_ms", number(figures.in_force_millis)),
        ("restart_bytes", format!("{:.0}", figures.restart_bytes)),
        ("spread_most", number(evenness.most)),
        ("spread_least", number(evenness.least)),
        ("moved_share", format!("{:.5}", evenness.moved)),
        ("broken_rules", figures.broken_rules().to_string()),
        ("predict_error_percent", percent(figures.predict_error)),
        ("hollow_error_percent", hollow),
    ];
    let pairs: Vec<String> = pairs
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    format!("measure scale: {}", pairs.join(" "))
}

fn percent(share: f64) -> String {
    format!("{:.1}", 100.0 * share)
}
