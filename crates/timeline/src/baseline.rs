//! Baselines: shares and means that fade with time. Observations are learned with a delay, so that a departure does not
//! become part of the baseline before it is found.
use std::collections::VecDeque;
use std::time::Duration;

/// What was learned counts half after this time.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(600);
/// Observations wait this long before they are learned: longer than it takes to find a departure.
const LEARNING_DELAY: Duration = Duration::from_secs(8);
/// Observations are gathered for this long before they wait as one sum.
const BATCH_DURATION: Duration = Duration::from_secs(1);
/// How far back [`Baseline::recent`] looks.
const RECENT_WINDOW: Duration = Duration::from_secs(3);

/// A sum of values and of their weights, from which a mean follows.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightedSum {
    /// The sum of the values; of bad observations, how many.
    pub sum: f64,
    /// The sum of the weights; of observations, how many.
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

    /// This sum without a part of it.
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

/// Observations that were gathered and wait to be learned.
#[derive(Clone, Copy, Debug)]
struct PendingSum {
    started: Duration,
    sum: WeightedSum,
}

/// The memory that a sum takes while it waits to be learned, in bytes.
pub(crate) const PENDING_SUM_BYTES: usize = size_of::<PendingSum>();

/// A mean that fades: what was learned, what is recent, and what waits to be learned.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    learned: WeightedSum,
    learned_at: Duration,
    pending: VecDeque<PendingSum>,
}

impl Baseline {
    /// Takes an observation, good or bad; the mean is the share of bad ones.
    pub fn observe(&mut self, now: Duration, bad: bool) {
        self.add(now, WeightedSum::single(f64::from(u8::from(bad))));
    }

    /// Takes a value or a sum of values.
    pub fn add(&mut self, now: Duration, sum: WeightedSum) {
        match self.pending.back_mut() {
            Some(last) if now < last.started + BATCH_DURATION => last.sum.add(sum),
            _ => self.pending.push_back(PendingSum { started: now, sum }),
        }
    }

    /// Learns what has waited long enough. While `suspended`, that is dropped instead, since a departure lasts.
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

    /// The mean, pulled to `prior` as by `prior_weight` observations of it.
    pub fn mean(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.learned.sum + prior * prior_weight) / (self.learned.weight + prior_weight)
    }

    /// The weight of what was learned: how many observations the mean rests on.
    pub fn weight(&self) -> f64 {
        self.learned.weight
    }

    /// What was observed in the last seconds, learned or not.
    pub fn recent(&self, now: Duration) -> WeightedSum {
        let mut recent = WeightedSum::default();
        let is_recent = |pending: &&PendingSum| pending.started + RECENT_WINDOW > now;
        for pending in self.pending.iter().rev().take_while(is_recent) {
            recent.add(pending.sum);
        }
        recent
    }
}
