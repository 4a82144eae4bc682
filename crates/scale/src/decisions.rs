//! What the decision module decides in a round, kept in order until the round is over.
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote,
};

use crate::network::AttemptId;

/// One decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// An attempt is sent to an endpoint.
    Attempt {
        /// The request.
        request: RequestId,
        /// The endpoint.
        to: EndpointId,
    },
    /// A request is rejected; its client may retry.
    Reject(RequestId),
    /// A request fails: it may have run.
    Fail(RequestId),
    /// An attempt is cancelled; its answer does not matter any more.
    Cancel(AttemptId),
    /// The module needs a round at the given virtual time.
    ScheduleWakeUp {
        /// Virtual time of the round.
        at: Duration,
        /// The timer that then expires.
        timer: TimerId,
    },
    /// A report or warning is sent.
    SendToPeer {
        /// The receiver, or `None` for all peers.
        to: Option<AgentId>,
        /// Its bytes.
        payload: Vec<u8>,
    },
    /// The watch of the list begins anew, or the list is fetched, which opens the watch as well.
    Watch,
    /// The watch of the list ends.
    Unwatch,
    /// A vote on a build.
    Vote {
        /// The build that is voted on.
        build: Build,
        /// The stage of its release.
        stage: Stage,
        /// The vote.
        vote: Vote,
    },
}

/// Collects the decisions of a round.
#[derive(Debug, Default)]
pub struct Decided {
    /// The decisions in their order.
    pub list: Vec<Decision>,
}

impl Actions for Decided {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration, _: Option<Duration>) {
        self.list.push(Decision::Attempt { request: id, to });
    }

    fn reject(&mut self, id: RequestId, _: Duration) {
        self.list.push(Decision::Reject(id));
    }

    fn fail(&mut self, id: RequestId) {
        self.list.push(Decision::Fail(id));
    }

    fn cancel(&mut self, id: RequestId, number: AttemptNumber) {
        self.list.push(Decision::Cancel(AttemptId {
            request: id,
            number,
        }));
    }

    fn schedule_wake_up(&mut self, at: Duration, timer: TimerId) {
        self.list.push(Decision::ScheduleWakeUp { at, timer });
    }

    fn check_health(&mut self, _: EndpointId) {}

    fn close_idle_connections(&mut self, _: EndpointId) {}

    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]) {
        self.list.push(Decision::SendToPeer {
            to: peer,
            payload: payload.to_vec(),
        });
    }

    fn log(&mut self, text: &str) {
        tracing::trace!("{text}");
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.list.push(if on {
            Decision::Watch
        } else {
            Decision::Unwatch
        });
    }

    fn fetch_endpoints(&mut self) {
        self.list.push(Decision::Watch);
    }

    fn vote(&mut self, build: Build, stage: Stage, vote: Vote) {
        self.list.push(Decision::Vote { build, stage, vote });
    }
}
