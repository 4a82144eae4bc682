//! Admission control: with which probability a request is rejected under overload, and when its client may retry.
use std::time::Duration;

use crate::model::ClassPolicy;
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;
use crate::state::half_lives::RECENT_HALF_LIFE;
use crate::state::load_estimate::LoadEstimate;

/// Expected wait, as a share of what is left of the latency objective, above which some requests of priority weight
/// zero are rejected.
const TOLERATED_WAIT_SHARE: f64 = 0.15;
/// Added to the tolerated share for requests of the highest priority weight, and in proportion for the others.
const PRIORITY_WAIT_SHARE_BONUS: f64 = 0.1;
/// Above the tolerated share, the probability of rejection grows linearly, and reaches 1 at this much more.
const WAIT_SHARE_RANGE: f64 = 0.25;
/// Share of late answers above which some requests are rejected. An agent with little traffic sees a queue only by late
/// answers: with two requests a second, it has too few outstanding to estimate the wait from them.
const TOLERATED_LATE_SHARE: f64 = 0.15;
/// Growth of the probability of rejection with the share of late answers above the tolerated one.
const LATE_SHARE_FACTOR: f64 = 2.0;
/// The estimate of the wait assumes this many requests beside the outstanding ones, served without any wait: otherwise
/// the few requests of an agent with little traffic would look like a queue.
const PRIOR_REQUESTS: f64 = 4.0;

/// Admission control, with what it decides on as of one round.
#[derive(Clone, Copy)]
pub(crate) struct AdmissionControl<'a> {
    pub(crate) now: Duration,
    /// When the agent's first round began; `None` before it.
    pub(crate) started_at: Option<Duration>,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) load: &'a LoadEstimate,
}

impl AdmissionControl<'_> {
    /// The time that a request is expected to wait beyond its own work, as a share of `time`: the outstanding attempts
    /// divided by the rate at which attempts are served. Zero in the first second after the agent's start.
    pub(crate) fn wait_share(&self, time: Duration) -> f64 {
        // An agent that has just started has served hardly anything yet, so its served rate would look like overload.
        if self
            .started_at
            .is_none_or(|started| self.now < started + RECENT_HALF_LIFE)
        {
            return 0.0;
        }
        let idle_wait = self.load.mean_work;
        let outstanding = self.endpoints.outstanding_count() as f64 + PRIOR_REQUESTS;
        let wait = outstanding / (self.load.served_rate + PRIOR_REQUESTS / idle_wait);
        (wait - idle_wait) / time.as_secs_f64().max(1e-6)
    }

    /// The probability with which a request is rejected because of overload; 0 or less for none, and 1 or more for
    /// always. It is the highest of three values: by the expected wait, which is tolerated longer the higher the
    /// request's priority weight is; by the share of late answers; and the share of attempts that endpoints reject.
    /// Guards against queues from bursts, lost machines, shared slowdowns and retry storms. Rejects requests without
    /// need where answers are late without any queue.
    pub(crate) fn rejection_probability(
        &self,
        demand: &Demand,
        classes: &[ClassPolicy],
        policy: &ClassPolicy,
        objective_left: Duration,
    ) -> f64 {
        let highest_priority = classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(f64::MIN_POSITIVE, f64::max);
        let wait_share = self.wait_share(objective_left);
        let late_share = demand.late_share(self.now, self.load.sample_period);
        let bonus = PRIORITY_WAIT_SHARE_BONUS * policy.priority_weight / highest_priority;
        let overload = f64::max(
            (wait_share - TOLERATED_WAIT_SHARE - bonus) / WAIT_SHARE_RANGE,
            LATE_SHARE_FACTOR * (late_share - TOLERATED_LATE_SHARE),
        );
        overload.max(demand.rejected_share(self.now))
    }
}

/// The Retry-After of a rejection: a quarter of the class's latency objective, at most what the platform allows.
pub(crate) fn retry_after(policy: &ClassPolicy, max_retry_after: Duration) -> Duration {
    (policy.latency_objective / 4).min(max_retry_after)
}
