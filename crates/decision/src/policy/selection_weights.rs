//! The selection weights by which endpoints are drawn for requests, and the share of requests that the canary gets.
//! They are computed at each refresh.
use std::time::Duration;

use super::exposure::Exposure;
use super::load_balancing::long_run_latency_ratio;
use super::outlier_ejection::is_excluded;
use super::slow_start::SlowStart;
use crate::model::{Arm, FleetPosition, PerArm};
use crate::state::candidates::{Candidate, Candidates};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::load_estimate::LoadEstimate;

/// The selection weight of an endpoint that is not assigned to the agent is multiplied by this, so that it is used only
/// when no assigned one can be.
const UNASSIGNED_WEIGHT_FACTOR: f64 = 1e-3;
/// The canary gets no share of requests while, in relation to its listed weight, more than this many times as many
/// attempts are outstanding at it as at the earlier builds.
const MAX_QUEUE_IMBALANCE: f64 = 1.5;

/// What the selection weights of endpoints are computed from.
#[derive(Clone, Copy)]
pub(crate) struct SelectionWeightInputs<'a> {
    pub(crate) now: Duration,
    pub(crate) fleet_position: FleetPosition,
    pub(crate) load: &'a LoadEstimate,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
    pub(crate) is_panic: bool,
    /// Number of assigned endpoints of an arm: those that the agent mostly uses.
    pub(crate) assigned_count: f64,
    /// For each arm, the rank in the subset at which its assigned endpoints begin; unused without a subset.
    pub(crate) first_assigned_rank: PerArm<usize>,
}

/// The candidates of one arm, and the sums of their listed weights, outstanding attempts and selection weights.
#[derive(Debug, Default)]
struct ArmCandidates {
    candidates: Vec<Candidate>,
    /// Reduced for endpoints that are warming up.
    listed_weight: f64,
    outstanding: f64,
    selection_weight: f64,
}

impl SelectionWeightInputs<'_> {
    /// Lists the endpoints that requests choose from, with their selection weights and the canary's share of requests.
    /// Also records in the table which share of the agent's requests each endpoint would get by its selection weight,
    /// for slow start.
    pub(crate) fn candidates(&self, endpoints: &mut EndpointTable) -> Candidates {
        let mut arms = self.collect(endpoints);
        let listed_weight = if endpoints.has_subset {
            self.listed_weight(endpoints)
        } else {
            PerArm::from_fn(|arm| arms[arm].listed_weight)
        };
        let total_weight = listed_weight.baseline + listed_weight.canary;
        let listed_share = listed_weight.canary / total_weight.max(1e-9);
        // While the canary has more attempts outstanding for its listed weight than the baseline, it gets no share.
        // Guards against a canary on a few slow machines whose queue makes the build look slow: with unequal load the
        // two arms are not comparable.
        let is_canary_congested = arms.canary.outstanding * listed_weight.baseline
            > MAX_QUEUE_IMBALANCE * (arms.baseline.outstanding + 1.0) * listed_weight.canary
            && listed_weight.baseline > 0.0;
        // A cap or a full window can keep the canary from its share, so that all requests go to the earlier builds;
        // and where a build is rolled back, few of these are left, and they are warming up. So the traffic share of
        // baseline endpoints is computed as if all requests went to the baseline.
        for (arm, share) in [(Arm::Baseline, 1.0), (Arm::Canary, listed_share)] {
            let listed = listed_weight[arm];
            self.assign_selection_weights(arm, share, listed, &mut arms[arm], endpoints);
        }
        Candidates {
            by_arm: PerArm {
                baseline: arms.baseline.candidates,
                canary: arms.canary.candidates,
            },
            listed_weight,
            canary_share: if is_canary_congested {
                0.0
            } else {
                listed_share
            },
            is_panic: self.is_panic,
        }
    }

    /// Collects the endpoints of each arm that may get requests, with selection weights by listed weight, slow start
    /// and long-run latency ratio.
    fn collect(&self, endpoints: &EndpointTable) -> PerArm<ArmCandidates> {
        let mut arms = PerArm::<ArmCandidates>::default();
        let is_candidate = |record: &&EndpointRecord| {
            let endpoint = record.endpoint;
            !is_excluded(record, self.now, self.is_panic)
                && record.subset_rank.is_some()
                && self
                    .exposure
                    .operator_permits_any(endpoint.build, endpoint.zone)
        };
        for record in endpoints.ready_records().filter(is_candidate) {
            let capacity_share = self.slow_start.capacity_share(record.age(self.now));
            let listed_weight = record.listed_weight() * capacity_share;
            let selection_weight =
                listed_weight / long_run_latency_ratio(record, self.now, self.load);
            let arm = &mut arms[self.exposure.arm(record.endpoint.build)];
            arm.listed_weight += listed_weight;
            arm.outstanding += record.outstanding.len() as f64;
            arm.selection_weight += selection_weight;
            arm.candidates.push(Candidate {
                endpoint: record.id(),
                selection_weight,
                subset_rank: record.subset_rank,
            });
        }
        arms
    }

    /// The listed weight of each arm over the whole list, not only the subset: without endpoints that are excluded by
    /// their ejection or that the operator's rules close to all requests, and reduced for those that are warming up.
    fn listed_weight(&self, endpoints: &EndpointTable) -> PerArm<f64> {
        let arm_of = |build, zone| {
            self.exposure
                .operator_permits_any(build, zone)
                .then(|| self.exposure.arm(build))
        };
        let excluded = |record: &EndpointRecord| is_excluded(record, self.now, self.is_panic);
        self.slow_start
            .listed_weights(self.now, endpoints, arm_of, excluded)
    }

    /// Records which share of the agent's requests each endpoint of an arm would get if the arm got `share` of them,
    /// then lowers the selection weights of the endpoints that are not assigned to the agent.
    fn assign_selection_weights(
        &self,
        arm: Arm,
        share: f64,
        listed_weight: f64,
        members: &mut ArmCandidates,
        endpoints: &mut EndpointTable,
    ) {
        let count = members.candidates.len() as f64;
        members
            .candidates
            .sort_by_key(|candidate| candidate.subset_rank);
        // Where the assigned endpoints begin, as a fraction of the candidates, and the part of the listed weight that
        // the candidates stand for. With a subset, they begin at a rank of it; without one, agents divide the list
        // evenly.
        let (assigned_start, part_of_listed) = if endpoints.has_subset {
            let first_rank = Some(self.first_assigned_rank[arm]);
            let first = members
                .candidates
                .partition_point(|candidate| candidate.subset_rank < first_rank);
            let part = members.listed_weight / listed_weight.max(members.listed_weight);
            ((first as f64 - 0.5) / count, part)
        } else {
            let agent_count = f64::from(self.fleet_position.agent_count.max(1));
            (f64::from(self.fleet_position.own_id.0) / agent_count, 1.0)
        };
        for (index, candidate) in members.candidates.iter_mut().enumerate() {
            if let Some(record) = endpoints.records.get_mut(&candidate.endpoint) {
                record.traffic_share =
                    share * candidate.selection_weight / members.selection_weight * part_of_listed;
            }
            let distance = (index as f64 / count - assigned_start).rem_euclid(1.0) * count;
            let is_assigned = distance < self.assigned_count;
            candidate.selection_weight *= if is_assigned {
                1.0
            } else {
                UNASSIGNED_WEIGHT_FACTOR
            };
        }
    }
}
