//! A node of a virtual fleet: its speed, its cores and its queue.
use std::time::Duration;

use super::{EPOCH, WARM_UP_TIME};

const CORES: usize = 4;
/// A node's speed just after its start, as a share of its full speed.
const INITIAL_SPEED: f64 = 0.35;

#[derive(Debug)]
pub(super) struct Node {
    pub(super) build: u16,
    /// When its process started, if that is not long ago.
    pub(super) started: Option<Duration>,
    speed: f64,
    /// When each core is free.
    free_at: [Duration; CORES],
    pub(super) in_flight: usize,
    pub(super) ejected_until: Duration,
}

impl Node {
    /// A node that has run build 1 for long.
    pub(super) fn new(speed: f64) -> Node {
        Node {
            build: 1,
            started: None,
            speed,
            free_at: [EPOCH; CORES],
            in_flight: 0,
            ejected_until: EPOCH,
        }
    }

    /// Replaces its process, and with it all requests that it has.
    pub(super) fn replace(&mut self, now: Duration, build: u16) {
        self.build = build;
        self.started = Some(now);
        self.free_at = [now; CORES];
        self.in_flight = 0;
    }

    /// The speed at this time: a node that has just started is warming up.
    pub(super) fn speed_at(&self, now: Duration) -> f64 {
        let warm_up = self.started.map_or(1.0, |started| {
            let elapsed = now.saturating_sub(started).as_secs_f64();
            (INITIAL_SPEED + (1.0 - INITIAL_SPEED) * elapsed / WARM_UP_TIME.as_secs_f64()).min(1.0)
        });
        self.speed * warm_up
    }

    /// Queues a request on the core that is free first; returns when it is done.
    pub(super) fn enqueue(&mut self, now: Duration, work: Duration) -> Duration {
        let first_free = (0..CORES)
            .min_by_key(|core| self.free_at[*core])
            .unwrap_or(0);
        let done = self.free_at[first_free].max(now) + work;
        self.free_at[first_free] = done;
        done
    }
}
