//! Evidence about a canary beside the sequential tests: counts of outcomes, and the share of work that is served.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::DecayingRatio;
use super::half_lives::REPORTED_HALF_LIFE;
use crate::model::{EndpointId, MachineModel, PerArm, RequestClass, Stage};

/// Identifies the outcomes that are counted together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    /// The endpoint, if it runs the canary; `None` for all endpoints of earlier builds together.
    pub(crate) canary_endpoint: Option<EndpointId>,
    pub(crate) class: RequestClass,
}

/// Counts of the outcomes of attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutcomeCounts<T = u8> {
    pub(crate) outcomes: T,
    /// Outcomes that are failures.
    pub(crate) failures: T,
    /// Outcomes whose duration is comparable.
    pub(crate) timed: T,
    /// Timed outcomes that were slow.
    pub(crate) slow: T,
}

impl<T: Copy> OutcomeCounts<T> {
    pub(crate) fn to_array(self) -> [T; 4] {
        [self.outcomes, self.failures, self.timed, self.slow]
    }

    pub(crate) fn from_array([outcomes, failures, timed, slow]: [T; 4]) -> Self {
        OutcomeCounts {
            outcomes,
            failures,
            timed,
            slow,
        }
    }

    pub(crate) fn map<U>(self, convert: impl Fn(T) -> U) -> OutcomeCounts<U> {
        OutcomeCounts {
            outcomes: convert(self.outcomes),
            failures: convert(self.failures),
            timed: convert(self.timed),
            slow: convert(self.slow),
        }
    }
}

impl OutcomeCounts {
    /// Adds each count; a sum stops at the highest value of its type.
    pub(crate) fn saturating_add(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            outcomes: self.outcomes.saturating_add(other.outcomes),
            failures: self.failures.saturating_add(other.failures),
            timed: self.timed.saturating_add(other.timed),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

/// The counts of one key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutcomeEntry {
    pub(crate) key: OutcomeKey,
    pub(crate) counts: OutcomeCounts,
}

/// The counts of a report, by key.
pub(crate) type OutcomeReport = BTreeMap<OutcomeKey, OutcomeCounts>;

/// Sums of estimated work, in seconds; in reports, in hundredths of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WorkSums<T> {
    /// Work that was served within the latency objective.
    pub(crate) in_time: T,
    /// Work that the listed endpoints would have served at their capacity before the canary.
    pub(crate) baseline: T,
    /// Work that was requested.
    pub(crate) requested: T,
}

impl<T: Copy> WorkSums<T> {
    pub(crate) fn to_array(self) -> [T; 3] {
        [self.in_time, self.baseline, self.requested]
    }

    pub(crate) fn from_array([in_time, baseline, requested]: [T; 3]) -> Self {
        WorkSums {
            in_time,
            baseline,
            requested,
        }
    }

    pub(crate) fn map<U>(self, convert: impl Fn(T) -> U) -> WorkSums<U> {
        WorkSums {
            in_time: convert(self.in_time),
            baseline: convert(self.baseline),
            requested: convert(self.requested),
        }
    }
}

/// Lower bound of a previous stage's share in comparisons: a stage in which hardly anything was served would make
/// any later share look good.
const MIN_PREVIOUS_SHARE: f64 = 0.1;
/// Reported sums, and the agent's own, are in hundredths of a second.
const UNITS_PER_SECOND: f64 = 100.0;

/// Work served within the latency objective, as shares of at most 1.
#[derive(Clone, Copy, Debug)]
struct ServedShares {
    of_baseline: f64,
    of_requested: f64,
}

/// The work that is served while a canary is analysed, compared with the baseline capacity and the previous stage.
#[derive(Debug, Default)]
pub(crate) struct ServedWork {
    /// Served work in seconds per second and unit of listed weight when the canary was first seen; 0 if unknown.
    pub(crate) baseline_capacity: f64,
    /// The agent's own sums that are not reported yet, in hundredths of a second.
    unreported: WorkSums<f64>,
    /// Reported work in time over baseline work, pooled over all agents that report.
    in_time_over_baseline: DecayingRatio,
    /// Reported work in time over requested work, pooled over all agents that report.
    in_time_over_requested: DecayingRatio,
    /// The shares at the end of the previous stage; `None` if too little work was requested then.
    previous_stage: Option<ServedShares>,
    /// The current stage.
    stage: Stage,
}

