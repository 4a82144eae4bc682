//! Slow start: limits the work that is sent to an endpoint whose process has just started, until it has warmed up.
use std::time::Duration;

use crate::model::{Arm, Build, Endpoint, PerArm, SlowStartSettings, Zone};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::pending_requests::PendingRequest;

/// All agents together may send a warming endpoint at most this share of the work that would overload it. With 0.9, and
/// with budgets by listed weight alone, an endpoint of a slow model was overloaded.
const OVERLOAD_BUDGET_SHARE: f64 = 0.75;
/// For this many eighths of the ramp after an endpoint's start, its slow answers are no evidence against its build: an
/// eighth more than the ramp, since the endpoint list shows starts late.
const NO_EVIDENCE_RAMP_EIGHTHS: u32 = 9;
/// Number of endpoints that a request chooses between, so that one endpoint may get twice its share of the traffic.
const CHOICES_PER_REQUEST: f64 = 2.0;

/// What the budget of a warming endpoint is computed from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartLoad {
    /// Work in seconds that the endpoint would carry in a second for this agent once it has warmed up.
    pub(crate) full_capacity: f64,
    /// Work, in seconds, of this agent's pending requests and of those expected within the overload window.
    pub(crate) expected_work: f64,
}

/// Keeps endpoints that are warming up from being overloaded.
#[derive(Debug)]
pub(crate) struct SlowStart {
    pub(crate) settings: SlowStartSettings,
}

impl SlowStart {
    /// The share of its full capacity that an endpoint of this age is sure to have, 0 to 1: it grows linearly over
    /// the ramp. An age of `None` means that the endpoint started long ago.
    pub(crate) fn capacity_share(&self, age: Option<Duration>) -> f64 {
        let ramp = self.settings.ramp;
        let Some(age) = age.filter(|&age| age < ramp) else {
            return 1.0;
        };
        let initial = self.settings.initial_capacity_share;
        initial + (1.0 - initial) * age.as_secs_f64() / ramp.as_secs_f64()
    }

    /// Whether an endpoint may still have been slow because of its start when an attempt was sent to it.
    pub(crate) fn was_warming_up(&self, endpoint: &Endpoint, sent_at: Duration) -> bool {
        endpoint.started.is_some_and(|started| {
            sent_at < started + self.settings.ramp * NO_EVIDENCE_RAMP_EIGHTHS / 8
        })
    }

    /// Whether a request may go to an endpoint without exceeding this agent's part of the endpoint's budget. That part
    /// follows from what the agent would send to an endpoint of the same weight that has warmed up, so that the parts
    /// of all agents add up to what such an endpoint carries. Where the part is less than one request, it becomes the
    /// probability of one: the request's random draw, renewed each window, must be below the budget divided by the work
    /// that would go there: the endpoint's share of all expected work, times the two choices of each request.
    /// Without that draw, the first requests of hundreds of agents would overload the endpoint together.
    pub(crate) fn permits(
        &self,
        now: Duration,
        record: &EndpointRecord,
        request: &PendingRequest,
        load: SlowStartLoad,
    ) -> bool {
        let capacity_share = self.capacity_share(record.age(now));
        let window = self.settings.overload_window;
        let sent_work = || record.sent_work(now, window);
        let budget = OVERLOAD_BUDGET_SHARE
            * self.settings.overload_multiple
            * capacity_share
            * load.full_capacity
            * window.as_secs_f64();
        let draw = request.slow_start_draw.value;
        let may_be_first = || {
            record.outstanding.is_empty()
                && draw * CHOICES_PER_REQUEST * record.traffic_share * load.expected_work < budget
                && sent_work() == 0.0
        };
        capacity_share >= 1.0 || sent_work() + request.work <= budget || may_be_first()
    }

    /// The listed weight of each arm over all ready endpoints, reduced for those that are warming up, and without those
    /// that `is_excluded` names. Endpoints for which `arm_of` returns `None` count in neither arm.
    pub(crate) fn listed_weights(
        &self,
        now: Duration,
        endpoints: &EndpointTable,
        arm_of: impl Fn(Build, Zone) -> Option<Arm>,
        is_excluded: impl Fn(&EndpointRecord) -> bool,
    ) -> PerArm<f64> {
        let mut weights = PerArm::<f64>::default();
        for (build, zone, pool) in endpoints.catalog.pools() {
            let Some(arm) = arm_of(build, zone) else {
                continue;
            };
            let warming_up = pool.started_after(now.saturating_sub(self.settings.ramp));
            let missing = warming_up.map(|start| {
                endpoints.catalog.count_visits(1);
                let age = now.saturating_sub(start.started_at);
                start.listed_weight() * (1.0 - self.capacity_share(Some(age)))
            });
            weights[arm] += pool.listed_weight() - missing.sum::<f64>();
        }
        for record in endpoints
            .ready_records()
            .filter(|record| is_excluded(record))
        {
            if let Some(arm) = arm_of(record.endpoint.build, record.endpoint.zone) {
                weights[arm] -= record.listed_weight() * self.capacity_share(record.age(now));
            }
        }
        PerArm::from_fn(|arm| weights[arm].max(0.0))
    }
}
