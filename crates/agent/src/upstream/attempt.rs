//! One attempt of a request at one endpoint.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use lilacgate_decision::{EndpointId, Outcome};

use super::UpstreamPool;
use super::connection::Connection;
use crate::event_loop::AttemptResult;
use crate::outbound::{AttemptId, EncodedRequest};
use crate::resp::Resp;

/// An attempt, from its start to its outcome.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) endpoint: EndpointId,
    pub(super) encoded_request: EncodedRequest,
    pub(super) started: Duration,
    /// When it is given up.
    pub(super) deadline: Duration,
    /// Whether its last byte has gone out, so that it may have run.
    pub(super) fully_written: Cell<bool>,
}

/// The reply of an endpoint to an attempt.
struct Reply {
    outcome: Outcome,
    /// The result, which is empty unless the attempt succeeded.
    value: Vec<u8>,
    load_report: Option<Vec<u8>>,
}

impl Attempt {
    /// Runs until its reply, its deadline or its cancellation, and reports the outcome to the event loop.
    pub(super) async fn run(self, pool: Rc<UpstreamPool>, cancel_receiver: Receiver<()>) {
        let timeout = async {
            pool.event_loop.wait_until(self.deadline).await;
            Err(Outcome::TimedOut)
        };
        let cancellation = async {
            cancel_receiver.recv().await.ok();
            Err(Outcome::Cancelled)
        };
        let result = self.exchange(&pool).or(cancellation).or(timeout).await;
        pool.cancellations.borrow_mut().remove(&self.id);
        let (outcome, value) = match result {
            Ok(reply) => {
                pool.report_load(self.endpoint, reply.load_report);
                (reply.outcome, reply.value)
            }
            // What was not written to its end cannot have run.
            Err(Outcome::TimedOut | Outcome::Cancelled) if !self.fully_written.get() => {
                (Outcome::NotSent, Vec::new())
            }
            Err(outcome) => (outcome, Vec::new()),
        };
        let duration = pool.clock().now().saturating_sub(self.started);
        pool.event_loop.attempt_ended(AttemptResult {
            id: self.id,
            endpoint: self.endpoint,
            outcome,
            took: duration,
            value,
        });
    }

    /// Sends the request and reads the reply, on an idle connection or on a new one.
    async fn exchange(&self, pool: &UpstreamPool) -> Result<Reply, Outcome> {
        let mut connection = self.connection(pool).await?;
        let time_left = self.deadline.saturating_sub(pool.clock().now());
        let command = (self.encoded_request)(time_left);
        let reply = connection.exchange(&command, &self.fully_written).await?;
        let reply = parse_reply(reply).ok_or_else(|| connection.reject_reply())?;
        pool.put_back(self.endpoint, connection);
        Ok(reply)
    }

    /// While a connection is being opened the attempt may have become needless: the decision engine is asked again.
    async fn connection(&self, pool: &UpstreamPool) -> Result<Connection, Outcome> {
        if let Some(connection) = pool.take_idle(self.endpoint) {
            return Ok(connection);
        }
        let connection = pool.open(self.endpoint).await?;
        let AttemptId { request, number } = self.id;
        if pool.event_loop.may_send(request, number).await {
            Ok(connection)
        } else {
            pool.put_back(self.endpoint, connection);
            Err(Outcome::NotSent)
        }
    }
}

/// The meaning of a reply to a request, if it has one.
fn parse_reply(reply: Resp) -> Option<Reply> {
    match reply {
        Resp::Array(Some(items)) => parse_success(items),
        Resp::Error(line) => parse_error(line),
        _ => None,
    }
}

/// Parses `[value, null, load report]`. A load report that cannot be read is none; the value is good all the same.
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

/// Parses an error code, which a load report may follow.
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
