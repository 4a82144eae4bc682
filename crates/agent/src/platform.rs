//! The client of the platform, which rolls builds out: watches its release updates on one connection and sends votes on
//! another, as JSON-RPC messages of one line each.
//!
//! No vote is sent twice, and a vote that may have been carried out is never reported as not sent. The protocol of
//! another platform would be a module beside this one that implements the same traits.
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{Build, EventHandler as _, Outcome, Stage, Vote};
use lilacgate_start_settings::{Settings, SettingsError};

use crate::event_loop::EventLoop;
use crate::json::{self, Json, JsonParser};
use crate::log::{ConnectionEnd, Count, count, info};
use crate::outbound::VoteSender;
use crate::release_gate::EventRouter;
use crate::release_watch::{
    MAX_LINE_BYTES, MessageLimit, ReleaseUpdate, ReleaseWatch, ReleaseWatchListener,
    WatchedControlPlane, encode_request,
};
use crate::transport::{InputReader, TcpSocket, close_abortively, connect, with_timeout};

/// The id of the `listen` request on the connection of the watch. Votes are numbered from the next id.
const LISTEN_REQUEST_ID: u64 = 1;

/// A connection for votes.
struct VoteConnection {
    address: SocketAddr,
    stream: TcpSocket,
    reader: InputReader<JsonParser>,
}

impl VoteConnection {
    /// Reads the answer to a request. A surplus answer to an earlier request on this connection may come before it.
    async fn read_answer(&mut self, id: u64) -> Result<Json, ConnectionEnd> {
        loop {
            let answer = self
                .reader
                .next(&self.stream)
                .await?
                .ok_or(ConnectionEnd::Closed)?;
            match answer.get("id").and_then(Json::as_u64) {
                Some(answered) if answered == id => return Ok(answer),
                Some(answered) if answered < id => {}
                _ => return Err(ConnectionEnd::Malformed),
            }
        }
    }
}

/// The client of the platform.
pub struct Platform {
    event_loop: Rc<EventLoop>,
    listener: Rc<PlatformListener>,
    /// The watch on the platform's release updates. Votes go to the same address.
    pub release_watch: Rc<ReleaseWatch>,
    connect_timeout: Duration,
    answer_timeout: Duration,
    /// The connection of the last vote, which the next vote reuses.
    idle_connection: RefCell<Option<VoteConnection>>,
    last_request_id: Cell<u64>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Platform")
            .field("release_watch", &self.release_watch)
            .field("last_request_id", &self.last_request_id)
            .finish_non_exhaustive()
    }
}

/// Converts a release update to an event for the decision engine.
pub(crate) fn release_event(update: ReleaseUpdate) -> impl FnOnce(&mut EventRouter) + 'static {
    move |router| {
        let ReleaseUpdate {
            build,
            stage,
            phase,
            cap,
            age,
        } = update;
        router.on_release_status(build, stage, phase, cap, age);
    }
}

/// Queues the platform's release updates for the decision engine.
struct PlatformListener(Rc<EventLoop>);

impl ReleaseWatchListener for PlatformListener {
    fn on_release_update(&self, update: ReleaseUpdate) {
        count(Count::ReleaseUpdates);
        self.0.enqueue(release_event(update));
    }
}

impl Platform {
    /// Creates a client of the platform that listens at `address`.
    ///
    /// # Errors
    /// Fails if a setting is missing or cannot be used.
    pub fn new(
        event_loop: Rc<EventLoop>,
        address: SocketAddr,
        settings: &Settings,
    ) -> Result<Rc<Self>, SettingsError> {
        let connect_timeout = settings.period("limits.connect-timeout")?;
        let answer_timeout = settings.period("family-info.call-timeout")?;
        let listener = Rc::new(PlatformListener(event_loop.clone()));
        let release_watch = ReleaseWatch::new(
            WatchedControlPlane::Platform,
            address,
            connect_timeout,
            MessageLimit::Unlimited,
            listener.clone(),
        );
        Ok(Rc::new(Platform {
            event_loop,
            listener,
            release_watch,
            connect_timeout,
            answer_timeout,
            idle_connection: RefCell::default(),
            last_request_id: Cell::new(LISTEN_REQUEST_ID),
        }))
    }

