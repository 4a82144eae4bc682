//! Retries: when a request may have another attempt, when the outstanding attempt is taken for lost, and when the
//! request is given up.
use std::time::Duration;

use crate::model::{AttemptNumber, DeduplicationScope, Idempotency, Outcome, RequestSettings};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::{Attempt, PendingRequest};

/// Upper bound of the time that an attempt is expected to take, in seconds.
const MAX_EXPECTED_SECONDS: f64 = 15.0;
/// No attempt begins within this many ticks before the deadline.
const MIN_TIME_LEFT_TICKS: u32 = 4;
/// An attempt may be taken for lost only after this many times the time that it is expected to take.
const MIN_WAIT_EXPECTED_MULTIPLE: u32 = 4;
/// An attempt may be taken for lost only after the latency objective divided by this.
const MIN_WAIT_OBJECTIVE_DIVISOR: u32 = 4;
/// An attempt that has waited long enough to be lost is checked again after this many ticks.
const LOST_CHECK_TICKS: u32 = 8;
/// Added to the share of recent retries that were served, to give the probability of a retry: some retries go on even
/// when none has helped.
const RETRY_PROBABILITY_BONUS: f64 = 0.1;

/// The time and the attempts that a request has left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemainingBudget {
    /// How long an attempt is expected to take, by the median latency ratio of all endpoints.
    pub(crate) expected_time: Duration,
    /// What is left of the latency objective; zero once it has passed.
    pub(crate) objective_left: Duration,
    /// Whether another attempt may be made: there is time before the deadline, the limit of attempts is not reached,
    /// and the rules of idempotency permit it.
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
        let expected_time = load.median_latency_ratio * request.work.max(load.mean_work);
        let expected_time = Duration::from_secs_f64(expected_time.min(MAX_EXPECTED_SECONDS));
        // While the agent shuts down, no attempt begins that is not expected to end before the shutdown does.
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

    /// Whether an answer would earn nothing any more: the latency objective has passed, and the class gives late
    /// answers no weight.
    pub(crate) fn is_answer_worthless(&self, request: &PendingRequest) -> bool {
        self.objective_left.is_zero() && request.policy.late_weight_share <= 0.0
    }
}

/// The limits that apply to the attempts of all requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits<'a> {
    pub(crate) settings: &'a RequestSettings,
    /// No answer may be later than this; `Duration::MAX` until a shutdown begins.
    pub(crate) shutdown_deadline: Duration,
}

/// The end of the deduplication window, if the request is keyed and may have run: endpoints run what they get later.
pub(crate) fn resend_limit(request: &PendingRequest) -> Option<Duration> {
    match (request.policy.idempotency, request.possible_execution) {
        (Idempotency::Keyed(_), Some(first)) => {
            Some(first.sent_at + request.policy.deduplication_window)
        }
        _ => None,
    }
}

/// Whether the rules of idempotency permit one more attempt: the request has not run, or may run twice, or its key is
/// still within the deduplication window of the endpoints that know it.
pub(crate) fn may_resend(request: &PendingRequest, now: Duration) -> bool {
    match request.policy.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed(_) => resend_limit(request).is_none_or(|limit| now < limit),
        Idempotency::NonIdempotent => request.possible_execution.is_none(),
    }
}

/// Whether a request that is given up may be answered as rejected, so that the client may send it again: it cannot have
/// run, or it may run again on any endpoint. Otherwise it is answered as failed.
pub(crate) fn may_reject(request: &PendingRequest) -> bool {
    let is_repeatable = matches!(
        request.policy.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)
    );
    is_repeatable || request.possible_execution.is_none()
}

/// Whether the next attempt is the first, or follows a rejection. Such an attempt does not retry a failure: admission
/// control decides on it.
pub(crate) fn is_first_or_was_rejected(request: &PendingRequest) -> bool {
    request.attempts.is_empty() || request.last_outcome() == Some(Outcome::Rejected)
}

/// The probability with which a request whose last attempt failed is retried: the share of recent retries that were
/// served, and [`RETRY_PROBABILITY_BONUS`]. Guards against retry storms over requests that fail wherever they go. Costs
/// some requests their retry for a while after a fault has passed.
pub(crate) fn retry_probability(retry_success: f64) -> f64 {
    retry_success + RETRY_PROBABILITY_BONUS
}

/// What is to be done about an outstanding attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OutstandingStep {
    /// Nothing until it ends: no other attempt may follow, or it would begin after the latency objective.
    Await,
    /// Check it again at this instant, unless it ends before.
    CheckAt(Duration),
    /// Cancel it, and check the request again at `check_at`.
    Cancel {
        number: AttemptNumber,
        check_at: Duration,
    },
}

/// Decides what is to be done about an outstanding attempt, if another one could still follow within the latency
/// objective. Once it has waited for long enough, it is taken for lost if its endpoint has no record any more, has
/// answered an attempt that was sent later, or is ejected and has sent nothing since. Guards against lost messages and
/// stuck work as well as dead machines.
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

/// What the check of an outstanding attempt depends on.
pub(crate) struct OutstandingCheck<'a> {
    pub(crate) number: AttemptNumber,
    pub(crate) attempt: &'a Attempt,
    /// The endpoint's record, if it has one.
    pub(crate) record: Option<&'a EndpointRecord>,
    /// Whether the host can cancel attempts.
    pub(crate) may_cancel: bool,
}
