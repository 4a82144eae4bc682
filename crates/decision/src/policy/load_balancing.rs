//! Load balancing: which endpoint a request goes to. The arm is drawn first, then two endpoints of it by their
//! selection weights (power of two choices); the request goes to the one where it is expected to wait less.
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
use crate::state::half_lives::{LONG_RUN_HALF_LIFE, RECENT_HALF_LIFE};
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::PendingRequest;

/// Weighted draws before the whole arm is searched: a few mostly find an endpoint that the request may go to, unless
/// hardly any is.
const MAX_DRAWS: usize = 4;
/// In the search of the whole arm, the selection weight of an endpoint that the request has already been sent to is
/// divided by this: it is used only where there is hardly another.
const REPEATED_ENDPOINT_WEIGHT_DIVISOR: f64 = 100.0;
/// Cost of an endpoint in another zone, as a multiple of that of one in the agent's own zone.
const REMOTE_ZONE_COST_MULTIPLE: f64 = 2.0;
/// Weight of an endpoint's failure share in its cost: one that fails everything costs 1 / (1 - 0.9), ten times as much.
const FAILURE_COST_WEIGHT: f64 = 0.9;
/// Weight of the long-run latency ratio in an endpoint's recent latency ratio, in mean requests: with as much recent
/// work the two count alike, with less the long-run latency ratio prevails.
const LATENCY_RATIO_PRIOR_REQUESTS: f64 = 2.0;
/// Lower bound of an endpoint's long-run latency ratio, which other values are divided by.
const MIN_LATENCY_RATIO: f64 = 1e-3;

/// An endpoint's long-run latency ratio: time taken divided by estimated work. While little work of it is known, the
/// value is close to the mean of all endpoints.
pub(crate) fn long_run_latency_ratio(
    record: &EndpointRecord,
    now: Duration,
    load: &LoadEstimate,
) -> f64 {
    let own = record
        .health
        .long_run_latency_ratio
        .read(now, LONG_RUN_HALF_LIFE);
    ((own.numerator + load.long_run_latency_ratio) / (own.denominator + 1.0)).max(MIN_LATENCY_RATIO)
}

/// An endpoint's recent latency ratio. While little recent work of it is known, the value is close to its long-run
/// latency ratio.
pub(crate) fn recent_latency_ratio(
    record: &EndpointRecord,
    now: Duration,
    load: &LoadEstimate,
) -> f64 {
    let own = record
        .health
        .recent_latency_ratio
        .read(now, RECENT_HALF_LIFE);
    let prior = LATENCY_RATIO_PRIOR_REQUESTS * load.mean_work;
    (own.numerator + prior * long_run_latency_ratio(record, now, load)) / (own.denominator + prior)
}

/// The result of choosing an endpoint for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Choice {
    /// The request goes to this endpoint.
    Endpoint(EndpointId),
    /// There is no endpoint to choose, or, where the agent works with a subset, only one that the request has already
    /// been sent to. Outside the subset there may be another.
    SearchOutsideSubset {
        /// The endpoint that the request has already been sent to, if any: it is used if none is found outside.
        fallback: Option<EndpointId>,
    },
}

/// Everything that the choice of an endpoint depends on, as of one round.
#[derive(Clone, Copy)]
pub(crate) struct EndpointSelection<'a> {
    pub(crate) now: Duration,
    pub(crate) local_zone: Zone,
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) candidates: &'a Candidates,
    pub(crate) subset_is_sufficient: bool,
    pub(crate) load: &'a LoadEstimate,
    pub(crate) evidence: &'a Evidence,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
}

