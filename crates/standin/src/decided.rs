//! Owns what a module decided, as far as tests over many modules ask for it: whether it wants the list, and what it
//! sent where. It carries nothing out, and forgets the rest.
use std::time::Duration;

use lilacgate::port::*;

#[derive(Default)]
pub struct Decided {
    /// Whether the list is to be watched.
    pub watches: bool,
    pub sent: Vec<(TxnId, ApplianceId)>,
}

impl Decisions for Decided {
    fn submit(&mut self, id: TxnId, to: ApplianceId, _: Duration) {
        self.sent.push((id, to));
    }
    fn decline(&mut self, _: TxnId, _: Duration) {}
    fn void(&mut self, _: TxnId) {}
    fn call_off(&mut self, _: TxnId, _: Leg) {}
    fn wake(&mut self, _: Duration, _: Ticket) {}
    fn probe(&mut self, _: ApplianceId) {}
    fn free_links(&mut self, _: ApplianceId) {}
    fn tell(&mut self, _: Option<AgentId>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
    fn watch_roster(&mut self, on: bool) {
        self.watches = on;
    }
    fn fetch_roster(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, _: Verdict) {}
}
