//! Hands the records of the time lines over to the thread that writes them to disk.
//!
//! Handing over never waits: records that the disk is too slow for, or that it refuses for a while, wait here, up to a
//! bound, from which the finest detail goes first. A disk that fails is tried again for as long as the agent runs.
use std::time::Duration;

use lilacgate_operator_config::Store;
use lilacgate_store::background_writer::{BackgroundWriter, StatusChange, SubmitResult};
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::Record;
use lilacgate_timeline::fleet_timeline::FleetTimeline;

use crate::log::{Count, Quoted, add, info};
use crate::recorder::MAX_WAITING_RECORDS;

/// The time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The records that wait for the disk, and the way to the thread that writes them.
pub(super) struct StoreQueue {
    /// None if there is no store.
    pump: Option<BackgroundWriter>,
    /// The folder of the store, for log lines.
    folder: String,
    /// What is handed over first, the oldest first.
    waiting: Vec<Record>,
    /// When the next batch is handed over.
    next_batch: Duration,
}

impl StoreQueue {
    /// Opens a store, if there is one. A folder that cannot be used is logged, and tried again.
    pub(super) fn open(now: Duration, store: Option<&Store>) -> Self {
        StoreQueue {
            pump: store.map(open_pump),
            folder: store.map_or(String::new(), |store| store.folder.display().to_string()),
            waiting: Vec::new(),
            next_batch: now + BATCH_INTERVAL,
        }
    }

    /// Whether records are written to disk.
    pub(super) fn is_open(&self) -> bool {
        self.pump.is_some()
    }

    /// Adds a record to the next batch.
    pub(super) fn push(&mut self, record: Record) {
        self.waiting.push(record);
    }

    /// Adds records to the next batch.
    pub(super) fn push_all(&mut self, records: Vec<Record>) {
        self.waiting.extend(records);
    }

    /// Hands over what waits and what the book has for the store, once a batch is due.
    pub(super) fn hand_over_if_due(&mut self, now: Duration, book: &mut FleetTimeline) {
        if now < self.next_batch {
            return;
        }
        self.next_batch = now + BATCH_INTERVAL;
        let Some(pump) = &mut self.pump else { return };
        for change in pump.take_status_changes() {
            log_status_change(&self.folder, change);
        }
        let mut batch = std::mem::take(&mut self.waiting);
        batch.extend(book.take_records());
        if batch.is_empty() {
            return;
        }
        match pump.submit(now, batch) {
            SubmitResult::Accepted => {}
            SubmitResult::QueueFull(batch) => self.waiting = shortened(now, batch),
            SubmitResult::Closed => {
                self.pump = None;
                info!("timeline_store_closed folder={}", Quoted(&self.folder));
            }
        }
    }
}

fn open_pump(store: &Store) -> BackgroundWriter {
    let bounds = Retention {
        max_bytes: store.keep,
        max_age: store.age,
    };
    let folder = store.folder.clone();
    BackgroundWriter::new(move || StoreWriter::new(&folder, bounds, Box::new(FileSystem)))
}

fn log_status_change(folder: &str, change: StatusChange) {
    match change {
        StatusChange::Failed(error) => info!(
            "timeline_store_failed folder={} error={}",
            Quoted(folder),
            Quoted(error)
        ),
        StatusChange::Resumed { failed_for } => info!(
            "timeline_store_resumed folder={} duration_ms={}",
            Quoted(folder),
            failed_for.as_millis()
        ),
    }
}

/// A batch that came back, cut to the bound: the finest detail goes first, and one record says how many were left out.
fn shortened(now: Duration, mut batch: Vec<Record>) -> Vec<Record> {
    let before = batch.len();
    if before <= MAX_WAITING_RECORDS {
        return batch;
    }
    batch.retain(|record| !matches!(record, Record::Step(_)));
    batch.truncate(MAX_WAITING_RECORDS);
    let count = (before - batch.len()) as u64;
    add(Count::TimelineRecordsDropped, count);
    batch.push(Record::Dropped { at: now, count });
    batch
}
