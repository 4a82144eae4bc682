//! The mixture sequential probability ratio test (mSPRT) of Johari, Koomen, Pekelis and Walsh, "Peeking at A/B
//! Tests" (KDD 2017), for two failure rates. Its p-value stays valid however often it is read while outcomes come in.
//! Formula and section numbers are the paper's. Nothing here depends on what the outcomes are of.
use std::collections::BTreeMap;

use crate::model::EndpointId;

/// Parameters of a sequential test.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTestSettings {
    /// Tolerated difference of the two failure rates (the paper's theta0).
    pub tolerated_difference: f64,
    /// Standard deviation of the normal mixing distribution over that difference (the paper's tau).
    pub mixing_deviation: f64,
    /// Level of the test: its probability of a false alarm (the paper's alpha).
    pub level: f64,
}

/// Number of outcomes, and how many of them are failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trials {
    pub(crate) outcomes: f64,
    pub(crate) failures: f64,
}

impl Trials {
    /// Adds outcomes. A failure may come alone, for an outcome that was counted as good before; failures are limited to
    /// the number of outcomes.
    fn add(&mut self, outcomes: f64, failures: f64) {
        let total = self.outcomes + outcomes;
        self.failures = (self.failures + failures).min(total);
        self.outcomes = total;
    }

    fn rate(&self) -> f64 {
        self.failures / self.outcomes.max(1.0)
    }
}

/// The intersection of the confidence intervals of the difference so far (formula 10).
#[derive(Clone, Copy, Debug)]
struct ConfidenceInterval {
    lower: f64,
    upper: f64,
}

impl ConfidenceInterval {
    const UNBOUNDED: ConfidenceInterval = ConfidenceInterval {
        lower: f64::MIN,
        upper: f64::MAX,
    };
}

/// A test of whether the canary's failure rate (the paper's Y) exceeds that of the earlier builds (its X) by more than
/// the tolerated difference.
#[derive(Debug)]
pub struct SequentialTest {
    settings: SequentialTestSettings,
    baseline: Trials,
    canary: Trials,
    by_canary_endpoint: BTreeMap<EndpointId, Trials>,
    p_value: f64,
    interval: ConfidenceInterval,
}

impl SequentialTest {
    /// Creates a test that has no outcomes yet.
    pub fn new(settings: SequentialTestSettings) -> Self {
        SequentialTest {
            settings,
            baseline: Trials::default(),
            canary: Trials::default(),
            by_canary_endpoint: BTreeMap::new(),
            p_value: 1.0,
            interval: ConfidenceInterval::UNBOUNDED,
        }
    }

    /// The always valid p-value, 0 to 1. The canary is worse than the baseline, at the test's level, once this is not
    /// above that level.
    pub fn p_value(&self) -> f64 {
        self.p_value
    }

    /// Adds outcomes, `failures` of which are failures, of one of the canary's endpoints, or of the earlier builds if
    /// `canary_endpoint` is `None`.
    pub fn observe(&mut self, canary_endpoint: Option<EndpointId>, outcomes: f64, failures: f64) {
        self.count(canary_endpoint, outcomes, failures);
        let n = self.baseline.outcomes.min(self.canary.outcomes);
        let (x, y) = (self.baseline.rate(), self.canary.rate());
        // The variance V of formula 12; the likelihood ratio is 1 where it is 0.
        let variance = x * (1.0 - x) + y * (1.0 - y);
        if n < 1.0 || variance <= 0.0 {
            return;
        }
        let SequentialTestSettings {
            tolerated_difference,
            mixing_deviation,
            level,
        } = self.settings;
        let mixed = variance + n * mixing_deviation * mixing_deviation;
        let spread = 2.0 * variance * mixed / (n * mixing_deviation).powi(2);
        // The likelihood ratio of formula 12.
        let likelihood_ratio =
            (variance / mixed).sqrt() * ((y - x - tolerated_difference).powi(2) / spread).exp();
        // Formula 9, but one-sided: a canary that has been better for a while must not count as different, and so as
        // worse, later on.
        if y - x > tolerated_difference {
            self.p_value = self.p_value.min(1.0 / likelihood_ratio);
        }
        // Formula 10 with that likelihood ratio: the interval holds all differences whose ratio is below 1 / level.
        let half_width = (spread * ((1.0 / level).ln() + 0.5 * (mixed / variance).ln())).sqrt();
        self.interval = ConfidenceInterval {
            lower: self.interval.lower.max(y - x - half_width),
            upper: self.interval.upper.min(y - x + half_width),
        };
        // Section 4.4: when the estimate leaves the interval, inference begins anew.
        if y - x < self.interval.lower || y - x > self.interval.upper {
            self.p_value = 1.0;
            self.interval = ConfidenceInterval::UNBOUNDED;
        }
    }

    /// Adds outcomes to the sums of their arm, and of their endpoint if it is one of the canary's.
    fn count(&mut self, canary_endpoint: Option<EndpointId>, outcomes: f64, failures: f64) {
        let Some(endpoint) = canary_endpoint else {
            self.baseline.add(outcomes, failures);
            return;
        };
        self.canary.add(outcomes, failures);
        self.by_canary_endpoint
            .entry(endpoint)
            .or_default()
            .add(outcomes, failures);
    }

    /// The canary's failure rate minus the baseline's, -1 to 1.
    pub(crate) fn difference(&self) -> f64 {
        self.canary.rate() - self.baseline.rate()
    }

    /// The failure rate of the earlier builds, 0 to 1.
    pub(crate) fn baseline_rate(&self) -> f64 {
        self.baseline.rate()
    }

    /// Number of the canary's outcomes.
    pub(crate) fn canary_outcomes(&self) -> f64 {
        self.canary.outcomes
    }

    /// Whether the canary's failure rate exceeds the baseline's by more than the tolerated difference, whatever the
    /// p-value.
    pub(crate) fn is_worse(&self) -> bool {
        self.difference() > self.settings.tolerated_difference
    }

    pub(crate) fn tolerated_difference(&self) -> f64 {
        self.settings.tolerated_difference
    }

    /// The outcomes of each of the canary's endpoints that the filter accepts, the highest failure rate first.
    pub(crate) fn by_descending_failure_rate(
        &self,
        accepts: impl Fn(EndpointId) -> bool,
    ) -> Vec<Trials> {
        let mut trials: Vec<Trials> = self
            .by_canary_endpoint
            .iter()
            .filter(|(endpoint, _)| accepts(**endpoint))
            .map(|(_, trials)| *trials)
            .collect();
        let rate = |trials: &Trials| trials.failures / trials.outcomes;
        trials.sort_by(|one, other| rate(other).total_cmp(&rate(one)));
        trials
    }
}
