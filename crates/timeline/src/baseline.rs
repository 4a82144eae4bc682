//! Baselines: shares and means with exponential decay. Observations are learned with a delay, so that a departure does
//! not become part of the baseline before it is detected.
use std::collections::VecDeque;
use std::time::Duration;

/// The time after which a learned observation has half its weight.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(600);
/// How long observations are pending before they are learned; longer than it takes to detect a departure.
const LEARNING_DELAY: Duration = Duration::from_secs(8);
/// Observations within this time are added up into one pending sum, which bounds the number of sums.
const BATCH_DURATION: Duration = Duration::from_secs(1);
/// The window of [`Baseline::recent`].
const RECENT_WINDOW: Duration = Duration::from_secs(3);

/// A sum of values and a sum of their weights; their quotient is the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightedSum {
    /// The sum of the values. For good or bad observations it is the number of bad ones.
    pub sum: f64,
    /// The sum of the weights. For good or bad observations it is the number of observations.
    pub weight: f64,
}

impl WeightedSum {
    /// One value of weight 1.
    pub fn single(value: f64) -> WeightedSum {
        WeightedSum {
            sum: value,
            weight: 1.0,
        }
    }

    /// Adds another sum.
    pub fn add(&mut self, other: WeightedSum) {
        self.sum += other.sum;
        self.weight += other.weight;
    }

    /// Subtracts a part of this sum.
    pub fn without(self, part: WeightedSum) -> WeightedSum {
        WeightedSum {
            sum: self.sum - part.sum,
            weight: self.weight - part.weight,
        }
    }

    fn decay(&mut self, elapsed: Duration) {
        let kept = (-elapsed.as_secs_f64() / LEARNED_HALF_LIFE.as_secs_f64()).exp2();
        self.sum *= kept;
        self.weight *= kept;
    }
}

/// The sum of the observations of one [`BATCH_DURATION`] that are not learned yet.
#[derive(Clone, Copy, Debug)]
struct PendingSum {
    started: Duration,
    sum: WeightedSum,
}

/// The memory of one pending sum, in bytes.
pub(crate) const PENDING_SUM_BYTES: usize = size_of::<PendingSum>();

/// A mean with exponential decay, and the sums that are pending before they are learned.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    learned: WeightedSum,
    learned_at: Duration,
    pending: VecDeque<PendingSum>,
}

impl Baseline {
    /// Adds a good or bad observation; the mean is then the share of bad ones.
    pub fn observe(&mut self, now: Duration, bad: bool) {
        self.add(now, WeightedSum::single(f64::from(u8::from(bad))));
    }

    /// Adds a value or a sum of values.
    pub fn add(&mut self, now: Duration, sum: WeightedSum) {
        match self.pending.back_mut() {
            Some(last) if now < last.started + BATCH_DURATION => last.sum.add(sum),
            _ => self.pending.push_back(PendingSum { started: now, sum }),
        }
    }

    /// Learns the sums that were pending for the learning delay. While `suspended`, they are dropped instead, so that
    /// an open or suspected departure does not become part of the baseline.
    pub fn learn(&mut self, now: Duration, suspended: bool) {
        while let Some(&PendingSum { started, sum }) = self.pending.front() {
            if started + LEARNING_DELAY > now {
                return;
            }
            self.pending.pop_front();
            if !suspended {
                self.learned.decay(now.saturating_sub(self.learned_at));
                self.learned_at = now;
                self.learned.add(sum);
            }
        }
    }

    /// The mean, shrunk towards `prior` as if `prior_weight` observations of that value had been learned.
    pub fn mean(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.learned.sum + prior * prior_weight) / (self.learned.weight + prior_weight)
    }

    /// The decayed weight of the learned observations; without decay it would be their number.
    pub fn weight(&self) -> f64 {
        self.learned.weight
    }

    /// The sum of the observations within the last three seconds, all of which are still pending.
    pub fn recent(&self, now: Duration) -> WeightedSum {
        let mut recent = WeightedSum::default();
        let is_recent = |pending: &&PendingSum| pending.started + RECENT_WINDOW > now;
        for pending in self.pending.iter().rev().take_while(is_recent) {
            recent.add(pending.sum);
        }
        recent
    }
}
