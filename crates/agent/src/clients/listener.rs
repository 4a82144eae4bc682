//! Accepting connections.
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::{FutureExt, future, pin};

use super::eviction::Eviction;
use super::{Clients, POLL_INTERVAL};
use crate::log::{ConnectionEnd, Count, count, info};
use crate::transport::with_timeout;

impl Clients {
    /// Accepts connections until the agent drains. What the machine has accepted by then counts as taken: clients that
    /// still wait in the backlog are let in, to have their requests rejected.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let last_serial = Cell::new(0);
        let spawn = |stream: Async<TcpStream>| {
            count(Count::ClientsAccepted);
            last_serial.set(last_serial.get() + 1);
            self.event_loop
                .spawn(self.clone().serve(last_serial.get(), stream));
        };
        let draining = async {
            self.draining.notified().await;
            None
        };
        pin!(draining);
        while let Some(accepted) = async { Some(listener.accept().await) }
            .or(&mut draining)
            .await
        {
            match accepted {
                Ok((stream, _)) => {
                    spawn(stream);
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
            spawn(stream);
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
