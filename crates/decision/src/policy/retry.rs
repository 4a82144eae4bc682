//! Attempts of a request: when another one may follow, when the outstanding one is given up for lost, and when
//! the request is given up.
use std::time::Duration;

use crate::model::{AttemptNumber, DeduplicationScope, Idempotency, Outcome, RequestSettings};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::{Attempt, PendingRequest};

/// No request is expected to take longer than this, in seconds.
const MAX_EXPECTED_SECONDS: f64 = 15.0;
/// No attempt begins within so many ticks of the deadline.
const MIN_TIME_LEFT_TICKS: u32 = 4;
/// An attempt may be lost when it has taken so many times the expected time...
const MIN_WAIT_EXPECTED_MULTIPLE: u32 = 4;
/// ... and a fraction of the latency objective: one divided by this.
const MIN_WAIT_OBJECTIVE_DIVISOR: u32 = 4;
/// An attempt that may be lost is looked at again after so many ticks.
const LOST_CHECK_TICKS: u32 = 8;
/// Retries go on with a probability of the share that was served of late, and so much more.
const RETRY_PROBABILITY_BONUS: f64 = 0.1;

/// Times that decide what may still be done for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemainingBudget {
    /// How long an attempt is expected to take.
    pub(crate) expected_time: Duration,
    /// What is left of the latency objective.
    pub(crate) objective_left: Duration,
    /// Whether another attempt may be made.
    pub(crate) may_attempt: bool,
}

impl RemainingBudget {
    pub(crate) fn new(
        now: Duration,
        tick: Duration,
        request: &PendingRequest,
        limits: AttemptLimits<'_>,
        load: &LoadEstimate,
    ) -> Self {
        let expected_time = load.median_pace * request.work.max(load.mean_work);
        let expected_time = Duration::from_secs_f64(expected_time.min(MAX_EXPECTED_SECONDS));
        // When the agent shuts down, nothing begins of which it would not see the end.
        let deadline = request.request.deadline;
        let needed = if deadline == limits.shutdown_deadline {
            expected_time
        } else {
            Duration::ZERO
        };
        let has_time = deadline.saturating_sub(now) > needed.max(tick * MIN_TIME_LEFT_TICKS);
        let has_attempts = request.attempts.len() < limits.settings.max_attempts;
        let objective = request.arrived_at + request.policy.latency_objective;
        RemainingBudget {
            expected_time,
            objective_left: objective.saturating_sub(now),
            may_attempt: has_time && has_attempts && may_resend(request, now),
        }
    }

    /// Whether an answer could no longer earn anything.
    pub(crate) fn is_answer_worthless(&self, request: &PendingRequest) -> bool {
        self.objective_left.is_zero() && request.policy.late_weight_share <= 0.0
    }
}

/// What limits the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits<'a> {
    pub(crate) settings: &'a RequestSettings,
    pub(crate) shutdown_deadline: Duration,
}

/// Whether the rules of idempotency let one more attempt go out, to an endpoint that drops repeats.
pub(crate) fn may_resend(request: &PendingRequest, now: Duration) -> bool {
    match (request.policy.idempotency, request.possible_execution) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::Keyed(_), Some(first)) => {
            now < first.sent_at + request.policy.deduplication_window
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}

/// Whether a request that is given up may be answered as rejected: it did not run, or it may run again.
pub(crate) fn may_reject(request: &PendingRequest) -> bool {
    let is_repeatable = matches!(
        request.policy.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)
    );
    is_repeatable || request.possible_execution.is_none()
}

/// Whether the next attempt is no retry of something that failed.
pub(crate) fn is_first_or_was_rejected(request: &PendingRequest) -> bool {
    request.attempts.is_empty() || request.last_outcome() == Some(Outcome::Rejected)
}

/// The probability with which a request whose last attempt failed is retried: as far as retries have helped of
/// late. Guards against storms over requests that fail wherever they go; harms for some time where a fault
/// has just passed.
pub(crate) fn retry_probability(retry_success: f64) -> f64 {
    retry_success + RETRY_PROBABILITY_BONUS
}

/// What is to be done about an outstanding attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OutstandingStep {
    /// Nothing, until it ends.
    Await,
    /// Look again at this instant.
    CheckAt(Duration),
    /// Cancel it, and look again at `check_at`.
    Cancel {
        number: AttemptNumber,
        check_at: Duration,
    },
}

/// Decides about an outstanding attempt. It is given up for lost if nothing comes from its endpoint, or if the
/// endpoint has answered what was sent later. Guards against lost messages and stuck work as well as dead
/// machines.
pub(crate) fn check_outstanding(
    now: Duration,
    tick: Duration,
    request: &PendingRequest,
    budget: RemainingBudget,
    outstanding: OutstandingCheck<'_>,
) -> OutstandingStep {
    let OutstandingCheck {
        number,
        attempt,
        record,
        may_cancel,
    } = outstanding;
    if !budget.may_attempt || budget.objective_left.is_zero() {
        return OutstandingStep::Await;
    }
    let objective_part = request.policy.latency_objective / MIN_WAIT_OBJECTIVE_DIVISOR;
    let min_wait = (budget.expected_time * MIN_WAIT_EXPECTED_MULTIPLE).max(objective_part);
    if now < attempt.sent_at + min_wait {
        return OutstandingStep::CheckAt(attempt.sent_at + min_wait);
    }
    let is_lost = record.is_none_or(|record| {
        let is_overtaken = record.health.latest_answered_sent_at > attempt.sent_at;
        let is_silent = record.is_ejected() && record.health.last_response < attempt.sent_at;
        is_overtaken || is_silent
    });
    let check_at = now + tick * LOST_CHECK_TICKS;
    if is_lost && may_cancel && !attempt.is_cancelled {
        OutstandingStep::Cancel { number, check_at }
    } else {
        OutstandingStep::CheckAt(check_at)
    }
}

/// An outstanding attempt, and what is known of its endpoint.
pub(crate) struct OutstandingCheck<'a> {
    pub(crate) number: AttemptNumber,
    pub(crate) attempt: &'a Attempt,
    /// The endpoint's record, if it has one.
    pub(crate) record: Option<&'a EndpointRecord>,
    /// Whether the host can cancel attempts.
    pub(crate) may_cancel: bool,
}
