//! The events that the host reports to the decision engine: one method for each kind.
use std::sync::Arc;
use std::time::Duration;

use crate::model::{
    AgentId, AttemptNumber, Build, Endpoint, EndpointId, ListUpdate, Outcome, ReleasePhase,
    Request, RequestClass, RequestId, Stage, TimerId,
};
use crate::release_permissions::ReleasePermissions;

/// Receives the events of a round, in the order in which they happened. Methods with a default do nothing unless an
/// implementation overrides them.
pub trait EventHandler {
    /// A client sent a request.
    fn on_request(&mut self, id: RequestId, request: Request);

    /// An attempt ended after `took`. `request_closed` tells whether its request needs no further answer.
    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        outcome: Outcome,
        took: Duration,
        request_closed: bool,
    );

    /// The first part of an answer was sent to the client, after `took`.
    fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        took: Duration,
    );

    /// The client of a request closed its connection.
    fn on_client_disconnected(&mut self, id: RequestId);

    /// Asks whether an attempt that waited for its connection may still be sent. If not, the host ends it with
    /// [`Outcome::NotSent`].
    fn may_send(&mut self, id: RequestId, attempt: AttemptNumber) -> bool;

    /// Discovery updated the endpoint list. `endpoints` are the entries of the update; there are none if it failed.
    fn on_endpoints(&mut self, update: ListUpdate, endpoints: &mut dyn Iterator<Item = Endpoint>);

    /// An endpoint reported its load as a series of gauges; absent ones are NaN.
    fn on_load_report(&mut self, _endpoint: EndpointId, _gauges: &[f32]) {}

    /// A health check ended.
    fn on_health_check(&mut self, _endpoint: EndpointId, _outcome: Outcome, _took: Duration) {}

    /// A peer sent a message.
    fn on_peer_message(&mut self, _from: AgentId, _payload: &[u8]) {}

    /// The release control plane reported the status of the newest build. Its stage began `age` ago; `cap` is the
    /// highest share of requests that it may get, 0 to 1.
    fn on_release_status(
        &mut self,
        build: Build,
        stage: Stage,
        phase: ReleasePhase,
        cap: f64,
        age: Duration,
    );

    /// The call that cast the last vote ended.
    fn on_vote_answered(&mut self, outcome: Outcome);

    /// The platform counted the requests of a build and class in a period that ended `age` ago: how many, how many
    /// of them failed, and their mean duration.
    fn on_period_statistics(
        &mut self,
        _build: Build,
        _class: RequestClass,
        _count: u32,
        _failed: u32,
        _mean: Duration,
        _age: Duration,
    ) {
    }

    /// The operator's rules changed. `permissions` apply from now on; `None` permits everything.
    fn on_release_permissions(&mut self, _permissions: Option<Arc<ReleasePermissions>>) {}

    /// An answer that was sent `sent_ago` ago, and was counted as a success, was found to be wrong.
    fn on_wrong_answer(&mut self, endpoint: EndpointId, class: RequestClass, sent_ago: Duration);

    /// The agent shuts down. Each pending request has to be answered by this instant.
    fn on_shutdown(&mut self, _deadline: Duration) {}

    /// A scheduled wake-up is due.
    fn on_wake_up(&mut self, _timer: TimerId) {}
}
