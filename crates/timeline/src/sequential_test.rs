//! A sequential test that distinguishes a departure from chance: an e-detector (Shin, Ramdas, Rinaldo) of
//! Shiryaev-Roberts form on good or bad observations, weighted by time.
//!
//! The null hypothesis is that an observation is bad with probability at most `p0`, whatever the earlier observations
//! were. At each observation x, the time in seconds since the last one is added to the statistic `M`, and the sum is
//! multiplied by a bet L(x): p1/p0 if x is bad, (1-p1)/(1-p0) if it is good. Under the null hypothesis the mean of L is
//! at most 1. Hence `M` minus the elapsed time is a supermartingale, and the expected time until `M` first reaches `c`
//! is at least `c` seconds, for any number of observations and any stopping rule. The mean of several bets keeps this
//! property.
use std::time::Duration;

/// The alternatives p1 of the bets, from small rises to large ones: each as a share of the distance from `p0` to 1.
const BET_RISES: [f64; 3] = [0.15, 0.45, 0.9];
/// The index in [`BET_RISES`] of the bet that estimates the onset of a change.
const MIDDLE_BET: usize = 1;
/// The lower bound of `p0`, which keeps the factors finite.
const MIN_P0: f64 = 1e-4;
/// The upper bound of `p0`, which leaves room for a rise.
const MAX_P0: f64 = 0.95;
/// Upper bound that keeps the statistic finite; far above any threshold.
const MAX_STATISTIC_SECONDS: f64 = 1e30;

/// The factors for a given `p0`, computed once for many observations. Index 0 of each array is for a good observation,
/// index 1 for a bad one.
#[derive(Clone, Copy, Debug)]
pub struct Bets {
    factors: [[f64; BET_RISES.len()]; 2],
    /// The logarithms of the middle bet's factors.
    middle_logs: [f64; 2],
}

impl Bets {
    /// Bets against the null hypothesis that an observation is bad with probability at most `p0`.
    pub fn new(p0: f64) -> Self {
        let p0 = p0.clamp(MIN_P0, MAX_P0);
        let p1 = BET_RISES.map(|rise| p0 + rise * (1.0 - p0));
        let good = p1.map(|p1| (1.0 - p1) / (1.0 - p0));
        let bad = p1.map(|p1| p1 / p0);
        Bets {
            factors: [good, bad],
            middle_logs: [good[MIDDLE_BET].ln(), bad[MIDDLE_BET].ln()],
        }
    }
}

/// The estimated onset of a change, and the share of bad observations since then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeEstimate {
    /// When the change is estimated to have begun.
    pub onset: Duration,
    /// The share of bad observations since the onset, from 0 to 1.
    pub bad_share: f64,
}

/// Observations since the estimated onset.
#[derive(Clone, Copy, Debug, Default)]
struct SinceOnset {
    observations: u32,
    bad: u32,
}

/// The state of a running test.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    /// The statistic of each bet, in seconds.
    statistics: [f64; BET_RISES.len()],
    /// The sum of the logarithms of the middle bet's factors. The estimated onset is the time of its last minimum.
    log_sum: f64,
    lowest_log_sum: f64,
    onset: Duration,
    last_observed: Option<Duration>,
    since_onset: SinceOnset,
}

impl SequentialTest {
    /// Updates the statistics and the estimated onset with an observation.
    pub fn observe(&mut self, now: Duration, bets: &Bets, bad: bool) {
        let outcome = usize::from(bad);
        let elapsed = self
            .last_observed
            .map_or(0.0, |last| now.saturating_sub(last).as_secs_f64());
        self.last_observed = Some(now);
        for (statistic, factor) in self.statistics.iter_mut().zip(bets.factors[outcome]) {
            *statistic = ((*statistic + elapsed) * factor).min(MAX_STATISTIC_SECONDS);
        }
        self.log_sum += bets.middle_logs[outcome];
        if self.log_sum <= self.lowest_log_sum || self.since_onset.observations == 0 {
            self.lowest_log_sum = self.log_sum;
            self.onset = now;
            self.since_onset = SinceOnset::default();
        }
        self.since_onset.observations = self.since_onset.observations.saturating_add(1);
        self.since_onset.bad += u32::from(bad);
        // Only the difference matters, so both are shifted towards 0 to keep floating-point precision in a long run.
        self.log_sum -= self.lowest_log_sum;
        self.lowest_log_sum = 0.0;
    }

    /// The evidence, in seconds: by chance alone, the mean time until it reaches `c` is at least `c` seconds.
    pub fn evidence(&self) -> f64 {
        self.statistics.iter().sum::<f64>() / BET_RISES.len() as f64
    }

    /// The estimated onset of a change, whether or not the evidence suffices to report it.
    pub fn change_estimate(&self) -> ChangeEstimate {
        let SinceOnset { observations, bad } = self.since_onset;
        ChangeEstimate {
            onset: self.onset,
            bad_share: f64::from(bad) / f64::from(observations.max(1)),
        }
    }
}
