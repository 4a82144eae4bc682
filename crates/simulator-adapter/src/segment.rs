//! Splits a frame's records into segments: consecutive events of one instance.
use std::collections::BTreeMap;
use std::ops::Range;

use crate::error::{AdapterError, EventError, RecordLocation};
use crate::wire::{Event, EventKind, EventRecord};

/// Consecutive events of one instance, which its decision engine gets in one round.
pub(crate) struct Segment<'a, 'f> {
    pub(crate) instance: Option<u16>,
    /// The position in the frame of the first record.
    pub(crate) first_position: usize,
    pub(crate) records: &'a [EventRecord<'f>],
}

impl<'f> Segment<'_, 'f> {
    pub(crate) fn error(&self, index: usize, error: impl Into<EventError>) -> AdapterError {
        let location = RecordLocation {
            record: self.first_position + index,
            kind: self.records.get(index).and_then(|record| record.kind()),
            instance: self.instance,
        };
        AdapterError::Event {
            location,
            error: error.into(),
        }
    }

    pub(crate) fn event(&self, index: usize) -> Result<Event<'f>, AdapterError> {
        self.records[index]
            .event()
            .map_err(|error| self.error(index, error))
    }

    /// The positions, within the segment, of all records of a kind.
    pub(crate) fn positions(&self, kind: EventKind) -> impl Iterator<Item = usize> {
        (0..self.records.len()).filter(move |index| self.records[*index].kind() == Some(kind))
    }
}

/// By instance, the position of the last record in a frame that stops it.
pub(crate) fn last_stops(records: &[EventRecord<'_>]) -> BTreeMap<Option<u16>, usize> {
    let mut stops = BTreeMap::new();
    let mut instance = None;
    for (position, record) in records.iter().enumerate() {
        instance = record.selected_instance().or(instance);
        if record.kind() == Some(EventKind::InstanceStopped) {
            stops.insert(instance, position);
        }
    }
    stops
}

/// A range of positions in a frame whose records are all for one instance.
pub(crate) struct InstanceRange {
    /// `None` for records before the first one that selects an instance.
    pub(crate) instance: Option<u16>,
    pub(crate) range: Range<usize>,
}

/// Splits a frame's records at those that select an instance. Empty ranges are left out.
pub(crate) fn instance_ranges(records: &[EventRecord<'_>]) -> Vec<InstanceRange> {
    let mut ranges = Vec::new();
    let mut instance = None;
    let mut start = 0;
    for (position, record) in records.iter().enumerate() {
        let Some(selected) = record.selected_instance() else {
            continue;
        };
        let range = start..position;
        ranges.push(InstanceRange { instance, range });
        instance = Some(selected);
        start = position + 1;
    }
    let range = start..records.len();
    ranges.push(InstanceRange { instance, range });
    ranges.retain(|found| !found.range.is_empty());
    ranges
}
