//! A stand-in for a release control plane: it publishes where the newest build stands, and takes votes.
use std::fmt;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use lilacgate_decision::ReleasePhase;
use serde_json::Value;

use crate::event_log::{Event, EventLog};
use crate::framing::read_line;
use crate::listener::{Listener, lock};
use crate::protocol_messages::{
    LISTEN_ACCEPTED, RELEASE_HEARTBEAT, release_update, rollout_notification,
};
use crate::subscribers::Subscribers;

/// How much of an update's line is written by a control plane that crashes.
const CUT_LINE_BYTES: usize = 40;

/// The name of a phase on the wire.
pub fn wire_name(phase: ReleasePhase) -> &'static str {
    match phase {
        ReleasePhase::Canary => "Progressing",
        ReleasePhase::RollingBack => "Aborting",
        ReleasePhase::Released => "Healthy",
        ReleasePhase::Withdrawn => "Aborted",
    }
}

/// Where the newest build of a service stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseState {
    /// The newest build.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// Its phase.
    pub phase: ReleasePhase,
    /// The largest share of requests that it may get, 0 to 1.
    pub cap: f64,
}

/// The stage of a build that has passed all of them.
const LAST_STAGE: u8 = 3;

impl ReleaseState {
    /// A build that runs everywhere.
    pub fn released(build: u16) -> ReleaseState {
        ReleaseState {
            build,
            stage: LAST_STAGE,
            phase: ReleasePhase::Released,
            cap: 1.0,
        }
    }

    /// A build in this stage of its release.
    pub fn canary(build: u16, stage: u8, cap: f64) -> ReleaseState {
        ReleaseState {
            build,
            stage,
            phase: ReleasePhase::Canary,
            cap,
        }
    }

    /// A build that had been released, in this phase of being taken back.
    pub fn taken_back(build: u16, phase: ReleasePhase) -> ReleaseState {
        ReleaseState {
            build,
            stage: LAST_STAGE,
            phase,
            cap: 0.0,
        }
    }

    fn to_json(self) -> String {
        let (build, stage, cap) = (
            self.build.to_string(),
            self.stage.to_string(),
            self.cap.to_string(),
        );
        release_update(&build, &stage, wire_name(self.phase), &cap)
    }

    fn to_notification(self) -> String {
        rollout_notification(&self.to_json())
    }

    pub(crate) fn log_to(self, event_log: &EventLog) {
        event_log.push(Event::ReleaseUpdated {
            build: self.build,
            stage: self.stage,
            unreleased: self.phase != ReleasePhase::Released,
            cap: self.cap,
        });
    }
}

/// An agent's vote as it stands on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The JSON-RPC id of the call.
    pub id: u64,
    /// The build that it is about.
    pub build: u16,
    /// The stage that it is about.
    pub stage: u8,
    /// `promote`, `abort`, `pause` or `abstain`.
    pub decision: String,
}

impl VoteRequest {
    fn parse(line: &str) -> Option<VoteRequest> {
        let call: Value = serde_json::from_str(line).ok()?;
        let number = |pointer| call.pointer(pointer).and_then(Value::as_u64);
        Some(VoteRequest {
            id: number("/id")?,
            build: number("/params/Revision")?.try_into().ok()?,
            stage: number("/params/Wave")?.try_into().ok()?,
            decision: call.pointer("/params/Decision")?.as_str()?.to_owned(),
        })
    }
}

/// What a vote makes of a release: its new state, or `None` if the vote changes nothing.
pub type VoteHandler = Box<dyn FnMut(&VoteRequest, ReleaseState) -> Option<ReleaseState> + Send>;

/// A handler for which no vote changes anything.
pub fn ignore_votes() -> VoteHandler {
    Box::new(|_, _| None)
}

/// A release control plane that listens.
#[derive(Debug)]
pub struct ReleaseControlPlane {
    listener: Listener,
    shared: Arc<Shared>,
}

