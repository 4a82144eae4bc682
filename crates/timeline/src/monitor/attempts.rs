//! Turns ended attempts into observations of the nodes they were sent to.
use std::time::Duration;

use super::FleetMonitor;
use super::settings::{LATE_FACTOR, LATENCY_PRIOR_WEIGHT, MIN_BASELINE_SECONDS};
use super::signals::{ALL_CLASSES, Observation, Observations, Signals};
use crate::baseline::WeightedSum;
use crate::entry::DepartureKind;

/// Identifies an attempt by its request and its number within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The number of the request.
    pub request: u32,
    /// The number of the attempt within the request, from 0.
    pub attempt: u8,
}

/// The outcome of an attempt, in the categories that the monitor distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The node answered with success.
    Succeeded,
    /// The node answered with an error, or with a malformed answer.
    Failed,
    /// The node rejected the request.
    Rejected,
    /// The connection could not be opened, or broke.
    ConnectionError,
    /// There was no answer before the attempt timed out or was cancelled.
    Unanswered,
    /// The attempt was never sent.
    NotSent,
}

/// An ended attempt, as the monitor takes it.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The id that was passed to [`FleetMonitor::attempt_sent`].
    pub id: AttemptId,
    /// The node it was sent to.
    pub node: u32,
    /// The request class, numbered from 0.
    pub class: u8,
    /// The outcome.
    pub result: AttemptResult,
    /// The time from sending the attempt to its end.
    pub duration: Duration,
}

/// The comparison of an answer time with the baseline.
struct AnswerTime {
    late: bool,
    /// Whether it counts as an observation of the node's latency: the baseline is known and the node is not warming up.
    counts_as_observation: bool,
}

impl FleetMonitor {
    /// Records that an attempt was sent to a node.
    pub fn attempt_sent(&mut self, now: Duration, node: u32, id: AttemptId) {
        self.sent_since_tick += 1.0;
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.outstanding.insert(id, now);
        }
    }

    /// Turns an ended attempt into observations of its node. Returns whether the answer was late.
    pub fn attempt_ended(&mut self, now: Duration, attempt: &EndedAttempt) -> bool {
        let Some(watched) = self.nodes.get_mut(&attempt.node) else {
            return false;
        };
        let sent = watched
            .outstanding
            .remove(&attempt.id)
            .unwrap_or_else(|| now.saturating_sub(attempt.duration));
        if attempt.result == AttemptResult::NotSent {
            return false;
        }
        if attempt.result != AttemptResult::Unanswered {
            watched.last_received = watched.last_received.max(now);
        }
        let mut observations = Observations::new();
        self.observe_result(attempt, sent, &mut observations);
        let late = self.observe_answer_time(now, attempt, sent, &mut observations);
        self.observe(now, attempt.node, observations.as_slice());
        late
    }

    /// The index of the class's own signals; `None` if the class is unknown.
    fn class_signal_index(&self, class: u8) -> Option<usize> {
        let class = usize::from(class);
        (class < self.config.classes).then_some(class + 1)
    }

    /// Adds the observations of connections, silence and errors that an ended attempt gives.
    fn observe_result(
        &self,
        attempt: &EndedAttempt,
        sent: Duration,
        observations: &mut Observations,
    ) {
        // An attempt that timed out or was cancelled says nothing about the connection.
        if attempt.result != AttemptResult::Unanswered {
            let broken = attempt.result == AttemptResult::ConnectionError;
            observations.push(DepartureKind::Links, ALL_CLASSES, broken);
        }
        match attempt.result {
            AttemptResult::Succeeded | AttemptResult::Failed => {
                let failed = attempt.result == AttemptResult::Failed;
                observations.push(DepartureKind::Silence, ALL_CLASSES, false);
                observations.push(DepartureKind::Errors, ALL_CLASSES, failed);
                if let Some(index) = self.class_signal_index(attempt.class) {
                    observations.push(DepartureKind::Errors, index, failed);
                }
            }
            AttemptResult::Unanswered if self.shows_silence(attempt.node, sent) => {
                observations.push(DepartureKind::Silence, ALL_CLASSES, true);
            }
            _ => {}
        }
    }

    /// Whether nothing has been received from the node since the attempt was sent, without a pause of the agent in
    /// between.
    fn shows_silence(&self, node: u32, sent: Duration) -> bool {
        let nothing_received = self
            .nodes
            .get(&node)
            .is_some_and(|watched| watched.last_received < sent);
        nothing_received && sent >= self.resumed_at
    }

    /// Adds the observations of latency that a successful answer gives. Returns whether the answer was late.
    fn observe_answer_time(
        &mut self,
        now: Duration,
        attempt: &EndedAttempt,
        sent: Duration,
        observations: &mut Observations,
    ) -> bool {
        // The measured time includes the agent's own pause, so it says nothing about the node.
        if attempt.result != AttemptResult::Succeeded || sent < self.resumed_at {
            return false;
        }
        let Some(index) = self.class_signal_index(attempt.class) else {
            return false;
        };
        let Some(answer) = self.compare_answer_time(now, attempt, sent) else {
            return false;
        };
        if answer.counts_as_observation {
            observations.push(DepartureKind::Latency, ALL_CLASSES, answer.late);
            observations.push(DepartureKind::Latency, index, answer.late);
        }
        answer.late
    }

    /// Compares an answer time with the baseline, then adds it to the baseline.
    fn compare_answer_time(
        &mut self,
        now: Duration,
        attempt: &EndedAttempt,
        sent: Duration,
    ) -> Option<AnswerTime> {
        let baseline = self.answer_seconds.get_mut(usize::from(attempt.class))?;
        let watched = self.nodes.get_mut(&attempt.node)?;
        let seconds = attempt.duration.as_secs_f64();
        let baseline_seconds = baseline.mean(seconds, 1.0);
        let known = baseline.weight() >= LATENCY_PRIOR_WEIGHT;
        baseline.add(now, WeightedSum::single(seconds));
        let ratio = seconds / baseline_seconds.max(MIN_BASELINE_SECONDS);
        let late = known && ratio > LATE_FACTOR * watched.baseline_relative_latency();
        watched
            .relative_latency
            .add(now, WeightedSum::single(ratio));
        let counts_as_observation = known && !watched.is_warming_up(sent, self.config.slow_start);
        Some(AnswerTime {
            late,
            counts_as_observation,
        })
    }

    /// Adds observations of a node to its signals, to the baselines of its build, and to the signals of the fleet.
    pub(super) fn observe(&mut self, now: Duration, node: u32, observations: &[Observation]) {
        let Some(watched) = self.nodes.get_mut(&node) else {
            return;
        };
        watched.last_observed = now;
        let classes = self.config.classes;
        let build = self
            .builds
            .entry(watched.build)
            .or_insert_with(|| Signals::new(classes));
        for &Observation { kind, index, bad } in observations {
            build.of_kind_mut(kind)[index].baseline.observe(now, bad);
            watched.signals.of_kind_mut(kind)[index].observe(now, bad);
            self.fleet.of_kind_mut(kind)[index].observe(now, bad);
        }
    }
}
