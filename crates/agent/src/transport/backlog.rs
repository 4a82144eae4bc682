//! Estimates when the connections in the backlog of a listening socket arrived.
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use async_io::Async;

use super::ArrivalTracker;
use crate::loop_monitor::LoopPhases;

/// Tracks the earliest time at which the next connection in a backlog may have arrived: when the backlog was last known to
/// be empty or, if that was longer ago, when the connection was accepted whose place in the backlog it may have taken. A
/// backlog that never becomes empty still moves, so the second bound is needed while clients come without pause.
#[derive(Debug)]
pub struct BacklogTracker {
    arrivals: ArrivalTracker,
    /// When the last connections were accepted, as many as the backlog holds, oldest first.
    accepted: VecDeque<Instant>,
    /// How many connections may wait.
    capacity: usize,
}

impl BacklogTracker {
    /// Tracks a socket that listens with this `backlog`. `listening_since` is a time before any client could connect.
    pub fn new(phases: Arc<LoopPhases>, listening_since: Instant, backlog: usize) -> Self {
        BacklogTracker {
            arrivals: ArrivalTracker::new(phases, listening_since),
            accepted: VecDeque::new(),
            // Linux queues one connection more than the limit that it is given.
            capacity: backlog + 1,
        }
    }

    /// Records that a connection was accepted at `now`, and returns the earliest time at which it may have arrived.
    /// Connections are accepted in the order of their arrival, so at its arrival at most `capacity - 1` of those before it
    /// were still waiting.
    pub fn note_accepted(&mut self, now: Instant) -> Instant {
        let place_free = if self.accepted.len() == self.capacity {
            self.accepted.pop_front()
        } else {
            None
        };
        self.accepted.push_back(now);
        let empty_at = self.arrivals.earliest_arrival();
        place_free.map_or(empty_at, |place_free| place_free.max(empty_at))
    }

    /// Records that the backlog is empty now.
    pub fn note_empty(&mut self) {
        self.arrivals.note_empty();
    }

    /// Waits until a connection arrives. The caller must have found the backlog empty.
    ///
    /// # Errors
    ///
    /// Returns the error of registering the socket with the event loop.
    pub async fn readable<T>(&mut self, listener: &Async<T>) -> io::Result<()> {
        self.arrivals.readable(listener).await
    }
}
