//! Watches one release control plane for release updates and heartbeats, as JSON-RPC messages of one line each, and
//! reconnects with back-off.
//!
//! Both the agent's own platform and the release control planes of other services are watched this way. A line is
//! handled whole or not at all. The length of a line is bounded, and so can be the number of messages per second.
use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{FutureExt, StreamExt, pin};
use lilacgate_decision::{Build, ReleasePhase, Stage};

use crate::json::{Json, JsonParser};
use crate::log::{ConnectionEnd, Quoted, info};
use crate::transport::{InputReader, RingBuffer, ServiceAddress, connect, items, with_timeout};

/// The longest line, in bytes. A longer line ends the connection.
pub const MAX_LINE_BYTES: usize = 8 << 10;
/// A release control plane sends a heartbeat this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A connection on which nothing arrives for this long is closed.
const HEARTBEAT_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(3);
/// The shortest pause before the next connection; it doubles with each failure, up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = HEARTBEAT_INTERVAL.checked_div(20).unwrap();
const MAX_PAUSE: Duration = HEARTBEAT_INTERVAL;
/// The period over which messages are counted for the limit.
const LIMIT_WINDOW: Duration = HEARTBEAT_INTERVAL;

/// The release status of the newest build of a service.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseUpdate {
    /// The newest build.
    pub build: Build,
    /// The stage that the build has reached.
    pub stage: Stage,
    /// The release phase of the build.
    pub phase: ReleasePhase,
    /// The largest share of requests that may go to the build.
    pub cap: f64,
    /// How long the build has had this status.
    pub age: Duration,
}

impl ReleaseUpdate {
    /// Reads an update. Returns `None` unless every field is present and valid.
    pub fn from_json(state: &Json) -> Option<ReleaseUpdate> {
        let number = |field| state.get(field).and_then(Json::as_u64);
        let build = Build(u16::try_from(number("Revision")?).ok()?);
        let stage = Stage(u8::try_from(number("Wave")?).ok()?);
        let phase = match state.get("State")?.as_str()? {
            "Progressing" => ReleasePhase::Canary,
            "Aborting" => ReleasePhase::RollingBack,
            "Healthy" => ReleasePhase::Released,
            "Aborted" => ReleasePhase::Withdrawn,
            _ => return None,
        };
        let cap = state.get("MaxShare")?.as_f64()?;
        let age_ms = state.get("AgeMs")?.as_f64()?;
        if cap < 0.0 || !(0.0..1e15).contains(&age_ms) {
            return None;
        }
        Some(ReleaseUpdate {
            build,
            stage,
            phase,
            cap,
            age: Duration::from_secs_f64(age_ms / 1e3),
        })
    }
}

/// Encodes a JSON-RPC request as a line. `params` is empty, or a comma and a further field.
pub(crate) fn encode_request(id: u64, method: &str, params: &str) -> RingBuffer {
    let mut ring = RingBuffer::new(MAX_LINE_BYTES);
    ring.append(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\"{params}}}\n").as_bytes(),
    );
    ring
}

/// Receives what a release control plane sends.
pub trait ReleaseWatchListener {
    /// Called with each release update.
    fn on_release_update(&self, update: ReleaseUpdate);

    /// Called for each heartbeat.
    fn on_heartbeat(&self) {}
}

/// How many messages a release control plane may send.
#[derive(Clone, Copy, Debug)]
pub enum MessageLimit {
    /// Any number of messages.
    Unlimited,
    /// At most this many messages per second; more of them end the connection.
    PerSecond(u32),
}

/// Which release control plane is watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedControlPlane {
    /// That of the agent's own platform.
    Platform,
    /// That of another service, given by name.
    Service(String),
}

impl fmt::Display for WatchedControlPlane {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchedControlPlane::Platform => formatter.write_str("platform"),
            WatchedControlPlane::Service(name) => {
                write!(formatter, "release_control_plane service={}", Quoted(name))
            }
        }
    }
}

/// A watch on a release control plane.
pub struct ReleaseWatch {
    control_plane: WatchedControlPlane,
    /// Where the release control plane listens.
    pub address: ServiceAddress,
    connect_timeout: Duration,
    limit: MessageLimit,
    listener: Rc<dyn ReleaseWatchListener>,
}

