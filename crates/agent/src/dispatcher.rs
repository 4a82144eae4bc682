//! Dispatches the actions that the decision engine takes in a round to the components that carry them out.
//!
//! Every action returns at once; anything that takes time is spawned as a task. The dispatcher makes no decisions.
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, Diagnostic, EndpointId, RequestId, Stage, TimerId, Vote,
};

use crate::event_loop::EventLoop;
use crate::log::{Count, count, info};
use crate::outbound::{
    AttemptId, EndpointListSource, OutgoingAttempt, PeerSender, Upstream, VoteSender,
};
use crate::recorder::{Recorder, RequestEvent};
use crate::unanswered::FinalAnswer;

/// The components that carry out the actions of the decision engine.
pub struct ActionDispatcher {
    /// The event loop, which owns the unanswered requests.
    pub event_loop: Rc<EventLoop>,
    /// Sends attempts and health checks.
    pub upstream: Rc<dyn Upstream>,
    /// Fetches and watches the endpoint list.
    pub discovery: Rc<dyn EndpointListSource>,
    /// Sends votes.
    pub platform: Rc<dyn VoteSender>,
    /// Sends datagrams; `None` if no peers are configured.
    pub peers: Option<Rc<dyn PeerSender>>,
    /// Records requests, votes and diagnostics in the timeline.
    pub recorder: Rc<Recorder>,
    /// The pending timers of the decision engine.
    pub wake_ups: WakeUps,
}

impl fmt::Debug for ActionDispatcher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ActionDispatcher")
            .field("event_loop", &self.event_loop)
            .field("wake_ups", &self.wake_ups)
            .finish_non_exhaustive()
    }
}

/// A timer of the decision engine. Timers are ordered by the time at which they expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WakeUp {
    /// When the timer expires.
    pub time: Duration,
    /// The decision engine's id of the timer.
    pub timer: TimerId,
}

/// The pending timers of the decision engine, in the order of their expiry.
#[derive(Debug, Default)]
pub struct WakeUps(BTreeSet<WakeUp>);

impl WakeUps {
    /// Adds a timer.
    pub fn insert(&mut self, wake_up: WakeUp) {
        self.0.insert(wake_up);
    }

    /// Returns when the next timer expires.
    pub fn next(&self) -> Option<Duration> {
        self.0.first().map(|wake_up| wake_up.time)
    }

    /// Removes and returns the timers that have expired by `now`.
    pub fn take_expired(&mut self, now: Duration) -> Vec<WakeUp> {
        let expired = self
            .0
            .iter()
            .take_while(|wake_up| wake_up.time <= now)
            .copied()
            .collect();
        self.0.retain(|wake_up| wake_up.time > now);
        expired
    }
}

/// Carries out the actions of one round as soon as they are decided.
pub(crate) struct RoundActions<'a> {
    pub(crate) dispatcher: &'a mut ActionDispatcher,
    /// The time of the round.
    pub(crate) now: Duration,
}

impl RoundActions<'_> {
    /// Gives a request a final answer that does not come from an endpoint.
    fn close(&mut self, id: RequestId, answer: FinalAnswer) {
        self.dispatcher
            .recorder
            .record(self.now, RequestEvent::Closed(id));
        self.dispatcher.event_loop.unanswered().close(id, answer);
    }
}

impl Actions for RoundActions<'_> {
    fn send_attempt(
        &mut self,
        id: RequestId,
        to: EndpointId,
        give_up_after: Duration,
        send_by: Option<Duration>,
    ) {
        count(Count::Attempts);
        let unanswered = self.dispatcher.event_loop.unanswered();
        let Some(attempt) = unanswered.start_attempt(id, self.now, give_up_after) else {
            return info!("attempt_dropped request={} reason=request_answered", id.0);
        };
        let event = RequestEvent::AttemptSent {
            id: attempt.id,
            endpoint: to,
        };
        self.dispatcher.recorder.record(self.now, event);
        self.dispatcher
            .upstream
            .clone()
            .send_attempt(OutgoingAttempt {
                id: attempt.id,
                endpoint: to,
                encoded_request: attempt.encoded_request,
                started: self.now,
                deadline: attempt.deadline,
                send_by,
                request_over: attempt.request_over,
            });
    }

    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        self.close(id, FinalAnswer::Rejected(retry_after));
    }

    fn fail(&mut self, id: RequestId) {
        self.close(id, FinalAnswer::Failed);
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.dispatcher
            .recorder
            .update_timeline(|timeline| timeline.attempt_cancelled(self.now, id, attempt));
        self.dispatcher.upstream.cancel(AttemptId {
            request: id,
            number: attempt,
        });
    }

    fn schedule_wake_up(&mut self, time: Duration, timer: TimerId) {
        self.dispatcher.wake_ups.insert(WakeUp { time, timer });
    }

    fn check_health(&mut self, endpoint: EndpointId) {
        self.dispatcher.upstream.clone().check_health(endpoint);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.dispatcher.upstream.close_idle_connections(endpoint);
    }

    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]) {
        if let Some(peers) = &self.dispatcher.peers {
            peers.send_to_peer(peer, payload);
        }
    }

    fn log(&mut self, text: &str) {
        self.dispatcher
            .recorder
            .update_timeline(|timeline| timeline.set_vote_figures(text));
        info!("{text}");
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.dispatcher.discovery.watch(on);
    }

    fn fetch_endpoints(&mut self) {
        self.dispatcher.discovery.clone().fetch();
    }

    fn vote(&mut self, build: Build, stage: Stage, vote: Vote) {
        self.dispatcher
            .recorder
            .update_timeline(|timeline| timeline.record_vote(self.now, build, stage, vote));
        self.dispatcher
            .platform
            .clone()
            .send_vote(build, stage, vote);
    }

    fn record_diagnostic(&mut self, diagnostic: Diagnostic) {
        self.dispatcher
            .recorder
            .update_timeline(|timeline| timeline.record_diagnostic(self.now, diagnostic));
    }
}
