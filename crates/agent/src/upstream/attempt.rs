//! Sends one attempt of a request to one endpoint.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use lilacgate_decision::{Outcome, WriteLimits, WriteStep};

use super::UpstreamPool;
use super::connection::Connection;
use super::delivery::WrittenRequest;
use super::reply::{Reply, parse_reply};
use super::request_write::RequestWrite;
use crate::event_loop::AttemptResult;
use crate::log::{Count, count};
use crate::outbound::{AttemptId, OutgoingAttempt};

/// A pause in which the event loop polls for events.
const EVENT_POLL_PAUSE: Duration = Duration::from_millis(1);

/// The result of a try to write a request.
enum WriteResult {
    /// The socket has taken its last byte.
    Written(WrittenRequest),
    /// Nothing has been written; this has to be done before.
    NotYet(WriteStep),
}

/// An attempt that is under way.
pub(super) struct Attempt {
    outgoing: OutgoingAttempt,
    /// Whether the socket has taken the last byte, so that the endpoint may have run the request.
    fully_written: Cell<bool>,
    /// When the decision engine decided to send the attempt, or last confirmed it.
    decided_at: Cell<Duration>,
    /// The instant that is reserved for its write, if it has had to wait.
    reserved: Cell<Option<Duration>>,
}

impl Attempt {
    pub(super) fn new(outgoing: OutgoingAttempt) -> Self {
        Attempt {
            fully_written: Cell::new(false),
            decided_at: Cell::new(outgoing.started),
            reserved: Cell::default(),
            outgoing,
        }
    }

    /// Runs until the reply, the deadline or a cancellation, and reports the outcome to the event loop.
    pub(super) async fn run(self, pool: Rc<UpstreamPool>, cancel_receiver: Receiver<()>) {
        let OutgoingAttempt {
            id,
            endpoint,
            started,
            deadline,
            ..
        } = self.outgoing;
        let timeout = async {
            pool.event_loop.wait_until_or_shutdown(deadline).await;
            Err(Outcome::TimedOut)
        };
        let cancellation = async {
            cancel_receiver.recv().await.ok();
            Err(Outcome::Cancelled)
        };
        let result = self.exchange(&pool).or(cancellation).or(timeout).await;
        pool.cancellations.borrow_mut().remove(&id);
        let (outcome, value) = match result {
            Ok(reply) => {
                pool.report_load(endpoint, reply.load_report);
                (reply.outcome, reply.value)
            }
            // The endpoint cannot have run a command that was not fully written.
            Err(Outcome::TimedOut | Outcome::Cancelled) if !self.fully_written.get() => {
                (Outcome::NotSent, Vec::new())
            }
            Err(outcome) => (outcome, Vec::new()),
        };
        let duration = pool.clock().now().saturating_sub(started);
        pool.event_loop.attempt_ended(AttemptResult {
            id,
            endpoint,
            outcome,
            duration,
            value,
        });
    }

    /// Sends the request and reads the reply, on an idle connection or on a new one.
    async fn exchange(&self, pool: &UpstreamPool) -> Result<Reply, Outcome> {
        let endpoint = self.outgoing.endpoint;
        let mut connection = self.connection(pool).await?;
        let delivery = loop {
            let step = match self.write(pool, &mut connection).await? {
                WriteResult::Written(delivery) => break delivery,
                WriteResult::NotYet(step) => step,
            };
            if !self.may_write_after(step, pool).await {
                pool.put_back(endpoint, connection);
                return Err(Outcome::NotSent);
            }
            if !connection.is_usable(pool.clock().now(), pool.idle_timeout) {
                drop(connection);
                connection = self.connection(pool).await?;
            }
        };
        let give_up = async { Err(delivery.give_up(pool).await) };
        let reply = connection.read_request_reply().or(give_up).await?;
        let reply = parse_reply(reply).ok_or_else(|| connection.reject_reply())?;
        if delivery.is_incomplete(pool) {
            connection.discard_undelivered();
        } else {
            pool.put_back(endpoint, connection);
        }
        Ok(reply)
    }

    /// Writes the request if it may be written now; otherwise returns what is to be done before. No further byte is written
    /// once the request needs no answer any more.
    async fn write(
        &self,
        pool: &UpstreamPool,
        connection: &mut Connection,
    ) -> Result<WriteResult, Outcome> {
        let request_over = &self.outgoing.request_over;
        if request_over.is_notified() {
            return Ok(WriteResult::NotYet(WriteStep::TooLate));
        }
        let last_answer_time = pool.event_loop.last_answer_time();
        let limits = WriteLimits {
            decided_at: self.decided_at.get(),
            deadline: self.outgoing.deadline.min(last_answer_time),
            send_by: self.outgoing.send_by,
        };
        let reserved = self.reserved.get();
        let write = RequestWrite::new(pool.clock(), &pool.write_timing, limits, reserved);
        let command = (self.outgoing.encoded_request)(write.time_left());
        let command_bytes = command.len();
        let abandoned = async {
            request_over.notified().await;
            Err(Outcome::NotSent)
        };
        let step = connection
            .write_request(command, &write)
            .or(abandoned)
            .await?;
        if step != WriteStep::Write {
            return Ok(WriteResult::NotYet(step));
        }
        self.fully_written.set(true);
        self.count_late_write(pool);
        Ok(WriteResult::Written(WrittenRequest {
            addresses: connection.addresses(),
            command_bytes,
            encoded_at: write.encoded_at(),
            written_at: pool.clock().now(),
            send_by: self.outgoing.send_by,
            request_over: request_over.clone(),
        }))
    }

    /// Counts a write that a hold-up made late after it had been decided on.
    fn count_late_write(&self, pool: &UpstreamPool) {
        let is_late = |send_by| pool.clock().now() >= send_by;
        if self.outgoing.send_by.is_some_and(is_late) {
            count(Count::RepeatsWrittenLate);
        }
    }

    /// Does what has to be done before the request may be written. Returns whether it may be tried again.
    async fn may_write_after(&self, step: WriteStep, pool: &UpstreamPool) -> bool {
        match step {
            WriteStep::Write => true,
            WriteStep::Confirm => {
                count(Count::WritesConfirmed);
                // Timers expire in a poll for events, so that what has arrived by now is read before the engine is asked.
                Timer::after(EVENT_POLL_PAUSE).await;
                self.confirm(pool).await
            }
            WriteStep::WaitUntil(time) => {
                self.reserved.set(Some(time));
                pool.clock().sleep_until(time).await;
                true
            }
            WriteStep::TooLate => {
                count(Count::WritesTooLate);
                false
            }
        }
    }

    /// Takes an idle connection, or opens one. An attempt may become unnecessary while its connection is being opened,
    /// so the decision engine is asked again before it is sent on a new connection.
    async fn connection(&self, pool: &UpstreamPool) -> Result<Connection, Outcome> {
        let endpoint = self.outgoing.endpoint;
        if let Some(connection) = pool.take_idle(endpoint) {
            return Ok(connection);
        }
        let connection = pool.open(endpoint).await?;
        if self.confirm(pool).await {
            Ok(connection)
        } else {
            pool.put_back(endpoint, connection);
            Err(Outcome::NotSent)
        }
    }

    /// Asks the decision engine whether this attempt may still be sent.
    async fn confirm(&self, pool: &UpstreamPool) -> bool {
        let AttemptId { request, number } = self.outgoing.id;
        let may_send = pool.event_loop.may_send(request, number).await;
        self.decided_at.set(pool.clock().now());
        may_send
    }
}
