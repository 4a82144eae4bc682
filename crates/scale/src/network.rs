//! The messages between agents and the simulated services, exchanged at the ends of slices.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, EndpointId, Outcome, RequestId, Stage, Vote,
};

use crate::module::ModuleEvent;

/// The time that a message takes one way on the network.
pub const ONE_WAY: Duration = Duration::from_micros(250);

/// The index of a service in the fleet, and of its module in each agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub u32);

/// Names one attempt of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub number: AttemptNumber,
}

/// An attempt at an endpoint, as the agent sends it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint that it is sent to.
    pub to: EndpointId,
    /// Work of the request, on a warm core.
    pub work: Duration,
    /// Virtual time until which the agent waits for the answer.
    pub until: Duration,
}

/// A message of an agent.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// An attempt at an endpoint.
    Attempt(AttemptCall),
    /// A datagram to one peer, or to all.
    Datagram {
        /// The receiver, or `None` for all peers.
        to: Option<AgentId>,
        /// Its bytes.
        payload: Arc<[u8]>,
    },
    /// A vote to the platform.
    Vote {
        /// The build that is voted on.
        build: Build,
        /// The stage of its release.
        stage: Stage,
        /// The vote.
        vote: Vote,
    },
    /// A call that opens a watch.
    Watch {
        /// The number of the connection, which grows.
        connection: u32,
    },
    /// The end of the watch.
    Unwatch,
}

/// A message on its way from an agent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: Duration,
    /// The service it is about.
    pub service: ServiceIndex,
    /// The message.
    pub message: Outgoing,
}

/// Bytes of a watch.
#[derive(Clone, Debug)]
pub struct ListMessage {
    /// The connection that they come on.
    pub connection: u32,
    /// The bytes.
    pub bytes: Arc<[u8]>,
    /// When the change was made, or the whole list was requested.
    pub since: Duration,
    /// Whether they hold a whole list.
    pub whole: bool,
}

/// What reaches one module of an agent.
#[derive(Debug)]
pub enum Incoming {
    /// A client's request, which the agent draws.
    Request,
    /// The end of an attempt.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Bytes of a watch.
    List(ListMessage),
    /// The watch's connection has ended.
    ListClosed {
        /// The connection's number.
        connection: u32,
    },
    /// Bytes from the platform.
    ReleaseUpdate(Arc<[u8]>),
    /// An event that the module receives as it is: a datagram, a wake-up, or the answer to a vote.
    Event(ModuleEvent),
    /// The heartbeats of discovery and the platform.
    Heartbeats,
}
