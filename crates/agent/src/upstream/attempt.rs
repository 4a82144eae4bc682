//! Sends one attempt of a request to one endpoint.
use std::cell::Cell;
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::FutureExt;
use lilacgate_decision::Outcome;

use super::UpstreamPool;
use super::connection::Connection;
use crate::event_loop::AttemptResult;
use crate::outbound::OutgoingAttempt;
use crate::resp::Resp;

/// An attempt that is under way.
pub(super) struct Attempt {
    outgoing: OutgoingAttempt,
    /// Whether the socket has taken the last byte, so that the endpoint may have run the request.
    fully_written: Cell<bool>,
}

/// An endpoint's reply to an attempt.
struct Reply {
    outcome: Outcome,
    /// The value for the client; empty unless the attempt succeeded.
    value: Vec<u8>,
    load_report: Option<Vec<u8>>,
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
        let reply = connection.exchange(command, &self.fully_written).await?;
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

/// Interprets a reply to a request; returns `None` if it is not a valid reply to one.
fn parse_reply(reply: Resp) -> Option<Reply> {
    match reply {
        Resp::Array(Some(items)) => parse_success(items),
        Resp::Error(line) => parse_error(line),
        _ => None,
    }
}

/// Parses `[value, null, load report]`. A load report of the wrong type is ignored, and the value is used all the same.
fn parse_success(items: Vec<Resp>) -> Option<Reply> {
    let [value, null, load_report] = <[Resp; 3]>::try_from(items).ok()?;
    let (Resp::Bulk(Some(value)), Resp::Bulk(None) | Resp::Array(None)) = (value, null) else {
        return None;
    };
    let load_report = match load_report {
        Resp::Bulk(load_report) => load_report,
        _ => None,
    };
    Some(Reply {
        outcome: Outcome::Succeeded,
        value,
        load_report,
    })
}

/// Parses an error code, which may be followed by a load report.
fn parse_error(line: Vec<u8>) -> Option<Reply> {
    let line = String::from_utf8(line).ok()?;
    let (code, load_report) = match line.rsplit_once(' ') {
        Some((code, load_report)) if load_report.contains('=') => {
            (code, Some(load_report.as_bytes().to_vec()))
        }
        _ => (line.as_str(), None),
    };
    let outcome = match code {
        "BUSY" => Outcome::Rejected,
        "ERR failed" => Outcome::Failed,
        _ => return None,
    };
    Some(Reply {
        outcome,
        value: Vec::new(),
        load_report,
    })
}
