//! One decision module of an agent, with the parsers of what it receives.
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cpu_time::ThreadTime;
use lilacgate_agent::endpoint_list::{EndpointListReader, ListReceipt};
use lilacgate_agent::http_response::{HttpResponseParser, WatchResponseParser};
use lilacgate_agent::json::{Json, JsonParser};
use lilacgate_agent::release_watch;
use lilacgate_agent::transport::Parse;
use lilacgate_decision::{
    AgentId, DecisionEngine, Endpoint, EndpointId, EndpointStatus, EventHandler, ListUpdate,
    Outcome, ReleasePermissions, Request, RequestId, TimerId,
};
use lilacgate_start_settings::Settings;

use crate::decisions::Decided;
use crate::error::ScaleError;
use crate::meter::Meter;
use crate::network::AttemptId;

/// The largest message of discovery that is read, in bytes.
const LARGEST_MESSAGE: usize = 16 << 20;
/// Bytes that one read of a socket gives at most.
const READ_SIZE: usize = 64 << 10;

/// The end of an attempt, as a module receives it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its sending to its end.
    pub took: Duration,
    /// Whether the request is answered.
    pub closed: bool,
}

/// What a module receives in a round.
#[derive(Debug)]
pub enum ModuleEvent {
    /// A client's request.
    Request(RequestId, Request),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// A list or changes.
    EndpointList(ListUpdate, Vec<Endpoint>),
    /// The status of a release.
    ReleaseUpdate(release_watch::ReleaseUpdate),
    /// The answer to a vote.
    VoteAnswered(Outcome),
    /// A datagram of a peer.
    Datagram(AgentId, Arc<[u8]>),
    /// A wake-up.
    Wake(TimerId),
    /// What the operator's rules permit.
    ReleasePermissions(Arc<ReleasePermissions>),
}

/// A request that is not answered yet, or has attempts that have not ended.
#[derive(Debug)]
pub struct UnansweredRequest {
    /// When it arrived.
    pub arrived: Duration,
    /// Its work, on a warm core.
    pub work: Duration,
    /// Virtual time until which its attempts wait for an answer.
    pub until: Duration,
    /// Whether its client has the answer.
    pub answered: bool,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

/// An attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint that it was sent to.
    pub to: EndpointId,
    /// When it was sent.
    pub sent: Duration,
    /// How it ended; `None` while it waits for an answer.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the request may have run there.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

impl UnansweredRequest {
    /// Whether all its attempts have ended.
    pub fn is_quiet(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_some())
    }
}

/// A list or change that the next round acts on.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// When the change was made, or the whole list was requested.
    pub since: Duration,
    /// Whether it is a whole list.
    pub whole: bool,
    /// Processor time to read it.
    pub reading: Duration,
}

/// The work of one round.
#[derive(Debug)]
pub struct Round {
    /// What the module decided.
    pub decided: Decided,
    /// Processor time of the round.
    pub processor_time: Duration,
}

/// A decision module and its parsers.
#[derive(Debug)]
pub struct Module {
    /// The module.
    pub engine: DecisionEngine,
    /// Requests that are not answered, or have attempts that have not ended.
    pub unanswered: HashMap<RequestId, UnansweredRequest>,
    /// The listed status of each endpoint that is not ready.
    pub not_ready: HashMap<EndpointId, EndpointStatus>,
    /// The number of the watch's connection.
    pub connection: u32,
    /// A list or change that the next round acts on.
    pub pending: Option<Pending>,
    /// Whether a whole list has come on the connection that it has now.
    pub has_list: bool,
    /// The last request's number.
    pub last_request: u32,
    endpoint_list: EndpointListReader,
    list_parser: WatchResponseParser,
    release_update_parser: JsonParser,
}

impl Module {
    /// A module made from start settings.
    ///
    /// # Errors
    /// The settings cannot be used.
    pub fn new(seed: u64, settings: &Settings) -> Result<Self, ScaleError> {
        let instance = lilacgate_start_settings::build_instance(seed, settings)
            .map_err(|error| ScaleError::Settings(error.to_string()))?;
        let endpoint_list = EndpointListReader::new(settings)
            .map_err(|error| ScaleError::Settings(error.to_string()))?;
        Ok(Module {
            engine: instance.engine,
            unanswered: HashMap::new(),
            not_ready: HashMap::new(),
            connection: 0,
            pending: None,
            has_list: false,
            last_request: 0,
            endpoint_list,
            list_parser: list_parser(),
            release_update_parser: release_update_parser(),
        })
    }

    /// Begins a new connection of the watch, and returns its number.
    pub fn connect(&mut self) -> u32 {
        self.connection += 1;
        self.has_list = false;
        self.list_parser = list_parser();
        self.connection
    }

    /// The version of the list that it has.
    pub fn version(&self) -> u64 {
        self.endpoint_list.version()
    }

    /// Reads bytes of a watch; returns the events for the module.
    pub fn take_list(&mut self, bytes: &[u8], meter: &mut Meter) -> Vec<ModuleEvent> {
        meter.counts.lists_in.add(bytes.len());
        let start = ThreadTime::now();
        let read = self.read_lists(bytes);
        meter.parse(start.elapsed());
        let Ok(received) = read else {
            meter.counts.unreadable += 1;
            self.endpoint_list.forget_version();
            self.connect();
            return vec![ModuleEvent::EndpointList(ListUpdate::Failed, vec![])];
        };
        received
            .iter()
            .for_each(|received| self.note_statuses(received));
        received
    }

