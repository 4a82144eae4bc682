//! Sums whose older contributions decay exponentially.
use std::time::Duration;

/// An exponentially decaying sum. Decay is applied when the sum is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Duration,
}

impl DecayingSum {
    /// The decayed value at `now`.
    pub(crate) fn read(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / half_life.as_secs_f64()).exp2()
    }

    pub(crate) fn add(&mut self, now: Duration, half_life: Duration, value: f64) {
        *self = DecayingSum {
            sum: self.read(now, half_life) + value,
            updated_at: now,
        };
    }
}

/// The numerator and the denominator of a ratio, kept apart so that they can be summed before they are divided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RatioSums {
    pub(crate) numerator: f64,
    pub(crate) denominator: f64,
}

impl RatioSums {
    /// Adds up the numerators and, apart from them, the denominators.
    pub(crate) fn sum(terms: impl Iterator<Item = RatioSums>) -> RatioSums {
        terms.fold(RatioSums::default(), |sum, term| RatioSums {
            numerator: sum.numerator + term.numerator,
            denominator: sum.denominator + term.denominator,
        })
    }
}

/// A ratio of two sums that decay with the same half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    numerator: DecayingSum,
    denominator: DecayingSum,
}

impl DecayingRatio {
    /// Both decayed sums at `now`.
    pub(crate) fn read(&self, now: Duration, half_life: Duration) -> RatioSums {
        RatioSums {
            numerator: self.numerator.read(now, half_life),
            denominator: self.denominator.read(now, half_life),
        }
    }

    /// The numerator over the denominator plus `prior`, which pulls the share towards 0 while few values are counted.
    pub(crate) fn share(&self, now: Duration, half_life: Duration, prior: f64) -> f64 {
        let sums = self.read(now, half_life);
        sums.numerator / (sums.denominator + prior)
    }

    /// The ratio with 1 added to both sums, which pulls it towards 1 while few values are counted.
    pub(crate) fn optimistic_share(&self, now: Duration, half_life: Duration) -> f64 {
        let sums = self.read(now, half_life);
        (sums.numerator + 1.0) / (sums.denominator + 1.0)
    }

    /// Adds one value to the numerator and one to the denominator.
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

/// The decayed value, in seconds, of a duration that was added to a sum continuously while it elapsed. Decay within
/// less than an eighth of the half-life is neglected.
pub(crate) fn decayed_duration(elapsed: Duration, half_life: Duration) -> f64 {
    if elapsed < half_life / 8 {
        return elapsed.as_secs_f64();
    }
    let mean_life = half_life.as_secs_f64() / std::f64::consts::LN_2;
    mean_life * (1.0 - (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2())
}
