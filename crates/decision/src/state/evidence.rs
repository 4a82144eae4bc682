//! Evidence about a canary, besides the sequential tests: counts of outcomes, and the work that was served.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::DecayingRatio;
use super::half_lives::REPORTED;
use crate::model::{EndpointId, MachineModel, PerArm, RequestClass, Stage};

/// Which outcomes a count is of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    /// The canary's endpoint that they come from; `None` for the earlier builds.
    pub(crate) canary_endpoint: Option<EndpointId>,
    pub(crate) class: RequestClass,
}

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutcomeCounts<T = u8> {
    pub(crate) outcomes: T,
    /// How many of the outcomes are failures.
    pub(crate) failures: T,
    /// How many of the outcomes could be timed.
    pub(crate) timed: T,
    /// How many of the timed ones were slow.
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
    /// Adds up, without overflow.
    pub(crate) fn saturating_add(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            outcomes: self.outcomes.saturating_add(other.outcomes),
            failures: self.failures.saturating_add(other.failures),
            timed: self.timed.saturating_add(other.timed),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

/// Counts of one key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutcomeEntry {
    pub(crate) key: OutcomeKey,
    pub(crate) counts: OutcomeCounts,
}

/// Counts by key.
pub(crate) type OutcomeReport = BTreeMap<OutcomeKey, OutcomeCounts>;

/// Sums of work. Those that are reported are in hundredths of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WorkSums<T> {
    /// Work that was served within the latency objective.
    pub(crate) in_time: T,
    /// Work that the listed endpoints would have served at the capacity they had before the canary.
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

/// A share of the stage before counts as this much at least, so that a stage without service is no yardstick.
const MIN_PREVIOUS_SHARE: f64 = 0.1;
/// Own sums are kept in hundredths of a second, as they are reported.
const UNITS_PER_SECOND: f64 = 100.0;

/// Work served in time as shares, each 1 at most.
#[derive(Clone, Copy, Debug)]
struct ServedShares {
    of_baseline: f64,
    of_requested: f64,
}

/// The work that is served while a canary is analysed, against what it was before.
#[derive(Debug, Default)]
pub(crate) struct ServedWork {
    /// Served work for each unit of listed weight and second when the canary was first seen; 0 if unknown.
    pub(crate) baseline_capacity: f64,
    /// Own sums since the last report.
    own: WorkSums<f64>,
    /// Reported sums, pooled over all that report: work in time, and baseline work.
    against_baseline: DecayingRatio,
    /// Work in time, and requested work.
    against_requested: DecayingRatio,
    /// The shares when the last stage ended.
    previous_stage: Option<ServedShares>,
    /// The stage that runs.
    stage: Stage,
}

impl ServedWork {
    /// Begins anew with this capacity.
    pub(crate) fn new(baseline_capacity: f64) -> Self {
        ServedWork {
            baseline_capacity,
            ..ServedWork::default()
        }
    }

    /// Adds own work, in seconds, if there is a past to compare it with.
    pub(crate) fn add(&mut self, work: WorkSums<f64>) {
        if self.baseline_capacity > 0.0 {
            self.own.in_time += UNITS_PER_SECOND * work.in_time;
            self.own.baseline += UNITS_PER_SECOND * work.baseline;
            self.own.requested += UNITS_PER_SECOND * work.requested;
        }
    }

    /// Takes the whole part of the own sums, in hundredths of a second; the rest is left for the next report.
    pub(crate) fn take_whole(&mut self) -> WorkSums<u16> {
        let take = |sum: &mut f64| {
            let whole = sum.floor().clamp(0.0, f64::from(u16::MAX));
            *sum -= whole;
            whole as u16
        };
        WorkSums {
            in_time: take(&mut self.own.in_time),
            baseline: take(&mut self.own.baseline),
            requested: take(&mut self.own.requested),
        }
    }

    /// Adds reported sums.
    pub(crate) fn pool(&mut self, now: Duration, reported: WorkSums<u16>) {
        let sums = reported.map(f64::from);
        self.against_baseline
            .add(now, REPORTED, sums.in_time, sums.baseline);
        self.against_requested
            .add(now, REPORTED, sums.in_time, sums.requested);
    }

    /// The better of the two shares over what they were when the last stage ended; `None` unless at least
    /// `minimum_requested` seconds of work were requested.
    pub(crate) fn retained_share(
        &mut self,
        now: Duration,
        stage: Stage,
        minimum_requested: f64,
    ) -> Option<f64> {
        let baseline = self.against_baseline.read(now, REPORTED);
        let requested = self.against_requested.read(now, REPORTED).denominator;
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

/// What else is known about a canary and the builds before it.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// The last outcome of each arm.
    pub(crate) last_outcome: PerArm<Option<Duration>>,
    /// The long-run pace of each model at earlier builds.
    pub(crate) model_paces: BTreeMap<MachineModel, f64>,
    pub(crate) served_work: ServedWork,
}

impl Evidence {
    /// A model's speed over that of the mean model, 1 at most.
    pub(crate) fn relative_speed(&self, model: MachineModel) -> f64 {
        let count = self.model_paces.len().max(1) as f64;
        let mean = self.model_paces.values().sum::<f64>() / count;
        self.model_paces
            .get(&model)
            .map_or(1.0, |pace| (mean / pace).min(1.0))
    }
}
