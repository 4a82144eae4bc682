//! One decision module of an agent, with the parsers that feed it.
use std::collections::HashMap;
use std::time::Duration;

use cpu_time::ThreadTime;
use lilacgate_agent::endpoint_list::EndpointListReader;
use lilacgate_agent::http_response::{HttpResponse, ValuesAndHeartbeats};
use lilacgate_agent::json::{Json, JsonParser};
use lilacgate_agent::release_watch;
use lilacgate_agent::transport::Parse;
use lilacgate_decision::{
    AgentId, AttemptNumber, DecisionEngine, Endpoint, EndpointId, EndpointStatus, EventHandler,
    ListUpdate, Outcome, Request, RequestId, TimerId,
};
use lilacgate_start_settings::Settings;

use crate::decisions::Decided;
use crate::error::ScaleError;
use crate::meter::Meter;

/// The largest message of discovery that is read, in bytes.
const LARGEST_MESSAGE: usize = 16 << 20;
/// Bytes that one read of a socket gives at most.
const READ_SIZE: usize = 64 << 10;

/// What a module hears in a round.
pub enum Heard {
    /// A client's request.
    Request(RequestId, Request),
    /// An attempt has ended.
    Ended {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        number: AttemptNumber,
        /// Where.
        at: EndpointId,
        /// How.
        ending: Outcome,
        /// After which time.
        took: Duration,
        /// Whether the request is answered.
        closed: bool,
    },
    /// A list or changes.
    Membership(ListUpdate, Vec<Endpoint>),
    /// Where a build stands.
    News(release_watch::ReleaseUpdate),
    /// A vote's answer.
    VoteAnswered(Outcome),
    /// A datagram of a peer.
    Datagram(AgentId, std::sync::Arc<[u8]>),
    /// A wake-up.
    Wake(TimerId),
    /// What the operator's rules leave open.
    Openings(std::sync::Arc<lilacgate_decision::ReleasePermissions>),
}

/// A request that is owed its answer, or has attempts out.
pub struct Owed {
    /// When it was taken.
    pub arrived: Duration,
    /// Work that it asks.
    pub work: Duration,
    /// Until when its attempts wait.
    pub until: Duration,
    /// Whether its client has the answer.
    pub answered: bool,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

/// An attempt of a request.
pub struct Attempt {
    /// Where it went.
    pub to: EndpointId,
    /// When it was sent.
    pub sent: Duration,
    /// How it ended.
    pub ending: Option<Outcome>,
}

impl Attempt {
    /// Whether the request may have run there.
    pub fn may_have_run(&self) -> bool {
        self.ending.is_none_or(Outcome::may_have_run)
    }
}

impl Owed {
    /// Whether all its attempts have ended.
    pub fn is_quiet(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.ending.is_some())
    }
}

/// A list or change that the next round acts on.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// When the change was made, or the whole list was asked for.
    pub since: Duration,
    /// Whether it is a whole list.
    pub whole: bool,
    /// Processor time to read it.
    pub reading: Duration,
}

/// A decision module and its parsers.
pub struct Module {
    /// The module.
    pub brain: DecisionEngine,
    /// Requests in hand.
    pub owed: HashMap<RequestId, Owed>,
    /// The state of each appliance on the list that is not ready, as told.
    pub not_ready: HashMap<EndpointId, EndpointStatus>,
    /// The number of the watch's connection.
    pub connection: u32,
    /// A list or change that the next round acts on.
    pub pending: Option<Pending>,
    /// Whether a whole list has come on the connection that it has now.
    pub has_list: bool,
    /// The last request's number.
    pub last_request: u32,
    catalog: EndpointListReader,
    list_parser: ValuesAndHeartbeats,
    news_parser: JsonParser,
}

