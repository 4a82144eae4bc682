//! The bounded queue of records for a store. When it is full, steps are dropped before entries. The number of dropped
//! records is queued as a [`Record::Dropped`] as soon as there is room again.
use std::collections::VecDeque;
use std::time::Duration;

use crate::entry::Record;

/// The records that have not been taken for the store yet.
#[derive(Debug)]
pub(super) struct RecordQueue {
    /// The maximum number of records; 0 disables the queue.
    capacity: usize,
    records: VecDeque<Record>,
    /// Records dropped since the last [`Record::Dropped`].
    dropped: u64,
}

impl RecordQueue {
    pub(super) fn new(capacity: usize) -> Self {
        RecordQueue {
            capacity,
            records: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Adds a record; `now` is the time of a [`Record::Dropped`] that may be queued before it.
    pub(super) fn push(&mut self, now: Duration, record: Record) {
        if self.capacity == 0 {
            return;
        }
        if self.records.len() >= self.capacity {
            self.dropped += 1;
            if !self.make_room_for(&record) {
                return;
            }
        } else if self.dropped > 0 && self.records.len() + 1 < self.capacity {
            let count = std::mem::take(&mut self.dropped);
            self.records.push_back(Record::Dropped { at: now, count });
        }
        self.records.push_back(record);
    }

    /// Drops the oldest step if `record` is an entry. Returns whether there is room for `record` now.
    fn make_room_for(&mut self, record: &Record) -> bool {
        if !matches!(record, Record::Entry(_)) {
            return false;
        }
        let oldest_step = self
            .records
            .iter()
            .position(|queued| matches!(queued, Record::Step(_)));
        oldest_step
            .and_then(|index| self.records.remove(index))
            .is_some()
    }

    /// Takes all records in the order in which they were queued.
    pub(super) fn take(&mut self) -> Vec<Record> {
        self.records.drain(..).collect()
    }
}
