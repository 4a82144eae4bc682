//! Two simpler detectors of departures, to compare the time line's own with. Both look at each second of each node.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::Outcome;
use lilacgate_timeline::entry::DepartureKind;

use crate::virtual_time::EndedAttempt;

/// A second of a node with fewer attempts says nothing.
const MIN_ATTEMPTS: u32 = 3;
/// The same of the same node within so many seconds is one event.
const REPEAT_SECONDS: u64 = 10;

/// A second of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeSecond {
    node: u32,
    attempts: u32,
    /// The share of attempts that did not succeed.
    failure_share: f64,
    /// The mean latency in multiples of its class's service time.
    latency: f64,
}

/// Says whether a second of a node is a departure.
pub(super) trait Detector: Default {
    fn on_second(&mut self, second: NodeSecond) -> Option<DepartureKind>;
}

/// More than a fifth failed, or twice as slow as the work should take.
#[derive(Debug, Default)]
pub(super) struct FixedBound;

impl Detector for FixedBound {
    fn on_second(&mut self, second: NodeSecond) -> Option<DepartureKind> {
        const MAX_FAILURE_SHARE: f64 = 0.2;
        const MAX_LATENCY: f64 = 2.0;
        if second.attempts < MIN_ATTEMPTS {
            None
        } else if second.failure_share > MAX_FAILURE_SHARE {
            Some(DepartureKind::Errors)
        } else if second.latency > MAX_LATENCY {
            Some(DepartureKind::Latency)
        } else {
            None
        }
    }
}

/// An exponentially weighted mean and its variance.
#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    variance: f64,
    seconds: u32,
}

/// More than three standard deviations over an exponentially weighted mean.
#[derive(Debug, Default)]
pub(super) struct WeightedMean {
    averages: BTreeMap<(u32, DepartureKind), Average>,
}

impl Detector for WeightedMean {
    fn on_second(&mut self, second: NodeSecond) -> Option<DepartureKind> {
        const WEIGHT: f64 = 0.05;
        const DEVIATIONS: f64 = 3.0;
        const MIN_DEVIATION: f64 = 0.01;
        const LEARNING_SECONDS: u32 = 30;
        let mut departure = None;
        let values = [
            (DepartureKind::Errors, second.failure_share),
            (DepartureKind::Latency, second.latency),
        ];
        for (kind, value) in values {
            let average = self.averages.entry((second.node, kind)).or_insert(Average {
                mean: value,
                variance: 0.0,
                seconds: 0,
            });
            average.seconds += 1;
            let deviation = average.variance.sqrt().max(MIN_DEVIATION);
            let departs = value > average.mean + DEVIATIONS * deviation;
            if average.seconds > LEARNING_SECONDS && second.attempts >= MIN_ATTEMPTS && departs {
                departure = departure.or(Some(kind));
            }
            let difference = value - average.mean;
            average.mean += WEIGHT * difference;
            average.variance =
                (1.0 - WEIGHT) * (average.variance + WEIGHT * difference * difference);
        }
        departure
    }
}

/// A departure that a detector has found.
#[derive(Clone, Copy, Debug)]
pub(super) struct Detection {
    pub(super) at: Duration,
    pub(super) node: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    attempts: u32,
    failures: f64,
    latency: f64,
}

/// Feeds a detector with attempts.
#[derive(Debug, Default)]
pub(super) struct DetectorRun<D> {
    detector: D,
    current_second: u64,
    sums: BTreeMap<u32, Sums>,
    last_detected: BTreeMap<(u32, DepartureKind), u64>,
    /// All departures so far.
    pub(super) detections: Vec<Detection>,
}

impl<D: Detector> DetectorRun<D> {
    /// Takes the next attempt, in the order of time.
    pub(super) fn on_attempt(&mut self, attempt: &EndedAttempt) {
        let second = attempt.at.as_secs();
        if second != self.current_second {
            self.end_second(attempt.at);
            self.current_second = second;
        }
        let sums = self.sums.entry(attempt.node).or_default();
        sums.attempts += 1;
        sums.failures += f64::from(u8::from(attempt.outcome != Outcome::Succeeded));
        sums.latency += attempt.relative_latency();
    }

    fn end_second(&mut self, now: Duration) {
        for (node, sums) in std::mem::take(&mut self.sums) {
            let attempts = f64::from(sums.attempts);
            let second = NodeSecond {
                node,
                attempts: sums.attempts,
                failure_share: sums.failures / attempts,
                latency: sums.latency / attempts,
            };
            if let Some(kind) = self.detector.on_second(second) {
                self.on_departure(now, node, kind);
            }
        }
    }

    fn on_departure(&mut self, now: Duration, node: u32, kind: DepartureKind) {
        let second = now.as_secs();
        let last = self.last_detected.insert((node, kind), second);
        if last.is_none_or(|last| second > last + REPEAT_SECONDS) {
            self.detections.push(Detection { at: now, node });
        }
    }
}
