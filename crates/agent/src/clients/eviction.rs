//! Closing idle connections, so that others find room.
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::StreamExt;

use super::connection::ConnectionState;
use super::{COMMAND_TIMEOUT, Clients};
use crate::log::ConnectionEnd;

/// How long a connection may be silent before its first command if another one needs its place.
const FIRST_COMMAND_GRACE: Duration = COMMAND_TIMEOUT.checked_div(4).unwrap();
/// How often idle connections are looked for within the connect timeout.
const SWEEPS_IN_CONNECT_TIMEOUT: u32 = 4;

/// What a connection is evicted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// The place of a connection.
    ForConnection,
    /// A request slot: only a connection that has one can be evicted for it.
    ForRequestSlot,
}

impl Clients {
    /// Closes the longest idle connection, and returns whether there is one. Connections that have sent no whole
    /// command although one had time to come go first. At the bound on all connections, any that stands between two
    /// commands may go.
    pub(super) fn evict_idle(&self, eviction: Eviction) -> bool {
        let now = self.event_loop.clock.now();
        let is_at_bound = self.connections.borrow().len() >= self.max_connections;
        let idle_time = if is_at_bound {
            Duration::ZERO
        } else {
            self.connect_timeout
        };
        let is_evictable = |connection: &&Rc<ConnectionState>| {
            if eviction == Eviction::ForRequestSlot && !connection.has_request_slot.get() {
                return false;
            }
            let is_used = connection.has_received_command.get();
            let grace = if is_used {
                idle_time
            } else {
                FIRST_COMMAND_GRACE
            };
            let is_unused_and_open = !is_used && connection.end_reason.get().is_none();
            connection.last_activity.get() + grace <= now
                && (is_unused_and_open || connection.is_idle())
        };
        let order = |connection: &&Rc<ConnectionState>| {
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
            .min_by_key(order)
            .cloned();
        longest_idle
            .inspect(|connection| {
                connection.refuse_partial_command();
                connection.end(ConnectionEnd::Evicted);
            })
            .is_some()
    }

    /// Closes connections that have been idle for long, as long as the agent runs: once a quarter of the places are in
    /// use, and much sooner once half are. Clients bound how many connections they open, and some send one command
    /// and stay.
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
