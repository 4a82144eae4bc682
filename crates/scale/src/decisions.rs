//! What the decision module decides in a round, kept in order until the round is over.
use std::time::Duration;

use lilacgate_decision::port::*;

/// One decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// An attempt goes to an appliance.
    Attempt(RequestId, ApplianceId),
    /// A request is refused; its client may come again.
    Decline(RequestId),
    /// A request fails: it may have run.
    Void(RequestId),
    /// An attempt's answer is not waited for any longer.
    CallOff(RequestId, AttemptNumber),
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
    fn send_attempt(&mut self, id: RequestId, to: ApplianceId, _: Duration) {
        self.list.push(Decision::Attempt(id, to));
    }

    fn decline(&mut self, id: RequestId, _: Duration) {
        self.list.push(Decision::Decline(id));
    }

    fn void(&mut self, id: RequestId) {
        self.list.push(Decision::Void(id));
    }

    fn call_off(&mut self, id: RequestId, number: AttemptNumber) {
        self.list.push(Decision::CallOff(id, number));
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

    fn watch_membership(&mut self, on: bool) {
        self.list.push(Decision::Watch(on));
    }

    fn fetch_membership(&mut self) {
        self.list.push(Decision::Fetch);
    }

    fn vote(&mut self, build: Build, stage: Stage, verdict: Verdict) {
        self.list.push(Decision::Vote(build, stage, verdict));
    }
}
