//! What the decision module decides in a round, kept in order until the round is over.
use std::time::Duration;

use lilacgate::port::*;

/// One decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// An attempt goes to an appliance.
    Attempt(TxnId, ApplianceId),
    /// A request is refused; its client may come again.
    Decline(TxnId),
    /// A request fails: it may have run.
    Void(TxnId),
    /// An attempt's answer is not waited for any longer.
    CallOff(TxnId, Leg),
    /// The module wants a round then.
    Wake(Duration, Ticket),
    /// A report or warning to one peer, or to all.
    Tell(Option<AgentId>, Vec<u8>),
    /// The list is to be watched, or no longer.
    Watch(bool),
    /// The list is to be fetched once.
    Fetch,
    /// A vote on a build.
    Vote(Build, Stage, Verdict),
}

/// Takes the decisions of a round.
#[derive(Default)]
pub struct Decided {
    /// The decisions in their order.
    pub list: Vec<Decision>,
}

impl Decisions for Decided {
    fn submit(&mut self, id: TxnId, to: ApplianceId, _: Duration) {
        self.list.push(Decision::Attempt(id, to));
    }

    fn decline(&mut self, id: TxnId, _: Duration) {
        self.list.push(Decision::Decline(id));
    }

    fn void(&mut self, id: TxnId) {
        self.list.push(Decision::Void(id));
    }

    fn call_off(&mut self, id: TxnId, leg: Leg) {
        self.list.push(Decision::CallOff(id, leg));
    }

    fn wake(&mut self, at: Duration, ticket: Ticket) {
        self.list.push(Decision::Wake(at, ticket));
    }

    fn probe(&mut self, _: ApplianceId) {}

    fn free_links(&mut self, _: ApplianceId) {}

    fn tell(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.list.push(Decision::Tell(peer, octets.to_vec()));
    }

    fn log(&mut self, text: &str) {
        tracing::trace!("{text}");
    }

    fn watch_roster(&mut self, on: bool) {
        self.list.push(Decision::Watch(on));
    }

    fn fetch_roster(&mut self) {
        self.list.push(Decision::Fetch);
    }

    fn vote(&mut self, build: Build, stage: Stage, verdict: Verdict) {
        self.list.push(Decision::Vote(build, stage, verdict));
    }
}
