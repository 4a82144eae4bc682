//! Closes connections that wait for input, to make room for others.
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::StreamExt;

use super::connection_state::{AwaitedInput, ConnectionState};
use super::{COMMAND_TIMEOUT, Clients};
use crate::clock::Clock;
use crate::log::{ConnectionEnd, Count, count};

/// How long a connection has for its first command before it may be evicted for another one.
const FIRST_COMMAND_GRACE: Duration = COMMAND_TIMEOUT.checked_div(4).unwrap();
/// How long a client may pause within a command before its connection may be evicted for another one. A client that
/// writes a command in two parts may be held up by the delayed acknowledgement of the first one, for 40 ms.
const PARTIAL_COMMAND_GRACE: Duration = Duration::from_millis(100);
/// How many sweeps there are within one connect timeout.
const SWEEPS_IN_CONNECT_TIMEOUT: u32 = 4;
/// For this many places, one evicted connection at a time may wait for its client to close.
const PLACES_PER_CONCURRENT_EVICTION: usize = 16;

impl Clients {
    /// Evicts a connection that waits for input, and returns whether there was one. Connections without a whole first
    /// command within [`FIRST_COMMAND_GRACE`], or with a partial command for [`PARTIAL_COMMAND_GRACE`], are evicted
    /// first, the longest waiting one of them; then the one that has been idle longest.
    pub(super) fn evict_one(&self) -> bool {
        let clock = self.event_loop.clock;
        let now = clock.now();
        let connections = self.connections.borrow();
        let waiting: Vec<_> = connections
            .values()
            .filter_map(WaitingConnection::of)
            .collect();
        let graces = Graces {
            partial_command: PARTIAL_COMMAND_GRACE,
            idle: Some(self.min_idle_time(connections.len(), &waiting)),
        };
        let evictable = waiting
            .iter()
            .filter(|waiting| graces.have_passed(waiting, clock, now));
        let order = |waiting: &&WaitingConnection<'_>| {
            let is_idle = waiting.input == AwaitedInput::NextCommand;
            (is_idle, waiting.connection.waiting_since(clock))
        };
        let Some(waiting) = evictable.min_by_key(order) else {
            return false;
        };
        evict(waiting.connection);
        true
    }

    /// How long a connection has to be idle to be evicted. Below the bound on open connections, for the connect timeout.
    /// At the bound, any connection between two commands may be evicted, unless most places are held by clients that
    /// have not sent a whole command: such connections will be evictable soon, and a client between two requests would
    /// only come back.
    fn min_idle_time(
        &self,
        open_connections: usize,
        waiting: &[WaitingConnection<'_>],
    ) -> Duration {
        if open_connections < self.max_connections {
            return self.connect_timeout;
        }
        let is_idle = |waiting: &&WaitingConnection<'_>| waiting.input == AwaitedInput::NextCommand;
        let idle = waiting.iter().filter(is_idle).count();
        let stalled = waiting.len() - idle;
        if stalled > idle {
            PARTIAL_COMMAND_GRACE
        } else {
            Duration::ZERO
        }
    }

    /// Whether as many evicted connections are being closed as may be at a time. Each of them frees a place soon.
    pub(super) fn is_evicting(&self) -> bool {
        let connections = self.connections.borrow();
        let closing = connections
            .values()
            .filter(|connection| connection.end_reason.get() == Some(ConnectionEnd::Evicted))
            .count();
        closing > self.max_connections / PLACES_PER_CONCURRENT_EVICTION
    }

    /// Whether three quarters of the places are in use, so that connections that wait for input are closed sooner.
    pub(super) fn is_crowded(&self) -> bool {
        self.connections.borrow().len() * 4 >= self.max_connections * 3
    }

    /// Closes connections that have waited for input for too long, periodically, for as long as the agent runs. Clients
    /// limit how many connections they open, and some send one command, or a part of one, and keep the connection. Once
    /// a quarter of the connections are in use, those that have been idle for `COMMAND_TIMEOUT` are closed; once half
    /// are, those that have been idle for the connect timeout; once three quarters are, those that have waited for a
    /// whole command for [`FIRST_COMMAND_GRACE`]; and while partial commands hold as many bytes as they may, those that
    /// have held one for [`PARTIAL_COMMAND_GRACE`].
    pub async fn sweep_waiting_connections(self: Rc<Self>) {
        let mut ticks = Timer::interval(self.connect_timeout / SWEEPS_IN_CONNECT_TIMEOUT);
        while ticks.next().await.is_some() {
            self.close_long_idle();
            if self.partial_command_bytes.is_reached() {
                self.evict_stalled(PARTIAL_COMMAND_GRACE);
            } else if self.is_crowded() {
                self.evict_stalled(FIRST_COMMAND_GRACE);
            }
        }
    }

    fn close_long_idle(&self) {
        let clock = self.event_loop.clock;
        let now = clock.now();
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
            connection.waiting_since(clock) + idle_timeout <= now
                && connection.awaited_input() == Some(AwaitedInput::NextCommand)
        };
        connections
            .values()
            .filter(is_long_idle)
            .for_each(|connection| connection.end(ConnectionEnd::Idle));
    }

    /// Evicts all connections that have waited for the rest of a command for `partial_command_grace`, or for a first
    /// command for [`FIRST_COMMAND_GRACE`].
    fn evict_stalled(&self, partial_command_grace: Duration) {
        let clock = self.event_loop.clock;
        let now = clock.now();
        let graces = Graces {
            partial_command: partial_command_grace,
            idle: None,
        };
        let connections = self.connections.borrow();
        connections
            .values()
            .filter_map(WaitingConnection::of)
            .filter(|waiting| graces.have_passed(waiting, clock, now))
            .for_each(|waiting| evict(waiting.connection));
    }
}

/// A connection that waits for input.
struct WaitingConnection<'a> {
    connection: &'a Rc<ConnectionState>,
    input: AwaitedInput,
}

impl<'a> WaitingConnection<'a> {
    /// Looks whether a connection waits for input, which asks its socket.
    fn of(connection: &'a Rc<ConnectionState>) -> Option<Self> {
        let input = connection.awaited_input()?;
        Some(WaitingConnection { connection, input })
    }
}

/// How long connections may wait for input before they may be evicted.
struct Graces {
    partial_command: Duration,
    /// `None` if connections between two commands are not evicted.
    idle: Option<Duration>,
}

impl Graces {
    fn have_passed(&self, waiting: &WaitingConnection<'_>, clock: Clock, now: Duration) -> bool {
        let grace = match waiting.input {
            AwaitedInput::FirstByte => Some(FIRST_COMMAND_GRACE),
            AwaitedInput::RestOfCommand => Some(self.partial_command),
            AwaitedInput::NextCommand => self.idle,
        };
        grace.is_some_and(|grace| waiting.connection.waiting_since(clock) + grace <= now)
    }
}

fn evict(connection: &Rc<ConnectionState>) {
    count(Count::ClientsEvicted);
    connection.evict();
}
