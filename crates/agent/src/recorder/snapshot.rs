//! Encodes all time lines as one segment of the store, for a dump on request.
use std::time::Duration;

use lilacgate_store::segment_format;
use lilacgate_timeline::entry::{Record, StepRecord};
use lilacgate_timeline::fleet_timeline::FleetTimeline;
use lilacgate_timeline::step_history::TimedStep;

/// All time lines of a book as one segment, behind the records that come before all others.
pub(super) fn segment(
    now: Duration,
    first_records: Vec<Record>,
    book: Option<&FleetTimeline>,
) -> Vec<u8> {
    let mut records = first_records;
    if let Some(book) = book {
        add_lines(&mut records, book);
    }
    let mut bytes = segment_format::header(now.as_secs()).to_vec();
    for record in &records {
        segment_format::append_record(&mut bytes, record);
    }
    bytes
}

/// Adds the agent's own time line, then that of each endpoint with its steps.
fn add_lines(records: &mut Vec<Record>, book: &FleetTimeline) {
    let own = book.agent().as_of(Duration::MAX).cloned();
    records.extend(own.map(Record::Entry));
    for node in book.nodes() {
        let Some(line) = book.node(node) else {
            continue;
        };
        let entries = line.as_of(Duration::MAX).cloned();
        records.extend(entries.map(Record::Entry));
        let steps = line.steps().since(Duration::ZERO).into_iter();
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
