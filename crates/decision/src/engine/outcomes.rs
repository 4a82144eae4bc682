//! Records the outcome of an attempt: in the health of its endpoint, in the demand, and as evidence about its build.
use std::time::Duration;

use super::DecisionEngine;
use crate::model::{Arm, EndpointId, Outcome};
use crate::policy::outcome_scoring::{ObservedOutcome, QUEUE_WAIT_SHARE};
use crate::policy::outlier_ejection;
use crate::state::demand::EndedAttempt;
use crate::state::endpoint_record::{AttemptId, EndpointRecord, OutstandingAttempt};
use crate::state::endpoint_table::SameBuildFailures;
use crate::state::evidence::WorkSums;

/// An attempt that has ended, and how.
pub(super) struct AttemptResult<'a> {
    pub(super) id: AttemptId,
    pub(super) endpoint: EndpointId,
    pub(super) attempt: &'a OutstandingAttempt,
    pub(super) outcome: Outcome,
    pub(super) took: Duration,
}

impl DecisionEngine {
    /// Records the outcome of an attempt wherever something depends on it, and ejects or readmits its endpoint.
    pub(super) fn on_outcome(&mut self, result: &AttemptResult<'_>) {
        let now = self.now;
        let is_served = result.outcome == Outcome::Succeeded;
        let Some(record) = self.endpoints.records.get(&result.endpoint) else {
            return;
        };
        let same_build = if is_served {
            SameBuildFailures::default()
        } else {
            let build = record.endpoint.build;
            self.endpoints
                .same_build_failures(now, result.endpoint, build)
        };
        let is_endpoint_alive = record.health.last_response > result.attempt.sent_at;
        // The time that an attempt took is no evidence if the agent itself stalled meanwhile.
        let spans_stall = result.attempt.sent_at < self.schedule.resumed_at;
        let ended_attempt = EndedAttempt {
            number: result.id.number,
            outcome: result.outcome,
            is_late: self.is_late(result),
            lacked_connection: lacked_connection(record, result.outcome, now),
        };
        self.record_demand(ended_attempt, result.attempt.work);
        if let Some(record) = self.endpoints.records.get_mut(&result.endpoint) {
            let (outcome, sent_at) = (result.outcome, result.attempt.sent_at);
            record.health.on_attempt_ended(now, outcome, sent_at);
            if is_served && !spans_stall {
                record
                    .health
                    .on_served(now, result.took, result.attempt.work);
            }
            if is_served {
                self.diagnostics
                    .extend(outlier_ejection::readmit(record, now));
            }
            self.diagnostics.extend(outlier_ejection::eject_outlier(
                record, now, outcome, same_build,
            ));
        }
        self.schedule.events_since_refresh += 1;
        if !spans_stall {
            self.record_evidence(result, is_endpoint_alive);
        }
        if is_served {
            let request = self.requests.by_id.get(&result.id.request);
            self.exposure.on_served(result.attempt.build, request);
        }
    }

    /// Whether an attempt took longer than the latency objective of its class.
    fn is_late(&self, result: &AttemptResult<'_>) -> bool {
        self.requests
            .policy(result.attempt.class)
            .is_some_and(|policy| result.took > policy.latency_objective)
    }

    /// Records an outcome, and the work if it was served, in the demand and in the work that is reported to peers.
    fn record_demand(&mut self, attempt: EndedAttempt, work: f64) {
        self.demand
            .on_attempt_ended(self.now, self.load.sample_period, attempt);
        if attempt.outcome == Outcome::Succeeded {
            self.demand.on_served(self.now, work);
            self.analysis.evidence.served_work.add(WorkSums {
                in_time: if attempt.is_late { 0.0 } else { work },
                ..WorkSums::default()
            });
        }
    }

    /// Passes an outcome to the sequential tests, unless its endpoint was ejected. The time taken counts only without a
    /// queue, while both arms answer, and at endpoints that had warmed up: one that is warming up is slow, but fails no
    /// more than others. Guards against taking bursts, slow starts, dead machines and shared slowdowns for faults of
    /// the build.
    fn record_evidence(&mut self, result: &AttemptResult<'_>, is_endpoint_alive: bool) {
        let attempt = result.attempt;
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
        let sample_period = self.load.sample_period;
        let is_comparable = self.analysis.on_arm_answered(self.now, arm, sample_period);
        if arm == Arm::Baseline && !is_comparable {
            return;
        }
        let is_timing_comparable = is_comparable
            && !attempt.was_warming_up
            && self
                .admission_control()
                .wait_share(policy.latency_objective)
                < QUEUE_WAIT_SHARE;
        let record = self.endpoints.records.get(&result.endpoint);
        let model_latency_ratios = &self.analysis.evidence.model_latency_ratios;
        let observed = ObservedOutcome {
            attempt,
            policy: &policy,
            outcome: result.outcome,
            took: result.took,
            is_endpoint_alive,
            is_timing_comparable,
            model_latency_ratio: record.and_then(|record| {
                model_latency_ratios
                    .get(&record.endpoint.machine_model)
                    .copied()
            }),
            mean_work: self.load.mean_work,
        };
        if let Some(counts) = observed.counts() {
            self.analysis
                .on_outcome(result.endpoint, attempt.build, attempt.class, counts);
        }
    }
}

/// Whether an attempt found no connection because connections are short: its endpoint has answered others since the
/// last attempt that found none. An endpoint that is gone or silent has another fault.
fn lacked_connection(record: &EndpointRecord, outcome: Outcome, now: Duration) -> bool {
    let last_failure = record.health.last_connect_failure.unwrap_or(now);
    outcome == Outcome::ConnectFailed && record.health.last_response > last_failure
}
