//! An upstream pool with one endpoint, and a substitute for the decision engine that records how attempts end.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::outbound::{AttemptId, EncodedRequest, OutgoingAttempt};
use lilacgate_agent::release_gate::{EventRouter, ReleaseGateHost};
use lilacgate_agent::transport::ByteLimit;
use lilacgate_agent::upstream::UpstreamPool;
use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, EventHandler, ListUpdate, Outcome,
    ReleasePhase, Request, RequestClass, RequestId, Stage,
};
use lilacgate_start_settings::Settings;

use crate::support::empty_recorder;

const SETTINGS: &str = "feedback.names=lat_ms,util\nlimits.connect-timeout=9000000\nlimits.conn-idle=30000000\ntick=1\n\
    rules.answer-slack=1\nprofiles.count=1\nprofiles.0.give-up=9000000";
pub(crate) const ENDPOINT: EndpointId = EndpointId(1);
pub(crate) const ATTEMPT: AttemptId = AttemptId {
    request: RequestId(0),
    number: AttemptNumber(0),
};
pub(crate) const REQUEST: &[u8; 5] = b"hello";
pub(crate) const MAX_REPLY_BYTES: usize = 1 << 20;
pub(crate) const TIMEOUT: Duration = Duration::from_secs(9);

/// Records how attempts and health checks end, and answers whether an attempt may still be sent.
#[derive(Default)]
pub(crate) struct RecordingHandler {
    pub(crate) may_send: bool,
    pub(crate) outcome: Option<Outcome>,
    /// How all attempts ended.
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) loads: Vec<(EndpointId, Vec<f32>)>,
}

impl EventHandler for RecordingHandler {
    fn on_request(&mut self, _: RequestId, _: Request) {}
    fn on_attempt_ended(
        &mut self,
        _: RequestId,
        _: AttemptNumber,
        _: EndpointId,
        outcome: Outcome,
        _: Duration,
        _: bool,
    ) {
        self.outcome = Some(outcome);
        self.outcomes.push(outcome);
    }
    fn on_response_started(&mut self, _: RequestId, _: AttemptNumber, _: EndpointId, _: Duration) {}
    fn on_client_disconnected(&mut self, _: RequestId) {}
    fn may_send(&mut self, _: RequestId, _: AttemptNumber) -> bool {
        self.may_send
    }
    fn on_endpoints(&mut self, _: ListUpdate, _: &mut dyn Iterator<Item = Endpoint>) {}
    fn on_load_report(&mut self, endpoint: EndpointId, loads: &[f32]) {
        self.loads.push((endpoint, loads.to_vec()));
    }
    fn on_health_check(&mut self, _: EndpointId, outcome: Outcome, _: Duration) {
        self.outcome = Some(outcome);
    }
    fn on_release_status(&mut self, _: Build, _: Stage, _: ReleasePhase, _: f64, _: Duration) {}
    fn on_vote_answered(&mut self, _: Outcome) {}
    fn on_wrong_answer(&mut self, _: EndpointId, _: RequestClass, _: Duration) {}
}

impl RecordingHandler {
    /// Creates a handler that lets every attempt be sent.
    pub(crate) fn confirming() -> Self {
        RecordingHandler {
            may_send: true,
            ..RecordingHandler::default()
        }
    }

    /// Runs the event loop until the first outcome, and returns it.
    pub(crate) fn wait_for_outcome(&mut self, event_loop: &EventLoop) -> Option<Outcome> {
        let run = async_io::block_on(event_loop.run(async {
            while self.outcome.is_none() {
                event_loop.handle_queued_events(&mut EventRouter {
                    engine: self,
                    gate_host: &mut ReleaseGateHost::default(),
                    recorder: &empty_recorder(),
                    now: Duration::ZERO,
                });
                futures_lite::future::yield_now().await;
            }
        }));
        run.expect("no task panics");
        self.outcome
    }
}

/// Creates a pool of at most `max_connections` connections with one endpoint, and that endpoint's listener.
pub(crate) fn pool_with_endpoint(
    max_connections: usize,
) -> (Rc<EventLoop>, Rc<UpstreamPool>, TcpListener) {
    let event_loop = EventLoop::new(Duration::ZERO);
    let settings = Settings::from_lines(SETTINGS);
    let reply_bytes = ByteLimit::new(MAX_REPLY_BYTES);
    let pool = UpstreamPool::new(event_loop.clone(), &settings, max_connections, reply_bytes)
        .expect("a pool");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (machine_model, build, cell, zone) = Default::default();
    let entry = Endpoint {
        id: ENDPOINT,
        status: EndpointStatus::Ready,
        machine_model,
        weight: 1.0,
        started: None,
        build,
        cell,
        zone,
    };
    pool.update_endpoint(&entry, listener.local_addr().expect("its address"));
    (event_loop, pool, listener)
}

/// An attempt that is decided on at `now`, and whose encoded request is [`REQUEST`].
pub(crate) fn hello(now: Duration) -> OutgoingAttempt {
    let encoded_request: EncodedRequest = Rc::new(|_| REQUEST.to_vec());
    OutgoingAttempt {
        id: ATTEMPT,
        endpoint: ENDPOINT,
        encoded_request,
        started: now,
        deadline: now + TIMEOUT,
        send_by: None,
        request_over: Rc::default(),
    }
}
