//! Closes idle connections to make room for others.
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::StreamExt;

use super::connection_state::ConnectionState;
use super::{COMMAND_TIMEOUT, Clients};
use crate::log::ConnectionEnd;

/// How long a connection has for its first command before it may be evicted for another one.
const FIRST_COMMAND_GRACE: Duration = COMMAND_TIMEOUT.checked_div(4).unwrap();
/// How many sweeps for idle connections there are within one connect timeout.
const SWEEPS_IN_CONNECT_TIMEOUT: u32 = 4;

impl Clients {
    /// Evicts the connection that has been idle longest, and returns whether there was one. Connections that have not
    /// sent a whole command within [`FIRST_COMMAND_GRACE`] are evicted first. At the bound on open connections, any
    /// connection between two commands may be evicted; below it, only one that has been idle for the connect timeout.
    pub(super) fn evict_idle(&self) -> bool {
        let now = self.event_loop.clock.now();
        let is_at_bound = self.connections.borrow().len() >= self.max_connections;
        let min_idle_time = if is_at_bound {
            Duration::ZERO
        } else {
            self.connect_timeout
        };
        let is_evictable = |connection: &&Rc<ConnectionState>| {
            let is_used = connection.has_received_command.get();
            let grace = if is_used {
                min_idle_time
            } else {
                FIRST_COMMAND_GRACE
            };
            let is_unused_and_open = !is_used && connection.end_reason.get().is_none();
            connection.last_activity.get() + grace <= now
                && (is_unused_and_open || connection.is_idle())
        };
        let eviction_order = |connection: &&Rc<ConnectionState>| {
            (
                connection.has_received_command.get(),
                connection.last_activity.get(),
            )
        };
        let longest_idle = self
            .connections
            .borrow()
            .values()
            .filter(is_evictable)
            .min_by_key(eviction_order)
            .cloned();
        longest_idle
            .inspect(|connection| {
                connection.refuse_partial_command();
                connection.end(ConnectionEnd::Evicted);
            })
            .is_some()
    }

    /// Closes long-idle connections periodically, for as long as the agent runs. Clients limit how many connections
    /// they open, and some send one command and keep the connection. Once a quarter of the connections are in use,
    /// those that have been idle for `COMMAND_TIMEOUT` are closed; once half are, those that have been idle for the
    /// connect timeout.
    pub async fn sweep_idle_connections(self: Rc<Self>) {
        let mut ticks = Timer::interval(self.connect_timeout / SWEEPS_IN_CONNECT_TIMEOUT);
        while ticks.next().await.is_some() {
            self.close_long_idle();
        }
    }

    fn close_long_idle(&self) {
        let now = self.event_loop.clock.now();
        let connections = self.connections.borrow();
        let used = connections
            .values()
            .filter(|connection| connection.has_received_command.get())
            .count();
        if used * 4 < self.max_connections {
            return;
        }
        let idle_timeout = if used * 2 >= self.max_connections {
            self.connect_timeout
        } else {
            COMMAND_TIMEOUT
        };
        let is_long_idle = |connection: &&Rc<ConnectionState>| {
            connection.has_received_command.get()
                && connection.last_activity.get() + idle_timeout <= now
                && connection.is_idle()
        };
        connections
            .values()
            .filter(is_long_idle)
            .for_each(|connection| connection.end(ConnectionEnd::Idle));
    }
}
