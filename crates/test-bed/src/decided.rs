//! Owns what a module decided, as far as tests over many modules ask for it: whether it wants the list, what it sent
//! where, what it gave up or called off, told its peers and voted, and when it wants to be woken. It carries nothing out, and forgets the rest.
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote,
};

#[derive(Default)]
pub struct Decided {
    /// Whether the list is to be watched.
    pub watches: bool,
    pub sent: Vec<(RequestId, EndpointId)>,
    /// What was given up, and whether its client is told that it may come again.
    pub given_up: Vec<(RequestId, bool)>,
    pub called_off: Vec<(RequestId, AttemptNumber)>,
    /// When it wants to be woken.
    pub wakes: Vec<Duration>,
    /// What it told one peer, or all.
    pub told: Vec<(Option<AgentId>, Vec<u8>)>,
    pub votes: Vec<Vote>,
}

impl Actions for Decided {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration) {
        self.sent.push((id, to));
    }
    fn reject(&mut self, id: RequestId, _: Duration) {
        self.given_up.push((id, true));
    }
    fn fail(&mut self, id: RequestId) {
        self.given_up.push((id, false));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.called_off.push((id, attempt));
    }
    fn schedule_wake_up(&mut self, at: Duration, _: TimerId) {
        self.wakes.push(at);
    }
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn send_to_peer(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.told.push((peer, octets.to_vec()));
    }
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self, on: bool) {
        self.watches = on;
    }
    fn fetch_endpoints(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, verdict: Vote) {
        self.votes.push(verdict);
    }
}