    /// Sends a vote and waits for the answer; returns the outcome.
    async fn deliver_vote(&self, params: &str) -> Outcome {
        let is_written = Cell::new(false);
        let call = self.call(params, &is_written);
        match with_timeout(self.answer_timeout, call).await {
            Ok(outcome) => outcome,
            Err(end) => {
                info!(
                    "connection_closed peer=platform address={} purpose=vote reason={end}",
                    self.release_watch.address.get()
                );
                // A vote that was written may have been carried out.
                if is_written.get() {
                    Outcome::TimedOut
                } else {
                    Outcome::ConnectFailed
                }
            }
        }
    }

    /// Makes one call, on the idle connection if it can still be used and on a new one otherwise.
    async fn call(&self, params: &str, is_written: &Cell<bool>) -> Result<Outcome, ConnectionEnd> {
        let address = self.release_watch.address.get();
        let mut connection = match self.take_idle_connection(address) {
            Some(connection) => connection,
            None => self.open_connection(address).await?,
        };
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        let mut request = encode_request(id, "verdict", params);
        request.flush(&connection.stream).await?;
        is_written.set(true);
        let answer = connection.read_answer(id).await?;
        let outcome = self.read_answer(&answer).ok_or(ConnectionEnd::Malformed)?;
        self.idle_connection.replace(Some(connection));
        Ok(outcome)
    }

    /// Takes the idle connection, if it leads to this address and can still be used.
    fn take_idle_connection(&self, address: SocketAddr) -> Option<VoteConnection> {
        let mut connection = self.idle_connection.take()?;
        if connection.address != address {
            return None;
        }
        if connection.reader.is_open_and_empty(&connection.stream) {
            return Some(connection);
        }
        info!(
            "connection_closed peer=platform address={address} purpose=vote reason={}",
            ConnectionEnd::Stale
        );
        None
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<VoteConnection, ConnectionEnd> {
        let stream = connect(address, self.connect_timeout).await?;
        // A vote that was given up must not arrive behind a later one.
        close_abortively(&stream);
        let parser = JsonParser::lines(MAX_LINE_BYTES);
        Ok(VoteConnection {
            address,
            stream,
            reader: InputReader::new(parser, MAX_LINE_BYTES, self.answer_timeout),
        })
    }

    /// Returns the outcome of a vote by its answer, or `None` if the answer cannot be read. The release state in the
    /// answer to a successful vote is passed on like any release update.
    fn read_answer(&self, answer: &Json) -> Option<Outcome> {
        if let Some(state) = answer.get("result") {
            let update = ReleaseUpdate::from_json(state)?;
            self.listener.on_release_update(update);
            return Some(Outcome::Succeeded);
        }
        match answer.get("error")?.get("message")?.as_str()? {
            "limit" => Some(Outcome::Rejected),
            "moot" => Some(Outcome::NotSent),
            "error" | "malformed" => Some(Outcome::Failed),
            _ => None,
        }
    }
}

impl VoteSender for Platform {
    fn send_vote(self: Rc<Self>, build: Build, stage: Stage, vote: Vote) {
        count(Count::Votes);
        let params = encode_vote(build, stage, vote);
        let platform = self.clone();
        self.event_loop.spawn(async move {
            let outcome = platform.deliver_vote(&params).await;
            platform
                .event_loop
                .enqueue(move |router| router.on_vote_answered(outcome));
        });
    }
}

/// Encodes a vote as the `params` field of a JSON-RPC request.
fn encode_vote(build: Build, stage: Stage, vote: Vote) -> String {
    let decision = match vote {
        Vote::Retract => "abstain",
        Vote::Advance => "promote",
        Vote::Hold => "pause",
        Vote::RollBack => "abort",
    };
    format!(
        ",\"params\":{{\"Revision\":{},\"Wave\":{},\"Decision\":{}}}",
        build.0,
        stage.0,
        json::quote(decision)
    )
}
