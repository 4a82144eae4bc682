//! With which odds endpoints are drawn, and which share of requests the canary gets.
use std::time::Duration;

use super::exposure::Exposure;
use super::load_balancing::baseline_pace;
use super::outlier_ejection::is_excluded;
use super::slow_start::SlowStart;
use crate::model::{Arm, FleetPosition, PerArm};
use crate::state::candidates::{Candidate, Candidates};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::load_estimate::LoadEstimate;

/// Odds of an endpoint that is not assigned to the agent, over those of an assigned one: it is used only when no
/// assigned one accepts.
const UNASSIGNED_ODDS: f64 = 1e-3;
/// The canary gets no share while so many times as much waits there, for its weight, as at earlier builds.
const QUEUE_IMBALANCE: f64 = 1.5;

/// What the odds depend on.
#[derive(Clone, Copy)]
pub(crate) struct OddsInputs<'a> {
    pub(crate) now: Duration,
    pub(crate) fleet_position: FleetPosition,
    pub(crate) load: &'a LoadEstimate,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
    pub(crate) is_panic: bool,
    /// How many endpoints of an arm the agent mostly uses, and at which rank of each arm they begin.
    pub(crate) assigned_count: f64,
    pub(crate) first_assigned: PerArm<usize>,
}

/// The candidates of one arm, and sums over them.
#[derive(Debug, Default)]
struct ArmCandidates {
    candidates: Vec<Candidate>,
    weight: f64,
    outstanding: f64,
    odds: f64,
}

impl OddsInputs<'_> {
    /// Lists the endpoints that requests choose from, with their odds, and records in the table what part of the
    /// agent's requests each would get.
    pub(crate) fn candidates(&self, endpoints: &mut EndpointTable) -> Candidates {
        let mut arms = self.collect(endpoints);
        let listed_weight = if endpoints.has_subset {
            self.listed_weight(endpoints)
        } else {
            PerArm::from_fn(|arm| arms[arm].weight)
        };
        let total_weight = listed_weight.baseline + listed_weight.canary;
        let listed_share = listed_weight.canary / total_weight.max(1e-9);
        // No share while more waits at the canary, for its weight, than elsewhere. Guards against few, slow
        // machines that queue and look like a slow build: unequal loads do not compare.
        let is_queued = arms.canary.outstanding * listed_weight.baseline
            > QUEUE_IMBALANCE * (arms.baseline.outstanding + 1.0) * listed_weight.canary
            && listed_weight.baseline > 0.0;
        // A cap, or a full window, keeps from the canary what is its share: at times all goes to the earlier
        // builds, of which few, warming up, are left where a build is rolled back. So these count with all.
        for (arm, share) in [(Arm::Baseline, 1.0), (Arm::Canary, listed_share)] {
            let listed = listed_weight[arm];
            self.assign(arm, share, listed, &mut arms[arm], endpoints);
        }
        Candidates {
            by_arm: PerArm {
                baseline: arms.baseline.candidates,
                canary: arms.canary.candidates,
            },
            listed_weight,
            canary_share: if is_queued { 0.0 } else { listed_share },
            is_panic: self.is_panic,
        }
    }

    fn collect(&self, endpoints: &EndpointTable) -> PerArm<ArmCandidates> {
        let mut arms = PerArm::<ArmCandidates>::default();
        let is_candidate = |record: &&EndpointRecord| {
            let endpoint = record.endpoint;
            !is_excluded(record, self.now, self.is_panic)
                && record.rank.is_some()
                && self
                    .exposure
                    .operator_permits_any(endpoint.build, endpoint.zone)
        };
        for record in endpoints.ready().filter(is_candidate) {
            let capacity_share = self.slow_start.capacity_share(record.age(self.now));
            let weight = record.weight() * capacity_share;
            let odds = weight / baseline_pace(record, self.now, self.load);
            let arm = &mut arms[self.exposure.arm(record.endpoint.build)];
            arm.weight += weight;
            arm.outstanding += record.outstanding.len() as f64;
            arm.odds += odds;
            arm.candidates.push(Candidate {
                endpoint: record.id(),
                odds,
                rank: record.rank,
            });
        }
        arms
    }

    /// By what the list says of all, less what is excluded.
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

    /// Lowers the odds of endpoints that are not assigned to the agent, and records each one's part of an arm
    /// that gets this share of the requests.
    fn assign(
        &self,
        arm: Arm,
        share: f64,
        listed_weight: f64,
        members: &mut ArmCandidates,
        endpoints: &mut EndpointTable,
    ) {
        let count = members.candidates.len() as f64;
        members.candidates.sort_by_key(|candidate| candidate.rank);
        // The assigned endpoints of a subset begin at a rank, and its part is that of what is listed.
        let (first, part_of_listed) = if endpoints.has_subset {
            let first_rank = Some(self.first_assigned[arm]);
            let first = members
                .candidates
                .partition_point(|candidate| candidate.rank < first_rank);
            let part = members.weight / listed_weight.max(members.weight);
            ((first as f64 - 0.5) / count, part)
        } else {
            let agent_count = f64::from(self.fleet_position.agent_count.max(1));
            (f64::from(self.fleet_position.own_id.0) / agent_count, 1.0)
        };
        for (index, candidate) in members.candidates.iter_mut().enumerate() {
            if let Some(record) = endpoints.records.get_mut(&candidate.endpoint) {
                record.traffic_share = share * candidate.odds / members.odds * part_of_listed;
            }
            let distance = (index as f64 / count - first).rem_euclid(1.0) * count;
            let is_assigned = distance < self.assigned_count;
            candidate.odds *= if is_assigned { 1.0 } else { UNASSIGNED_ODDS };
        }
    }
}
