//! Admission control: which requests are rejected under overload, and when the client may retry.
use std::time::Duration;

use crate::model::ClassPolicy;
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;
use crate::state::half_lives::RECENT_HALF_LIFE;
use crate::state::load_estimate::LoadEstimate;

/// Expected wait, as a share of the time left, at which rejections begin for requests without priority.
const TOLERATED_WAIT_SHARE: f64 = 0.15;
/// So much more is tolerated for requests of the highest priority.
const PRIORITY_BONUS: f64 = 0.1;
/// Beyond the tolerated share, rejections grow to all requests over this much more.
const WAIT_RANGE: f64 = 0.25;
/// Share of late answers at which rejections begin. It is all that an agent sees of a queue with hardly a request
/// of its own in it: one with two requests a second sees none by what is outstanding.
const TOLERATED_LATE_SHARE: f64 = 0.15;
/// Beyond that share, rejections grow by this factor.
const LATE_FACTOR: f64 = 2.0;
/// So many idle requests are assumed beside those outstanding, which keeps little traffic from looking like a
/// queue.
const ASSUMED_IDLE_REQUESTS: f64 = 4.0;

/// What overload is measured by.
#[derive(Clone, Copy)]
pub(crate) struct Overload<'a> {
    pub(crate) now: Duration,
    /// When the agent started.
    pub(crate) started_at: Option<Duration>,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) load: &'a LoadEstimate,
}

impl Overload<'_> {
    /// What a request has to wait beyond its work, as a share of a time, by what is outstanding and served.
    pub(crate) fn wait_share(&self, time: Duration) -> f64 {
        // Nothing can have been served yet by an agent that has just come up.
        if self
            .started_at
            .is_none_or(|started| self.now < started + RECENT_HALF_LIFE)
        {
            return 0.0;
        }
        let idle_wait = self.load.mean_work;
        let outstanding = self.endpoints.outstanding_count() as f64 + ASSUMED_IDLE_REQUESTS;
        let wait = outstanding / (self.load.served_rate + ASSUMED_IDLE_REQUESTS / idle_wait);
        (wait - idle_wait) / time.as_secs_f64().max(1e-6)
    }

    /// The probability with which a request is rejected because it would wait too long: the lower its priority,
    /// the sooner. Guards against queues (bursts, lost machines, shared slowdowns, retry storms). Harms where an
    /// idle endpoint is late anyway.
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
        let bonus = PRIORITY_BONUS * policy.priority_weight / highest_priority;
        let overload = f64::max(
            (wait_share - TOLERATED_WAIT_SHARE - bonus) / WAIT_RANGE,
            LATE_FACTOR * (late_share - TOLERATED_LATE_SHARE),
        );
        overload.max(demand.rejected_share(self.now))
    }
}

/// When a client that was rejected may retry: a quarter of its latency objective, as far as the platform allows.
pub(crate) fn retry_after(policy: &ClassPolicy, max_retry_after: Duration) -> Duration {
    (policy.latency_objective / 4).min(max_retry_after)
}
