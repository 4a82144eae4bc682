//! Sums whose older parts decay exponentially.
use std::time::Duration;

/// A sum that decays, brought up to date when it is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Duration,
}

impl DecayingSum {
    /// What is left of the sum now.
    pub(crate) fn read(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Adds a value.
    pub(crate) fn add(&mut self, now: Duration, half_life: Duration, value: f64) {
        *self = DecayingSum {
            sum: self.read(now, half_life) + value,
            updated_at: now,
        };
    }
}

/// Two numbers that are summed, or compared, together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RatioSums {
    pub(crate) numerator: f64,
    pub(crate) denominator: f64,
}

impl RatioSums {
    /// The sums of the numerators and of the denominators.
    pub(crate) fn sum(all: impl Iterator<Item = RatioSums>) -> RatioSums {
        all.fold(RatioSums::default(), |sum, one| RatioSums {
            numerator: sum.numerator + one.numerator,
            denominator: sum.denominator + one.denominator,
        })
    }
}

/// Two sums that decay together, of which the ratio is of interest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    numerator: DecayingSum,
    denominator: DecayingSum,
}

impl DecayingRatio {
    /// Both sums.
    pub(crate) fn read(&self, now: Duration, half_life: Duration) -> RatioSums {
        RatioSums {
            numerator: self.numerator.read(now, half_life),
            denominator: self.denominator.read(now, half_life),
        }
    }

    /// The numerator as a share of the denominator plus `prior`, which keeps few values from counting fully.
    pub(crate) fn share(&self, now: Duration, half_life: Duration, prior: f64) -> f64 {
        let sums = self.read(now, half_life);
        sums.numerator / (sums.denominator + prior)
    }

    /// The share, as if one more had been counted in both sums.
    pub(crate) fn optimistic_share(&self, now: Duration, half_life: Duration) -> f64 {
        let sums = self.read(now, half_life);
        (sums.numerator + 1.0) / (sums.denominator + 1.0)
    }

    /// Adds to both sums.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        half_life: Duration,
        numerator: f64,
        denominator: f64,
    ) {
        self.numerator.add(now, half_life, numerator);
        self.denominator.add(now, half_life, denominator);
    }
}

/// What is left, in seconds, of a stretch of time that was added up as it passed. Of a short one, all.
pub(crate) fn decayed_duration(passed: Duration, half_life: Duration) -> f64 {
    if passed < half_life / 8 {
        return passed.as_secs_f64();
    }
    let mean_life = half_life.as_secs_f64() / std::f64::consts::LN_2;
    mean_life * (1.0 - (-passed.as_secs_f64() / half_life.as_secs_f64()).exp2())
}
