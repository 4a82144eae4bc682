//! Accepts client connections.
//!
//! A connection that the kernel has put in the backlog counts as accepted. If a system call fails, its client waits no
//! longer than the failure lasts.
use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{FutureExt, future, pin};

use super::{Clients, POLL_INTERVAL};
use crate::log::{ConnectionEnd, Count, Quoted, count, info};
use crate::loop_monitor::LoopPhases;
use crate::transport::{
    ArrivalTracker, BacklogTracker, TcpSocket, is_per_connection_error, retry_interrupted,
    with_timeout,
};

/// How long to wait for a place after an eviction before the next one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);

/// An accepted connection.
struct Accepted {
    stream: TcpStream,
    /// The earliest time at which input on this connection may have arrived.
    earliest_arrival: Instant,
}

/// The result of one non-blocking accept.
enum AcceptResult {
    /// A connection was taken from the backlog.
    Accepted(TcpStream),
    /// No connection is waiting.
    Empty,
    /// The machine or process lacks the memory or descriptors to accept a waiting connection.
    OutOfResources(io::Error),
}

/// Accepts a connection without waiting. Connections that broke while they were in the backlog are skipped.
fn try_accept(listener: &TcpListener) -> AcceptResult {
    loop {
        match retry_interrupted(|| listener.accept()) {
            Ok((stream, _)) => return AcceptResult::Accepted(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return AcceptResult::Empty,
            Err(error) if is_per_connection_error(&error) => count(Count::AcceptsFailed),
            Err(error) => {
                count(Count::AcceptsFailed);
                return AcceptResult::OutOfResources(error);
            }
        }
    }
}

impl Clients {
    /// Accepts connections until the agent drains. Clients that are still in the backlog then are accepted too, so that
    /// their requests are rejected. `listening_since` is a time before any client could connect.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, listening_since: Instant) {
        let phases = self.event_loop.monitor.phases();
        let mut backlog =
            BacklogTracker::new(phases.clone(), listening_since, self.max_connections);
        let last_serial = Cell::new(0);
        let spawn = |accepted: Accepted| self.spawn_serve(accepted, &last_serial, &phases);
        let draining = self.draining.notified();
        pin!(draining);
        while !self.draining.is_notified() {
            match try_accept(listener.get_ref()) {
                AcceptResult::Accepted(stream) => {
                    let earliest_arrival = backlog.note_accepted(Instant::now());
                    self.make_room().await;
                    spawn(Accepted {
                        stream,
                        earliest_arrival,
                    });
                    future::yield_now().await;
                }
                AcceptResult::Empty => {
                    backlog.note_empty();
                    let readable = async {
                        if let Err(error) = backlog.readable(&listener).await {
                            info!("accept_failed error={}", Quoted(error));
                            Timer::after(POLL_INTERVAL).await;
                        }
                    };
                    readable.or(&mut draining).await;
                }
                AcceptResult::OutOfResources(error) => self.relieve_resource_shortage(error).await,
            }
        }
        self.accept_backlog(listener, backlog, spawn).await;
        self.listener_closed.notify();
    }

    /// Accepts all connections in the backlog, and closes the listener.
    async fn accept_backlog(
        &self,
        listener: Async<TcpListener>,
        mut backlog: BacklogTracker,
        spawn: impl Fn(Accepted),
    ) {
        // There must be no await between the accept that finds the backlog empty and the close of the listener:
        // a connection that came in between would be reset.
        loop {
            match try_accept(listener.get_ref()) {
                AcceptResult::Accepted(stream) => spawn(Accepted {
                    stream,
                    earliest_arrival: backlog.note_accepted(Instant::now()),
                }),
                AcceptResult::Empty => break,
                AcceptResult::OutOfResources(error) => {
                    if self.event_loop.clock.now() >= self.linger_deadline.get() {
                        info!("backlog_lost error={}", ConnectionEnd::from(error));
                        break;
                    }
                    self.relieve_resource_shortage(error).await;
                }
            }
        }
    }

    /// Evicts an idle connection to free its resources, and waits for a connection to end.
    async fn relieve_resource_shortage(&self, error: io::Error) {
        info!("accept_failed error={}", ConnectionEnd::from(error));
        self.evict_one();
        self.wait_for_connection_end(POLL_INTERVAL).await;
    }

    fn spawn_serve(
        self: &Rc<Self>,
        accepted: Accepted,
        last_serial: &Cell<u64>,
        phases: &Arc<LoopPhases>,
    ) {
        count(Count::ClientsAccepted);
        last_serial.set(last_serial.get() + 1);
        let serial = last_serial.get();
        let arrivals = ArrivalTracker::new(phases.clone(), accepted.earliest_arrival);
        let clients = self.clone();
        let stream = Arc::new(accepted.stream);
        self.event_loop.spawn(async move {
            let socket = clients.register(stream).await;
            clients.serve(serial, socket, arrivals).await;
        });
    }

    /// Registers a connection with the event loop. Failures are retried until one try succeeds, because the client may
    /// have sent a request already.
    async fn register(&self, stream: Arc<TcpStream>) -> TcpSocket {
        self.unregistered_connections
            .set(self.unregistered_connections.get() + 1);
        let socket = loop {
            match Async::new(stream.clone()) {
                Ok(socket) => break socket,
                Err(error) => {
                    info!("accept_failed error={}", ConnectionEnd::from(error));
                    Timer::after(POLL_INTERVAL).await;
                }
            }
        };
        self.unregistered_connections
            .set(self.unregistered_connections.get() - 1);
        socket
    }

    /// Waits until there is a place for the connection that was accepted last, and evicts others for it. It is accepted
    /// before there is a place, because only an accept that finds the backlog empty tells when later clients arrive.
    async fn make_room(&self) {
        while self.is_at_connection_bound() && !self.draining.is_notified() {
            if !self.is_evicting() {
                self.evict_one();
            }
            self.wait_for_connection_end(EVICTION_INTERVAL).await;
        }
    }

    fn is_at_connection_bound(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Waits until a connection has ended, for at most `timeout`.
    pub(super) async fn wait_for_connection_end(&self, timeout: Duration) {
        let ended = async {
            self.connection_ended.wait().await;
            Ok(())
        };
        with_timeout(timeout, ended).await.ok();
    }
}
