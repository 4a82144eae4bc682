//! The actions that the decision engine asks of its host: one method for each kind.
use std::fmt;
use std::time::Duration;

use crate::model::{AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote};

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Its share of failures is far higher than that of the other endpoints of its build.
    FailureRate,
    /// A connection to it could not be opened or was lost.
    ConnectionFailure,
    /// Several attempts have waited far longer than usual without any response.
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
    /// All attempts are used up, or an attempt may have run and must not be repeated.
    NoAttemptLeft,
    /// Hardly any retry succeeded recently.
    RetriesFail,
    /// The expected wait is too long, so load is shed.
    Overload,
    /// The operator's rules permit no endpoint that it could be sent to.
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

/// An event inside the engine that is recorded for operators. No decision depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Diagnostic {
    /// An endpoint was ejected: it gets no requests for some time.
    Ejected {
        /// The ejected endpoint.
        endpoint: EndpointId,
        /// Why it was ejected.
        reason: EjectionReason,
        /// When it may get a first probe request.
        until: Duration,
    },
    /// An ejected endpoint is probed with a single request.
    Probed(EndpointId),
    /// An ejected endpoint takes requests again.
    Readmitted(EndpointId),
    /// A request was answered without success for this reason.
    GivenUp(GiveUpReason),
}

/// Carries out the engine's decisions, in the order in which they are made.
pub trait Actions {
    /// Sends a request to an endpoint. The attempt times out after `timeout`; if that is zero, at the request's
    /// deadline. It must not be written at `send_by` or later.
    fn send_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        send_by: Option<Duration>,
    );

    /// Answers the client that the request did not run, and may be retried after `retry_after`.
    fn reject(&mut self, id: RequestId, retry_after: Duration);

    /// Answers the client that the request failed and may have run.
    fn fail(&mut self, id: RequestId);

    /// Cancels an outstanding attempt.
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber);

    /// Schedules a round at this instant, whether or not an event occurs before. `timer` identifies the wake-up.
    fn schedule_wake_up(&mut self, at: Duration, timer: TimerId);

    /// Sends a health check to an endpoint.
    fn check_health(&mut self, endpoint: EndpointId);

    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);

    /// Sends a message to one peer; with `None`, to all of them.
    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]);

    /// Writes a line to the log.
    fn log(&mut self, text: &str);

    /// Opens or closes the watch of the endpoint list.
    fn watch_endpoints(&mut self, on: bool);

    /// Fetches the endpoint list once.
    fn fetch_endpoints(&mut self);

    /// Casts a vote on a stage of a build.
    fn vote(&mut self, build: Build, stage: Stage, vote: Vote);

    /// Records a diagnostic; does nothing by default.
    fn record_diagnostic(&mut self, _diagnostic: Diagnostic) {}
}
