//! Shuts down gracefully within the time that a planned restart allows.
use std::time::Duration;

use futures_lite::FutureExt;

use super::Clients;
use super::POLL_INTERVAL;
use crate::log::{ConnectionEnd, info};

/// The longest deadline for which a planned restart waits. The agent may be killed once the longest deadline, capped at
/// this, and [`KILL_MARGIN`] have passed since SIGTERM.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest deadline the agent may be killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The last part of the shutdown, in which all requests have been answered and connections are closed between commands.
pub(super) const CLOSING_PHASE: Duration = KILL_MARGIN.checked_div(4).unwrap();
/// The part of the closing phase in which connections are still read. A client that sends without pause is not read
/// after it.
const READING_PHASE: Duration = CLOSING_PHASE.saturating_mul(3).checked_div(4).unwrap();
/// How long a new connection has for its first command in the closing phase.
const FIRST_COMMAND_GRACE: Duration = CLOSING_PHASE.checked_div(4).unwrap();

impl Clients {
    /// Keeps serving for as long as the agent is certain not to be killed, because clients keep using connections that
    /// stay open. Then rejects new requests, answers all accepted ones, and closes the connections between commands.
    pub async fn shut_down(&self) {
        let clock = self.event_loop.clock;
        let started = clock.now();
        let deadline = started + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        self.linger_deadline.set(deadline - POLL_INTERVAL);
        self.event_loop.shut_down_by(deadline - CLOSING_PHASE);
        clock
            .sleep_until(deadline - CLOSING_PHASE)
            .or(self.draining.notified())
            .await;
        self.draining.notify();
        self.listener_closed.notified().await;
        let closing_started = clock.now();
        while (self.unregistered_connections.get() > 0 || !self.connections.borrow().is_empty())
            && clock.now() < deadline + self.longest_deadline
        {
            self.end_connections(closing_started);
            self.wait_for_connection_end(POLL_INTERVAL).await;
        }
        let left = self.event_loop.unanswered_requests();
        info!(
            "shutdown_completed duration_ms={} unanswered_requests={left}",
            (clock.now() - started).as_millis()
        );
    }

    /// Ends the connections that may be closed now.
    fn end_connections(&self, closing_started: Duration) {
        let now = self.event_loop.clock.now();
        let is_reading_over = closing_started + READING_PHASE <= now;
        let connections = self.connections.borrow();
        for connection in connections.values() {
            if !is_reading_over && connection.end_reason.get().is_some() {
                continue;
            }
            if is_reading_over {
                connection.refuse_partial_command();
            }
            let grace = if connection.has_received_command.get() {
                Duration::ZERO
            } else {
                FIRST_COMMAND_GRACE
            };
            if is_reading_over || connection.last_activity.get() + grace <= now {
                connection.end(
                    connection
                        .end_reason
                        .get()
                        .unwrap_or(ConnectionEnd::ShuttingDown),
                );
            }
        }
    }

    /// Starts draining at once: no more connections and requests are accepted.
    pub fn drain(&self) {
        self.draining.notify();
    }
}
