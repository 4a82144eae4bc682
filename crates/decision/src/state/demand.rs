//! What requests demand of the fleet, and what of it was served.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::{DecayingRatio, DecayingSum, RatioSums, decayed_duration};
use super::half_lives::{BASELINE_HALF_LIFE, RECENT_HALF_LIFE};
use crate::model::{AttemptNumber, Outcome, Request, RequestClass};

/// Half-life of the rates of requests and attempts served.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// So many attempts are assumed beside those counted, so that one alone is no shortage or overload.
const PRIOR_ATTEMPTS: f64 = 2.0;

/// How an attempt ended, as far as the demand is concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    /// It took longer than the latency objective.
    pub(crate) is_late: bool,
    /// It found no connection at an endpoint that answers others.
    pub(crate) lacked_connection: bool,
}

/// What requests demand of the fleet, and what of it was served.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Estimated work in seconds and number of requests, by class.
    estimates: BTreeMap<RequestClass, DecayingRatio>,
    /// Served work, and listed weight times seconds: what a unit of weight is seen to carry.
    carried: DecayingRatio,
    /// Attempts served of late.
    recently_served: DecayingSum,
    /// Attempts that found no connection where connections are short, and all that ended.
    connection_shortage: DecayingRatio,
    /// Attempts that an endpoint rejected, and all that ended.
    rejections: DecayingRatio,
    /// Answers that came after the latency objective or not at all, and all answers.
    late_answers: DecayingRatio,
    /// Attempts served, and requests received, in the long run.
    served_and_received: DecayingRatio,
    /// For how many seconds the agent has been up meanwhile.
    uptime: DecayingSum,
    /// Retries served, and all that ended with an answer.
    retries: DecayingRatio,
}

impl Demand {
    /// Mean estimated work of a request in seconds, over the classes that the filter accepts.
    pub(crate) fn mean_work(
        &self,
        now: Duration,
        accepts: impl Fn(RequestClass) -> bool,
    ) -> Option<f64> {
        let accepted = self.estimates.iter().filter(|(class, _)| accepts(**class));
        let sums =
            RatioSums::sum(accepted.map(|(_, estimates)| estimates.read(now, BASELINE_HALF_LIFE)));
        (sums.denominator > 0.0).then(|| sums.numerator / sums.denominator)
    }

    /// Records a request; returns its work in seconds by its estimate, or by the mean of its class.
    pub(crate) fn on_request(&mut self, now: Duration, request: &Request) -> Option<f64> {
        self.served_and_received.add(now, RATE_HALF_LIFE, 0.0, 1.0);
        if let Some(estimate) = request.estimated_work {
            self.estimates.entry(request.class).or_default().add(
                now,
                BASELINE_HALF_LIFE,
                estimate.as_secs_f64(),
                1.0,
            );
        }
        request
            .estimated_work
            .map(|estimate| estimate.as_secs_f64())
            .or_else(|| self.mean_work(now, |class| class == request.class))
    }

    /// Records how an attempt ended. `sample_period` is the half-life of what a few answers are to show.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Duration,
        sample_period: Duration,
        attempt: EndedAttempt,
    ) {
        let count = |yes: bool| f64::from(u8::from(yes));
        let is_served = attempt.outcome == Outcome::Succeeded;
        let is_rejected = attempt.outcome == Outcome::Rejected;
        self.rejections
            .add(now, RECENT_HALF_LIFE, count(is_rejected), 1.0);
        self.connection_shortage.add(
            now,
            BASELINE_HALF_LIFE,
            count(attempt.lacked_connection),
            1.0,
        );
        if is_served || attempt.outcome == Outcome::TimedOut {
            let is_late = !is_served || attempt.is_late;
            self.late_answers
                .add(now, sample_period, count(is_late), 1.0);
        }
        let is_answered = matches!(attempt.outcome, Outcome::Succeeded | Outcome::Failed);
        if attempt.number.0 > 0 && is_answered {
            self.retries.add(now, sample_period, count(is_served), 1.0);
        }
    }

    /// Records that time has passed at this listed weight; returns their product as far as it counts now.
    pub(crate) fn on_elapsed(
        &mut self,
        now: Duration,
        passed: Duration,
        listed_weight: f64,
    ) -> f64 {
        let weight_seconds = decayed_duration(passed, BASELINE_HALF_LIFE) * listed_weight;
        self.carried
            .add(now, BASELINE_HALF_LIFE, 0.0, weight_seconds);
        let uptime = decayed_duration(passed, RATE_HALF_LIFE);
        self.uptime.add(now, RATE_HALF_LIFE, uptime);
        weight_seconds
    }

    /// Records that work, in seconds, was served.
    pub(crate) fn on_served(&mut self, now: Duration, work: f64) {
        self.recently_served.add(now, RECENT_HALF_LIFE, 1.0);
        self.carried.add(now, BASELINE_HALF_LIFE, work, 0.0);
        self.served_and_received.add(now, RATE_HALF_LIFE, 1.0, 0.0);
    }

    /// Served work in seconds for each unit of listed weight and second.
    pub(crate) fn capacity_per_weight(&self, now: Duration) -> f64 {
        let carried = self.carried.read(now, BASELINE_HALF_LIFE);
        carried.numerator / carried.denominator.max(1e-9)
    }

    /// Attempts served a second, of late.
    pub(crate) fn served_rate(&self, now: Duration) -> f64 {
        let served = self.recently_served.read(now, RECENT_HALF_LIFE);
        served * std::f64::consts::LN_2 / RECENT_HALF_LIFE.as_secs_f64()
    }

    /// Requests received a second, over the time that the agent has been up: one that has just started
    /// receives no fewer than others.
    pub(crate) fn request_rate(&self, now: Duration) -> f64 {
        let received = self.served_and_received.read(now, RATE_HALF_LIFE);
        received.denominator / self.uptime.read(now, RATE_HALF_LIFE).max(1e-3)
    }

    /// Share of attempts that found no connection where connections are short.
    pub(crate) fn connection_shortage(&self, now: Duration) -> f64 {
        self.connection_shortage
            .share(now, BASELINE_HALF_LIFE, PRIOR_ATTEMPTS)
    }

    /// Share of attempts that an endpoint rejected.
    pub(crate) fn rejected_share(&self, now: Duration) -> f64 {
        self.rejections.share(now, RECENT_HALF_LIFE, 1.0)
    }

    /// Share of answers that came after the latency objective or not at all.
    pub(crate) fn late_share(&self, now: Duration, sample_period: Duration) -> f64 {
        self.late_answers.share(now, sample_period, PRIOR_ATTEMPTS)
    }

    /// Share of retries that were served, 1 while there was none.
    pub(crate) fn retry_success(&self, now: Duration, sample_period: Duration) -> f64 {
        self.retries.optimistic_share(now, sample_period)
    }
}
