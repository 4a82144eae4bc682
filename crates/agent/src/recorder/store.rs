//! Submits the records of the timelines to the thread that writes them to disk.
//!
//! Submitting never blocks: while the disk is too slow or fails, records wait here, up to a limit above which the
//! finest detail is dropped first. A disk that fails is retried for as long as the agent runs.
use std::time::Duration;

use lilacgate_operator_config::Store;
use lilacgate_store::background_writer::{BackgroundWriter, StatusChange, SubmitResult};
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::Record;
use lilacgate_timeline::fleet_timeline::FleetTimeline;

use crate::log::{Count, Quoted, add, info};
use crate::recorder::MAX_QUEUED_RECORDS;

/// The interval at which batches are submitted.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The records that wait for the disk, and the writer thread that takes them.
pub(super) struct StoreQueue {
    /// `None` without a store, or once the writer thread has ended.
    writer: Option<BackgroundWriter>,
    /// The folder of the store, as shown in log lines.
    folder: String,
    /// Records that go into the next batch before those of the timeline, oldest first.
    pending: Vec<Record>,
    /// When the next batch is submitted.
    next_batch_time: Duration,
}

impl StoreQueue {
    /// Opens the store, if one is configured. A folder that cannot be used is logged and retried.
    pub(super) fn open(now: Duration, store: Option<&Store>) -> Self {
        StoreQueue {
            writer: store.map(start_writer),
            folder: store.map_or(String::new(), |store| store.folder.display().to_string()),
            pending: Vec::new(),
            next_batch_time: now + BATCH_INTERVAL,
        }
    }

    /// Whether there is a store to which records are written.
    pub(super) fn is_open(&self) -> bool {
        self.writer.is_some()
    }

    /// Stops accepting records, and returns the writer thread, if there is one, which still writes what it has accepted.
    pub(super) fn finish(self) -> Option<BackgroundWriter> {
        let mut writer = self.writer?;
        writer.finish();
        Some(writer)
    }

    /// Adds a record to the next batch.
    pub(super) fn push(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// Adds records to the next batch.
    pub(super) fn push_all(&mut self, records: Vec<Record>) {
        self.pending.extend(records);
    }

    /// Submits the pending records and those of the timeline, once a batch is due.
    pub(super) fn submit_if_due(&mut self, now: Duration, timeline: &mut FleetTimeline) {
        if now < self.next_batch_time {
            return;
        }
        self.next_batch_time = now + BATCH_INTERVAL;
        let Some(writer) = &mut self.writer else {
            return;
        };
        for change in writer.take_status_changes() {
            log_status_change(&self.folder, change);
        }
        let mut batch = std::mem::take(&mut self.pending);
        batch.extend(timeline.take_records());
        if batch.is_empty() {
            return;
        }
        match writer.submit(now, batch) {
            SubmitResult::Accepted => {}
            SubmitResult::QueueFull(batch) => self.pending = truncate_batch(now, batch),
            SubmitResult::Closed => {
                self.writer = None;
                info!("timeline_store_closed folder={}", Quoted(&self.folder));
            }
        }
    }
}

fn start_writer(store: &Store) -> BackgroundWriter {
    let retention = Retention {
        max_bytes: store.max_bytes,
        max_age: store.max_age,
    };
    let folder = store.folder.clone();
    BackgroundWriter::new(move || StoreWriter::new(&folder, retention, Box::new(FileSystem)))
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

/// Shortens a returned batch to the limit: steps, the finest detail, are dropped first, and a record with the number of
/// dropped records is added.
fn truncate_batch(now: Duration, mut batch: Vec<Record>) -> Vec<Record> {
    let before = batch.len();
    if before <= MAX_QUEUED_RECORDS {
        return batch;
    }
    batch.retain(|record| !matches!(record, Record::Step(_)));
    batch.truncate(MAX_QUEUED_RECORDS);
    let count = (before - batch.len()) as u64;
    add(Count::TimelineRecordsDropped, count);
    batch.push(Record::Dropped { at: now, count });
    batch
}
