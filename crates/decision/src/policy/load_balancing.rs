//! Load balancing: which endpoint a request goes to, by two random choices.
use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, WeightError};
use rand_pcg::Pcg64Mcg;

use super::exposure::Exposure;
use super::outlier_ejection;
use super::slow_start::{SlowStart, SlowStartLoad};
use crate::model::{Arm, EndpointId, EndpointStatus, Idempotency, Zone};
use crate::state::candidates::{Candidate, Candidates};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::evidence::Evidence;
use crate::state::half_lives::{BASELINE, RECENT};
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::PendingRequest;

/// A few draws mostly find an endpoint that accepts; where little is open, the whole arm is searched.
const DRAWS: usize = 4;
/// An endpoint that a request has been to already is chosen with odds lower by this factor.
const RETRIED_ODDS_DIVISOR: f64 = 100.0;
/// Cost of an endpoint in another zone, over that of one in the agent's own.
const REMOTE_ZONE_COST: f64 = 2.0;
/// Weight of the failure share in the cost: an endpoint that fails everything costs ten times as much.
const FAILURE_COST: f64 = 0.9;
/// An endpoint's recent pace counts fully against its baseline when it rests on the work of so many requests.
const PACE_PRIOR_REQUESTS: f64 = 2.0;
/// Lower bound of an endpoint's long-run pace.
const MIN_PACE: f64 = 1e-3;

/// An endpoint's own pace in the long run, drawn to that of all while it is little known.
pub(crate) fn baseline_pace(record: &EndpointRecord, now: Duration, load: &LoadEstimate) -> f64 {
    let own = record.health.baseline_pace.read(now, BASELINE);
    ((own.numerator + load.baseline_pace) / (own.denominator + 1.0)).max(MIN_PACE)
}

/// An endpoint's pace of late, drawn to its long-run one.
pub(crate) fn recent_pace(record: &EndpointRecord, now: Duration, load: &LoadEstimate) -> f64 {
    let own = record.health.recent_pace.read(now, RECENT);
    let prior = PACE_PRIOR_REQUESTS * load.mean_work;
    (own.numerator + prior * baseline_pace(record, now, load)) / (own.denominator + prior)
}

/// What was found for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Choice {
    /// An endpoint.
    Endpoint(EndpointId),
    /// None, or with a subset only one that the request has been to: outside the subset there may be another.
    SearchOutside {
        /// The endpoint that it has been to.
        fallback: Option<EndpointId>,
    },
}

/// What the choice of an endpoint depends on.
#[derive(Clone, Copy)]
pub(crate) struct EndpointSelection<'a> {
    pub(crate) now: Duration,
    pub(crate) local_zone: Zone,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) candidates: &'a Candidates,
    pub(crate) subset_is_full: bool,
    pub(crate) load: &'a LoadEstimate,
    pub(crate) evidence: &'a Evidence,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
}

impl EndpointSelection<'_> {
    /// Two random choices by weight within an arm; the arm by the canary's share of the listed weight.
    pub(crate) fn choose(&self, request: &PendingRequest, random: &mut Pcg64Mcg) -> Choice {
        // A request that the canary has failed is better served by an earlier build.
        let was_sent_to_canary = request
            .attempts
            .iter()
            .any(|attempt| self.exposure.canary_limit(attempt.build).is_some());
        let draws_canary = random.random::<f64>() < self.candidates.canary_share;
        let arm = if draws_canary && !was_sent_to_canary {
            Arm::Canary
        } else {
            Arm::Baseline
        };
        let mut fallback = None;
        for arm in [arm, arm.other()] {
            let candidates = &self.candidates.by_arm[arm];
            let Some(first) = self.draw_or_search(request, candidates, random) else {
                continue;
            };
            if self.endpoints.has_subset && request.was_sent_to(first) {
                fallback = fallback.or(Some(first));
                continue;
            }
            let second = self.draw(request, candidates, random);
            let second = second.ok().flatten().unwrap_or(first);
            let is_cheaper = self.cost(second) < self.cost(first);
            return Choice::Endpoint(if is_cheaper { second } else { first });
        }
        Choice::SearchOutside { fallback }
    }

    /// Draws an endpoint that accepts the request and that it has not been to.
    ///
    /// # Errors
    /// There is none with any odds to draw from.
    fn draw(
        &self,
        request: &PendingRequest,
        candidates: &[Candidate],
        random: &mut Pcg64Mcg,
    ) -> Result<Option<EndpointId>, WeightError> {
        for _ in 0..DRAWS {
            let drawn = candidates.choose_weighted(random, |candidate| candidate.odds)?;
            let endpoint = drawn.endpoint;
            if self.permits(request, endpoint) && !request.was_sent_to(endpoint) {
                return Ok(Some(endpoint));
            }
        }
        Ok(None)
    }

    /// Draws an endpoint; if that fails, one of all that accept the request.
    fn draw_or_search(
        &self,
        request: &PendingRequest,
        candidates: &[Candidate],
        random: &mut Pcg64Mcg,
    ) -> Option<EndpointId> {
        let drawn = self.draw(request, candidates, random).ok()?;
        if drawn.is_some() {
            return drawn;
        }
        let permitted: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| self.permits(request, candidate.endpoint))
            .collect();
        let odds = |candidate: &&Candidate| {
            if request.was_sent_to(candidate.endpoint) {
                candidate.odds / RETRIED_ODDS_DIVISOR
            } else {
                candidate.odds
            }
        };
        permitted
            .choose_weighted(random, odds)
            .ok()
            .map(|candidate| candidate.endpoint)
    }

    /// Whether a request may go to an endpoint now.
    pub(crate) fn permits(&self, request: &PendingRequest, endpoint: EndpointId) -> bool {
        let record = self.endpoints.records.get(&endpoint);
        let Some(record) = record.filter(|record| record.endpoint.status == EndpointStatus::Ready)
        else {
            return false;
        };
        // Listed weights leave out how fast a model is; what the mean one carries can overload a slow one.
        let full_rate = self.load.capacity_per_weight
            * record.weight()
            * self.evidence.relative_speed(record.endpoint.machine_model);
        let load = SlowStartLoad {
            full_rate,
            work_due: self.load.work_due,
        };
        // An ejected endpoint is not tried with a retry while the subset has others.
        let may_try_ejected = request.policy.idempotency != Idempotency::NonIdempotent
            && (request.attempts.is_empty() || !self.subset_is_full);
        let is_panic = self.candidates.is_panic;
        request.may_go_to(&record.endpoint)
            && !outlier_ejection::is_excluded(record, self.now, is_panic)
            && (!record.is_ejected() || is_panic || may_try_ejected)
            && self.slow_start.permits(self.now, record, request, load)
            && self
                .exposure
                .permits_now(self.now, record.endpoint, request)
    }

    /// What a request may expect to wait at an endpoint, against what is usual there. Speed and weight are in the
    /// odds already: counted twice, they crowded the fastest.
    fn cost(&self, endpoint: EndpointId) -> f64 {
        let Some(record) = self.endpoints.records.get(&endpoint) else {
            return f64::MAX;
        };
        let zone_cost = if record.endpoint.zone == self.local_zone {
            1.0
        } else {
            REMOTE_ZONE_COST
        };
        let slowdown =
            recent_pace(record, self.now, self.load) / baseline_pace(record, self.now, self.load);
        let outstanding =
            record.outstanding.len() as f64 * self.load.mean_weight / record.weight().max(1e-3);
        zone_cost * (1.0 + outstanding) * slowdown
            / (1.0 - FAILURE_COST * record.health.failure_share(self.now))
    }
}
