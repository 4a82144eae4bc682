//! What the decision module has decided: one method for each action.
use std::fmt;
use std::time::Duration;

use crate::model::{AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote};

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// It fails far more requests than other endpoints of its build.
    FailureRate,
    /// A connection to it could not be opened, or broke.
    ConnectionFailure,
    /// It has left several requests unanswered for far longer than usual.
    Unresponsive,
}

impl EjectionReason {
    /// The word by which stored records name the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            EjectionReason::FailureRate => "fails",
            EjectionReason::ConnectionFailure => "unlinked",
            EjectionReason::Unresponsive => "silent",
        }
    }
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its latency objective has passed, and a later answer earns nothing.
    TooLate,
    /// No attempt is left, or none may follow an attempt that may have run.
    NoAttemptLeft,
    /// Retries have hardly helped of late.
    RetriesFail,
    /// The expected wait is too long: load is shed.
    Overload,
    /// The operator's rules permit none of the endpoints that could take it.
    NotPermitted,
}

impl GiveUpReason {
    /// The word by which stored records name the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            GiveUpReason::TooLate => "late",
            GiveUpReason::NoAttemptLeft => "no-more",
            GiveUpReason::RetriesFail => "vain",
            GiveUpReason::Overload => "crowded",
            GiveUpReason::NotPermitted => "closed",
        }
    }
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Something worth recording beside the actions. Nothing depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Diagnostic {
    /// An endpoint gets no requests for some time.
    Ejected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why it was ejected.
        reason: EjectionReason,
        /// When it may be tried again.
        until: Duration,
    },
    /// An ejected endpoint is tried with a request.
    Probed(EndpointId),
    /// An ejected endpoint takes requests again.
    Readmitted(EndpointId),
    /// A request was given up, for this reason.
    GivenUp(GiveUpReason),
}

/// Takes the module's decisions as they are made.
pub trait Actions {
    /// Sends a request to an endpoint; the attempt times out after `timeout`, or at the request's deadline if
    /// that is zero.
    fn send_attempt(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration);

    /// Answers that the request did not run; the client may retry after `retry_after`.
    fn reject(&mut self, id: RequestId, retry_after: Duration);

    /// Answers that the request failed and may have run.
    fn fail(&mut self, id: RequestId);

    /// Gives up waiting for an attempt.
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber);

    /// Schedules a round at an instant, even if nothing happens until then.
    fn schedule_wake_up(&mut self, at: Duration, timer: TimerId);

    /// Sends a health check.
    fn check_health(&mut self, endpoint: EndpointId);

    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);

    /// Sends a message to one peer, or to all of them.
    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]);

    /// Writes a line to the log.
    fn log(&mut self, text: &str);

    /// Opens or closes the watch of the endpoint list.
    fn watch_endpoints(&mut self, on: bool);

    /// Fetches the endpoint list once.
    fn fetch_endpoints(&mut self);

    /// Casts a vote on a build at a stage.
    fn vote(&mut self, build: Build, stage: Stage, vote: Vote);

    /// Records what happened beside the actions.
    fn record_diagnostic(&mut self, _diagnostic: Diagnostic) {}
}
