//! A writer on a thread of its own. Batches wait in a bounded queue, so that whoever submits one never waits for the
//! disk. The first error of the disk ends writing for good.
use std::io;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::writer::StoreWriter;

/// Batches that may wait.
const MAX_WAITING_BATCHES: usize = 16;

/// Records that are written together.
struct Batch {
    /// When it was submitted, since 1970.
    now: Duration,
    records: Vec<Record>,
}

/// Why writing has ended.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// What the file system reported.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The writer's thread is gone without a reason.
    #[error("the writer has ended")]
    Ended,
}

/// What became of a batch.
#[derive(Debug)]
pub enum Submitted {
    /// The batch will be written.
    Accepted,
    /// The queue is full, since the disk is behind: the batch comes back.
    QueueFull(Vec<Record>),
    /// Writing has ended; why, the first time this is returned.
    Closed(Option<WriteError>),
}

/// Writes a store on a thread of its own. Dropping it waits until all accepted batches are written.
#[derive(Debug)]
pub struct BackgroundWriter {
    queue: Option<SyncSender<Batch>>,
    /// The error that ended writing, until it is reported.
    error: Arc<Mutex<Option<io::Error>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl BackgroundWriter {
    /// Starts the thread.
    pub fn new(mut writer: StoreWriter) -> BackgroundWriter {
        let (queue, batches) = sync_channel::<Batch>(MAX_WAITING_BATCHES);
        let error = Arc::new(Mutex::new(None));
        let reported = error.clone();
        let thread = thread::spawn(move || {
            for batch in batches {
                if let Err(error) = writer.append(batch.now, &batch.records) {
                    *reported.lock().unwrap_or_else(PoisonError::into_inner) = Some(error);
                    return;
                }
            }
        });
        BackgroundWriter {
            queue: Some(queue),
            error,
            thread: Some(thread),
        }
    }

    /// Submits a batch; never waits. `now` is a span since 1970.
    pub fn submit(&mut self, now: Duration, records: Vec<Record>) -> Submitted {
        let Some(queue) = &self.queue else {
            return Submitted::Closed(None);
        };
        match queue.try_send(Batch { now, records }) {
            Ok(()) => Submitted::Accepted,
            Err(TrySendError::Full(batch)) => Submitted::QueueFull(batch.records),
            Err(TrySendError::Disconnected(_)) => {
                self.queue = None;
                Submitted::Closed(Some(self.take_error()))
            }
        }
    }

    fn take_error(&self) -> WriteError {
        let mut error = self.error.lock().unwrap_or_else(PoisonError::into_inner);
        error.take().map_or(WriteError::Ended, WriteError::Io)
    }
}

impl Drop for BackgroundWriter {
    fn drop(&mut self) {
        // The thread ends when the queue is closed and empty.
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            // Its panic was reported where it happened.
            thread.join().ok();
        }
    }
}
