//! Encodes all timelines as one segment of the store, for a dump on request.
use std::time::Duration;

use lilacgate_store::segment_format;
use lilacgate_timeline::entry::{Record, StepRecord};
use lilacgate_timeline::fleet_timeline::FleetTimeline;
use lilacgate_timeline::step_history::TimedStep;

/// Encodes `first_records` and then all timelines of the fleet as one segment.
pub(super) fn segment(
    now: Duration,
    first_records: Vec<Record>,
    fleet: Option<&FleetTimeline>,
) -> Vec<u8> {
    let mut records = first_records;
    if let Some(fleet) = fleet {
        add_timelines(&mut records, fleet);
    }
    let mut bytes = segment_format::header(now.as_secs()).to_vec();
    for record in &records {
        segment_format::append_record(&mut bytes, record);
    }
    bytes
}

/// Adds the agent's own timeline, then the timeline of each endpoint with its steps.
fn add_timelines(records: &mut Vec<Record>, fleet: &FleetTimeline) {
    let agent_entries = fleet.agent().as_of(Duration::MAX).cloned();
    records.extend(agent_entries.map(Record::Entry));
    for node in fleet.nodes() {
        let Some(timeline) = fleet.node(node) else {
            continue;
        };
        let entries = timeline.as_of(Duration::MAX).cloned();
        records.extend(entries.map(Record::Entry));
        let steps = timeline.steps().since(Duration::ZERO).into_iter();
        records.extend(steps.map(|timed| step_record(node, timed)));
    }
}

fn step_record(node: u32, TimedStep { duration, step }: TimedStep) -> Record {
    let latency = step.latency.as_bytes().to_vec();
    Record::Step(StepRecord {
        node,
        from: step.from,
        duration,
        build: 0,
        counts: step.counts,
        latency,
    })
}