impl ServedWork {
    /// Creates empty sums that are compared with this capacity.
    pub(crate) fn new(baseline_capacity: f64) -> Self {
        ServedWork {
            baseline_capacity,
            ..ServedWork::default()
        }
    }

    /// Adds the agent's own work, in seconds; without a baseline capacity to compare it with, does nothing.
    pub(crate) fn add(&mut self, work: WorkSums<f64>) {
        if self.baseline_capacity > 0.0 {
            self.unreported.in_time += UNITS_PER_SECOND * work.in_time;
            self.unreported.baseline += UNITS_PER_SECOND * work.baseline;
            self.unreported.requested += UNITS_PER_SECOND * work.requested;
        }
    }

    /// Takes the agent's own sums, in whole hundredths of a second; the remainder is left for the next report.
    pub(crate) fn take_unreported(&mut self) -> WorkSums<u16> {
        let take = |sum: &mut f64| {
            let whole = sum.floor().clamp(0.0, f64::from(u16::MAX));
            *sum -= whole;
            whole as u16
        };
        WorkSums {
            in_time: take(&mut self.unreported.in_time),
            baseline: take(&mut self.unreported.baseline),
            requested: take(&mut self.unreported.requested),
        }
    }

    /// Adds reported sums to those of all agents.
    pub(crate) fn add_reported(&mut self, now: Duration, reported: WorkSums<u16>) {
        let sums = reported.map(f64::from);
        self.in_time_over_baseline
            .add(now, REPORTED_HALF_LIFE, sums.in_time, sums.baseline);
        self.in_time_over_requested
            .add(now, REPORTED_HALF_LIFE, sums.in_time, sums.requested);
    }

    /// How much of the work is still served in time: the ratio of each share to its value at the end of the previous
    /// stage, and the higher of the two ratios. `None` unless more than `minimum_requested` seconds of work were
    /// requested, now and then.
    pub(crate) fn retained_share(
        &mut self,
        now: Duration,
        stage: Stage,
        minimum_requested: f64,
    ) -> Option<f64> {
        let baseline = self.in_time_over_baseline.read(now, REPORTED_HALF_LIFE);
        let requested = self
            .in_time_over_requested
            .read(now, REPORTED_HALF_LIFE)
            .denominator;
        let in_time = baseline.numerator;
        let shares = ServedShares {
            of_baseline: (in_time / baseline.denominator.max(1e-9)).min(1.0),
            of_requested: (in_time / requested.max(1e-9)).min(1.0),
        };
        let is_enough =
            requested > UNITS_PER_SECOND * minimum_requested && baseline.denominator > 0.0;
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.previous_stage = is_enough.then_some(shares);
        }
        let previous = self.previous_stage.filter(|_| is_enough)?;
        Some(f64::max(
            shares.of_baseline / previous.of_baseline.max(MIN_PREVIOUS_SHARE),
            shares.of_requested / previous.of_requested.max(MIN_PREVIOUS_SHARE),
        ))
    }
}

/// What is known about a canary and the builds before it, apart from the sequential tests.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// When each arm last had an outcome.
    pub(crate) last_outcome: PerArm<Option<Duration>>,
    /// Long-run latency ratio of each machine model on earlier builds.
    pub(crate) model_latency_ratios: BTreeMap<MachineModel, f64>,
    pub(crate) served_work: ServedWork,
}

impl Evidence {
    /// Speed of a machine model relative to the mean over all models, 1 at most; 1 for an unknown model.
    pub(crate) fn relative_speed(&self, model: MachineModel) -> f64 {
        let count = self.model_latency_ratios.len().max(1) as f64;
        let mean = self.model_latency_ratios.values().sum::<f64>() / count;
        self.model_latency_ratios
            .get(&model)
            .map_or(1.0, |ratio| (mean / ratio).min(1.0))
    }
}