impl Module {
    /// A module made from start settings.
    ///
    /// # Errors
    /// The settings cannot be used.
    pub fn new(seed: u64, settings: &Settings) -> Result<Self, ScaleError> {
        let instance = lilacgate_start_settings::instance(seed, settings)
            .map_err(|error| ScaleError::Settings(error.to_string()))?;
        let catalog = EndpointListReader::new(settings)
            .map_err(|error| ScaleError::Settings(error.to_string()))?;
        let (owed, not_ready, pending) = Default::default();
        Ok(Module {
            brain: instance.engine,
            owed,
            not_ready,
            connection: 0,
            pending,
            has_list: false,
            last_request: 0,
            catalog,
            list_parser: list_parser(),
            news_parser: news_parser(),
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
        self.catalog.version()
    }

    /// Takes bytes of a watch; returns what the module is to hear of them.
    pub fn take_list(&mut self, bytes: &[u8], meter: &mut Meter) -> Vec<Heard> {
        meter.counts.lists_in.add(bytes.len());
        let start = ThreadTime::now();
        let read = self.read_lists(bytes);
        meter.parse(start.elapsed());
        let Ok(heard) = read else {
            meter.counts.unreadable += 1;
            self.catalog.restart();
            self.connect();
            return vec![Heard::Membership(ListUpdate::Failed, vec![])];
        };
        heard.iter().for_each(|heard| self.note_modes(heard));
        heard
    }

    /// A sign of life, which nothing is heard of.
    pub fn take_signs_of_life(&mut self, quiet: Option<&[u8]>, ping: &[u8], meter: &mut Meter) {
        let start = ThreadTime::now();
        if let Some(quiet) = quiet {
            self.read_lists(quiet).ok();
        }
        self.news_parser.take(ping).ok();
        meter.parse(start.elapsed());
        if let Some(quiet) = quiet {
            meter.counts.lists_in.add(quiet.len());
        }
        meter.counts.news_in.add(ping.len());
    }

    /// Takes bytes of the platform; returns what the module is to hear of them.
    pub fn take_news(&mut self, bytes: &[u8], meter: &mut Meter) -> Vec<Heard> {
        meter.counts.news_in.add(bytes.len());
        let start = ThreadTime::now();
        let read = read_news(&mut self.news_parser, bytes);
        meter.parse(start.elapsed());
        if read.is_none() {
            meter.counts.unreadable += 1;
            self.news_parser = news_parser();
        }
        read.unwrap_or_default()
    }

    /// Takes a saved list, as a start file holds it.
    pub fn take_saved(&mut self, text: &[u8], meter: &mut Meter) -> Option<Heard> {
        let start = ThreadTime::now();
        let list = JsonParser::parse(text).ok()?;
        let update = self.catalog.read(&list, &mut |_, _| {})?;
        meter.parse(start.elapsed());
        let lines = update
            .endpoints
            .iter()
            .map(|listed| listed.endpoint)
            .collect();
        Some(Heard::Membership(ListUpdate::Cached, lines))
    }

    /// One round with all that was heard; returns what it decided and its processor time.
    pub fn round(&mut self, now: Duration, heard: Vec<Heard>) -> (Decided, Duration) {
        let mut decided = Decided::default();
        let brain = &mut self.brain;
        let start = ThreadTime::now();
        brain.round(
            now,
            |ears| heard.into_iter().for_each(|one| tell(ears, one)),
            &mut decided,
        );
        (decided, start.elapsed())
    }

    fn read_lists(&mut self, bytes: &[u8]) -> Result<Vec<Heard>, Unreadable> {
        let mut heard = Vec::new();
        for part in bytes.chunks(READ_SIZE) {
            let mut rest = part;
            while !rest.is_empty() {
                let (taken, item) = self.list_parser.take(rest).map_err(|_| Unreadable)?;
                rest = &rest[taken..];
                let Some(Some(list)) = item else { continue };
                heard.push(self.read_list(&list)?);
            }
        }
        Ok(heard)
    }

    fn read_list(&mut self, list: &Json) -> Result<Heard, Unreadable> {
        let update = self.catalog.read(list, &mut |_, _| {}).ok_or(Unreadable)?;
        let listing = if update.is_full {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        let lines = update
            .endpoints
            .iter()
            .map(|listed| listed.endpoint)
            .collect();
        Ok(Heard::Membership(listing, lines))
    }

    fn note_modes(&mut self, heard: &Heard) {
        let Heard::Membership(listing, lines) = heard else {
            return;
        };
        if *listing == ListUpdate::Full {
            self.not_ready.clear();
            self.has_list = true;
        }
        for line in lines {
            match line.status {
                EndpointStatus::Ready => self.not_ready.remove(&line.id),
                mode => self.not_ready.insert(line.id, mode),
            };
        }
    }
}

/// A message that cannot be read.
struct Unreadable;

fn list_parser() -> ValuesAndHeartbeats {
    ValuesAndHeartbeats(HttpResponse::new(LARGEST_MESSAGE))
}

fn news_parser() -> JsonParser {
    JsonParser::lines(release_watch::MAX_LINE_BYTES)
}

fn read_news(parser: &mut JsonParser, bytes: &[u8]) -> Option<Vec<Heard>> {
    let (mut rest, mut heard) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (taken, message) = parser.take(rest).ok()?;
        rest = &rest[taken..];
        let Some(message) = message else { continue };
        if message.get("method").and_then(Json::as_str) == Some("ROLLOUT") {
            heard.push(Heard::News(release_watch::ReleaseUpdate::from_json(
                message.get("params")?,
            )?));
        }
    }
    Some(heard)
}

fn tell(ears: &mut dyn EventHandler, heard: Heard) {
    match heard {
        Heard::Request(id, request) => ears.on_request(id, request),
        Heard::Ended {
            id,
            number,
            at,
            ending,
            took,
            closed,
        } => {
            ears.on_attempt_ended(id, number, at, ending, took, closed);
        }
        Heard::Membership(listing, lines) => ears.on_endpoints(listing, &mut lines.into_iter()),
        Heard::News(news) => {
            ears.on_release_status(news.build, news.stage, news.phase, news.cap, news.age);
        }
        Heard::VoteAnswered(ending) => ears.on_vote_answered(ending),
        Heard::Datagram(from, octets) => ears.on_peer_message(from, &octets),
        Heard::Wake(ticket) => ears.on_wake_up(ticket),
        Heard::Openings(openings) => ears.on_release_permissions(Some(openings)),
    }
}
