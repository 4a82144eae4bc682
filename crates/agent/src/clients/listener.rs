//! Accepting connections.
use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use futures_lite::{FutureExt, future, pin};

use super::eviction::Eviction;
use super::{Clients, POLL_INTERVAL};
use crate::log::{ConnectionEnd, Count, count, info};
use crate::transport::{ArrivalTracker, with_timeout};

impl Clients {
    /// Accepts connections until the agent drains. What the machine has accepted by then counts as taken: clients that
    /// still wait in the backlog are let in, to have their requests rejected. `listening_since` is a time before any
    /// client could connect.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, listening_since: Instant) {
        let phases = self.event_loop.monitor.phases();
        let mut arrivals = ArrivalTracker::new(phases.clone(), listening_since);
        let last_serial = Cell::new(0);
        // What a new connection brings came no earlier than the connection itself.
        let spawn = |stream: Async<TcpStream>, earliest_arrival: Instant| {
            count(Count::ClientsAccepted);
            last_serial.set(last_serial.get() + 1);
            let arrivals = ArrivalTracker::new(phases.clone(), earliest_arrival);
            self.event_loop
                .spawn(self.clone().serve(last_serial.get(), stream, arrivals));
        };
        let draining = async {
            self.draining.notified().await;
            None
        };
        pin!(draining);
        while let Some(accepted) = async { Some(accept_next(&listener, &mut arrivals).await) }
            .or(&mut draining)
            .await
        {
            match accepted {
                Ok(stream) => {
                    spawn(stream, arrivals.earliest());
                    future::yield_now().await;
                }
                Err(error) => {
                    info!("accept_failed error={}", ConnectionEnd::from(error));
                    self.evict_idle(Eviction::ForConnection);
                    self.wait_for_connection_end().await;
                }
            }
            self.wait_for_room(&listener).await;
        }
        // No await may stand between the last look at the backlog and the close.
        while let Ok(stream) = listener
            .get_ref()
            .accept()
            .and_then(|(stream, _)| Async::new(stream))
        {
            spawn(stream, arrivals.earliest());
        }
        drop(listener);
        self.listener_closed.notify();
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

/// Accepts the next connection; it came no earlier than `arrivals` says then.
async fn accept_next(
    listener: &Async<TcpListener>,
    arrivals: &mut ArrivalTracker,
) -> io::Result<Async<TcpStream>> {
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => return Async::new(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                arrivals.emptied();
                arrivals.readable(listener).await?;
            }
            Err(error) => return Err(error),
        }
    }
}
