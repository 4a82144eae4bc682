//! Records requests and their attempts: attempts are counted by node and step, and passed to the monitor.
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, EndpointId, Outcome, RequestClass, RequestId};

use super::FleetTimeline;
use crate::entry::{AttemptCounts, Event, Record, StepRecord};
use crate::monitor::{AttemptId, AttemptResult, EndedAttempt};
use crate::step_history::{LEVELS, Step};

/// An attempt that has not ended yet.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    node: u32,
    class: u8,
}

/// An ended attempt, as the agent reports it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// The endpoint it was sent to.
    pub endpoint: EndpointId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time from sending the attempt to its end.
    pub duration: Duration,
    /// Whether the request has ended with this attempt.
    pub request_closed: bool,
}

fn attempt_id(request: RequestId, attempt: AttemptNumber) -> AttemptId {
    AttemptId {
        request: request.0,
        attempt: attempt.0,
    }
}

fn attempt_result(outcome: Outcome) -> AttemptResult {
    match outcome {
        Outcome::Succeeded => AttemptResult::Succeeded,
        Outcome::Failed | Outcome::Malformed => AttemptResult::Failed,
        Outcome::Rejected => AttemptResult::Rejected,
        Outcome::ConnectFailed | Outcome::ConnectionLost => AttemptResult::ConnectionError,
        Outcome::TimedOut | Outcome::Cancelled => AttemptResult::Unanswered,
        Outcome::NotSent => AttemptResult::NotSent,
    }
}

impl AttemptCounts {
    fn count_result(&mut self, result: AttemptResult, late: bool) {
        match result {
            AttemptResult::Succeeded => self.succeeded += 1,
            AttemptResult::Failed => self.failed += 1,
            AttemptResult::Rejected => self.rejected += 1,
            AttemptResult::ConnectionError => self.connection_errors += 1,
            AttemptResult::Unanswered => self.timed_out += 1,
            AttemptResult::NotSent => {}
        }
        self.late += u32::from(late);
    }
}

impl FleetTimeline {
    /// Records that a request of this class has arrived.
    pub fn request_started(&mut self, id: RequestId, class: RequestClass) {
        self.request_classes.insert(id.0, class.0);
    }

    /// Records that a request got its final answer, or that its client disconnected.
    pub fn request_closed(&mut self, id: RequestId) {
        self.request_classes.remove(&id.0);
    }

    /// Records that an attempt is sent to an endpoint.
    pub fn attempt_started(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
    ) {
        let (id, node) = (attempt_id(request, attempt), endpoint.0);
        let class = self.class_of(request);
        self.in_flight.insert(id, InFlightAttempt { node, class });
        self.monitor.attempt_sent(now, node, id);
        self.update_counts(now, node, |counts| {
            counts.attempts += 1;
            let in_flight = counts.attempts.saturating_sub(counts.ended());
            counts.max_in_flight = counts.max_in_flight.max(in_flight);
        });
    }

    /// Records the end of an attempt. An attempt whose start was not recorded is counted too.
    pub fn attempt_ended(&mut self, now: Duration, end: &AttemptEnd) {
        let (id, node) = (attempt_id(end.request, end.attempt), end.endpoint.0);
        let class = match self.in_flight.remove(&id) {
            Some(in_flight) => in_flight.class,
            None => self.class_of(end.request),
        };
        if end.request_closed {
            self.request_closed(end.request);
        }
        let result = attempt_result(end.outcome);
        let ended = EndedAttempt {
            id,
            node,
            class,
            result,
            duration: end.duration,
        };
        let late = self.monitor.attempt_ended(now, &ended);
        self.update_counts(now, node, |counts| counts.count_result(result, late));
        if result == AttemptResult::Succeeded
            && let Some(tracked) = self.nodes.get_mut(&node)
        {
            tracked.timeline.steps_mut().record_latency(end.duration);
        }
    }

    /// Records that the agent cancelled an attempt; ignored if the attempt is not in flight.
    pub fn attempt_cancelled(&mut self, now: Duration, id: RequestId, attempt: AttemptNumber) {
        if let Some(in_flight) = self.in_flight.get(&attempt_id(id, attempt)) {
            let event = Event::Cancelled {
                class: in_flight.class,
            };
            self.record_now(now, Some(in_flight.node), event);
        }
    }

    /// The class of a request; class 0 if the request is unknown.
    fn class_of(&self, request: RequestId) -> u8 {
        self.request_classes
            .get(&request.0)
            .copied()
            .unwrap_or_default()
    }

    /// Updates the counts of a node's current step. If the previous step has ended, a record of it is queued.
    pub(super) fn update_counts(
        &mut self,
        now: Duration,
        node: u32,
        update: impl FnOnce(&mut AttemptCounts),
    ) {
        let Some(tracked) = self.nodes.get_mut(&node) else {
            return;
        };
        let mut completed: Option<Step> = None;
        let steps = tracked.timeline.steps_mut();
        update(steps.current(now, &mut |step| completed = Some(step.clone())));
        let Some(step) = completed else {
            return;
        };
        tracked.timeline.touch(now);
        tracked.memory_bytes = tracked.timeline.memory_bytes();
        let record = StepRecord {
            node,
            from: step.from,
            duration: LEVELS[0].step_duration,
            build: tracked.endpoint.build.0,
            counts: step.counts,
            latency: step.latency.as_bytes().to_vec(),
        };
        self.queue.push(now, Record::Step(record));
    }
}
