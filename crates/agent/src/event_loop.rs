//! Owns the executor of the agent's tasks, the queue of events for the decision engine, and the shutdown deadline.
//!
//! Tasks add events to the queue; [`crate::engine_host`] takes them out, one batch per round. The queue itself is
//! unbounded, but its sources are bounded (connections, requests, messages per second). This module is independent of
//! any protocol and makes no decisions.
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use lilacgate_decision::{
    AttemptNumber, EndpointId, EventHandler as _, Outcome, Request, RequestId,
};
use thiserror::Error;

use crate::clock::Clock;
use crate::log::{Count, count};
use crate::loop_monitor::LoopMonitor;
use crate::outbound::{AttemptId, EncodedRequest};
use crate::release_gate::EventRouter;
use crate::transport::Notifier;
use crate::unanswered::{FinalAnswer, UnansweredRequests};

/// An event for the decision engine or the release gate.
pub(crate) type Event = Box<dyn FnOnce(&mut EventRouter)>;

/// The result of an attempt that has ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The attempt.
    pub id: AttemptId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from the decision to send the attempt to its end.
    pub duration: Duration,
    /// The value of the answer; empty unless the attempt succeeded.
    pub value: Vec<u8>,
}

/// How long clients are given to read their last answers after a task has panicked.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(50);

/// A task of the event loop has panicked. Others depend on it, so that the process has to end.
#[derive(Clone, Copy, Debug, Error)]
#[error("a task has panicked")]
pub struct TaskPanicked;

/// The tasks of the agent and the queue of events for its decision engine.
pub struct EventLoop {
    /// The clock of all tasks.
    pub clock: Clock,
    /// Measures how long tasks, or pauses of the process, hold up the event loop.
    pub monitor: LoopMonitor,
    tasks: LocalExecutor<'static>,
    queue_sender: Sender<Event>,
    queue_receiver: Receiver<Event>,
    unanswered: UnansweredRequests,
    /// The time reserved for an answer to reach its client before the client gives up.
    answer_slack: Duration,
    /// When all requests have to be answered; [`Duration::MAX`] until a shutdown starts.
    shutdown_deadline: Cell<Duration>,
    shutdown_started: Notifier,
    task_panicked: Rc<Notifier>,
}

impl fmt::Debug for EventLoop {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EventLoop")
            .field("clock", &self.clock)
            .field("unanswered", &self.unanswered)
            .field("answer_slack", &self.answer_slack)
            .field("shutdown_deadline", &self.shutdown_deadline)
            .finish_non_exhaustive()
    }
}

impl EventLoop {
    /// Creates an event loop without tasks. `answer_slack` is the time reserved for an answer to reach its client.
    pub fn new(answer_slack: Duration) -> Rc<Self> {
        let (queue_sender, queue_receiver) = async_channel::unbounded();
        Rc::new(EventLoop {
            clock: Clock::start(),
            monitor: LoopMonitor::default(),
            tasks: LocalExecutor::new(),
            queue_sender,
            queue_receiver,
            unanswered: UnansweredRequests::default(),
            answer_slack,
            shutdown_deadline: Cell::new(Duration::MAX),
            shutdown_started: Notifier::default(),
            task_panicked: Rc::default(),
        })
    }

