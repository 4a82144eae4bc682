//! Demand: the work that requests ask for, and how much of it is served.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::{DecayingRatio, DecayingSum, RatioSums, decayed_duration};
use super::half_lives::{LONG_RUN_HALF_LIFE, RECENT_HALF_LIFE};
use crate::model::{AttemptNumber, Outcome, Request, RequestClass};

/// Half-life of the rates of requests and attempts served.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Attempts assumed to have ended well beside those counted, so that a single one is not taken for a shortage or
/// an overload.
const PRIOR_ATTEMPTS: f64 = 2.0;

/// What [`Demand`] records of an attempt that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    /// It took longer than the latency objective.
    pub(crate) is_late: bool,
    /// No connection could be opened to an endpoint that answered since an earlier attempt failed to connect: its
    /// connections are used up.
    pub(crate) lacked_connection: bool,
}

/// The work that the agent's requests ask for, and how their attempts end.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Estimated work in seconds and number of requests, by class.
    work_estimates: BTreeMap<RequestClass, DecayingRatio>,
    /// Served work in seconds over listed weight times seconds: the capacity of a unit of weight.
    capacity_per_weight: DecayingRatio,
    /// Attempts served recently.
    recently_served: DecayingSum,
    /// Attempts that lacked a connection (see [`EndedAttempt::lacked_connection`]), over all that ended.
    connection_shortage_ratio: DecayingRatio,
    /// Attempts that an endpoint rejected, over all that ended.
    rejection_ratio: DecayingRatio,
    /// Attempts answered after the latency objective or timed out, over all that were answered or timed out.
    late_ratio: DecayingRatio,
    /// Attempts served, over requests received.
    served_and_received: DecayingRatio,
    /// Seconds that the agent has been up, decaying like `served_and_received`.
    uptime: DecayingSum,
    /// Retries served, over all retries that succeeded or failed.
    retry_success_ratio: DecayingRatio,
}

impl Demand {
    /// Mean estimated work of a request in seconds, over the classes that `accepts` selects; `None` without an
    /// estimate.
    pub(crate) fn mean_work(
        &self,
        now: Duration,
        accepts: impl Fn(RequestClass) -> bool,
    ) -> Option<f64> {
        let accepted = self
            .work_estimates
            .iter()
            .filter(|(class, _)| accepts(**class));
        let sums =
            RatioSums::sum(accepted.map(|(_, estimates)| estimates.read(now, LONG_RUN_HALF_LIFE)));
        (sums.denominator > 0.0).then(|| sums.numerator / sums.denominator)
    }

    /// Records a request; returns its work in seconds: its own estimate, or else the mean of its class.
    pub(crate) fn on_request(&mut self, now: Duration, request: &Request) -> Option<f64> {
        self.served_and_received.add(now, RATE_HALF_LIFE, 0.0, 1.0);
        if let Some(estimate) = request.estimated_work {
            self.work_estimates.entry(request.class).or_default().add(
                now,
                LONG_RUN_HALF_LIFE,
                estimate.as_secs_f64(),
                1.0,
            );
        }
        request
            .estimated_work
            .map(|estimate| estimate.as_secs_f64())
            .or_else(|| self.mean_work(now, |class| class == request.class))
    }

    /// Records how an attempt ended. `sample_period` is the half-life of the shares of late answers and of
    /// successful retries.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Duration,
        sample_period: Duration,
        attempt: EndedAttempt,
    ) {
        let count = |applies: bool| f64::from(u8::from(applies));
        let is_served = attempt.outcome == Outcome::Succeeded;
        let is_rejected = attempt.outcome == Outcome::Rejected;
        self.rejection_ratio
            .add(now, RECENT_HALF_LIFE, count(is_rejected), 1.0);
        self.connection_shortage_ratio.add(
            now,
            LONG_RUN_HALF_LIFE,
            count(attempt.lacked_connection),
            1.0,
        );
        if is_served || attempt.outcome == Outcome::TimedOut {
            let is_late = !is_served || attempt.is_late;
            self.late_ratio.add(now, sample_period, count(is_late), 1.0);
        }
        let is_answered = matches!(attempt.outcome, Outcome::Succeeded | Outcome::Failed);
        if attempt.number.0 > 0 && is_answered {
            self.retry_success_ratio
                .add(now, sample_period, count(is_served), 1.0);
        }
    }

    /// Records that `elapsed` time has passed at this listed weight; returns their product in weight times seconds,
    /// decayed with the half-life of long-run values.
    pub(crate) fn on_elapsed(
        &mut self,
        now: Duration,
        elapsed: Duration,
        listed_weight: f64,
    ) -> f64 {
        let weight_seconds = decayed_duration(elapsed, LONG_RUN_HALF_LIFE) * listed_weight;
        self.capacity_per_weight
            .add(now, LONG_RUN_HALF_LIFE, 0.0, weight_seconds);
        let uptime = decayed_duration(elapsed, RATE_HALF_LIFE);
        self.uptime.add(now, RATE_HALF_LIFE, uptime);
        weight_seconds
    }

    /// Records an attempt that was served, with its work in seconds.
    pub(crate) fn on_served(&mut self, now: Duration, work: f64) {
        self.recently_served.add(now, RECENT_HALF_LIFE, 1.0);
        self.capacity_per_weight
            .add(now, LONG_RUN_HALF_LIFE, work, 0.0);
        self.served_and_received.add(now, RATE_HALF_LIFE, 1.0, 0.0);
    }

    /// Capacity of a unit of listed weight, as served work in seconds per second.
    pub(crate) fn capacity_per_weight(&self, now: Duration) -> f64 {
        let capacity = self.capacity_per_weight.read(now, LONG_RUN_HALF_LIFE);
        capacity.numerator / capacity.denominator.max(1e-9)
    }

    /// Recent rate of served attempts, per second.
    pub(crate) fn served_rate(&self, now: Duration) -> f64 {
        let served = self.recently_served.read(now, RECENT_HALF_LIFE);
        served * std::f64::consts::LN_2 / RECENT_HALF_LIFE.as_secs_f64()
    }

    /// Rate of received requests, per second. It is taken over the agent's uptime, so that an agent that has just
    /// started does not underestimate it.
    pub(crate) fn request_rate(&self, now: Duration) -> f64 {
        let received = self.served_and_received.read(now, RATE_HALF_LIFE);
        received.denominator / self.uptime.read(now, RATE_HALF_LIFE).max(1e-3)
    }

    /// Share of attempts that lacked a connection (see [`EndedAttempt::lacked_connection`]).
    pub(crate) fn connection_shortage(&self, now: Duration) -> f64 {
        self.connection_shortage_ratio
            .share(now, LONG_RUN_HALF_LIFE, PRIOR_ATTEMPTS)
    }

    /// Recent share of attempts that an endpoint rejected.
    pub(crate) fn rejected_share(&self, now: Duration) -> f64 {
        self.rejection_ratio.share(now, RECENT_HALF_LIFE, 1.0)
    }

    /// Share of attempts that were answered after the latency objective or timed out.
    pub(crate) fn late_share(&self, now: Duration, sample_period: Duration) -> f64 {
        self.late_ratio.share(now, sample_period, PRIOR_ATTEMPTS)
    }

    /// Share of retries that were served; 1 without any.
    pub(crate) fn retry_success(&self, now: Duration, sample_period: Duration) -> f64 {
        self.retry_success_ratio
            .optimistic_share(now, sample_period)
    }
}
