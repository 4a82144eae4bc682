//! Owns the executor of the agent's tasks, the queue of events for the decision engine, and the time of the shutdown.
//!
//! Tasks put events in the queue; [`crate::engine_host`] takes them out, one batch a round. The queue has no bound of
//! its own: what fills it is bounded (connections, requests, messages a second). Nothing here knows a protocol or
//! decides anything.
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::future;
use lilacgate_decision::{
    AttemptNumber, EndpointId, EventHandler as _, Outcome, Request, RequestId,
};

use crate::clock::Clock;
use crate::log::{Count, count};
use crate::loop_monitor::LoopMonitor;
use crate::outbound::{AttemptId, EncodedRequest};
use crate::release_gate::EventRouter;
use crate::transport::Notifier;
use crate::unanswered::{FinalAnswer, UnansweredRequests};

/// An event for the decision engine, or for the release gate beside it.
pub(crate) type Event = Box<dyn FnOnce(&mut EventRouter)>;

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// Which attempt of which request.
    pub id: AttemptId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from the decision to send it to its end.
    pub took: Duration,
    /// The answer's value; empty unless it succeeded.
    pub value: Vec<u8>,
}

/// The tasks of the agent and the queue of events for its decision engine.
pub struct EventLoop {
    /// The time that all tasks go by.
    pub clock: Clock,
    /// Measures how long the tasks and the process itself hold up all others.
    pub monitor: LoopMonitor,
    tasks: LocalExecutor<'static>,
    queue_sender: Sender<Event>,
    queue_receiver: Receiver<Event>,
    unanswered: UnansweredRequests,
    /// The time that an answer needs to reach its client before the client gives up.
    answer_slack: Duration,
    /// When the last answer has to be out; far in the future until a shutdown is under way.
    shutdown_deadline: Cell<Duration>,
    shutdown_started: Notifier,
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
    /// A loop without tasks. `answer_slack` is the time that an answer needs to reach its client.
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
        })
    }

    /// Starts a task that runs until it ends by itself, or until the loop ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Runs all tasks until `main` has ended, and returns its result.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let main = future::or(main, self.monitor.run_heartbeat());
        self.monitor.watch(self.tasks.run(main)).await
    }

    /// Queues an event for the next round.
    pub fn enqueue(&self, event: impl FnOnce(&mut EventRouter) + 'static) {
        count(Count::EventsQueued);
        // The channel is unbounded, and its receiver lives as long as this loop: sending cannot fail.
        self.queue_sender.try_send(Box::new(event)).ok();
    }

    /// Handles all queued events.
    pub fn drain(&self, router: &mut EventRouter) {
        while let Ok(event) = self.queue_receiver.try_recv() {
            event(router);
        }
    }

    /// The end of the queue that rounds take their first event from.
    pub(crate) fn queue(&self) -> &Receiver<Event> {
        &self.queue_receiver
    }

    /// The time that an answer needs to reach its client before the client gives up.
    pub(crate) fn answer_slack(&self) -> Duration {
        self.answer_slack
    }

    /// The requests that have no final answer yet.
    pub(crate) fn unanswered(&self) -> &UnansweredRequests {
        &self.unanswered
    }

    /// Starts the shutdown: every request, also one that comes later, gets its answer before `deadline`.
    pub fn shut_down_by(&self, deadline: Duration) {
        self.shutdown_deadline.set(deadline);
        self.shutdown_started.notify();
        self.enqueue(move |router| router.on_shutdown(deadline));
    }

    /// Waits until `time`, or until a shutdown is so near that an answer has to go out.
    pub async fn wait_until(&self, time: Duration) {
        let shutdown = async {
            self.shutdown_started.notified().await;
            let last_answer = self
                .shutdown_deadline
                .get()
                .saturating_sub(self.answer_slack);
            self.clock.sleep_until(last_answer).await;
        };
        future::or(self.clock.sleep_until(time), shutdown).await;
    }

    /// Accepts a request; `answer` is called once with its final answer, unless the client leaves before.
    pub fn accept_request(
        &self,
        request: Request,
        encoded_request: EncodedRequest,
        answer: impl FnOnce(FinalAnswer) + 'static,
    ) -> RequestId {
        count(Count::RequestsAccepted);
        let until = request
            .deadline
            .min(self.shutdown_deadline.get())
            .saturating_sub(self.answer_slack);
        let id = self
            .unanswered
            .insert(encoded_request, until, Box::new(answer));
        self.enqueue(move |router| router.on_request(id, request));
        id
    }

    /// How many requests have no final answer yet, or have ended without the decision engine knowing.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered.len()
    }

    /// The client of a request has left; the request needs no answer any more.
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

    /// Whether an attempt that has waited for its connection may still be sent: the decision engine is asked.
    pub async fn may_send(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let (sender, receiver) = async_channel::bounded(1);
        self.enqueue(move |router| {
            sender.try_send(router.may_send(id, attempt)).ok();
        });
        receiver.recv().await.unwrap_or(false)
    }

    /// An attempt has ended. The first success is passed to the client at once, and ends the request.
    pub fn attempt_ended(self: &Rc<Self>, result: AttemptResult) {
        let AttemptResult {
            id,
            endpoint,
            outcome,
            took,
            value,
        } = result;
        count(counter_of(outcome));
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
            router.on_attempt_ended(id.request, id.number, endpoint, outcome, took, closed);
        });
    }
}

/// The counter of attempts that end so.
fn counter_of(outcome: Outcome) -> Count {
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