    /// Starts a task that runs until it completes or the loop ends. If it panics, the loop ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let task_panicked = self.task_panicked.clone();
        let task = async move {
            // The panic hook has written the message. Nothing is used afterwards but the answers to clients.
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                task_panicked.notify();
            }
        };
        self.tasks.spawn(task).detach();
    }

    /// Runs all tasks until `main` completes, and returns its result.
    ///
    /// # Errors
    ///
    /// Returns [`TaskPanicked`] if one of the tasks panics. All requests have been answered as failed by then.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> Result<T, TaskPanicked> {
        let main = future::or(main, self.monitor.run_heartbeat());
        let main = future::or(async { Ok(main.await) }, self.fail_after_panic());
        self.monitor.run_monitored(self.tasks.run(main)).await
    }

    /// Waits until a task panics. Then nobody may be left to answer the requests, so all of them are answered as failed.
    async fn fail_after_panic<T>(&self) -> Result<T, TaskPanicked> {
        self.task_panicked.notified().await;
        self.unanswered.fail_all();
        Timer::after(LAST_ANSWERS_TIMEOUT).await;
        Err(TaskPanicked)
    }

    /// Queues an event for the next round.
    pub fn enqueue(&self, event: impl FnOnce(&mut EventRouter) + 'static) {
        count(Count::EventsQueued);
        // The channel is unbounded, and its receiver lives as long as this loop: sending cannot fail.
        self.queue_sender.try_send(Box::new(event)).ok();
    }

    /// Handles all queued events.
    pub fn handle_queued_events(&self, router: &mut EventRouter) {
        while let Ok(event) = self.queue_receiver.try_recv() {
            event(router);
        }
    }

    /// Returns the receiving end of the queue, from which a round takes its first event.
    pub(crate) fn queue(&self) -> &Receiver<Event> {
        &self.queue_receiver
    }

    /// Returns the time reserved for an answer to reach its client before the client gives up.
    pub(crate) fn answer_slack(&self) -> Duration {
        self.answer_slack
    }

    /// Returns the requests that have no final answer yet.
    pub(crate) fn unanswered(&self) -> &UnansweredRequests {
        &self.unanswered
    }

    /// Starts the shutdown: every request, including those accepted later, is answered before `deadline`.
    pub fn shut_down_by(&self, deadline: Duration) {
        self.shutdown_deadline.set(deadline);
        self.shutdown_started.notify();
        self.enqueue(move |router| router.on_shutdown(deadline));
    }

    /// When the last answers have to be sent because of a shutdown: the answer slack before its deadline. Without a shutdown,
    /// this is in the far future.
    pub(crate) fn last_answer_time(&self) -> Duration {
        let shutdown_deadline = self.shutdown_deadline.get();
        shutdown_deadline.saturating_sub(self.answer_slack)
    }

    /// Waits until `time`, or, during a shutdown, until the last answers have to be sent: the answer slack before the
    /// shutdown deadline.
    pub async fn wait_until_or_shutdown(&self, time: Duration) {
        let shutdown = async {
            self.shutdown_started.notified().await;
            self.clock.sleep_until(self.last_answer_time()).await;
        };
        future::or(self.clock.sleep_until(time), shutdown).await;
    }

    /// Accepts a request. `answer` is called once with its final answer, unless the client leaves before.
    pub fn accept_request(
        &self,
        request: Request,
        encoded_request: EncodedRequest,
        answer: impl FnOnce(FinalAnswer) + 'static,
    ) -> RequestId {
        count(Count::RequestsAccepted);
        let deadline = request
            .deadline
            .min(self.shutdown_deadline.get())
            .saturating_sub(self.answer_slack);
        let id = self
            .unanswered
            .insert(encoded_request, deadline, Box::new(answer));
        self.enqueue(move |router| router.on_request(id, request));
        id
    }

    /// Returns how many requests have no final answer yet, or have one of which the decision engine has not been
    /// notified.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered.len()
    }

    /// Handles that the client of a request has left, so that the request needs no answer any more.
    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        if self.unanswered.take_callback(id).is_none() {
            return;
        }
        count(Count::RequestsAbandoned);
        let event_loop = self.clone();
        self.enqueue(move |router| {
            event_loop.unanswered.remove(id);
            router.on_client_disconnected(id);
        });
    }

    /// Asks the decision engine whether an attempt that had to wait may still be sent.
    pub async fn may_send(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let (sender, receiver) = async_channel::bounded(1);
        self.enqueue(move |router| {
            sender.try_send(router.may_send(id, attempt)).ok();
        });
        receiver.recv().await.unwrap_or(false) && !self.unanswered.is_over(id)
    }

    /// Handles the end of an attempt. The first success is passed to the client at once, and ends the request.
    pub fn attempt_ended(self: &Rc<Self>, result: AttemptResult) {
        let AttemptResult {
            id,
            endpoint,
            outcome,
            duration,
            value,
        } = result;
        count(outcome_counter(outcome));
        if outcome == Outcome::Succeeded {
            self.unanswered
                .answer(id.request, FinalAnswer::Succeeded(value));
        }
        let closed = !self.unanswered.needs_answer(id.request);
        let event_loop = self.clone();
        self.enqueue(move |router| {
            if closed {
                event_loop.unanswered.remove(id.request);
            }
            router.on_attempt_ended(id.request, id.number, endpoint, outcome, duration, closed);
        });
    }
}

/// Returns the counter of attempts with this outcome.
fn outcome_counter(outcome: Outcome) -> Count {
    match outcome {
        Outcome::Succeeded => Count::AttemptsSucceeded,
        Outcome::Failed => Count::AttemptsFailed,
        Outcome::Rejected => Count::AttemptsRejected,
        Outcome::TimedOut => Count::AttemptsTimedOut,
        Outcome::ConnectFailed => Count::AttemptsConnectFailed,
        Outcome::ConnectionLost => Count::AttemptsConnectionLost,
        Outcome::Malformed => Count::AttemptsMalformed,
        Outcome::Cancelled => Count::AttemptsCancelled,
        Outcome::NotSent => Count::AttemptsNotSent,
    }
}
