//! Encodes all time lines as one segment of the store, for a dump on request.
use std::time::Duration;

use lilacgate_store::frames;
use lilacgate_timeline::book::Book;
use lilacgate_timeline::entry::{Record, StepRecord};
use lilacgate_timeline::steps::Step;

/// All time lines of a book as one segment, behind the records that come before all others.
pub(super) fn segment(now: Duration, first_records: Vec<Record>, book: Option<&Book>) -> Vec<u8> {
    let mut records = first_records;
    if let Some(book) = book {
        add_lines(&mut records, book);
    }
    let mut bytes = frames::head(now.as_secs()).to_vec();
    for record in &records {
        frames::put(&mut bytes, record);
    }
    bytes
}

/// Adds the agent's own time line, then that of each endpoint with its steps.
fn add_lines(records: &mut Vec<Record>, book: &Book) {
    let own = book.own().as_of(Duration::MAX).cloned();
    records.extend(own.map(Record::Entry));
    for node in book.nodes() {
        let Some(line) = book.line(node) else {
            continue;
        };
        let entries = line.as_of(Duration::MAX).cloned();
        records.extend(entries.map(Record::Entry));
        let steps = line.steps.since(Duration::ZERO).into_iter();
        records.extend(steps.map(|(long, step)| step_record(node, long, step)));
    }
}

fn step_record(node: u32, long: Duration, step: Step) -> Record {
    let latency = step.latency.octets().to_vec();
    Record::Step(StepRecord {
        node,
        from: step.from,
        long,
        build: 0,
        counts: step.counts,
        latency,
    })
}
