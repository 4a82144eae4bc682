//! Owns what a module decided, as far as tests over many modules ask for it: whether it wants the list, what it sent
//! where, what it gave up or called off, told its peers and voted, and when it wants to be woken. It carries nothing out, and forgets the rest.
use std::time::Duration;

use lilacgate_decision::port::*;

#[derive(Default)]
pub struct Decided {
    /// Whether the list is to be watched.
    pub watches: bool,
    pub sent: Vec<(RequestId, ApplianceId)>,
    /// What was given up, and whether its client is told that it may come again.
    pub given_up: Vec<(RequestId, bool)>,
    pub called_off: Vec<(RequestId, AttemptNumber)>,
    /// When it wants to be woken.
    pub wakes: Vec<Duration>,
    /// What it told one peer, or all.
    pub told: Vec<(Option<AgentId>, Vec<u8>)>,
    pub votes: Vec<Verdict>,
}

impl Decisions for Decided {
    fn send_attempt(&mut self, id: RequestId, to: ApplianceId, _: Duration) {
        self.sent.push((id, to));
    }
    fn decline(&mut self, id: RequestId, _: Duration) {
        self.given_up.push((id, true));
    }
    fn void(&mut self, id: RequestId) {
        self.given_up.push((id, false));
    }
    fn call_off(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.called_off.push((id, attempt));
    }
    fn wake(&mut self, at: Duration, _: Ticket) {
        self.wakes.push(at);
    }
    fn probe(&mut self, _: ApplianceId) {}
    fn free_links(&mut self, _: ApplianceId) {}
    fn tell(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.told.push((peer, octets.to_vec()));
    }
    fn log(&mut self, _: &str) {}
    fn watch_membership(&mut self, on: bool) {
        self.watches = on;
    }
    fn fetch_membership(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, verdict: Verdict) {
        self.votes.push(verdict);
    }
}
