//! A sequential test that tells a departure from chance: an e-detector (Shin, Ramdas, Rinaldo) of Shiryaev-Roberts form
//! on good or bad observations, weighted by time.
//!
//! The premise is that an observation is bad with probability `p0` at most, whatever came before. Each observation x
//! multiplies the statistic `M` by a bet L(x): p1/p0 if it is bad, (1-p1)/(1-p0) if it is good. The mean of L is at most
//! 1 under the premise. Before that, `M` gains the time in seconds since the last observation. So `M` less the time
//! passed is a supermartingale, and the expected time until `M` first reaches `c` is `c` seconds at least, however many
//! observations that takes, and whenever one stops to look. Several bets are mixed in equal parts, which keeps this.
use std::time::Duration;

/// The probabilities bet on, as shares of the way from `p0` to 1: small rises and large ones.
const BET_RISES: [f64; 3] = [0.15, 0.45, 0.9];
/// The bet by which the beginning of a change is estimated.
const MIDDLE_BET: usize = 1;
/// `p0` is taken to be within these bounds.
const MIN_P0: f64 = 1e-4;
const MAX_P0: f64 = 0.95;
/// Keeps the statistic finite; far above any threshold.
const MAX_STATISTIC_SECONDS: f64 = 1e30;

/// The factors for a given `p0`, computed once for many observations. The first of a pair is for a good observation,
/// the second for a bad one.
#[derive(Clone, Copy, Debug)]
pub struct Bets {
    factors: [[f64; BET_RISES.len()]; 2],
    /// The logarithms of the middle bet's factors.
    middle_logs: [f64; 2],
}

impl Bets {
    /// Bets against the premise that an observation is bad with probability `p0` at most.
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

/// Where a change seems to have begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeEstimate {
    /// When it seems to have begun.
    pub onset: Duration,
    /// The share of bad observations since then.
    pub bad_share: f64,
}

/// Observations since the estimated onset.
#[derive(Clone, Copy, Debug, Default)]
struct SinceOnset {
    observations: u32,
    bad: u32,
}

/// A running test.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    /// The statistic of each bet, in seconds.
    statistics: [f64; BET_RISES.len()],
    /// The sum of the middle bet's logarithms. A change seems to have begun when that was last at its lowest.
    log_sum: f64,
    lowest_log_sum: f64,
    onset: Duration,
    last_observed: Option<Duration>,
    since_onset: SinceOnset,
}

impl SequentialTest {
    /// Takes an observation.
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
        // Only differences count: kept near 0, so that no precision is lost with age.
        self.log_sum -= self.lowest_log_sum;
        self.lowest_log_sum = 0.0;
    }

    /// The evidence, in seconds: reaching `c` by chance takes `c` seconds at least in the mean.
    pub fn evidence(&self) -> f64 {
        self.statistics.iter().sum::<f64>() / BET_RISES.len() as f64
    }

    /// Where a change seems to have begun.
    pub fn change_estimate(&self) -> ChangeEstimate {
        let SinceOnset { observations, bad } = self.since_onset;
        ChangeEstimate {
            onset: self.onset,
            bad_share: f64::from(bad) / f64::from(observations.max(1)),
        }
    }
}