    /// Reads the heartbeats of discovery and the platform, which give no events.
    pub fn take_heartbeats(&mut self, quiet: Option<&[u8]>, ping: &[u8], meter: &mut Meter) {
        let start = ThreadTime::now();
        if let Some(quiet) = quiet {
            self.read_lists(quiet).ok();
        }
        self.release_update_parser.take(ping).ok();
        meter.parse(start.elapsed());
        if let Some(quiet) = quiet {
            meter.counts.lists_in.add(quiet.len());
        }
        meter.counts.release_updates_in.add(ping.len());
    }

    /// Reads bytes from the platform; returns the events for the module.
    pub fn take_release_updates(&mut self, bytes: &[u8], meter: &mut Meter) -> Vec<ModuleEvent> {
        meter.counts.release_updates_in.add(bytes.len());
        let start = ThreadTime::now();
        let read = read_release_updates(&mut self.release_update_parser, bytes);
        meter.parse(start.elapsed());
        if read.is_none() {
            meter.counts.unreadable += 1;
            self.release_update_parser = release_update_parser();
        }
        read.unwrap_or_default()
    }

    /// Reads a saved list, as a start file holds it.
    pub fn take_saved(&mut self, text: &[u8], meter: &mut Meter) -> Option<ModuleEvent> {
        let start = ThreadTime::now();
        let list = JsonParser::parse(text).ok()?;
        let update = self
            .endpoint_list
            .read(&list, ListReceipt::COMMON_CLOCK, &mut |_, _| {})?;
        meter.parse(start.elapsed());
        let lines = update
            .endpoints
            .iter()
            .map(|listed| listed.endpoint)
            .collect();
        Some(ModuleEvent::EndpointList(ListUpdate::Cached, lines))
    }

    /// Runs one round with the received events.
    pub fn round(&mut self, now: Duration, received: Vec<ModuleEvent>) -> Round {
        let mut decided = Decided::default();
        let engine = &mut self.engine;
        let start = ThreadTime::now();
        engine.round(
            now,
            |handler| {
                received
                    .into_iter()
                    .for_each(|event| deliver(handler, event))
            },
            &mut decided,
        );
        Round {
            processor_time: start.elapsed(),
            decided,
        }
    }

    fn read_lists(&mut self, bytes: &[u8]) -> Result<Vec<ModuleEvent>, Unreadable> {
        let mut received = Vec::new();
        for part in bytes.chunks(READ_SIZE) {
            let mut rest = part;
            while !rest.is_empty() {
                let (taken, item) = self.list_parser.take(rest).map_err(|_| Unreadable)?;
                rest = &rest[taken..];
                let Some(Some(list)) = item else { continue };
                received.push(self.read_list(&list)?);
            }
        }
        Ok(received)
    }

    fn read_list(&mut self, list: &Json) -> Result<ModuleEvent, Unreadable> {
        let update = self
            .endpoint_list
            .read(list, ListReceipt::COMMON_CLOCK, &mut |_, _| {})
            .ok_or(Unreadable)?;
        let list_update = if update.is_full {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        let lines = update
            .endpoints
            .iter()
            .map(|listed| listed.endpoint)
            .collect();
        Ok(ModuleEvent::EndpointList(list_update, lines))
    }

    fn note_statuses(&mut self, received: &ModuleEvent) {
        let ModuleEvent::EndpointList(list_update, lines) = received else {
            return;
        };
        if *list_update == ListUpdate::Full {
            self.not_ready.clear();
            self.has_list = true;
        }
        for line in lines {
            match line.status {
                EndpointStatus::Ready => self.not_ready.remove(&line.id),
                status => self.not_ready.insert(line.id, status),
            };
        }
    }
}

/// A message is malformed or does not fit the list.
struct Unreadable;

fn list_parser() -> WatchResponseParser {
    WatchResponseParser(HttpResponseParser::new(LARGEST_MESSAGE))
}

fn release_update_parser() -> JsonParser {
    JsonParser::lines(release_watch::MAX_LINE_BYTES)
}

fn read_release_updates(parser: &mut JsonParser, bytes: &[u8]) -> Option<Vec<ModuleEvent>> {
    let (mut rest, mut received) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (taken, message) = parser.take(rest).ok()?;
        rest = &rest[taken..];
        let Some(message) = message else { continue };
        if message.get("method").and_then(Json::as_str) == Some("ROLLOUT") {
            received.push(ModuleEvent::ReleaseUpdate(
                release_watch::ReleaseUpdate::from_json(message.get("params")?)?,
            ));
        }
    }
    Some(received)
}

fn deliver(handler: &mut dyn EventHandler, event: ModuleEvent) {
    match event {
        ModuleEvent::Request(id, request) => handler.on_request(id, request),
        ModuleEvent::AttemptEnded(end) => handler.on_attempt_ended(
            end.attempt.request,
            end.attempt.number,
            end.endpoint,
            end.outcome,
            end.took,
            end.closed,
        ),
        ModuleEvent::EndpointList(list_update, lines) => {
            handler.on_endpoints(list_update, &mut lines.into_iter())
        }
        ModuleEvent::ReleaseUpdate(update) => {
            handler.on_release_status(
                update.build,
                update.stage,
                update.phase,
                update.cap,
                update.age,
            );
        }
        ModuleEvent::VoteAnswered(outcome) => handler.on_vote_answered(outcome),
        ModuleEvent::Datagram(from, payload) => handler.on_peer_message(from, &payload),
        ModuleEvent::Wake(timer) => handler.on_wake_up(timer),
        ModuleEvent::ReleasePermissions(permissions) => {
            handler.on_release_permissions(Some(permissions))
        }
    }
}
