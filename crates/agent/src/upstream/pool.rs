//! The pool of connections: the listed endpoints and the idle connections to each.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use futures_lite::StreamExt;
use lilacgate_decision::{Endpoint, EndpointId, EndpointStatus, Outcome, WriteTiming};
use lilacgate_start_settings::{Settings, SettingsError};

use super::attempt::Attempt;
use super::connection::{Connection, EndpointProcess, OpenConnectionGuard};
use crate::clock::Clock;
use crate::event_loop::EventLoop;
use crate::log::{ConnectionEnd, Count, count, info};
use crate::outbound::{AttemptId, OutgoingAttempt, Upstream};
use crate::transport::{ByteLimit, SendQueueReader, connect};

/// The longest time for which Linux delays the acknowledgement of a reply, and so the surplus bytes behind it.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(200);
/// How many sweeps of idle connections there are within one idle timeout.
const SWEEPS_IN_IDLE_TIMEOUT: u32 = 20;

/// An endpoint of the endpoint list, with its idle connections.
struct UpstreamEndpoint {
    process: EndpointProcess,
    status: EndpointStatus,
    /// The idle connections, longest idle first.
    idle: Vec<Connection>,
}

impl UpstreamEndpoint {
    fn close_idle(&mut self, reason: ConnectionEnd) {
        for connection in &mut self.idle {
            connection.close_reason = reason;
        }
        self.idle.clear();
    }

    fn takes_requests_at(&self, process: EndpointProcess) -> bool {
        self.process == process && self.status == EndpointStatus::Ready
    }
}

/// The pool of connections to all listed endpoints.
pub struct UpstreamPool {
    pub(super) event_loop: Rc<EventLoop>,
    endpoints: RefCell<HashMap<EndpointId, UpstreamEndpoint>>,
    /// The channels by which attempts under way are cancelled.
    pub(super) cancellations: RefCell<HashMap<AttemptId, Sender<()>>>,
    /// Decides when attempts may still be written.
    pub(super) write_timing: RefCell<WriteTiming>,
    /// The names of the load report fields that the decision engine uses, in its order.
    pub(super) load_fields: Vec<String>,
    pub(super) connect_timeout: Duration,
    /// The time limit for a reply from its first byte to its last.
    read_timeout: Duration,
    pub(super) idle_timeout: Duration,
    /// How long a connection is not reused after a reply, so that surplus bytes are noticed before the next request is
    /// sent: as long as a reply may be delayed in the network, and by the acknowledgement of the reply before it.
    reuse_delay: Duration,
    /// Bounds the bytes of requests and replies together, while a reply is read. Beyond it, replies of more than a KiB are
    /// left in the sockets.
    reply_bytes: ByteLimit,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    /// Tells how far the bytes of attempts have got.
    pub(super) send_queues: SendQueueReader,
}

impl fmt::Debug for UpstreamPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("UpstreamPool")
            .field("open_connections", &self.open_connections)
            .finish_non_exhaustive()
    }
}

impl UpstreamPool {
    /// Creates a pool without endpoints, for at most `max_connections` open connections. Replies are read while less is
    /// held than `reply_bytes` allows.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or out of range.
    pub fn new(
        event_loop: Rc<EventLoop>,
        settings: &Settings,
        max_connections: usize,
        reply_bytes: ByteLimit,
    ) -> Result<Rc<Self>, SettingsError> {
        Ok(Rc::new(UpstreamPool {
            event_loop,
            endpoints: RefCell::default(),
            cancellations: RefCell::default(),
            write_timing: RefCell::default(),
            load_fields: settings.names("feedback.names")?,
            connect_timeout: settings.period("limits.connect-timeout")?,
            read_timeout: settings.longest_deadline()?,
            // Close idle connections before the endpoint does: a command that is written while the endpoint closes the
            // connection may have run.
            idle_timeout: settings.period("limits.conn-idle")? * 9 / 10,
            reuse_delay: settings
                .period("tick")?
                .max(settings.duration("rules.answer-slack")?)
                + MAX_ACKNOWLEDGEMENT_DELAY,
            reply_bytes,
            max_connections,
            open_connections: Rc::default(),
            send_queues: SendQueueReader::default(),
        }))
    }

    pub(super) fn clock(&self) -> Clock {
        self.event_loop.clock
    }

    /// Applies an entry of the endpoint list, with the address that the endpoint listens on. Idle connections to an
    /// earlier process, or to one that takes no more requests, are closed.
    pub fn update_endpoint(&self, entry: &Endpoint, address: SocketAddr) {
        let mut endpoints = self.endpoints.borrow_mut();
        let process = EndpointProcess {
            address,
            build: entry.build,
            started: entry.started,
        };
        let endpoint = endpoints
            .entry(entry.id)
            .or_insert_with(|| UpstreamEndpoint {
                process,
                status: entry.status,
                idle: Vec::new(),
            });
        if endpoint.process != process || entry.status != EndpointStatus::Ready {
            endpoint.close_idle(ConnectionEnd::EndpointRemoved);
        }
        endpoint.process = process;
        endpoint.status = entry.status;
        if entry.status == EndpointStatus::Removed {
            endpoints.remove(&entry.id);
        }
    }

