//! Bounds when the input of a socket arrived. What is read may have lain in the socket while the process did not run.
use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};
use std::time::Instant;

use async_io::Async;
use futures_lite::future;

use crate::loop_monitor::LoopPhases;

/// Bounds the arrival of what one socket brings, by the last time at which it was known to be empty.
#[derive(Debug)]
pub struct ArrivalTracker {
    /// The socket was empty then; what comes next has arrived later.
    empty_at: Instant,
    /// Whether nobody has looked into the socket yet: input may lie in it already.
    is_unchecked: bool,
    waker: Arc<ReportWaker>,
}

impl ArrivalTracker {
    /// Tracks a socket that was empty, or not there yet, at `empty_at`.
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

    /// The earliest time at which the next input may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.empty_at
    }

    /// Whether input may lie in the socket already, since nobody has looked into it.
    pub(super) fn is_unchecked(&self) -> bool {
        self.is_unchecked
    }

    /// Notes that the socket has nothing more now.
    pub fn note_empty(&mut self) {
        self.empty_at = Instant::now();
    }

    /// Notes a read, and whether it left nothing; returns the earliest time at which what it brought may have arrived.
    pub(super) fn note_read(&mut self, is_drained: bool) -> Instant {
        let arrived = self.empty_at;
        self.is_unchecked = false;
        if is_drained {
            self.note_empty();
        }
        arrived
    }

    /// Waits until there is input; whoever calls it has found none.
    ///
    /// # Errors
    /// The socket cannot be watched.
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
        // A look for events before the socket was watched says nothing of it.
        if let Some(earliest) = self.waker.take_earliest()
            && earliest >= watched_from
        {
            self.empty_at = earliest;
        }
        Ok(())
    }
}

/// What was reported of a socket that is waited for.
#[derive(Debug, Default)]
struct Report {
    /// The task that waits.
    task: Option<Waker>,
    /// The earliest time at which the input that was reported may have arrived.
    earliest: Option<Instant>,
}

/// Notes the phase of the event loop at the moment when input is reported; the task that waits for it may run much later.
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
