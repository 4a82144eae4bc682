//! What the outcome of an attempt is worth as evidence about a build.
use std::time::Duration;

use crate::model::{ClassPolicy, Outcome};
use crate::state::endpoint_record::OutstandingAttempt;
use crate::state::evidence::OutcomeCounts;

/// An answer that takes so many times its latency objective counts as a failure, where slowness is evidence.
const FAILED_OBJECTIVE_MULTIPLE: u32 = 2;
/// Wait beyond the work, as a share of the latency objective, that counts as a queue: then slowness is no evidence.
pub(crate) const QUEUE_WAIT_SHARE: f64 = 0.15;
/// An answer is slow that takes so many times its model's usual time at earlier builds: a build that needs more
/// work seldom takes twice the latency objective.
const SLOW_MULTIPLE: f64 = 1.5;

/// How an attempt ended, and what it can be compared with.
pub(crate) struct ObservedOutcome<'a> {
    pub(crate) attempt: &'a OutstandingAttempt,
    pub(crate) policy: &'a ClassPolicy,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
    /// The endpoint has answered something since the attempt was sent.
    pub(crate) is_endpoint_alive: bool,
    /// Slowness is evidence: both arms answer, the endpoint had warmed up, and there is no queue.
    pub(crate) is_timing_comparable: bool,
    /// The usual pace of the endpoint's model at earlier builds.
    pub(crate) model_pace: Option<f64>,
    /// Mean work of a request, in seconds.
    pub(crate) mean_work: f64,
}

impl ObservedOutcome<'_> {
    /// The outcome as counts; `None` if it is no evidence. No answer, or a rejection, says nothing of the build:
    /// machines die, freeze or are cut off, queues fill.
    pub(crate) fn counts(&self) -> Option<OutcomeCounts> {
        let is_failure = self.is_failure()?;
        let model_pace = self
            .model_pace
            .filter(|_| self.is_timing_comparable && self.outcome == Outcome::Succeeded);
        Some(OutcomeCounts {
            outcomes: 1,
            failures: u8::from(is_failure),
            timed: u8::from(model_pace.is_some()),
            slow: u8::from(model_pace.is_some_and(|pace| self.is_slow(pace))),
        })
    }

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

    /// Against the model's usual time for work between the rough estimate and the mean.
    fn is_slow(&self, model_pace: f64) -> bool {
        let typical_work = self.attempt.work + self.mean_work;
        self.took.as_secs_f64() > SLOW_MULTIPLE * model_pace * typical_work / 2.0
    }
}
