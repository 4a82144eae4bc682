//! The actions of a decision engine, recorded for tests that drive engines by themselves.
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote,
};

/// What an engine asked for. Actions that no test looks at are dropped.
#[derive(Debug, Default)]
pub struct RecordedActions {
    /// Whether the endpoint list is to be watched.
    pub watching_endpoints: bool,
    /// Each attempt's request and the endpoint it goes to.
    pub sent: Vec<(RequestId, EndpointId)>,
    /// Each request that was rejected or failed, and whether its client may retry.
    pub unserved: Vec<(RequestId, bool)>,
    /// Attempts that were cancelled.
    pub cancelled: Vec<(RequestId, AttemptNumber)>,
    /// The times at which the engine wants to be woken.
    pub wake_ups: Vec<Duration>,
    /// Messages to one peer, or to all (`None`).
    pub peer_messages: Vec<(Option<AgentId>, Vec<u8>)>,
    /// Votes on releases.
    pub votes: Vec<Vote>,
}

impl Actions for RecordedActions {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration, _: Option<Duration>) {
        self.sent.push((id, to));
    }
    fn reject(&mut self, id: RequestId, _: Duration) {
        self.unserved.push((id, true));
    }
    fn fail(&mut self, id: RequestId) {
        self.unserved.push((id, false));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.cancelled.push((id, attempt));
    }
    fn schedule_wake_up(&mut self, at: Duration, _: TimerId) {
        self.wake_ups.push(at);
    }
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]) {
        self.peer_messages.push((peer, payload.to_vec()));
    }
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self, on: bool) {
        self.watching_endpoints = on;
    }
    fn fetch_endpoints(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, vote: Vote) {
        self.votes.push(vote);
    }
}