    /// Removes all endpoints that a full endpoint list does not contain.
    pub fn retain(&self, is_listed: impl Fn(&EndpointId) -> bool) {
        let mut endpoints = self.endpoints.borrow_mut();
        for (_, mut endpoint) in endpoints.extract_if(|id, _| !is_listed(id)) {
            endpoint.close_idle(ConnectionEnd::EndpointRemoved);
        }
    }

    /// Whether any endpoint takes requests.
    pub fn has_ready_endpoint(&self) -> bool {
        self.endpoints
            .borrow()
            .values()
            .any(|endpoint| endpoint.status == EndpointStatus::Ready)
    }

    /// Periodically closes connections that have been idle for too long or were closed by the endpoint, for as long as
    /// the agent runs.
    pub async fn sweep_idle_connections(self: Rc<Self>) {
        let mut ticks = Timer::interval(self.idle_timeout / SWEEPS_IN_IDLE_TIMEOUT);
        while ticks.next().await.is_some() {
            let now = self.clock().now();
            for endpoint in self.endpoints.borrow_mut().values_mut() {
                endpoint
                    .idle
                    .retain_mut(|connection| connection.is_usable(now, self.idle_timeout));
            }
        }
    }

    /// Takes the most recently used of the endpoint's idle connections whose reuse delay has passed.
    pub(super) fn take_idle(&self, id: EndpointId) -> Option<Connection> {
        let now = self.clock().now();
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&id)?.idle;
        idle.retain_mut(|connection| connection.is_usable(now, self.idle_timeout));
        let rested = idle
            .iter()
            .rposition(|connection| connection.last_used + self.reuse_delay <= now)?;
        Some(idle.remove(rested))
    }

    /// Opens a connection to an endpoint. At the bound, the longest idle connection to any endpoint is closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`Outcome::NotSent`] if the endpoint is not listed, or if this agent is out of connections or resources,
    /// which is no failure of the endpoint; [`Outcome::ConnectFailed`] if the endpoint cannot be reached.
    pub(super) async fn open(&self, id: EndpointId) -> Result<Connection, Outcome> {
        let process = self
            .endpoints
            .borrow()
            .get(&id)
            .map(|endpoint| endpoint.process)
            .ok_or(Outcome::NotSent)?;
        let address = process.address;
        if self.open_connections.get() >= self.max_connections && !self.close_longest_idle() {
            info!(
                "connect_failed peer=endpoint address={address} error=pool_exhausted limit={}",
                self.max_connections
            );
            return Err(Outcome::NotSent);
        }
        let guard = OpenConnectionGuard::new(&self.open_connections);
        let stream = connect(address, self.connect_timeout)
            .await
            .map_err(|end| {
                info!("connect_failed peer=endpoint address={address} error={end}");
                if end == ConnectionEnd::ResourceLimit {
                    Outcome::NotSent
                } else {
                    Outcome::ConnectFailed
                }
            })?;
        let now = self.clock().now();
        Ok(Connection::new(
            stream,
            process,
            now,
            self.read_timeout,
            &self.reply_bytes,
            guard,
        ))
    }

    /// Closes the longest idle connection to any endpoint, and returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let longest = endpoints
            .values_mut()
            .filter(|endpoint| !endpoint.idle.is_empty())
            .min_by_key(|endpoint| endpoint.idle[0].last_used);
        longest
            .map(|endpoint| endpoint.idle.remove(0).close_reason = ConnectionEnd::Evicted)
            .is_some()
    }

    /// Returns a connection to the pool after an exchange, or closes it if surplus answers have come on it or its process
    /// takes no more requests.
    pub(super) fn put_back(&self, id: EndpointId, mut connection: Connection) {
        if connection.has_surplus_answers {
            connection.close_reason = ConnectionEnd::Stale;
            return;
        }
        connection.last_used = self.clock().now();
        match self.endpoints.borrow_mut().get_mut(&id) {
            Some(endpoint) if endpoint.takes_requests_at(connection.process) => {
                endpoint.idle.push(connection);
            }
            _ => connection.close_reason = ConnectionEnd::EndpointRemoved,
        }
    }
}

impl Upstream for UpstreamPool {
    fn send_attempt(self: Rc<Self>, attempt: OutgoingAttempt) {
        let (cancel_sender, cancel_receiver) = async_channel::bounded(1);
        self.cancellations
            .borrow_mut()
            .insert(attempt.id, cancel_sender);
        let event_loop = self.event_loop.clone();
        event_loop.spawn(Attempt::new(attempt).run(self, cancel_receiver));
    }

    fn cancel(&self, id: AttemptId) {
        if let Some(cancel_sender) = self.cancellations.borrow().get(&id) {
            cancel_sender.try_send(()).ok();
        }
    }

    fn check_health(self: Rc<Self>, endpoint: EndpointId) {
        count(Count::HealthChecks);
        let event_loop = self.event_loop.clone();
        event_loop.spawn(self.run_health_check(endpoint));
    }

    fn close_idle_connections(&self, endpoint: EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            endpoint.close_idle(ConnectionEnd::Cancelled);
        }
    }
}