impl fmt::Debug for ReleaseWatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ReleaseWatch")
            .field("control_plane", &self.control_plane)
            .field("address", &self.address.get())
            .finish_non_exhaustive()
    }
}

impl ReleaseWatch {
    /// Creates a watch on the release control plane that listens at `address`.
    pub fn new(
        control_plane: WatchedControlPlane,
        address: SocketAddr,
        connect_timeout: Duration,
        limit: MessageLimit,
        listener: Rc<dyn ReleaseWatchListener>,
    ) -> Rc<Self> {
        Rc::new(ReleaseWatch {
            control_plane,
            address: ServiceAddress::new(address),
            connect_timeout,
            limit,
            listener,
        })
    }

    /// Watches until the agent ends.
    pub async fn run(self: Rc<Self>) {
        let mut pause = MIN_PAUSE;
        loop {
            let has_received = Cell::new(false);
            let address = self.address.get();
            let watch = self.watch_once(address, &has_received);
            let Err(end) = watch.or(self.address.changed()).await;
            info!(
                "connection_closed peer={} address={address} reason={end}",
                self.control_plane
            );
            pause = next_pause(pause, end, has_received.get());
            if end != ConnectionEnd::AddressChanged {
                with_timeout(pause, self.address.changed::<()>()).await.ok();
            }
        }
    }

    /// Opens one connection and watches on it until it ends.
    async fn watch_once(
        &self,
        address: SocketAddr,
        has_received: &Cell<bool>,
    ) -> Result<Infallible, ConnectionEnd> {
        let stream = Rc::new(connect(address, self.connect_timeout).await?);
        let mut request = encode_request(1, "listen", "");
        with_timeout(self.connect_timeout, request.flush(&stream)).await?;
        let parser = JsonParser::lines(MAX_LINE_BYTES);
        let messages = items(
            stream,
            InputReader::new(parser, MAX_LINE_BYTES, HEARTBEAT_TIMEOUT),
        );
        pin!(messages);
        let mut window_began = Instant::now();
        let mut messages_in_window = 0;
        loop {
            let next = async { messages.next().await.unwrap_or(Err(ConnectionEnd::Closed)) };
            let (_, message) = with_timeout(HEARTBEAT_TIMEOUT, next).await?;
            if window_began.elapsed() >= LIMIT_WINDOW {
                window_began = Instant::now();
                messages_in_window = 0;
            }
            messages_in_window += 1;
            if matches!(self.limit, MessageLimit::PerSecond(limit) if messages_in_window > limit) {
                return Err(ConnectionEnd::TooManyMessages);
            }
            // A message that cannot be read is lost, but a new connection begins with the current state.
            self.handle(&message).ok_or(ConnectionEnd::Malformed)?;
            has_received.set(true);
        }
    }

    /// Handles a message. Returns `None` if it cannot be read.
    fn handle(&self, message: &Json) -> Option<()> {
        let method = message.get("method").and_then(Json::as_str);
        match (method, message.get("params")) {
            (Some("ROLLOUT"), Some(state)) => {
                let update = ReleaseUpdate::from_json(state)?;
                self.listener.on_release_update(update);
                Some(())
            }
            (Some("ping"), _) => {
                self.listener.on_heartbeat();
                Some(())
            }
            // The response to the `listen` request.
            (None, _) if message.get("result") == Some(&Json::Bool(true)) => Some(()),
            _ => None,
        }
    }
}

/// The pause after a connection has ended. A release control plane that sends unusable messages, or too many of them,
/// gets the longer pauses even if other messages were received before.
fn next_pause(pause: Duration, end: ConnectionEnd, has_received: bool) -> Duration {
    let is_misbehaving = matches!(
        end,
        ConnectionEnd::Malformed | ConnectionEnd::TooLong | ConnectionEnd::TooManyMessages
    );
    if end == ConnectionEnd::AddressChanged || has_received && !is_misbehaving {
        MIN_PAUSE
    } else {
        (pause * 2).min(MAX_PAUSE)
    }
}
