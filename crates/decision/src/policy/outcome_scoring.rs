//! Converts the outcome of an attempt into counts for the sequential tests: whether it is evidence about the build, a
//! failure, or a slow answer.
use std::time::Duration;

use crate::model::{ClassPolicy, Outcome};
use crate::state::endpoint_record::OutstandingAttempt;
use crate::state::evidence::OutcomeCounts;

/// Where timing is comparable, an attempt that takes more than this many times its latency objective counts as a
/// failure.
const FAILED_OBJECTIVE_MULTIPLE: u32 = 2;
/// Expected wait beyond the work, as a share of the latency objective, from which requests count as queued: then slow
/// answers are no evidence about the build.
pub(crate) const QUEUE_WAIT_SHARE: f64 = 0.15;
/// An answer is slow if it takes more than this many times the usual time of its endpoint's model at earlier builds.
/// This finds a build that needs more work for each request, whose answers seldom take twice the latency objective.
const SLOW_MULTIPLE: f64 = 1.5;

/// An attempt that has ended, and what its outcome is compared with.
pub(crate) struct ObservedOutcome<'a> {
    pub(crate) attempt: &'a OutstandingAttempt,
    pub(crate) policy: &'a ClassPolicy,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
    /// The endpoint has answered something since the attempt was sent.
    pub(crate) is_endpoint_alive: bool,
    /// The time taken is evidence about the build: both arms answer, the endpoint had warmed up, and there is no queue.
    pub(crate) is_timing_comparable: bool,
    /// The usual latency ratio of the endpoint's model at earlier builds: time taken divided by estimated work;
    /// `None` if no such endpoint was observed.
    pub(crate) model_latency_ratio: Option<f64>,
    /// Mean work of a request, in seconds.
    pub(crate) mean_work: f64,
}

impl ObservedOutcome<'_> {
    /// The outcome as counts; `None` if it is no evidence about the build. Only an answer that succeeded or failed is,
    /// and a missing answer of an endpoint that has answered other attempts meanwhile. Anything else may have causes
    /// other than the build: queues fill up, and machines die, freeze or are cut off.
    pub(crate) fn counts(&self) -> Option<OutcomeCounts> {
        let is_failure = self.is_failure()?;
        let model_latency_ratio = self
            .model_latency_ratio
            .filter(|_| self.is_timing_comparable && self.outcome == Outcome::Succeeded);
        Some(OutcomeCounts {
            outcomes: 1,
            failures: u8::from(is_failure),
            timed: u8::from(model_latency_ratio.is_some()),
            slow: u8::from(model_latency_ratio.is_some_and(|ratio| self.is_slow(ratio))),
        })
    }

    /// Whether the outcome counts as a failure; `None` if it is no evidence.
    fn is_failure(&self) -> Option<bool> {
        let max_time = self.policy.latency_objective * FAILED_OBJECTIVE_MULTIPLE;
        let is_too_late = self.is_timing_comparable && self.took > max_time;
        match self.outcome {
            Outcome::Failed => Some(true),
            Outcome::Succeeded => Some(is_too_late),
            Outcome::TimedOut | Outcome::Cancelled => {
                (is_too_late && self.is_endpoint_alive).then_some(true)
            }
            _ => None,
        }
    }

    /// Whether the answer took far longer than the model usually takes. The work of the request is taken as halfway
    /// between its own estimate, which is rough, and the mean of all requests.
    fn is_slow(&self, model_latency_ratio: f64) -> bool {
        let typical_work = self.attempt.work + self.mean_work;
        self.took.as_secs_f64() > SLOW_MULTIPLE * model_latency_ratio * typical_work / 2.0
    }
}
