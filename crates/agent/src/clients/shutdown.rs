//! Graceful shutdown within the time that a planned restart allows.
use std::time::Duration;

use futures_lite::FutureExt;

use super::Clients;
use super::POLL_INTERVAL;
use crate::log::{ConnectionEnd, info};

/// A planned restart may kill the agent once the longest deadline, counted as this at most, and [`KILL_MARGIN`] have
/// passed since SIGTERM.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time beside the longest deadline after which the agent may be killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The last part of the shutdown: all requests have their answer, and connections are closed between commands.
pub(super) const CLOSING_PHASE: Duration = KILL_MARGIN.checked_div(4).unwrap();
/// How much of the closing phase connections are read in. What sends without a pause is not read beyond it.
const READING_PHASE: Duration = CLOSING_PHASE.saturating_mul(3).checked_div(4).unwrap();
/// How long a new connection may take for its first command in the closing phase.
const FIRST_COMMAND_GRACE: Duration = CLOSING_PHASE.checked_div(4).unwrap();

impl Clients {
    /// Serves on for as long as the agent is sure to live, as clients go on using connections that stay open. Then
    /// rejects what comes, answers all that was taken, and closes the connections between commands.
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
            self.wait_for_connection_end().await;
        }
        let left = self.event_loop.unanswered_requests();
        info!(
            "shutdown_completed duration_ms={} unanswered_requests={left}",
            (clock.now() - started).as_millis()
        );
    }

    /// Ends the connections that may be closed by now.
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

    /// Starts to drain now: no more connections and requests are accepted.
    pub fn drain(&self) {
        self.draining.notify();
    }
}
