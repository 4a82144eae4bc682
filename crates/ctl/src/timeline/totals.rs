//! Totals of the steps of a node over a span.
use std::ops::Range;
use std::time::Duration;

use lilacgate_timeline::entry::{AttemptCounts, StepRecord};
use lilacgate_timeline::latency_sketch::LatencySketch;

use super::read::Timelines;

/// The summed counts and the merged latency sketches of some steps.
pub(super) struct Totals {
    pub(super) counts: AttemptCounts,
    pub(super) latency: LatencySketch,
}

impl Totals {
    pub(super) fn of(steps: &[&StepRecord]) -> Self {
        let mut counts = AttemptCounts::default();
        for step in steps {
            counts.add(&step.counts);
        }
        let latencies: Vec<LatencySketch> = steps
            .iter()
            .map(|step| LatencySketch::from_bytes(step.latency.clone()))
            .collect();
        Totals {
            counts,
            latency: LatencySketch::merged(latencies.iter()),
        }
    }

    /// Sums the steps of a node that begin in a span.
    pub(super) fn of_span(timelines: &Timelines, node: u32, span: Range<Duration>) -> Self {
        let steps = timelines.steps.iter();
        let in_span: Vec<&StepRecord> = steps
            .filter(|step| step.node == node && span.contains(&step.from))
            .collect();
        Totals::of(&in_span)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Formats a quantile of the latencies in milliseconds; "-" if there are none.
    pub(super) fn latency_text(&self, quantile: f64) -> String {
        let latency = self.latency.quantile(quantile);
        latency.map_or_else(
            || "-".into(),
            |latency| format!("{:.1} ms", latency.as_secs_f64() * 1e3),
        )
    }
}
