//! Client connections: commands in, replies out.
//!
//! Invariants:
//!
//! - Each command gets one reply, complete, and in the order of the commands on its connection.
//! - Once the event loop has taken a request, only the event loop answers it.
//! - What exceeds a bound (connections, bytes held, requests in flight, pending replies of one connection) is rejected
//!   before the decision engine learns of it.
//! - A client that reads slowly, sends without end or vanishes delays no other one.
//!
//! [`Clients`] is the state that all connections share. Each connection is a task of its own, with a `ConnectionState`
//! that the tasks for eviction and shutdown can see.
mod admission;
mod byte_budget;
mod command;
mod connection;
mod eviction;
mod in_flight_ids;
mod lingering_close;
mod listener;
mod reply_queue;
mod shutdown;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::RequestClass;
use lilacgate_start_settings::{Settings, SettingsError};

use self::byte_budget::ByteBudget;
use self::command::NamedClass;
use self::connection::ConnectionState;
use self::in_flight_ids::InFlightIds;
use crate::event_loop::EventLoop;
use crate::transport::{Notifier, WakeSignal};
use crate::upstream::UpstreamPool;

/// The time limit for the first command of a connection, and for each command from its first byte to its last. A
/// connection that has been idle for as long may be closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait for a connection to end before the situation is looked at again.
const POLL_INTERVAL: Duration = shutdown::CLOSING_PHASE.checked_div(8).unwrap();

/// All client connections.
pub struct Clients {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    classes: Vec<NamedClass>,
    /// Whether a rejection may say when to retry.
    sends_retry_after: bool,
    /// The bound on open connections. The last fifth of them is there only to reject requests: a connection that waits
    /// unaccepted would get no reply at all.
    max_connections: usize,
    /// The bound on the pending replies of one connection; one at least.
    max_pending_replies: usize,
    max_held_bytes: usize,
    max_requests_in_flight: usize,
    /// How long a connection may take to be established. One has to be idle for as long before it is closed in favour
    /// of another.
    connect_timeout: Duration,
    /// The longest that a client waits for a reply.
    longest_deadline: Duration,
    held_bytes: ByteBudget,
    in_flight_ids: InFlightIds,
    /// The open connections, by their serial number.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Accepted connections that the event loop does not watch yet.
    unregistered_connections: Cell<usize>,
    /// Wakes whoever waits for a connection to end.
    connection_ended: WakeSignal,
    /// Notified when no more connections and requests are accepted.
    draining: Notifier,
    /// Notified when the listener is closed.
    listener_closed: Notifier,
    /// Until when a lingering close may take, once the agent shuts down.
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
    /// At most `max_connections` connections, and `max_held_bytes` bytes of requests and replies for all of them.
    ///
    /// # Errors
    ///
    /// The setting that is missing or out of range.
    pub fn new(
        event_loop: Rc<EventLoop>,
        upstream: Rc<UpstreamPool>,
        settings: &Settings,
        max_connections: usize,
        max_held_bytes: usize,
    ) -> Result<Rc<Self>, SettingsError> {
        Ok(Rc::new(Clients {
            event_loop,
            upstream,
            classes: read_classes(settings)?,
            sends_retry_after: settings.number("limits.retry-after")?,
            max_connections,
            max_pending_replies: settings.number::<usize>("limits.streams-per-conn")?.max(1),
            max_held_bytes,
            max_requests_in_flight: settings.number("limits.max-open")?,
            connect_timeout: settings.period("limits.connect-timeout")?,
            longest_deadline: settings.longest_deadline()?,
            held_bytes: ByteBudget::default(),
            in_flight_ids: InFlightIds::default(),
            connections: RefCell::default(),
            unregistered_connections: Cell::default(),
            connection_ended: WakeSignal::default(),
            draining: Notifier::default(),
            listener_closed: Notifier::default(),
            linger_deadline: Cell::default(),
        }))
    }
}

/// The request classes, under the names that clients give them.
fn read_classes(settings: &Settings) -> Result<Vec<NamedClass>, SettingsError> {
    let count: u8 = settings.number("profiles.count")?;
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
