//! Owns what a module decided, as far as tests over many modules ask for it: whether it wants the list, what it sent
//! where, what it gave up or called off. It carries nothing out, and forgets the rest.
use std::time::Duration;

use lilacgate::port::*;

#[derive(Default)]
pub struct Decided {
    /// Whether the list is to be watched.
    pub watches: bool,
    pub sent: Vec<(RequestId, ApplianceId)>,
    /// What was given up, and whether its client is told that it may come again.
    pub given_up: Vec<(RequestId, bool)>,
    pub called_off: Vec<(RequestId, AttemptNumber)>,
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
    fn wake(&mut self, _: Duration, _: Ticket) {}
    fn probe(&mut self, _: ApplianceId) {}
    fn free_links(&mut self, _: ApplianceId) {}
    fn tell(&mut self, _: Option<AgentId>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
    fn watch_membership(&mut self, on: bool) {
        self.watches = on;
    }
    fn fetch_membership(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, _: Verdict) {}
}
