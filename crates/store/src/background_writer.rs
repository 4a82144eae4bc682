//! A writer on a thread of its own. Batches wait in a bounded queue, so that whoever submits one never waits for the
//! disk. What the disk refuses is tried again until it is written, or until the writer is closed.
use std::fmt;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lilacgate_timeline::entry::Record;

use crate::writer::StoreWriter;

/// Batches that may wait.
const MAX_WAITING_BATCHES: usize = 16;
/// The pause after the first failure; each further one is twice as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long a disk that fails is tried still once the writer is closed.
const CLOSE_RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Changes of the status that are kept for whoever asks; a disk that fails again and again drops the oldest.
const MAX_STATUS_CHANGES: usize = 16;

/// Records that are written together.
struct Batch {
    /// When it was submitted, since 1970.
    now: Duration,
    records: Vec<Record>,
}

/// What became of a batch.
#[derive(Debug)]
pub enum SubmitResult {
    /// The batch will be written, as soon as the disk takes it.
    Accepted,
    /// The queue is full, since the disk is behind: the batch comes back.
    QueueFull(Vec<Record>),
    /// The writer's thread is gone.
    Closed,
}

/// Something that changed about the disk.
#[derive(Debug)]
pub enum StatusChange {
    /// It began to fail.
    Failed(io::Error),
    /// It took a write again.
    Resumed {
        /// How long it had failed.
        failed_for: Duration,
    },
}

/// The status of the disk, shared with the writer's thread.
#[derive(Debug, Default)]
struct Status {
    failing_since: Option<Instant>,
    changes: Vec<StatusChange>,
    /// Records of batches that were accepted and could not be written before the writer was closed.
    lost_records: u64,
}

impl Status {
    fn on_failure(&mut self, error: io::Error) {
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            self.push_change(StatusChange::Failed(error));
        }
    }

    fn on_success(&mut self) {
        if let Some(since) = self.failing_since.take() {
            let failed_for = since.elapsed();
            self.push_change(StatusChange::Resumed { failed_for });
        }
    }

    fn push_change(&mut self, change: StatusChange) {
        if self.changes.len() >= MAX_STATUS_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(change);
    }
}

/// Opens the store, as often as that takes.
type OpenStore = Box<dyn FnMut() -> io::Result<StoreWriter> + Send>;

/// Writes a store on a thread of its own. Dropping it waits until all accepted batches are written, or for a second
/// while the disk fails.
pub struct BackgroundWriter {
    queue: Option<SyncSender<Batch>>,
    /// Disconnected once the writer is closed.
    closing: Option<SyncSender<()>>,
    status: Arc<Mutex<Status>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl fmt::Debug for BackgroundWriter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BackgroundWriter")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl BackgroundWriter {
    /// Starts the thread, which opens the store first. `open` is called again until it succeeds.
    pub fn new(open: impl FnMut() -> io::Result<StoreWriter> + Send + 'static) -> BackgroundWriter {
        let (queue, batches) = sync_channel::<Batch>(MAX_WAITING_BATCHES);
        let (closing, closed) = sync_channel::<()>(0);
        let status = Arc::<Mutex<Status>>::default();
        let worker = Worker {
            closed,
            status: status.clone(),
        };
        let open: OpenStore = Box::new(open);
        let thread = thread::spawn(move || worker.run(open, &batches));
        BackgroundWriter {
            queue: Some(queue),
            closing: Some(closing),
            status,
            thread: Some(thread),
        }
    }

    /// Submits a batch; never waits. `now` is a span since 1970.
    pub fn submit(&mut self, now: Duration, records: Vec<Record>) -> SubmitResult {
        let Some(queue) = &self.queue else {
            return SubmitResult::Closed;
        };
        match queue.try_send(Batch { now, records }) {
            Ok(()) => SubmitResult::Accepted,
            Err(TrySendError::Full(batch)) => SubmitResult::QueueFull(batch.records),
            Err(TrySendError::Disconnected(_)) => SubmitResult::Closed,
        }
    }

    /// What has changed about the disk since the last call, the oldest first.
    pub fn take_status_changes(&self) -> Vec<StatusChange> {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut status.changes)
    }

    /// Waits until all accepted batches are written, or for a second while the disk fails; returns how many records
    /// could not be written.
    pub fn close(mut self) -> u64 {
        self.join();
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.lost_records
    }

    fn join(&mut self) {
        // The thread ends when the queue is closed and empty.
        self.queue = None;
        self.closing = None;
        if let Some(thread) = self.thread.take() {
            // Its panic was reported where it happened.
            thread.join().ok();
        }
    }
}

impl Drop for BackgroundWriter {
    fn drop(&mut self) {
        self.join();
    }
}

/// The writer's thread.
struct Worker {
    closed: Receiver<()>,
    status: Arc<Mutex<Status>>,
}

impl Worker {
    fn run(&self, open: OpenStore, batches: &Receiver<Batch>) {
        let mut writer = self.retry_until_success(open);
        for batch in batches {
            let written = writer.as_mut().and_then(|writer| {
                self.retry_until_success(|| writer.append(batch.now, &batch.records))
            });
            if written.is_none() {
                // The disk failed until the end: what is left is given up at once.
                writer = None;
                self.status().lost_records += batch.records.len() as u64;
            }
        }
    }

    fn status(&self) -> std::sync::MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something until it succeeds; none if the writer was closed and the disk went on failing.
    fn retry_until_success<T>(&self, mut action: impl FnMut() -> io::Result<T>) -> Option<T> {
        let mut pause = FIRST_RETRY_PAUSE;
        let mut close_deadline = None;
        loop {
            match action() {
                Ok(done) => {
                    self.status().on_success();
                    return Some(done);
                }
                Err(error) => self.status().on_failure(error),
            }
            if close_deadline.is_some_and(|at| Instant::now() >= at) {
                return None;
            }
            if self.wait_until_closed(pause) && close_deadline.is_none() {
                close_deadline = Some(Instant::now() + CLOSE_RETRY_TIMEOUT);
                pause = FIRST_RETRY_PAUSE;
            } else {
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }

    /// Waits for this long, or until the writer is closed; returns whether it is.
    fn wait_until_closed(&self, pause: Duration) -> bool {
        match self.closed.recv_timeout(pause) {
            Err(RecvTimeoutError::Timeout) => false,
            // Closed before already: the pause is real then too.
            Err(RecvTimeoutError::Disconnected) => {
                thread::sleep(pause.min(FIRST_RETRY_PAUSE));
                true
            }
            Ok(()) => true,
        }
    }
}
