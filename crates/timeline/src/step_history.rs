//! The counts of a node over time at several levels of detail: fine steps for the last two minutes, coarser ones for
//! the last hour and day. Completed steps are downsampled into coarser ones; the number of steps at each level is
//! bounded.
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use sketches_ddsketch::DDSketch;

use crate::entry::AttemptCounts;
use crate::latency_sketch::{LatencySketch, MAX_BINS, empty_sketch};

/// A level of detail, with the duration of its steps and the number of them that are kept.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// The duration of a step; a whole number of seconds.
    pub step_duration: Duration,
    /// The maximum number of steps kept; beyond it the oldest is dropped.
    pub capacity: usize,
}

/// Two minutes in steps of 1 s, an hour in steps of 15 s, and a day in steps of 5 min.
pub const LEVELS: [Level; 3] = [
    Level {
        step_duration: Duration::from_secs(1),
        capacity: 120,
    },
    Level {
        step_duration: Duration::from_secs(15),
        capacity: 240,
    },
    Level {
        step_duration: Duration::from_secs(300),
        capacity: 288,
    },
];

/// The counts and latencies of a time span.
#[derive(Clone, Debug)]
pub struct Step {
    /// The start of the span, since the Unix epoch.
    pub from: Duration,
    /// The attempts of the span, counted by outcome.
    pub counts: AttemptCounts,
    /// The latencies of the successful attempts of the span.
    pub latency: LatencySketch,
}

/// A step with its duration, which depends on the level it comes from.
#[derive(Clone, Debug)]
pub struct TimedStep {
    /// The duration of the step: that of its level.
    pub duration: Duration,
    /// The counts and latencies.
    pub step: Step,
}

/// The step to which counts are added now.
struct CurrentStep {
    from: Duration,
    counts: AttemptCounts,
    latency: DDSketch,
}

/// A node's counts over time at all [`LEVELS`].
pub struct StepHistory {
    current: CurrentStep,
    levels: [VecDeque<Step>; LEVELS.len()],
    /// The completed steps of each level that are not yet downsampled into the next level.
    to_downsample: [Vec<Step>; LEVELS.len() - 1],
}

impl fmt::Debug for StepHistory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StepHistory")
            .field("current_from", &self.current.from)
            .field("levels", &self.levels)
            .finish_non_exhaustive()
    }
}

/// The start of the step of this duration that contains `at`.
fn step_start(at: Duration, step_duration: Duration) -> Duration {
    let step_seconds = step_duration.as_secs().max(1);
    Duration::from_secs(at.as_secs() / step_seconds * step_seconds)
}

impl StepHistory {
    /// An empty history, whose first step is the one that contains `now`.
    pub fn new(now: Duration) -> Self {
        let current = CurrentStep {
            from: step_start(now, LEVELS[0].step_duration),
            counts: AttemptCounts::default(),
            latency: empty_sketch(),
        };
        StepHistory {
            current,
            levels: Default::default(),
            to_downsample: Default::default(),
        }
    }

    /// The counts of the step that contains `now`. If the previous step has ended and is not empty, `on_completed` is
    /// called with it.
    pub fn current(
        &mut self,
        now: Duration,
        on_completed: &mut impl FnMut(&Step),
    ) -> &mut AttemptCounts {
        let from = step_start(now, LEVELS[0].step_duration);
        if from > self.current.from {
            let step = self.begin_step(from);
            if !step.counts.is_empty() {
                on_completed(&step);
                self.push_step(0, step);
            }
        }
        &mut self.current.counts
    }

    /// Starts a new step and returns the previous one.
    fn begin_step(&mut self, from: Duration) -> Step {
        let step = Step {
            from: self.current.from,
            counts: std::mem::take(&mut self.current.counts),
            latency: LatencySketch::pack(&self.current.latency),
        };
        self.current.from = from;
        if self.current.latency.count() > 0 {
            self.current.latency = empty_sketch();
        }
        step
    }

    /// Adds the latency of a successful attempt to the current step.
    pub fn record_latency(&mut self, latency: Duration) {
        self.current.latency.add(latency.as_secs_f64());
    }

    /// Adds a step to a level. If it starts a new step of the next level, the steps before it are downsampled into that
    /// level.
    fn push_step(&mut self, level: usize, step: Step) {
        if let Some(coarser) = LEVELS.get(level + 1) {
            let coarse_start = |step: &Step| step_start(step.from, coarser.step_duration);
            let pending = &mut self.to_downsample[level];
            let starts_coarse_step = pending
                .first()
                .is_some_and(|first| coarse_start(first) != coarse_start(&step));
            if starts_coarse_step {
                let steps = std::mem::take(pending);
                pending.push(step.clone());
                let downsampled = downsample(coarse_start(&steps[0]), &steps);
                self.push_step(level + 1, downsampled);
            } else {
                pending.push(step.clone());
            }
        }
        let kept = &mut self.levels[level];
        kept.push_back(step);
        if kept.len() > LEVELS[level].capacity {
            kept.pop_front();
        }
    }

    /// The completed steps that start at `from` or later, in order of time: coarse ones where the finer ones have been
    /// dropped.
    pub fn since(&self, from: Duration) -> Vec<TimedStep> {
        let mut found = Vec::new();
        let mut until = Duration::MAX;
        for (kept, level) in self.levels.iter().zip(LEVELS) {
            let duration = level.step_duration;
            let within = |step: &&Step| step.from + duration <= until && step.from >= from;
            found.extend(kept.iter().filter(within).map(|step| TimedStep {
                duration,
                step: step.clone(),
            }));
            until = until.min(kept.front().map_or(until, |first| first.from));
        }
        found.sort_by_key(|timed| timed.step.from);
        found
    }

    /// An estimate of the memory of the history, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let step_bytes = |step: &Step| size_of::<Step>() + step.latency.memory_bytes();
        let kept: usize = self
            .levels
            .iter()
            .flatten()
            .chain(self.to_downsample.iter().flatten())
            .map(step_bytes)
            .sum();
        // The current sketch holds its bins unpacked.
        kept + size_of::<Self>() + MAX_BINS as usize * size_of::<u64>()
    }
}

/// Merges `steps` into one step that starts at `from`.
fn downsample(from: Duration, steps: &[Step]) -> Step {
    let mut counts = AttemptCounts::default();
    for step in steps {
        counts.add(&step.counts);
    }
    Step {
        from,
        counts,
        latency: LatencySketch::merged(steps.iter().map(|step| &step.latency)),
    }
}
