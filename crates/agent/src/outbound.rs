//! The traits by which the decision engine's actions reach endpoints, discovery, the platform and peers.
//!
//! Every method returns at once; anything that takes time is spawned as a task. Implementations make no decisions.
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, Vote};

use crate::transport::Notifier;

/// Encodes the command of a request for the time that remains for its answer.
pub type EncodedRequest = Rc<dyn Fn(Duration) -> Vec<u8>>;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request, counted from 0.
    pub number: AttemptNumber,
}

/// An attempt that is to be sent to an endpoint.
pub struct OutgoingAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The endpoint to send it to.
    pub endpoint: EndpointId,
    /// Encodes the command to send.
    pub encoded_request: EncodedRequest,
    /// When the decision to send it was made.
    pub started: Duration,
    /// When the attempt times out.
    pub deadline: Duration,
    /// The end of the request's deduplication window, if the attempt is a repeat of one that may have run: it must not be
    /// written from then on.
    pub send_by: Option<Duration>,
    /// Notified when the request needs no answer any more: it has one, or its client has left.
    pub request_over: Rc<Notifier>,
}

impl fmt::Debug for OutgoingAttempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OutgoingAttempt")
            .field("id", &self.id)
            .field("endpoint", &self.endpoint)
            .field("started", &self.started)
            .field("deadline", &self.deadline)
            .field("send_by", &self.send_by)
            .finish_non_exhaustive()
    }
}

/// Sends attempts and health checks to endpoints.
pub trait Upstream {
    /// Sends an attempt; its end is reported to the event loop exactly once.
    fn send_attempt(self: Rc<Self>, attempt: OutgoingAttempt);

    /// Cancels an attempt. Nothing happens if it has ended already.
    fn cancel(&self, id: AttemptId);

    /// Asks an endpoint for its load; the outcome is reported to the event loop exactly once.
    fn check_health(self: Rc<Self>, endpoint: EndpointId);

    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&self, endpoint: EndpointId);
}

/// Obtains the endpoint list from discovery.
pub trait EndpointListSource {
    /// Starts or stops watching the list for changes.
    fn watch(&self, on: bool);

    /// Fetches the full list once.
    fn fetch(self: Rc<Self>);
}

/// Sends votes on the release of a build.
pub trait VoteSender {
    /// Sends a vote; its outcome is reported to the event loop exactly once.
    fn send_vote(self: Rc<Self>, build: Build, stage: Stage, vote: Vote);
}

/// Sends datagrams to other agents.
pub trait PeerSender {
    /// Sends a payload to a peer, or to all peers if `peer` is `None`. The datagram may be lost.
    fn send_to_peer(&self, peer: Option<AgentId>, payload: &[u8]);
}
