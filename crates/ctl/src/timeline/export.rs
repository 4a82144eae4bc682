//! `lgctl timeline export`: prints all entries and steps as JSON Lines.
use lilacgate_timeline::entry::{AttemptCounts, Entry, StepRecord};
use lilacgate_timeline::latency_sketch::LatencySketch;
use serde::Serialize;
use serde_json::json;

use super::read::Timelines;
use crate::{Answer, time};

#[derive(Serialize)]
struct EntryLine<'a> {
    node: Option<String>,
    entry: &'a Entry,
}

#[derive(Serialize)]
struct StepLine<'a> {
    node: String,
    from_ms: u64,
    #[serde(rename = "long_ms")]
    length_ms: u64,
    build: u16,
    counts: &'a AttemptCounts,
    p50_ms: Option<f64>,
    p95_ms: Option<f64>,
    p99_ms: Option<f64>,
}

/// Prints all entries and steps of the span; the answer is negative if there are none.
pub(super) fn run(timelines: &Timelines) -> Answer {
    for entry in &timelines.entries {
        let node = entry.node.map(|node| timelines.name(node));
        println!("{}", json!(EntryLine { node, entry }));
    }
    for step in &timelines.steps {
        println!("{}", json!(step_line(timelines, step)));
    }
    Answer::yes_if(!timelines.entries.is_empty() || !timelines.steps.is_empty())
}

fn step_line<'a>(timelines: &Timelines, step: &'a StepRecord) -> StepLine<'a> {
    let latency = LatencySketch::from_bytes(step.latency.clone());
    let quantile_ms = |quantile| {
        let found = latency.quantile(quantile);
        found.map(|latency| latency.as_secs_f64() * 1e3)
    };
    StepLine {
        node: timelines.name(step.node),
        from_ms: time::millis(step.from),
        length_ms: time::millis(step.duration),
        build: step.build,
        counts: &step.counts,
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
    }
}
