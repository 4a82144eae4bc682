//! Slow start: what an endpoint gets whose process has just started.
use std::time::Duration;

use crate::model::{Arm, Build, Endpoint, PerArm, SlowStartSettings, Zone};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::pending_requests::PendingRequest;

/// Each agent sends at most this share of what would overload an endpoint. With 0.9, and by listed weight alone,
/// an endpoint of a slow model was overloaded.
const BUDGET_SHARE: f64 = 0.75;
/// For so many eighths of the ramp slowness is no evidence.
const EVIDENCE_RAMP_EIGHTHS: u32 = 9;
/// A request chooses between two endpoints, so that one may get twice its share.
const CHOICES: f64 = 2.0;

/// What the budget of an endpoint is worked out from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartLoad {
    /// Work in seconds that the endpoint would carry in a second after warming up.
    pub(crate) full_rate: f64,
    /// All work due in the window, in seconds.
    pub(crate) work_due: f64,
}

/// Keeps endpoints that are warming up from being overloaded.
#[derive(Debug)]
pub(crate) struct SlowStart {
    pub(crate) settings: SlowStartSettings,
}

impl SlowStart {
    /// The least share of its full capacity that an endpoint of this age has; `None` is old.
    pub(crate) fn capacity_share(&self, age: Option<Duration>) -> f64 {
        let ramp = self.settings.ramp;
        let Some(age) = age.filter(|&age| age < ramp) else {
            return 1.0;
        };
        let initial = self.settings.initial_capacity_share;
        initial + (1.0 - initial) * age.as_secs_f64() / ramp.as_secs_f64()
    }

    /// Whether an endpoint was still slow from its start when something was sent to it. An eighth is left beyond
    /// the ramp, since the list shows starts late.
    pub(crate) fn was_warming_up(&self, endpoint: &Endpoint, sent_at: Duration) -> bool {
        endpoint.started.is_some_and(|started| {
            sent_at < started + self.settings.ramp * EVIDENCE_RAMP_EIGHTHS / 8
        })
    }

    /// Whether a request keeps this agent's part of the endpoint's budget: what it would send to one of the same
    /// weight that has warmed up, so that all agents' parts add up to what such a one carries. A part below one
    /// request is a chance of one: the request's random draw, renewed each window, against twice (for the two choices)
    /// what would go there of all work due. Guards against the first requests of hundreds of agents.
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
        let budget = BUDGET_SHARE
            * self.settings.overload_multiple
            * capacity_share
            * load.full_rate
            * window.as_secs_f64();
        let draw = request.slow_start_draw.value;
        let may_be_first = || {
            record.outstanding.is_empty()
                && draw * CHOICES * record.traffic_share * load.work_due < budget
                && sent_work() == 0.0
        };
        capacity_share >= 1.0 || sent_work() + request.work <= budget || may_be_first()
    }

    /// The listed weight of each arm, as far as it belongs to one and has warmed up, less that of endpoints
    /// which are excluded.
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
                let age = now.saturating_sub(start.at);
                start.weight() * (1.0 - self.capacity_share(Some(age)))
            });
            weights[arm] += pool.weight() - missing.sum::<f64>();
        }
        for record in endpoints.ready().filter(|record| is_excluded(record)) {
            if let Some(arm) = arm_of(record.endpoint.build, record.endpoint.zone) {
                weights[arm] -= record.weight() * self.capacity_share(record.age(now));
            }
        }
        PerArm::from_fn(|arm| weights[arm].max(0.0))
    }
}
