//! The signals of a node, a build or the fleet: a sequential test and a baseline for each kind of departure, and the
//! observations that update them.
use std::time::Duration;

use crate::baseline::Baseline;
use crate::entry::DepartureKind;
use crate::sequential_test::{Bets, SequentialTest};

/// The kinds of departure that have a test. Restarts are detected in the endpoint list instead.
pub(super) const TESTED_KINDS: [DepartureKind; 5] = [
    DepartureKind::Silence,
    DepartureKind::Links,
    DepartureKind::Errors,
    DepartureKind::Latency,
    DepartureKind::Load,
];

/// The index of the signal over all request classes; class `n` has index `n + 1`.
pub(super) const ALL_CLASSES: usize = 0;

/// The maximum number of observations that one attempt gives.
const MAX_OBSERVATIONS_PER_ATTEMPT: usize = 6;

/// A good or bad observation of one signal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) kind: DepartureKind,
    /// The index of the signal among those of its kind: [`ALL_CLASSES`], or that of one class.
    pub(super) index: usize,
    pub(super) bad: bool,
}

/// The observations that one attempt gives, in an array to avoid an allocation per attempt.
pub(super) struct Observations {
    list: [Observation; MAX_OBSERVATIONS_PER_ATTEMPT],
    count: usize,
}

impl Observations {
    pub(super) fn new() -> Self {
        let unused = Observation {
            kind: DepartureKind::Links,
            index: ALL_CLASSES,
            bad: false,
        };
        Observations {
            list: [unused; MAX_OBSERVATIONS_PER_ATTEMPT],
            count: 0,
        }
    }

    /// Adds an observation. More than [`MAX_OBSERVATIONS_PER_ATTEMPT`] would be out of bounds.
    pub(super) fn push(&mut self, kind: DepartureKind, index: usize, bad: bool) {
        self.list[self.count] = Observation { kind, index, bad };
        self.count += 1;
    }

    pub(super) fn as_slice(&self) -> &[Observation] {
        &self.list[..self.count]
    }
}

/// A signal with its test and its baseline.
#[derive(Clone, Debug, Default)]
pub(super) struct Signal {
    pub(super) test: SequentialTest,
    pub(super) baseline: Baseline,
    /// Since when the evidence has been above the threshold.
    pub(super) alarming_since: Option<Duration>,
    /// The bets for observations until the next tick; `None` while the signal is not tested.
    pub(super) bets: Option<Bets>,
}

impl Signal {
    /// Adds an observation to the baseline and, if there are bets, to the test.
    pub(super) fn observe(&mut self, now: Duration, bad: bool) {
        self.baseline.observe(now, bad);
        if let Some(bets) = &self.bets {
            self.test.observe(now, bets, bad);
        }
    }

    /// Whether the evidence has reached `threshold`.
    pub(super) fn reaches(&self, threshold: f64) -> bool {
        self.test.evidence() >= threshold
    }

    /// Updates since when the evidence has been at or above the threshold.
    pub(super) fn update_alarm(&mut self, now: Duration, threshold: f64) {
        let alarming = self.reaches(threshold);
        self.alarming_since = if alarming {
            self.alarming_since.or(Some(now))
        } else {
            None
        };
    }

    /// Resets the test and keeps the baseline.
    pub(super) fn reset_test(&mut self) {
        self.test = SequentialTest::default();
        self.alarming_since = None;
    }
}

/// All signals of a node, a build or the fleet. Errors and latency have one signal over all request classes and one per
/// class.
#[derive(Clone, Debug)]
pub(super) struct Signals {
    errors: Vec<Signal>,
    latency: Vec<Signal>,
    links: Signal,
    silence: Signal,
    load: Signal,
}

impl Signals {
    pub(super) fn new(classes: usize) -> Self {
        let by_class = vec![Signal::default(); classes + 1];
        Signals {
            errors: by_class.clone(),
            latency: by_class,
            links: Signal::default(),
            silence: Signal::default(),
            load: Signal::default(),
        }
    }

    /// The signals of a kind: first the one over all request classes, then those of the classes.
    pub(super) fn of_kind(&self, kind: DepartureKind) -> &[Signal] {
        match kind {
            DepartureKind::Errors => &self.errors,
            DepartureKind::Latency => &self.latency,
            DepartureKind::Links => std::slice::from_ref(&self.links),
            DepartureKind::Silence => std::slice::from_ref(&self.silence),
            DepartureKind::Load | DepartureKind::Restart => std::slice::from_ref(&self.load),
        }
    }

    /// The mutable form of [`Signals::of_kind`].
    pub(super) fn of_kind_mut(&mut self, kind: DepartureKind) -> &mut [Signal] {
        match kind {
            DepartureKind::Errors => &mut self.errors,
            DepartureKind::Latency => &mut self.latency,
            DepartureKind::Links => std::slice::from_mut(&mut self.links),
            DepartureKind::Silence => std::slice::from_mut(&mut self.silence),
            DepartureKind::Load | DepartureKind::Restart => std::slice::from_mut(&mut self.load),
        }
    }

    /// Whether the evidence of any signal of a kind has reached `threshold`.
    pub(super) fn any_reaches(&self, kind: DepartureKind, threshold: f64) -> bool {
        self.of_kind(kind)
            .iter()
            .any(|signal| signal.reaches(threshold))
    }

    /// Updates the baselines of a kind with pending observations; while `suspended`, these are dropped instead.
    pub(super) fn learn(&mut self, now: Duration, kind: DepartureKind, suspended: bool) {
        for signal in self.of_kind_mut(kind) {
            signal.baseline.learn(now, suspended);
        }
    }

    /// Resets the tests of a kind.
    pub(super) fn reset_tests(&mut self, kind: DepartureKind) {
        for signal in self.of_kind_mut(kind) {
            signal.reset_test();
        }
    }

    /// The number of signals over all tested kinds.
    pub(super) fn count(&self) -> usize {
        TESTED_KINDS
            .iter()
            .map(|kind| self.of_kind(*kind).len())
            .sum()
    }
}
