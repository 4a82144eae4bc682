//! A writer on its own thread. Batches wait in a bounded queue, so that submitting one never waits for the disk. A
//! batch that cannot be written is retried until it is written or the writer is closed.
use std::fmt;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lilacgate_timeline::entry::Record;

use crate::writer::StoreWriter;

/// The number of batches that the queue holds.
const MAX_WAITING_BATCHES: usize = 16;
/// The pause after the first failure; each further pause is twice as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long writes to a failing disk are still retried after the writer is closed.
const CLOSE_RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of status changes that are kept until they are taken. If a disk fails and recovers more often, the oldest
/// changes are dropped.
const MAX_STATUS_CHANGES: usize = 16;

/// Records that are written and synced together.
struct Batch {
    /// When the batch was submitted, as time since 1970.
    now: Duration,
    records: Vec<Record>,
}

/// The result of submitting a batch.
#[derive(Debug)]
pub enum SubmitResult {
    /// The batch is in the queue and will be written as soon as the disk permits.
    Accepted,
    /// The queue is full because the disk is slow or fails; the records are returned.
    QueueFull(Vec<Record>),
    /// The writer's thread has ended.
    Closed,
}

/// A change of the disk's status.
#[derive(Debug)]
pub enum StatusChange {
    /// Opening or writing the store began to fail with this error.
    Failed(io::Error),
    /// Opening or writing the store succeeded again.
    Resumed {
        /// The time since the first failure.
        failed_for: Duration,
    },
}

/// The status of the disk, shared between the writer and its thread.
#[derive(Debug, Default)]
struct Status {
    failing_since: Option<Instant>,
    changes: Vec<StatusChange>,
    /// The number of records that were accepted but not written before the writer ended.
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

/// Opens the store; called again until it succeeds.
type OpenStore = Box<dyn FnMut() -> io::Result<StoreWriter> + Send>;

/// Writes a store on its own thread. Dropping it waits until all accepted batches are written; if the disk fails, it
/// gives up after about a second and the remaining batches are lost.
pub struct BackgroundWriter {
    queue: Option<SyncSender<Batch>>,
    /// Dropped when the writer is closed, which ends the thread's pauses between retries.
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
    /// Starts the thread, which first opens the store. `open` is called again until it succeeds.
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

    /// Submits a batch without waiting. `now` is the time since 1970.
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

    /// Takes the changes of the disk's status since the last call, the oldest first.
    pub fn take_status_changes(&self) -> Vec<StatusChange> {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut status.changes)
    }

    /// Lets the thread write the batches that it has accepted, and then end, without waiting for it: only dropping the
    /// writer does. No further batch is accepted.
    pub fn finish(&mut self) {
        // The thread ends when the queue is closed and empty.
        self.queue = None;
        self.closing = None;
    }

    /// Whether the thread has ended.
    pub fn is_finished(&self) -> bool {
        self.thread
            .as_ref()
            .is_none_or(thread::JoinHandle::is_finished)
    }

    /// Waits until all accepted batches are written; if the disk fails, it gives up after about a second. Returns the
    /// number of records that were not written.
    pub fn close(mut self) -> u64 {
        self.join();
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.lost_records
    }

    fn join(&mut self) {
        self.finish();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed by the panic hook.
            thread.join().ok();
        }
    }
}

impl Drop for BackgroundWriter {
    fn drop(&mut self) {
        self.join();
    }
}

/// The state of the writer's thread.
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
                // The disk failed until the deadline for closing: the remaining batches are dropped at once.
                writer = None;
                self.status().lost_records += batch.records.len() as u64;
            }
        }
    }

    fn status(&self) -> std::sync::MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Retries an action until it succeeds. Returns `None` if the writer was closed and the action still failed when
    /// [`CLOSE_RETRY_TIMEOUT`] had passed.
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

    /// Waits for a pause or until the writer is closed, and returns whether it is closed.
    fn wait_until_closed(&self, pause: Duration) -> bool {
        match self.closed.recv_timeout(pause) {
            Err(RecvTimeoutError::Timeout) => false,
            // With a disconnected channel `recv_timeout` returns at once, so the pause between attempts is made here.
            Err(RecvTimeoutError::Disconnected) => {
                thread::sleep(pause.min(FIRST_RETRY_PAUSE));
                true
            }
            Ok(()) => true,
        }
    }
}
