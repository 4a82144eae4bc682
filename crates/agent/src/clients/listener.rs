//! Accepting connections. What the machine has accepted counts as taken: no failure of a call leaves a client that waits
//! without an answer for longer than it lasts.
use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_io::{Async, Timer};
use futures_lite::{FutureExt, future, pin};

use super::eviction::Eviction;
use super::{Clients, POLL_INTERVAL};
use crate::log::{ConnectionEnd, Count, Quoted, count, info};
use crate::loop_monitor::LoopPhases;
use crate::transport::{
    ArrivalTracker, TcpSocket, is_per_connection_error, retry_interrupted, with_timeout,
};

/// A connection of a client that has been accepted.
struct Accepted {
    stream: TcpStream,
    /// What it brings came no earlier than this.
    earliest_arrival: Instant,
}

/// What a look at the backlog brought.
enum AcceptResult {
    /// A connection.
    Accepted(TcpStream),
    /// Nobody waits.
    Empty,
    /// This machine lacks the means to accept those who wait.
    OutOfResources(io::Error),
}

/// Looks at the backlog once, without waiting. A connection that broke while it waited is passed over.
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
    /// Accepts connections until the agent drains. Clients that still wait in the backlog then are let in, to have their
    /// requests rejected. `listening_since` is a time before any client could connect.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, listening_since: Instant) {
        let phases = self.event_loop.monitor.phases();
        let mut arrivals = ArrivalTracker::new(phases.clone(), listening_since);
        let last_serial = Cell::new(0);
        let spawn = |accepted: Accepted| self.spawn_serve(accepted, &last_serial, &phases);
        let draining = self.draining.notified();
        pin!(draining);
        while !self.draining.is_notified() {
            match try_accept(listener.get_ref()) {
                AcceptResult::Accepted(stream) => {
                    spawn(Accepted {
                        stream,
                        earliest_arrival: arrivals.earliest_arrival(),
                    });
                    future::yield_now().await;
                }
                AcceptResult::Empty => {
                    arrivals.note_empty();
                    let readable = async {
                        if let Err(error) = arrivals.readable(&listener).await {
                            info!("accept_failed error={}", Quoted(error));
                            Timer::after(POLL_INTERVAL).await;
                        }
                    };
                    readable.or(&mut draining).await;
                }
                AcceptResult::OutOfResources(error) => self.relieve_resource_shortage(error).await,
            }
            self.wait_for_room(&listener).await;
        }
        self.accept_backlog(listener, arrivals.earliest_arrival(), spawn)
            .await;
        self.listener_closed.notify();
    }

    /// Accepts all who wait, and closes the listener.
    async fn accept_backlog(
        &self,
        listener: Async<TcpListener>,
        earliest_arrival: Instant,
        spawn: impl Fn(Accepted),
    ) {
        // No await may stand between the last look at the backlog and the close.
        loop {
            match try_accept(listener.get_ref()) {
                AcceptResult::Accepted(stream) => spawn(Accepted {
                    stream,
                    earliest_arrival,
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

    /// Makes room for another connection, or waits for some.
    async fn relieve_resource_shortage(&self, error: io::Error) {
        info!("accept_failed error={}", ConnectionEnd::from(error));
        self.evict_idle(Eviction::ForConnection);
        self.wait_for_connection_end().await;
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

    /// Has the event loop watch a connection. It is kept until that succeeds: its client may have sent a request.
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

    /// Waits until another connection may be open. At the bound, a connection is evicted only once another one waits.
    async fn wait_for_room(&self, listener: &Async<TcpListener>) {
        while self.is_at_connection_bound() && !self.draining.is_notified() {
            let backlog = async { listener.readable().await.map_err(ConnectionEnd::from) };
            let is_waiting = with_timeout(POLL_INTERVAL, backlog).await.is_ok();
            if is_waiting && self.is_at_connection_bound() {
                self.evict_idle(Eviction::ForConnection);
                self.wait_for_connection_end().await;
            }
        }
    }

    fn is_at_connection_bound(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Waits until a connection has ended, or for [`POLL_INTERVAL`].
    pub(super) async fn wait_for_connection_end(&self) {
        let ended = async {
            self.connection_ended.wait().await;
            Ok(())
        };
        with_timeout(POLL_INTERVAL, ended).await.ok();
    }
}
