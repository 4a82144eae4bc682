//! Sends one attempt of a request to one endpoint.
use std::cell::Cell;
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::FutureExt;
use lilacgate_decision::Outcome;

use super::UpstreamPool;
use super::connection::Connection;
use super::reply::{Reply, parse_reply};
use crate::event_loop::AttemptResult;
use crate::outbound::OutgoingAttempt;

/// An attempt that is under way.
pub(super) struct Attempt {
    outgoing: OutgoingAttempt,
    /// Whether the socket has taken the last byte, so that the endpoint may have run the request.
    fully_written: Cell<bool>,
}

impl Attempt {
    pub(super) fn new(outgoing: OutgoingAttempt) -> Self {
        Attempt {
            outgoing,
            fully_written: Cell::new(false),
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
        let mut connection = self.connection(pool).await?;
        let time_left = self.outgoing.deadline.saturating_sub(pool.clock().now());
        let command = (self.outgoing.encoded_request)(time_left);
        let reply = connection
            .exchange_request(command, &self.fully_written)
            .await?;
        let reply = parse_reply(reply).ok_or_else(|| connection.reject_reply())?;
        pool.put_back(self.outgoing.endpoint, connection);
        Ok(reply)
    }

    /// Takes an idle connection, or opens one. An attempt may become unnecessary while its connection is being opened,
    /// so the decision engine is asked again before it is sent on a new connection.
    async fn connection(&self, pool: &UpstreamPool) -> Result<Connection, Outcome> {
        let OutgoingAttempt { id, endpoint, .. } = self.outgoing;
        if let Some(connection) = pool.take_idle(endpoint) {
            return Ok(connection);
        }
        let connection = pool.open(endpoint).await?;
        if pool.event_loop.may_send(id.request, id.number).await {
            Ok(connection)
        } else {
            pool.put_back(endpoint, connection);
            Err(Outcome::NotSent)
        }
    }
}
