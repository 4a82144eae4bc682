//! Estimates when the input of a socket arrived. Input may have been in the socket's buffer for some time before it is
//! read, if the process did not run or the event loop was held up.
use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};
use std::time::Instant;

use async_io::Async;
use futures_lite::future;

use crate::loop_monitor::LoopPhases;

/// Tracks the last time at which a socket was known to be empty, which is the earliest time at which its next input may
/// have arrived.
#[derive(Debug)]
pub struct ArrivalTracker {
    /// When the socket was last known to be empty.
    empty_at: Instant,
    /// Whether the socket has not been read yet, so that input may be waiting in it.
    is_unchecked: bool,
    waker: Arc<ReportWaker>,
}

impl ArrivalTracker {
    /// Tracks a socket that was empty, or did not exist yet, at `empty_at`.
    pub fn new(phases: Arc<LoopPhases>, empty_at: Instant) -> Self {
        let waker = ReportWaker {
            phases,
            report: Mutex::default(),
        };
        ArrivalTracker {
            empty_at,
            is_unchecked: true,
            waker: Arc::new(waker),
        }
    }

    /// Returns the earliest time at which the next input may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.empty_at
    }

    /// Whether the socket has not been read yet, so that input may be waiting in it.
    pub(super) fn is_unchecked(&self) -> bool {
        self.is_unchecked
    }

    /// Records that the socket is empty now.
    pub fn note_empty(&mut self) {
        self.empty_at = Instant::now();
    }

    /// Records a read, and whether it emptied the socket. Returns the earliest time at which the bytes read may have
    /// arrived.
    pub(super) fn note_read(&mut self, is_drained: bool) -> Instant {
        let arrived = self.empty_at;
        self.is_unchecked = false;
        if is_drained {
            self.note_empty();
        }
        arrived
    }

    /// Waits until there is input. The caller must have found the socket empty.
    ///
    /// # Errors
    ///
    /// Returns the error of registering the socket with the event loop.
    pub async fn readable<T>(&mut self, socket: &Async<T>) -> io::Result<()> {
        if self.is_unchecked {
            self.is_unchecked = false;
            self.note_empty();
        }
        let watched_from = Instant::now();
        let waker = Waker::from(self.waker.clone());
        let mut readable = pin!(socket.readable());
        future::poll_fn(|context| {
            self.waker.set_task(context.waker());
            readable.as_mut().poll(&mut Context::from_waker(&waker))
        })
        .await?;
        // A poll for events that preceded the registration of this socket does not bound the arrival.
        if let Some(earliest) = self.waker.take_earliest()
            && earliest >= watched_from
        {
            self.empty_at = earliest;
        }
        Ok(())
    }
}

/// The task that waits for a socket, and what has been reported of the socket.
#[derive(Debug, Default)]
struct Report {
    /// Wakes the task that waits for input.
    task: Option<Waker>,
    /// The earliest time at which the reported input may have arrived.
    earliest: Option<Instant>,
}

/// Records the phase of the event loop at the moment when input is reported, because the task that waits for the input
/// may run much later.
#[derive(Debug)]
struct ReportWaker {
    phases: Arc<LoopPhases>,
    report: Mutex<Report>,
}

impl ReportWaker {
    fn set_task(&self, task: &Waker) {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut report.task {
            Some(known) => known.clone_from(task),
            None => report.task = Some(task.clone()),
        }
    }

    fn take_earliest(&self) -> Option<Instant> {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.earliest.take()
    }
}

impl Wake for ReportWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let earliest = self.phases.current().earliest_arrival(Instant::now());
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.earliest.get_or_insert(earliest);
        if let Some(task) = &report.task {
            task.wake_by_ref();
        }
    }
}
