//! Requests, the policy of their class, and how attempts end.
use std::time::Duration;

use super::ids::{IdempotencyKey, RequestClass, Tenant};

/// Which endpoints drop a repeated request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Those in the zone that saw the key first.
    Zone,
    /// Those in the cell that saw the key first.
    Cell,
}

/// Whether a request may be sent again after an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Within the deduplication window, to endpoints that know its key.
    Keyed(DeduplicationScope),
    /// Never.
    NonIdempotent,
}

/// How an attempt or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// The endpoint refused it before it ran.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the answer.
    ConnectionLost,
    /// What came back is no answer: it has run, and nobody knows how it ended.
    Malformed,
    /// The agent cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the request may have run there; the other outcomes prove that it never did.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The class whose policy holds for it.
    pub class: RequestClass,
    /// The customer that it comes from.
    pub tenant: Tenant,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the client gives up waiting for it.
    pub deadline: Duration,
    /// Estimated work on the reference core, where the client gives one.
    pub estimated_work: Option<Duration>,
    /// Whether the client says that it has sent this before.
    pub is_retry: bool,
    /// How long ago it came, at the most: its host may have been held up before it was read. Zero where the host
    /// reports each request as it comes.
    pub age: Duration,
}

/// The policy for the requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct ClassPolicy {
    /// Whether they may be sent again.
    pub idempotency: Idempotency,
    /// An answer within this time earns the full weight.
    pub latency_objective: Duration,
    /// How long a client waits at most, over all attempts.
    pub deadline: Duration,
    /// For keyed requests: how long endpoints drop repeats, from the first attempt that may have run.
    pub deduplication_window: Duration,
    /// What an answer in time is worth in relation to other classes; not negative.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency objective still earns, 0 to 1.
    pub late_weight_share: f64,
}