impl EndpointSelection<'_> {
    /// Chooses an endpoint: the canary's arm with a probability of the canary's share of the listed weight, then the
    /// cheaper one of two endpoints of that arm, drawn by their selection weights. If the arm has none that the request
    /// may go to, the other arm is tried.
    pub(crate) fn choose(&self, request: &PendingRequest, random: &mut Pcg64Mcg) -> Choice {
        // A request that was sent to a canary and needs another attempt goes to an earlier build: the canary may fail
        // it again.
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
        Choice::SearchOutsideSubset { fallback }
    }

    /// Draws an endpoint that the request may go to and has not been sent to; `None` if a few draws find none.
    ///
    /// # Errors
    /// No candidate has a selection weight above zero.
    fn draw(
        &self,
        request: &PendingRequest,
        candidates: &[Candidate],
        random: &mut Pcg64Mcg,
    ) -> Result<Option<EndpointId>, WeightError> {
        for _ in 0..MAX_DRAWS {
            let drawn =
                candidates.choose_weighted(random, |candidate| candidate.selection_weight)?;
            let endpoint = drawn.endpoint;
            if self.permits(request, endpoint) && !request.was_sent_to(endpoint) {
                return Ok(Some(endpoint));
            }
        }
        Ok(None)
    }

    /// Draws an endpoint; if a few draws find none, draws one of all the candidates that the request may go to, also of
    /// those that it has already been sent to.
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
        let selection_weight = |candidate: &&Candidate| {
            if request.was_sent_to(candidate.endpoint) {
                candidate.selection_weight / REPEATED_ENDPOINT_WEIGHT_DIVISOR
            } else {
                candidate.selection_weight
            }
        };
        permitted
            .choose_weighted(random, selection_weight)
            .ok()
            .map(|candidate| candidate.endpoint)
    }

    /// Whether a request may go to an endpoint now. The endpoint must be ready and not excluded by its ejection, and
    /// the rules of deduplication, slow start and exposure must all permit it.
    pub(crate) fn permits(&self, request: &PendingRequest, endpoint: EndpointId) -> bool {
        let record = self.endpoints.records.get(&endpoint);
        let Some(record) = record.filter(|record| record.endpoint.status == EndpointStatus::Ready)
        else {
            return false;
        };
        // A listed weight does not include the speed of the endpoint's model: the load that a mean model carries can
        // overload a slow one.
        let full_capacity = self.load.capacity_per_weight
            * record.listed_weight()
            * self.evidence.relative_speed(record.endpoint.machine_model);
        let load = SlowStartLoad {
            full_capacity,
            expected_work: self.load.expected_work,
        };
        // An ejected endpoint is not tried with a request that must not run twice, nor with a retry while the subset
        // has others.
        let may_try_ejected = request.policy.idempotency != Idempotency::NonIdempotent
            && (request.attempts.is_empty() || !self.subset_is_sufficient);
        let is_panic = self.candidates.is_panic;
        request.may_go_to(&record.endpoint)
            && !outlier_ejection::is_excluded(record, self.now, is_panic)
            && (!record.is_ejected() || is_panic || may_try_ejected)
            && self.slow_start.permits(self.now, record, request, load)
            && self
                .exposure
                .permits_within_cap(self.now, record.endpoint, request)
    }

    /// The wait that a request may expect at an endpoint, in relation to the wait that is usual there; without unit.
    /// The endpoint's speed and weight are left out, since the selection weight contains them: when they counted twice,
    /// the fastest endpoints were overcrowded.
    fn cost(&self, endpoint: EndpointId) -> f64 {
        let Some(record) = self.endpoints.records.get(&endpoint) else {
            return f64::MAX;
        };
        let zone_cost = if record.endpoint.zone == self.local_zone {
            1.0
        } else {
            REMOTE_ZONE_COST_MULTIPLE
        };
        let slowdown = recent_latency_ratio(record, self.now, self.load)
            / long_run_latency_ratio(record, self.now, self.load);
        let outstanding = record.outstanding.len() as f64 * self.load.mean_listed_weight
            / record.listed_weight().max(1e-3);
        zone_cost * (1.0 + outstanding) * slowdown
            / (1.0 - FAILURE_COST_WEIGHT * record.health.failure_share(self.now))
    }
}