impl ReleaseControlPlane {
    /// `logs_updates`: whether updates go into the event log, as those of the agent's own service do.
    pub(crate) fn new(
        host: Ipv4Addr,
        state: ReleaseState,
        event_log: EventLog,
        logs_updates: bool,
        vote_handler: VoteHandler,
    ) -> ReleaseControlPlane {
        let shared = Arc::new(Shared {
            subscribers: Subscribers::new(RELEASE_HEARTBEAT),
            state: Mutex::new(state),
            vote_handler: Mutex::new(vote_handler),
            event_log,
            logs_updates,
        });
        let handler = shared.clone();
        ReleaseControlPlane {
            listener: Listener::new(host, move |connection| handler.serve(&connection)),
            shared,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// The state that it published last.
    pub fn state(&self) -> ReleaseState {
        *lock(&self.shared.state)
    }

    /// Publishes a state.
    pub fn publish(&self, state: ReleaseState) {
        *lock(&self.shared.state) = state;
        self.shared
            .subscribers
            .send(state.to_notification().as_bytes());
        if self.shared.logs_updates {
            state.log_to(&self.shared.event_log);
        }
    }

    /// Crashes in the middle of a line. Until it recovers, new connections are closed.
    pub fn crash(&self) {
        let subscribers = &self.shared.subscribers;
        subscribers.set_alive(false);
        subscribers.send(&self.state().to_notification().as_bytes()[..CUT_LINE_BYTES]);
        self.listener.close_connections();
        subscribers.lock().clear();
    }

    /// Serves again after a crash, from this state on.
    pub fn recover(&self, state: ReleaseState) {
        *lock(&self.shared.state) = state;
        self.shared.subscribers.set_alive(true);
    }
}

impl Drop for ReleaseControlPlane {
    fn drop(&mut self) {
        self.shared.subscribers.stop();
    }
}

/// What the control plane and its connections share.
struct Shared {
    subscribers: Subscribers,
    state: Mutex<ReleaseState>,
    vote_handler: Mutex<VoteHandler>,
    event_log: EventLog,
    logs_updates: bool,
}

impl Shared {
    fn serve(&self, connection: &TcpStream) {
        let mut reader = BufReader::new(connection.try_clone().expect("a second handle"));
        while let Some(line) = read_line(&mut reader) {
            let served = if line.contains("\"listen\"") {
                self.subscribe(connection)
            } else {
                self.take_vote(connection, &line)
            };
            if served.is_none() {
                return;
            }
        }
    }

    /// Adds a subscriber; `None` if its connection is closed instead.
    fn subscribe(&self, mut connection: &TcpStream) -> Option<()> {
        let mut subscribers = self.subscribers.lock();
        let state = *lock(&self.state);
        let greeting = [LISTEN_ACCEPTED, state.to_notification().as_bytes()].concat();
        if self.subscribers.is_alive() && connection.write_all(&greeting).is_ok() {
            subscribers.extend(connection.try_clone());
            Some(())
        } else {
            connection.shutdown(Shutdown::Both).ok();
            None
        }
    }

    /// Answers a vote; `None` if the connection is of no more use.
    fn take_vote(&self, mut connection: &TcpStream, line: &str) -> Option<()> {
        let vote = VoteRequest::parse(line)?;
        self.event_log.push(Event::VoteReceived {
            build: vote.build,
            stage: vote.stage,
            decision: vote.decision.clone(),
        });
        let current = *lock(&self.state);
        let next = lock(&self.vote_handler)(&vote, current);
        let id = vote.id;
        let answer = match next {
            Some(state) => {
                *lock(&self.state) = state;
                state.log_to(&self.event_log);
                self.subscribers.send(state.to_notification().as_bytes());
                let result = state.to_json();
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{result}}}\n")
            }
            None => format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":-32602,\"message\":\"moot\"}}}}\n"
            ),
        };
        connection.write_all(answer.as_bytes()).ok()
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Shared")
            .field("state", &self.state)
            .field("logs_updates", &self.logs_updates)
            .finish_non_exhaustive()
    }
}
