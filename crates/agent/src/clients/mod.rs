//! Client connections: reads commands and writes replies.
//!
//! Invariants:
//!
//! - Each command gets exactly one complete reply, in the order of the commands on its connection.
//! - Once the event loop has accepted a request, only the event loop answers it.
//! - What exceeds a bound (connections, bytes held, requests in flight, pending replies of one connection) is rejected
//!   before it reaches the decision engine.
//! - A client that reads slowly, sends without pause or disappears does not delay any other client.
//!
//! [`Clients`] is the state that all connections share. Each connection has its own task, and a `ConnectionState` that
//! eviction and shutdown access.
mod admission;
mod command;
mod connection;
mod connection_state;
mod eviction;
mod lingering_close;
mod listener;
mod reply_queue;
mod request_ids;
mod shutdown;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::RequestClass;
use lilacgate_start_settings::{Settings, SettingsError};

use self::command::NamedClass;
use self::connection_state::ConnectionState;
use self::request_ids::RequestIds;
use crate::event_loop::EventLoop;
use crate::transport::{ByteLimit, Notifier, WakeSignal};
use crate::upstream::UpstreamPool;

/// The time limit for the first command of a connection, and for each command from its first byte to its last. Once a
/// quarter of the connections are in use, a connection that has been idle for this long is closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Partial commands may hold the bound on the bytes of requests and replies divided by this, beside those.
const PARTIAL_COMMANDS_DIVISOR: usize = 2;
/// How long to wait for a connection to end before checking again.
const POLL_INTERVAL: Duration = shutdown::CLOSING_PHASE.checked_div(8).unwrap();

/// The state that all client connections share.
pub struct Clients {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    classes: Vec<NamedClass>,
    /// Whether a rejection tells the client when to retry.
    sends_retry_after: bool,
    /// The bound on open connections, and on those in the backlog. At most four fifths of them may have requests in flight at a time; the others can
    /// be evicted, because a client that is left in the backlog gets no reply at all.
    max_connections: usize,
    /// The bound on the pending replies of one connection; at least 1.
    max_pending_replies: usize,
    max_requests_in_flight: usize,
    /// The setting `limits.connect-timeout`. Below the bound on open connections, a connection has to be idle for this
    /// long before it is evicted for another one.
    connect_timeout: Duration,
    /// The longest time that a client waits for a reply.
    longest_deadline: Duration,
    /// Counts the bytes of requests and replies, and bounds them for requests.
    held_bytes: ByteLimit,
    /// Counts the bytes of commands that have been read in part. Beyond its bound, input is left in the sockets.
    partial_command_bytes: ByteLimit,
    request_ids: RequestIds,
    /// The open connections, by their serial number.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// The number of accepted connections that are not registered with the event loop yet.
    unregistered_connections: Cell<usize>,
    /// Wakes the task that waits for a connection to end.
    connection_ended: WakeSignal,
    /// Notified when no more connections and requests are accepted.
    draining: Notifier,
    /// Notified when the listener is closed.
    listener_closed: Notifier,
    /// When lingering closes end at the latest, once the agent shuts down.
    linger_deadline: Cell<Duration>,
}

impl fmt::Debug for Clients {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Clients")
            .field("connections", &self.connections.borrow().len())
            .finish_non_exhaustive()
    }
}

impl Clients {
    /// Creates the state for at most `max_connections` connections. A request is accepted while requests and replies
    /// together hold less than `held_bytes` allows.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or out of range.
    pub fn new(
        event_loop: Rc<EventLoop>,
        upstream: Rc<UpstreamPool>,
        settings: &Settings,
        max_connections: usize,
        held_bytes: ByteLimit,
    ) -> Result<Rc<Self>, SettingsError> {
        Ok(Rc::new(Clients {
            event_loop,
            upstream,
            classes: read_classes(settings)?,
            sends_retry_after: settings.value("limits.retry-after")?,
            max_connections,
            max_pending_replies: settings.value::<usize>("limits.streams-per-conn")?.max(1),
            max_requests_in_flight: settings.value("limits.max-open")?,
            connect_timeout: settings.period("limits.connect-timeout")?,
            longest_deadline: settings.longest_deadline()?,
            partial_command_bytes: ByteLimit::new(held_bytes.max_bytes / PARTIAL_COMMANDS_DIVISOR),
            held_bytes,
            request_ids: RequestIds::default(),
            connections: RefCell::default(),
            unregistered_connections: Cell::default(),
            connection_ended: WakeSignal::default(),
            draining: Notifier::default(),
            listener_closed: Notifier::default(),
            linger_deadline: Cell::default(),
        }))
    }
}

/// Reads the request classes and the names by which clients refer to them.
fn read_classes(settings: &Settings) -> Result<Vec<NamedClass>, SettingsError> {
    let count: u8 = settings.value("profiles.count")?;
    (0..count)
        .map(|index| {
            Ok(NamedClass {
                name: settings.text(&format!("profiles.{index}.name"))?.to_owned(),
                class: RequestClass(index),
                idempotency: settings.idempotency(usize::from(index))?,
            })
        })
        .collect()
}
