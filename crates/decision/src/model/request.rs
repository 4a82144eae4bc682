//! Requests, the policies of their classes, and the outcomes of attempts.
use std::time::Duration;

use super::ids::{IdempotencyKey, RequestClass, Tenant};

/// The endpoints that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone that saw the key first.
    Zone,
    /// The endpoints in the cell that saw the key first.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Only within the deduplication window, and to endpoints in the deduplication scope.
    Keyed(DeduplicationScope),
    /// Never.
    NonIdempotent,
}

/// How an attempt, a health check or a call to the release control plane ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with success.
    Succeeded,
    /// It ran and was answered with a failure.
    Failed,
    /// The endpoint rejected it without running it.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// The answer could not be parsed: the request has run, with an unknown result.
    Malformed,
    /// The agent cancelled it.
    Cancelled,
    /// It was not sent.
    NotSent,
}

impl Outcome {
    /// Whether the request may have run at the endpoint. The other outcomes prove that it did not.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The class whose policy applies to it.
    pub class: RequestClass,
    /// The customer that it comes from.
    pub tenant: Tenant,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the client stops waiting for the answer.
    pub deadline: Duration,
    /// Work as estimated by the client, in time on the reference core; `None` without an estimate.
    pub estimated_work: Option<Duration>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Upper bound on the time since it arrived: the host may have been held up before it read the request. Zero if
    /// the host reports each request on arrival.
    pub age: Duration,
}

/// The policy for the requests of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassPolicy {
    /// Whether they may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
    /// An answer within this time counts with the full priority weight.
    pub latency_objective: Duration,
    /// How long a client waits at most, over all attempts.
    pub deadline: Duration,
    /// For keyed requests: how long endpoints drop repeats, from the first attempt that may have run.
    pub deduplication_window: Duration,
    /// Value of an answer in time, relative to other classes; not negative.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective counts with, 0 to 1.
    pub late_weight_share: f64,
}
