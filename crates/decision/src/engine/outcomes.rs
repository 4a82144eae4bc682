//! What the outcome of an attempt says of its endpoint, of queues, and of a build.
use std::time::Duration;

use super::DecisionEngine;
use crate::model::{Arm, EndpointId, Outcome};
use crate::policy::outcome_scoring::{ObservedOutcome, QUEUE_WAIT_SHARE};
use crate::policy::outlier_ejection;
use crate::state::demand::EndedAttempt;
use crate::state::endpoint_record::{AttemptId, EndpointRecord, OutstandingAttempt};
use crate::state::endpoint_table::PeerFailures;
use crate::state::evidence::WorkSums;

/// An attempt that has ended.
pub(super) struct AttemptResult<'a> {
    pub(super) id: AttemptId,
    pub(super) endpoint: EndpointId,
    pub(super) attempt: &'a OutstandingAttempt,
    pub(super) outcome: Outcome,
    pub(super) took: Duration,
}

impl DecisionEngine {
    /// Takes in how an attempt ended.
    pub(super) fn on_outcome(&mut self, ended: &AttemptResult<'_>) {
        let now = self.now;
        let is_served = ended.outcome == Outcome::Succeeded;
        let Some(record) = self.endpoints.records.get(&ended.endpoint) else {
            return;
        };
        let peers = if is_served {
            PeerFailures::default()
        } else {
            let build = record.endpoint.build;
            self.endpoints.peer_failures(now, ended.endpoint, build)
        };
        let is_endpoint_alive = record.health.last_response > ended.attempt.sent_at;
        // What was outstanding while the agent itself stood still is no evidence.
        let spans_stall = ended.attempt.sent_at < self.schedule.resumed_at;
        let ended_attempt = EndedAttempt {
            number: ended.id.number,
            outcome: ended.outcome,
            is_late: self.is_late(ended),
            lacked_connection: lacked_connection(record, ended.outcome, now),
        };
        self.record_demand(ended_attempt, ended.attempt.work);
        if let Some(record) = self.endpoints.records.get_mut(&ended.endpoint) {
            let (outcome, sent_at) = (ended.outcome, ended.attempt.sent_at);
            record.health.on_attempt_ended(now, outcome, sent_at);
            if is_served && !spans_stall {
                record.health.on_served(now, ended.took, ended.attempt.work);
            }
            if is_served {
                self.notes.extend(outlier_ejection::readmit(record, now));
            }
            self.notes
                .extend(outlier_ejection::eject_outlier(record, now, outcome, peers));
        }
        self.schedule.events += 1;
        if !spans_stall {
            self.record_evidence(ended, is_endpoint_alive);
        }
        if is_served {
            let request = self.requests.by_id.get(&ended.id.request);
            self.exposure.on_served(ended.attempt.build, request);
        }
    }

    fn is_late(&self, ended: &AttemptResult<'_>) -> bool {
        self.requests
            .policy(ended.attempt.class)
            .is_some_and(|policy| ended.took > policy.latency_objective)
    }

    fn record_demand(&mut self, attempt: EndedAttempt, work: f64) {
        self.demand
            .on_attempt_ended(self.now, self.load.few_requests, attempt);
        if attempt.outcome == Outcome::Succeeded {
            self.demand.on_served(self.now, work);
            self.analysis.evidence.served_work.add(WorkSums {
                in_time: if attempt.is_late { 0.0 } else { work },
                ..WorkSums::default()
            });
        }
    }

    /// Passes an outcome to the tests. Slowness counts only without a queue, while both builds answer, and not of
    /// an endpoint that was warming up, which is slow but fails no more than others. Guards against bursts, slow
    /// starts, dead machines and shared slowdowns.
    fn record_evidence(&mut self, ended: &AttemptResult<'_>, is_endpoint_alive: bool) {
        let attempt = ended.attempt;
        let Some(&policy) = self.requests.policy(attempt.class) else {
            return;
        };
        if attempt.was_ejected || self.analysis.tests.is_empty() {
            return;
        }
        let arm = if self.analysis.is_canary(attempt.build) {
            Arm::Canary
        } else {
            Arm::Baseline
        };
        let few_requests = self.load.few_requests;
        let is_comparable = self.analysis.on_arm_answered(self.now, arm, few_requests);
        if arm == Arm::Baseline && !is_comparable {
            return;
        }
        let is_timing_comparable = is_comparable
            && !attempt.was_warming_up
            && self.overload().wait_share(policy.latency_objective) < QUEUE_WAIT_SHARE;
        let record = self.endpoints.records.get(&ended.endpoint);
        let model_paces = &self.analysis.evidence.model_paces;
        let observed = ObservedOutcome {
            attempt,
            policy: &policy,
            outcome: ended.outcome,
            took: ended.took,
            is_endpoint_alive,
            is_timing_comparable,
            model_pace: record
                .and_then(|record| model_paces.get(&record.endpoint.machine_model).copied()),
            mean_work: self.load.mean_work,
        };
        if let Some(counts) = observed.counts() {
            self.analysis
                .on_outcome(ended.endpoint, attempt.build, attempt.class, counts);
        }
    }
}

/// Whether an attempt found no connection where connections are short: at what has answered between two attempts
/// that found none. What is gone or silent is another fault.
fn lacked_connection(record: &EndpointRecord, outcome: Outcome, now: Duration) -> bool {
    let last_failure = record.health.last_connect_failure.unwrap_or(now);
    outcome == Outcome::ConnectFailed && record.health.last_response > last_failure
}
