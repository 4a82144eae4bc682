//! The settings of the detection model.
use std::time::Duration;

/// The range that the time between two reports is drawn from, as a share of
/// [`DetectionSettings::minimum_stage_time`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportSpread {
    /// The least share.
    pub least: f64,
    /// The most, exclusive.
    pub most: f64,
}

/// The settings of the test and of the model around it.
///
/// The defaults of `tolerance`, `deviation`, `level`, `least_outcomes`,
/// `most_recent` and `report_spread` repeat the values of private constants
/// and expressions of the decision crate (`TOLERATED_FAILURES`, `FAILURE_DEVIATION`, `LEVEL` and
/// `MIN_CANARY_OUTCOMES` in `policy/release_analysis.rs`, `FEW_REQUESTS` and
/// `REPORT_PAUSE` in `engine/`); they have to be changed with those.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectionSettings {
    /// The difference of failure shares that is tolerated.
    pub tolerance: f64,
    /// The mixing deviation of the test.
    pub deviation: f64,
    /// The level of the test, before it is divided among tests and agents.
    pub level: f64,
    /// The least number of canary outcomes for a decision of a test.
    pub least_outcomes: f64,
    /// Both builds have answered an agent within this time, or outcomes of the
    /// earlier one are not counted: five requests of an agent with few.
    pub most_recent: Duration,
    /// The minimum stage time, which `report_spread` is a share of.
    pub minimum_stage_time: Duration,
    /// The least and most time between an agent's reports.
    pub report_spread: ReportSpread,
    /// Share of requests that any build fails.
    pub baseline_failure_share: f64,
    /// Share of requests that a bad build fails beyond the baseline, one case
    /// each.
    pub failure_shares: Vec<f64>,
    /// Share of appliances that run the canary build, one case each.
    pub trial_shares: Vec<f64>,
    /// Share of the agents that reports to an aggregator, one case each.
    pub pooled_parts: Vec<f64>,
    /// The longest duration of a run without a rejection.
    pub longest: Duration,
}

impl Default for DetectionSettings {
    fn default() -> Self {
        DetectionSettings {
            tolerance: 0.005,
            deviation: 0.05,
            level: 0.05,
            least_outcomes: 20.0,
            most_recent: Duration::from_secs(5),
            minimum_stage_time: Duration::from_secs(2),
            report_spread: ReportSpread {
                least: 0.5,
                most: 0.8,
            },
            baseline_failure_share: 0.002,
            failure_shares: vec![0.0, 0.05, 0.2, 0.5],
            trial_shares: vec![0.02, 0.1, 0.5],
            pooled_parts: vec![0.0, 0.02, 0.1, 0.25, 0.5, 1.0],
            longest: Duration::from_secs(3600),
        }
    }
}
