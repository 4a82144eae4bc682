//! The messages between agents and everything hollow. They are exchanged at the ends of slices.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, EndpointId, Outcome, RequestId, Stage, TimerId, Vote,
};

/// The time that a message takes one way on the network.
pub const ONE_WAY: Duration = Duration::from_micros(250);

/// The place of a service in the fleet, and of its module in each agent.
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

/// What an agent sends.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// An attempt to an appliance.
    Attempt {
        /// Which.
        attempt: AttemptId,
        /// Where.
        to: EndpointId,
        /// Work that it asks, on a warm core.
        work: Duration,
        /// Until when the agent waits for the answer.
        until: Duration,
    },
    /// A datagram to one peer, or to all.
    Datagram {
        /// To whom.
        to: Option<AgentId>,
        /// Its bytes.
        payload: Arc<[u8]>,
    },
    /// A vote to the platform.
    Vote {
        /// On what.
        build: Build,
        /// In which stage.
        stage: Stage,
        /// What it says.
        vote: Vote,
    },
    /// A call that opens a watch.
    Watch {
        /// The number of the connection, which grows.
        connection: u32,
    },
    /// The watch is given up.
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
    pub what: Outgoing,
}

/// What reaches an agent's module.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// A client's request.
    Request,
    /// The end of an attempt.
    Ended {
        /// Which.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Bytes of a watch.
    List {
        /// The connection that they come on.
        connection: u32,
        /// The bytes.
        bytes: Arc<[u8]>,
        /// When the change was made, or the whole list was asked for.
        since: Duration,
        /// Whether they hold a whole list.
        whole: bool,
    },
    /// The watch's connection has ended.
    ListClosed {
        /// Which.
        connection: u32,
    },
    /// Bytes from the platform.
    ReleaseUpdate(Arc<[u8]>),
    /// A vote's answer.
    VoteAnswered(Outcome),
    /// A datagram of a peer.
    Datagram {
        /// From whom.
        from: AgentId,
        /// Its bytes.
        payload: Arc<[u8]>,
    },
    /// A wake-up that the module asked for.
    Wake(TimerId),
    /// Discovery's and the platform's signs of life.
    SignsOfLife,
}
